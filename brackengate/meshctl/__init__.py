"""Operating a running mesh from a command line: it asks lighthouses, and decides nothing for them."""
