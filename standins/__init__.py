"""Scripted outside systems for tests, demo and benchmarks: loopback only, nothing of brackengate inside."""
