"""Scheduling of multi-step jobs: order, placement, run results and recovery."""
