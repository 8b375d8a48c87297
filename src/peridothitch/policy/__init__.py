"""Pure policy code without I/O or threads; clock and random source are passed in."""
