"""`python -m brackengate.bridge`: the same commands where only the mesh's own libraries are installed."""

from brackengate.bridge.commands import mesh

mesh(prog_name="brackengate mesh")
