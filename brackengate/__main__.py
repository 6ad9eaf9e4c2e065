"""The balancer as a program: environment and configuration, event loop, exit codes."""

from __future__ import annotations

import logging
import os
import signal
import sys

import uvloop

from brackengate.platform.config import BadConfig, Config, load_config
from brackengate.platform.program import CannotListen, Program

log = logging.getLogger("brackengate")


async def serve(config: Config) -> int:
    return await Program(config).run()


def main() -> int:
    old = os.environ.get("BIRCHLEAD_LOG")  # deprecated: the name before the package was renamed
    level = os.environ.get("BRACKENGATE_LOG", old or "INFO").upper()
    logging.basicConfig(
        stream=sys.stderr,
        level=level if level in logging.getLevelNamesMapping() else "INFO",
        format="%(asctime)s.%(msecs)03d %(levelname)s %(name)s: %(message)s",
        datefmt="%H:%M:%S",
    )
    if old is not None:
        log.warning("BIRCHLEAD_LOG is deprecated: use BRACKENGATE_LOG")
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the loop runs: what it asks for is read then anyway
    try:
        config = load_config(dict(os.environ))
    except BadConfig as error:
        print(f"brackengate: {error}", file=sys.stderr)
        return 2
    try:
        return uvloop.run(serve(config))
    except CannotListen as error:
        print(f"brackengate: {error}", file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
