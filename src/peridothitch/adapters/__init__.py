"""Implementations of the ports on top of libraries."""
