"""Interfaces between the core logic and external systems."""
