"""Implementations of the ports: real ones and in-memory twins."""
