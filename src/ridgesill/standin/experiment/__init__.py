"""Experiments: scenarios played with variants of the decisions, by seed."""
