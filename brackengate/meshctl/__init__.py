"""Command line operation of a running mesh: queries and commands to its control replicas."""
