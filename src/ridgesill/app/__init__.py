"""Processes, their components and settings, and the command line."""
