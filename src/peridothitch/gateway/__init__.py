"""The entry host's process: wiring and life cycle."""
