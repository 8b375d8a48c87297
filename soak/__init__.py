"""Randomized soak test of entry host processes under injected faults."""
