"""Request decisions of a front: routing, limits, upstream choice, retries."""
