"""Command line for operators, and client library for callers."""
