"""Engines, network and callers on a virtual clock, around the real decisions.

The code that decides on fronts and at the owner of the fleet runs here as it
is; only what stands around it is emulated. Half a minute is played in seconds.
"""
