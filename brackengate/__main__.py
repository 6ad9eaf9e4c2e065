"""Entry point of the balancer process: environment, configuration, event loop and exit codes."""

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
    """Run the program until it is stopped by a signal or a command; its exit code."""
    return await Program(config).run()


def main() -> int:
    """Exit code 2: invalid configuration; 1: cannot listen; otherwise that of the program."""
    old_level = os.environ.get("BIRCHLEAD_LOG")  # deprecated: its name before the package was renamed
    level = os.environ.get("BRACKENGATE_LOG", old_level or "INFO").upper()
    logging.basicConfig(
        stream=sys.stderr,
        level=level if level in logging.getLevelNamesMapping() else "INFO",
        format="%(asctime)s.%(msecs)03d %(levelname)s %(name)s: %(message)s",
        datefmt="%H:%M:%S",
    )
    if old_level is not None:
        log.warning("BIRCHLEAD_LOG is deprecated: use BRACKENGATE_LOG")
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the loop runs, which reads the configuration anyway
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
