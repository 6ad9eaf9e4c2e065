"""What this one platform says: RELAY_* configuration, and the simulator's wire with its adapter."""
