"""Stand-ins for the systems around corianderpitch, with demo and bench."""
