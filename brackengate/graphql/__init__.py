"""GraphQL over HTTP as a second front: the class of each operation is told before anything is sent.

`analysis`, `classify`, `persisted`, `envelope` and `negotiate` decide, without I/O; `front` carries out.
"""
