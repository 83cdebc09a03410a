"""Interfaces through which the core meets the outside."""
