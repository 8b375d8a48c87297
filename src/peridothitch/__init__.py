"""Serving system for model and application traffic on reclaimable hosts."""

__all__ = ["__version__"]

__version__ = "0.1.0"
