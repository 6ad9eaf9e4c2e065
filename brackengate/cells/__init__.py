"""Cells: tenants confined to pools of their own, and moved between them while their lots are open."""
