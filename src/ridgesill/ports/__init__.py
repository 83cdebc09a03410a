"""Interfaces between the core and the adapters."""
