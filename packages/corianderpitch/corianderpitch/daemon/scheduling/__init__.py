"""Tasks that run jobs of several steps on the workers of the platform."""
