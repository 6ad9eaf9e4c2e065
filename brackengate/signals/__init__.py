"""What pilots and lighthouses say to each other, and what both are told: no sockets but in `lines`."""
