"""The commands as a new user meets them."""

from __future__ import annotations

import asyncio
import http.client
import json
import os
import re
import subprocess
import sys
from pathlib import Path

import pytest

from brackengate.demo import Demo

ROOT = Path(__file__).parent.parent
EXAMPLE = "examples/one-tier.toml"


def command(*words: str, **env: str) -> subprocess.CompletedProcess[str]:
    argv = [sys.executable, "-m", "brackengate.cli", *words]
    return subprocess.run(
        argv, cwd=ROOT, capture_output=True, text=True, env={**os.environ, **env}, timeout=60
    )


@pytest.mark.parametrize(
    "words",
    [["check"], ["serve"], ["fleet", "up"], ["fleet", "status"], ["fleet", "restart"], ["fleet", "reload"],
     ["fleet", "stop"], ["demo"]],
    ids=" ".join,
)  # fmt: skip
def test_every_command_has_help_with_an_example(words: list[str]) -> None:
    told = command(*words, "--help")
    assert told.returncode == 0
    assert f"Example: brackengate {' '.join(words)}" in told.stdout
    assert "--set" in told.stdout


def test_the_top_help_documents_exit_codes_and_completion() -> None:
    told = command("--help").stdout
    assert "Exit codes: 0 done; 1" in told and "_BRACKENGATE_COMPLETE" in told


def test_a_shell_can_complete_commands() -> None:
    told = command(_BRACKENGATE_COMPLETE="bash_complete", COMP_WORDS="brackengate fl", COMP_CWORD="1")
    assert "fleet" in told.stdout


def test_the_example_is_good_and_a_set_is_checked_too() -> None:
    told = command("check", EXAMPLE)
    assert (told.returncode, told.stderr) == (0, "") and "3 instances" in told.stdout
    assert "5 instances" in command("check", EXAMPLE, "--set", "fleet.instances=5").stdout
    told = command("check", EXAMPLE, "--set", "fleet.settle=3", "--set", "fleet.instances=none")
    assert told.returncode == 2
    assert "fleet.settle" in told.stderr and "fleet.instances" in told.stderr


@pytest.mark.parametrize(
    "words", [["check"], ["serve"], ["fleet", "up"], ["fleet", "status"], ["fleet", "stop"]]
)
def test_a_file_that_is_not_there_is_a_clear_error_and_exit_2(words: list[str]) -> None:
    told = command(*words, "nowhere.toml")
    assert told.returncode == 2
    assert "nowhere.toml: cannot be read: No such file" in told.stderr and "Traceback" not in told.stderr


@pytest.mark.parametrize("word", ["status", "restart", "reload", "stop"])
def test_without_a_supervisor_it_says_so_and_exits_3(word: str, tmp_path: Path) -> None:
    told = command("fleet", word, EXAMPLE, "--set", f"fleet.runtime_dir={tmp_path / 'run'}")
    assert told.returncode == 3 and "no supervisor answers at" in told.stderr


def test_usage_errors_exit_2() -> None:
    assert command("demo", "--port", "8080").returncode == 2  # the mesh has no front
    assert command("explode").returncode == 2
    assert command("check").returncode == 2
    assert command("demo", "--fleet", "--port", "99999").returncode == 2


def test_the_fleets_demo_answers_one_request_of_each_class() -> None:
    told = command("demo", "--fleet", "--once")
    assert told.returncode == 0, told.stderr
    lines = told.stdout.splitlines()
    assert [line.split()[:3] for line in lines] == [
        ["pregled", "safe", "200"],
        ["ponudba", "keyed", "200"],
        ["takoj-kupi", "unsafe", "200"],
    ]
    assert all("sprejem-" in line for line in lines)
    assert told.stderr == ""


def test_the_demo_shows_figures_and_stops_by_itself() -> None:
    told = command("demo", "--fleet", "--seconds", "4", "--set", "fleet.instances=2")
    assert told.returncode == 0, told.stderr
    assert any("2 instances ready" in line and "200:" in line for line in told.stdout.splitlines())


def test_the_demos_seconds_begin_when_it_is_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """However long it takes to come up, it shows; the time that it was told is over before."""
    shown: list[bool] = []

    async def start(self: Demo, folder: Path) -> None:
        await asyncio.sleep(0.2)

    async def show(self: Demo, front: None, stop: asyncio.Event) -> None:
        shown.append(stop.is_set())
        await stop.wait()

    monkeypatch.setattr(Demo, "_start", start)
    monkeypatch.setattr(Demo, "_show", show)
    assert asyncio.run(Demo(0, 1.0, ()).run(False, 0.05)) == 0
    assert shown == [False]


