"""The command's log as JSON lines, with the extra fields of each record."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PROGRAM = """
import logging
from brackengate.logs import start_log
start_log("info")
log = logging.getLogger("brackengate.some")
log.info("served %d", 7, extra={"seed": 3})
log.debug("below the level")
try:
    raise ValueError("why")
except ValueError:
    log.exception("it failed")
"""


def run(*arguments: str, **environ: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, *arguments],
        cwd=ROOT,
        env={**os.environ, **environ},
        capture_output=True,
        text=True,
        timeout=60,
    )


def test_each_json_line_has_the_extra_fields_and_the_traceback() -> None:
    process = run("-c", PROGRAM, BRACKENGATE_LOG_FORMAT="json")
    first, second = (json.loads(line) for line in process.stderr.splitlines())
    assert (first["event"], first["level"], first["logger"], first["seed"]) == (
        "served 7",
        "info",
        "brackengate.some",
        3,
    )
    assert first["time"].endswith("Z") and first["process"] > 0
    assert second["level"] == "error" and "ValueError: why" in second["exception"]


def test_text_lines_have_the_plain_format() -> None:
    lines = run("-c", PROGRAM, BRACKENGATE_LOG_FORMAT="").stderr.splitlines()
    assert lines[0].endswith("INFO brackengate.some: served 7") and lines[-1] == "ValueError: why"


@pytest.mark.parametrize("by", ["option", "environment"])
def test_the_command_logs_in_the_chosen_format(by: str) -> None:
    option = ["--log-format", "json"] if by == "option" else []
    environ = {"BRACKENGATE_LOG": "info", **({} if option else {"BRACKENGATE_LOG_FORMAT": "json"})}
    arguments = [
        "lab",
        "run",
        "examples/lab/kill-and-roll.toml",
        "--seed",
        "2",
        "--json",
        "--set",
        "length=40s",
    ]
    process = run("-m", "brackengate.cli", *option, *arguments, **environ)
    assert process.returncode == 0
    record = json.loads(process.stderr.splitlines()[-1])
    assert record["event"] == "played" and (record["scenario"], record["seed"]) == ("kill-and-roll", 2)
    invalid = run("-m", "brackengate.cli", "--log-format", "xml", *arguments)
    assert invalid.returncode == 2 and "'text', 'json'" in invalid.stderr
