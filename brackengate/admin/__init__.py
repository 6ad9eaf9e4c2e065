"""Where operators call: a line a connection, apart from the callers."""
