"""Older name of brackengate.meshctl, kept so that `python -m brackengate.bridge` still works."""
