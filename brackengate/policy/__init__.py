"""The balancer's decisions, one mixin for each concern; brackengate/brain.py combines them."""
