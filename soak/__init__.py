"""Randomized soak of real entry hosts: faults from outside, promises checked."""
