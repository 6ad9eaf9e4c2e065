"""The whole installation in simulated time: the real decisions, and everything round them as a model."""
