"""A randomised soak test: real gateway processes under injected faults."""
