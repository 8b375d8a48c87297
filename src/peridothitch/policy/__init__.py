"""Decisions without I/O or threads; the clock and random source are passed in."""
