"""The mesh in simulated time, with the real roles: reproducible runs, each rule's check, and the search."""

from __future__ import annotations

import hashlib
import random
import subprocess
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner

from brackengate.cli import main
from brackengate.emulator import hunt
from brackengate.emulator.mesh import checks
from brackengate.emulator.mesh.hunt import mutated, within_tolerance
from brackengate.emulator.mesh.play import MeshRun, play
from brackengate.emulator.mesh.scenario import Fault, Limits, MeshScenario, parse_scenario, validation_errors
from brackengate.installation.reading import BadFile
from brackengate.installation.units import Duration
from brackengate.protocol.messages import CommandDone, HeldBy
from brackengate.proxy.keys import KeyedRequests

ROOT = Path(__file__).parent.parent.parent
MESH = ROOT / "examples" / "lab" / "mesh"


def run_scenario(name: str, *sets: str, seed: int = 1) -> MeshRun:
    """Run a scenario of examples/lab/mesh, with keys overridden by `sets`."""
    path = MESH / name
    return play(parse_scenario(path.read_text(), str(path), sets), seed)


def assert_no_violations(run: MeshRun) -> None:
    """Fails with the text of every violation that is kept."""
    assert [f"{one.rule}: {word}" for one in run.found for word in one.words] == []


def test_scenario_without_faults_serves_all_and_breaks_no_rule() -> None:
    run = run_scenario("calm.toml", "length=8s")
    assert_no_violations(run)
    assert run.worth > 0.99 and run.summary.items > 200
    assert {"TWICE", "REFUSED", "MIXED", "ROUTE", "DRAIN", "CONFIG"} <= {one.rule for one in run.found}


def test_run_is_the_same_under_any_hash_seed() -> None:
    code = (
        "import sys; sys.path.insert(0, 'tests/emulator'); import test_mesh_lab as t;"
        "print(t.records_digest(t.run_scenario('two-services.toml', 'length=4s', 'operators.every=1s')))"
    )
    here = records_digest(run_scenario("two-services.toml", "length=4s", "operators.every=1s"))
    there = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, env={"PYTHONHASHSEED": "7", "PYTHONPATH": str(ROOT)},
        capture_output=True, text=True, check=True,
    )  # fmt: skip
    assert there.stdout.strip() == here


def records_digest(run: MeshRun) -> str:
    """SHA-256 of all records of a run."""
    return hashlib.sha256(repr(run.world.records).encode()).hexdigest()


def test_the_roles_do_not_import_the_emulator() -> None:
    code = "import brackengate.proxy.role, brackengate.control.role, sys; print(*sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert "brackengate.emulator" not in done.stdout


def test_invalid_scenario_is_reported_by_key() -> None:
    text = (MESH / "calm.toml").read_text() + '\n[[fault]]\nat = "1s"\nkind = "wipe"\non = ["p9"]\n'
    with pytest.raises(BadFile) as raised:
        parse_scenario(text, "s.toml", ())
    assert "wipe does not strike p9" not in str(raised.value)  # it does not exist, which is reported first
    assert "there is no p9" in str(raised.value) and "lasts" in str(raised.value)


def test_lab_command_runs_a_mesh_scenario() -> None:
    done = CliRunner().invoke(main, ["lab", "run", str(MESH / "calm.toml"), "--set", "length=3s"])
    assert done.exit_code == 0 and "kept    TWICE" in done.output


# --- each rule, on a history that breaks it

S = 1_000_000
NAMES = {"10.1.1.1": "p0", "10.1.0.1": "l0"}
UP = [(0, "up", (name,)) for name in ("l0", "p0")]


def attempt_record(
    at: int, attempt: str, kind: str = "effectful", key: str = "", route: str = "r"
) -> checks.Record:
    return at, "asked", (attempt, 1, route, kind, key, "10.1.1.1", "s", f"POST /{route}/1/1 x")


def run_record(
    at: int, attempt: str, plant: str = "s", upstream: str = "i1", key: str = "", caller: str = "s",
    route: str = "r",
) -> checks.Record:  # fmt: skip
    return at, "ran", (upstream, plant, attempt, key, caller, f"POST /{route}/1/1 x")


def answer_record(at: int, attempt: str, how: object, seal: str = "", body: str = "") -> checks.Record:
    return at, "ended", (attempt, how, seal, body, False)


def offer_version(at: int, call: int, version: int, *services: str, valid: bool = True) -> checks.Record:
    return at, "offers", (call, "r", version, services, valid)


FIRST = [offer_version(1, 1, 1, "s"), (2, "acked", (1,)), (3, "read", ((("r", 1, ("s",)),), 3))]
MOVED = [*FIRST, offer_version(S, 2, 2, "t"), (2 * S, "acked", (2,))]
HISTORIES = {
    "MIXED": (
        run_record(9 * S, "a"),
        (9 * S, "done", ("i1", "b", "q", "xx")),
        answer_record(9 * S, "a", 200, "q", "xx"),
    ),
    "UNASKED": (run_record(9 * S, "a", caller="other"),),
    "TWICE": (run_record(9 * S, "a"), run_record(9 * S, "a", upstream="i2")),
    "REFUSED": (answer_record(9 * S, "a", 503), run_record(9 * S + 1, "a")),
    "ROUTE": (run_record(9 * S, "a", plant="u"),),
    "DRAIN": ((5 * S, "drains", ("i1", "10.1.1.1")), (9 * S, "arrived", ("i1", "s", "a"))),
    "BUDGET": tuple((9 * S, "arrived", ("i1", "s", "a")) for _ in range(40)),
    "LOST": (
        (8 * S, "term", ("p0",)),
        (9 * S, "arrived", ("i1", "s", "a")),
        answer_record(9 * S, "a", "closed"),
    ),
}  # fmt: skip


