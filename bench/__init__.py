"""Measurements and the demo; each prints one summary line last."""
