"""Decisions on jobs of several steps: order, placement, ends and recovery."""
