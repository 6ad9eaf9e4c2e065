"""Many instances as one service.

`lifecycle` (one instance) and `keeper` (the fleet's supervisor) decide, without I/O; `instance`,
`supervisor`, `control`, `notify` and `activation` carry out.
"""
