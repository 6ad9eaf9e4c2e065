"""`python -m brackengate.bridge`: runs what `python -m brackengate.meshctl` runs."""

from brackengate.meshctl.commands import mesh

mesh(prog_name="brackengate mesh")
