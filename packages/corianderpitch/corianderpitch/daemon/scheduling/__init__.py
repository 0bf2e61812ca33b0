"""Tasks that run multi-step jobs on the workers of the platform."""
