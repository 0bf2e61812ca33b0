"""Tasks, HTTP interfaces and start-up of the daemon ``corianderpitchd``."""
