"""Simulates a whole mesh in virtual time: unmodified proxies and control replicas on emulated machines."""
