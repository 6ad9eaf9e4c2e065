"""Versions of routes and pools: which is in use, which waits, which was rejected and why."""
