"""Logging of the command, as text or as JSON lines.  The platform's process does without structlog."""

from __future__ import annotations

import logging
import os
import sys

import structlog

FORMAT = "BRACKENGATE_LOG_FORMAT"  # in the environment, so that the instances of a fleet inherit it


def start_log(level: str) -> None:
    """Log to standard error; the level in `BRACKENGATE_LOG` takes precedence over `level`."""
    level_name = os.environ.get("BRACKENGATE_LOG", level).upper()
    handler = logging.StreamHandler(sys.stderr)
    if os.environ.get(FORMAT) == "json":
        processors: list[structlog.typing.Processor] = [
            structlog.stdlib.add_log_level,
            structlog.stdlib.add_logger_name,
            structlog.stdlib.ExtraAdder(),
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
            structlog.processors.CallsiteParameterAdder([structlog.processors.CallsiteParameter.PROCESS]),
        ]
        handler.setFormatter(
            structlog.stdlib.ProcessorFormatter(
                foreign_pre_chain=processors,
                processors=[
                    structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                    structlog.processors.format_exc_info,
                    structlog.processors.JSONRenderer(default=str),
                ],
            )
        )
    else:
        line = "%(asctime)s.%(msecs)03d %(process)d %(levelname)s %(name)s: %(message)s"
        handler.setFormatter(logging.Formatter(line, "%H:%M:%S"))
    logging.basicConfig(
        level=level_name if level_name in logging.getLevelNamesMapping() else "INFO", handlers=[handler]
    )
