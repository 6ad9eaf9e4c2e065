"""`python -m brackengate.meshctl`: the same commands where only the mesh's own libraries are installed."""

from brackengate.meshctl.commands import mesh

mesh(prog_name="brackengate mesh")
