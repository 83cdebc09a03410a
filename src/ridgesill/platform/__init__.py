"""The users' platform: its names, formats and calls, translated both ways.

Nothing here decides anything, and nothing outside this folder knows the names
that stand on the wire.
"""
