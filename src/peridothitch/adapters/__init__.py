"""Implementations of the ports on top of third-party and standard libraries."""
