"""An upstream to try a pilot with: it beats and answers, by the pilot's own settings file.

python -m standins.mesh_upstream hour/pilot-1.toml
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
import tomllib
from pathlib import Path

from standins.mesh import Machine, Upstream


async def main(path: str) -> None:
    told = tomllib.loads(Path(path).read_text())
    machine = Machine(told["Ip"], told.get("Zone", ""), "pilot", Path(path).parent, told["Plant"])
    port, control = (
        int(address.rpartition(":")[2]) for address in (told["Application"], told["Listen"]["Control"])
    )
    upstream = Upstream(machine, port, control, f"{told.get('Node', 'i')}-{time.time_ns():x}")
    await upstream.start()
    print(f"{upstream.id} serves on {machine.ip}:{port}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main(sys.argv[1]))
