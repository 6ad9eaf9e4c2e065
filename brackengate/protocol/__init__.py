"""What pilots and lighthouses say to each other, and what both are told.

No sockets but in `json_connection`.
"""
