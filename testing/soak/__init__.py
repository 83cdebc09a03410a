"""A randomized soak of real processes under injected faults."""
