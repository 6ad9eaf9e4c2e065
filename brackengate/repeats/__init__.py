"""Recognising a client's repeat at the edge: it gets the first one's answer, and nobody else's.

`table` decides, without I/O; `door` is the stage between fronts and node; `journal` outlives the process.
"""
