"""Decisions of a front: routes, choice of an upstream, retries, outcomes."""
