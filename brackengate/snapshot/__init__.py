"""One version of routes and pools, whole: its form, its checks, and what differs between two.

Sources (the installation file, discovery, xDS) make snapshots; `versions` keeps them; `routing` carries them
out.
"""
