"""Experiments: emulated scenarios with variants of constants, by seed."""
