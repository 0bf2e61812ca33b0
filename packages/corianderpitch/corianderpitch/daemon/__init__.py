"""The tasks of ``corianderpitchd`` and their wiring."""
