"""Fair queues at the door: who waits, who is next, who is refused and when a refused one may come back.

`admission` decides and does no I/O; `door` is the stage between fronts and node.
"""
