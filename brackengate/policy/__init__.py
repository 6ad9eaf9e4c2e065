"""The balancer's decisions, one mixin for each concern; brackengate/balancer.py combines them."""
