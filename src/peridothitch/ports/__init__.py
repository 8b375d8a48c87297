"""Interfaces between the decisions and the outside."""
