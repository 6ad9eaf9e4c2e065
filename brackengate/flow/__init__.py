"""Flow export: IPFIX and NetFlow v9 records of client and upstream connections.

`cache`, `talkers`, `records`, `ipfix`, `netflow9` and `decode` are pure; `exporter` sends.
"""
