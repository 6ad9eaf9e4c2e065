"""`python -m brackengate.meshctl`: the same commands where only the libraries of the mesh are installed."""

from brackengate.meshctl.commands import mesh

mesh(prog_name="brackengate mesh")
