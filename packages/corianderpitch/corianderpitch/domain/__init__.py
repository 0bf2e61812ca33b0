"""Decisions: pure state machines with no I/O and no clock of their own."""
