"""The role on core machines: keeps what is agreed, and brings it to the pilots."""
