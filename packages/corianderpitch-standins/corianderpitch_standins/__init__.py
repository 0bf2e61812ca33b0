"""Stand-ins for the systems that surround corianderpitch, a demo and a benchmark."""
