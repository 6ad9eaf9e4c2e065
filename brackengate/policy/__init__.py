"""The decisions of the balancer by concern; brackengate/balancer.py puts them together."""
