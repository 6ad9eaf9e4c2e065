"""The mesh in simulated time: pilots and lighthouses as they are, on emulated machines."""
