"""The decisions of the balancer by concern; brackengate/brain.py puts them together."""