def test_the_demo_serves_graphql_on_its_fronts_port() -> None:
    argv = [sys.executable, "-m", "brackengate.cli", "demo", "--fleet", "--rate", "1"]
    process = subprocess.Popen(argv, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
    try:
        assert process.stdout is not None
        found = re.search(r"front on 127\.0\.0\.1:(\d+), /api and /graphql", process.stdout.readline())
        assert found is not None
        connection = http.client.HTTPConnection("127.0.0.1", int(found[1]), timeout=30)
        for query, field in (
            ("{ lot(id: 3) { id cena } }", "lot"),
            ("mutation { takojKupi(lot: 3) { id } }", "takojKupi"),
        ):
            body, headers = json.dumps({"query": query}), {"Content-Type": "application/json"}
            connection.request("POST", "/graphql", body, headers)
            answer = connection.getresponse()
            told = json.loads(answer.read())
            assert answer.status == 200 and told["data"][field]["id"] == "3", told
        connection.request(
            "POST", "/graphql", json.dumps({"query": "{ nic }"}), {"Content-Type": "application/json"}
        )
        answer = connection.getresponse()
        assert answer.status == 400 and "nic" in answer.read().decode()
    finally:
        process.terminate()
        assert process.wait(30) == 0


def test_the_demos_bad_set_is_told_and_nothing_is_left_running() -> None:
    told = command("demo", "--fleet", "--once", "--set", "fleet.instances=0")
    assert told.returncode == 1
    assert "fleet.instances: 0 is out of bounds" in told.stderr


# --- graphql


def explain(*words: str, document: str = "examples/ponudba.graphql") -> subprocess.CompletedProcess[str]:
    return command("graphql", "explain", document, "-i", "examples/graphql.toml", *words)


def test_explain_prints_class_key_cost_and_why_of_each_operation() -> None:
    told = explain()
    assert told.returncode == 0, told.stderr
    assert "Pregled: query, class pregled (safe)" in told.stdout
    assert "Ponudba: mutation, class ponudba (keyed)" in told.stdout
    assert "key from oddajPonudbo(input.kljuc)" in told.stdout
    assert "Oboje: mutation, class takoj-kupi (unsafe)" in told.stdout
    assert "mutation.takojKupi: taken out" in explain("--variables", '{"tudi": false}').stdout


def test_explain_names_what_is_wrong(tmp_path: Path) -> None:
    assert "--variables: not JSON" in explain("--variables", "{").stderr
    assert "--variables: expected an object" in explain("--variables", "[]").stderr
    bad = tmp_path / "bad.graphql"
    bad.write_text("{ lot")
    told = explain(document=str(bad))
    assert told.returncode == 2 and "GRAPHQL_PARSE_FAILED" in told.stderr
    bad.write_bytes(b"\xff")
    assert "is not UTF-8: byte 0" in explain(document=str(bad)).stderr
    told = command("graphql", "explain", "examples/ponudba.graphql", "-i", "examples/one-tier.toml")
    assert told.returncode == 2 and "graphql.path is missing" in told.stderr


def test_the_graphql_section_is_checked() -> None:
    def wrong(*sets: str) -> str:
        words = [word for text in sets for word in ("--set", text)]
        told = command("check", "examples/graphql.toml", *words)
        assert told.returncode == 2, told.stdout
        return told.stderr

    assert 'graphql.query_class: for queries needs a class with repeats = "safe": pregled' in wrong(
        "graphql.query_class=takoj-kupi"
    )
    assert "graphql.mutation.nakup: names no class: 'nikoli'" in wrong("graphql.mutation.nakup=nikoli")
    assert "is for mutations of a class" in wrong("graphql.mutation.takojKupi={class='takoj-kupi',key='x'}")
    assert "graphql.path: /api is the platform's" in wrong("graphql.path=/api")
    assert "graphql.manifest: is missing" in wrong("graphql.only_trusted=true")
    assert "none.json cannot be read" in wrong("graphql.manifest=none.json")
    both = wrong("graphql.max_tokens=1", "graphql.batch=all")
    assert "graphql.max_tokens: 1 is out of bounds; allowed: 8 to 10000" in both
    assert "off, split, whole" in both
    assert command("check", "examples/graphql.toml").returncode == 0
