"""Implementations of the ports: clients of external systems, and in-memory ones."""
