"""The whole scale run at its smallest: real replicas, one real proxy, and hollow ones in a process."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import msgspec

from benchmarks.scale.results import Results

ROOT = Path(__file__).parent.parent.parent


def test_a_quick_run_comes_to_its_end_with_every_proxy_told_of_everything(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "benchmarks.scale", "--quick", "--out", str(tmp_path / "quick")]
    command += ["--port", str(20_000 + os.getpid() % 1_000 * 9)]  # others may run the same beside it
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=100)
    assert done.returncode == 0, done.stdout[-4000:] + done.stderr[-4000:]
    found = msgspec.json.decode((tmp_path / "quick.json").read_bytes(), type=Results)
    (run,) = found.runs
    assert (run.start.late, run.restart.late, run.suspicion.late) == (0, 0, 0)
    assert max(run.news.last_proxy_ms) < 1000
    for claims in (run.single_claims, run.most_claims):
        assert claims.per_s > 0
        assert (claims.refused, claims.unanswered) == (0, 0)
    assert [load.role for load in run.rest.roles] == ["head", "middle", "tail", "proxy", "hollow"]
    assert sum(load.commits for load in run.most_claims.roles) > 0
    assert "claims, most" in (tmp_path / "quick.txt").read_text()