def broken_rules(*records: checks.Record, first: Iterable[checks.Record] = FIRST) -> set[str]:
    """Names of the rules that these records break, after the records of `first`."""
    history = checks.History(sorted([*UP, *first, *records], key=lambda one: one[0]), Limits(), NAMES, 30 * S)
    return {one.rule for one in checks.check_history(history) if one.count}


@pytest.mark.parametrize("rule", HISTORIES)
def test_each_rule_reports_its_violation(rule: str) -> None:
    assert rule in broken_rules(attempt_record(9 * S, "a"), *HISTORIES[rule])
    assert broken_rules(attempt_record(9 * S, "a"), run_record(9 * S, "a")) == set()


def test_key_runs_once_in_its_window_and_may_run_again_after_it() -> None:
    both = (
        attempt_record(6 * S, "a", "keyed", "k"),
        run_record(6 * S, "a", key="k"),
        attempt_record(9 * S, "b", "keyed", "k"),
    )
    assert broken_rules(*both, run_record(9 * S, "b", key="k")) == {"TWICE"}
    assert broken_rules(*both, run_record(70 * S, "b", key="k")) == set()


def test_stale_configuration_is_a_violation_only_on_machines_in_contact() -> None:
    read = (20 * S, "read", ((("r", 2, ("t",)),), 20 * S))
    stale = attempt_record(9 * S, "a"), run_record(9 * S, "a", plant="s"), read
    assert broken_rules(*stale, first=MOVED) == {"CONFIG"}
    assert (
        broken_rules(attempt_record(3 * S, "a"), run_record(3 * S, "a", plant="s"), read, first=MOVED)
        == set()
    )  # within the time allowed
    assert broken_rules((7 * S, "clock", ("p0",)), *stale, first=MOVED) == set()
    assert broken_rules((7 * S, "down", ("l0",)), *stale, first=MOVED) == set()
    back = (
        attempt_record(3 * S, "a"),
        run_record(3 * S, "a", plant="t"),
        attempt_record(3 * S + 300_000, "b"),
        read,
    )
    assert broken_rules(*back, run_record(3 * S + 300_000, "b"), first=MOVED) == {"CONFIG"}


def test_change_missing_when_read_back_is_reported_as_config_or_lost() -> None:
    gone = (20 * S, "read", ((("r", 1, ("s",)),), 20 * S))
    assert broken_rules(gone, first=MOVED) == {"CONFIG"}
    assert broken_rules((10 * S, "closing", ("power",)), gone, first=MOVED) == {"LOST"}


# --- search


def fault(at: float, kind: str, *on: str, lasts: float = 0.3) -> Fault:
    return Fault(at=Duration(int(at * S)), kind=kind, on=on, lasts=Duration(int(lasts * S)))  # type: ignore[arg-type]


def small_scenario(*faults: Fault, length: int = 5) -> MeshScenario:
    """calm.toml, `length` seconds long, with few requests that are always repeated, and these faults."""
    path = MESH / "calm.toml"
    sets = (f"length={length}s", "route.bid.rate=15.0", "route.bid.again=1.0")
    return msgspec.structs.replace(parse_scenario(path.read_text(), str(path), sets), fault=faults)


def test_search_finds_a_removed_guard_and_shrinks_the_schedule(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original = KeyedRequests._on_claim_result

    def accept_own_machine(self: KeyedRequests, operation: Any, result: Any) -> None:
        ours = isinstance(result, HeldBy) and result.owner == self._machine
        original(self, operation, CommandDone() if ours else result)

    monkeypatch.setattr(KeyedRequests, "_on_claim_result", accept_own_machine)
    scenario = small_scenario(
        fault(0.5, "stall", "tail", lasts=0.2), fault(1, "kill", "pilots"), fault(1.5, "clock", "l0")
    )
    worst, score = hunt.search(scenario, 3, 3)
    assert "TWICE" in score.rules
    smallest, runs = hunt.shrink(worst, 3, hunt.same_rules(["TWICE"]), most=12)
    assert runs <= 12 and len(smallest.fault) < len(worst.fault)
    assert "TWICE" in hunt.judge(smallest, 3)[0].rules
    assert {one.kind for one in smallest.fault} & {"kill", "power", "term", "replace", "reuse"}


def test_mutated_schedules_lose_no_more_disks_than_tolerated() -> None:
    assert within_tolerance(small_scenario(fault(1, "wipe", "l0"), fault(1.1, "kill", "core")))
    assert within_tolerance(small_scenario(fault(1, "wipe", "l0"), fault(7, "wipe", "l1"), length=9))
    assert not within_tolerance(small_scenario(fault(1, "wipe", "l0"), fault(2, "wipe", "l1")))
    assert not within_tolerance(small_scenario(fault(1, "wipe", "l0"), fault(2, "freeze", "l1", lasts=3)))
    assert not within_tolerance(small_scenario(fault(1, "wipe", "core")))
    scenario, rng, kinds = small_scenario(length=20), random.Random(1), set()
    for _ in range(300):
        scenario = mutated(scenario, rng)
        kinds |= {one.kind for one in scenario.fault}
        assert within_tolerance(scenario) and not validation_errors(scenario)
    assert kinds >= {"wipe", "cut", "freeze", "seeds", "full", "reuse"}
