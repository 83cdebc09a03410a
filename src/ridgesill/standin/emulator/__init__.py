"""An emulated deployment: engines, network and callers on a virtual clock.

The decision code of the fronts and of the fleet owner runs unmodified; only
its environment is emulated. Emulating half a minute takes a few seconds.
"""
