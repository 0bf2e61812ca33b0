"""Operator command line and caller library."""
