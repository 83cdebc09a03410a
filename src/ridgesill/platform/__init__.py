"""Adapter to the platform: translates its names, formats and calls.

It holds no decisions, and no other package knows the platform's wire names.
"""
