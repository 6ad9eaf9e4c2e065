"""The installation file: what an operator writes to run brackengate outside the platform.

`schema` holds its typed form, `reading` turns TOML into that or into all of its faults at once, and
`settings` derives what the decision module and the sockets are told.  Nothing here does more I/O than
reading the one file.
"""
