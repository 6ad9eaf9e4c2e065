"""The laboratory's commands: cases replayed, outcomes as tables, charts and a page; real sockets beside."""

from __future__ import annotations

import json
from pathlib import Path

import msgspec
import pytest
import tomli_w
from click.testing import CliRunner
from test_emulator import MORE, fault, played, scenario

from brackengate.cli import main
from brackengate.emulator import calibrate, checks, experiment, hunt, page, sockets
from brackengate.emulator.report import Outcome, Summary
from brackengate.emulator.scenario import Balancers, Found, load
from brackengate.emulator.variants import MODULES
from brackengate.installation.units import Duration

ROOT = Path(__file__).parent.parent.parent
replace = msgspec.structs.replace


def lab(*words: object) -> tuple[int, str]:
    done = CliRunner().invoke(main, ["lab", *map(str, words)])
    assert "Traceback" not in done.output
    return done.exit_code, done.output


# --- cases


def test_a_case_is_replayed_and_told_as_broken_or_mended(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    told = scenario(tmp_path, fault("kill", part=0.2, lasts="1s"), length="6s")
    case = tmp_path / "case.toml"
    found = Found(seed=5, rules=("drains kept",), lost=0.25)
    case.write_text(tomli_w.dumps(hunt.plain(replace(told, found=found))))
    assert load(case).found == found
    code, text = lab("replay", case)
    assert code == 0 and "mended: drains kept" in text and "before 25.0%" in text
    code, text = lab("run", case)
    assert code == 0 and "seed 5" in text  # its own, where none is given
    monkeypatch.setattr(checks, "SLACK", -1_000_000_000)  # as if all came late
    code, text = lab("replay", case)
    assert code == 5 and "newly broken: one final answer" in text and " s: " in text


def test_a_search_keeps_each_kind_of_breach_shrunk(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    from brackengate import interface as api
    from brackengate.balancer import Balancer

    learn = Balancer._add_or_update

    def deaf(self: Balancer, row: api.Endpoint) -> None:
        if row.state is not api.Lifecycle.DRAINING:
            learn(self, row)

    monkeypatch.setattr(Balancer, "_add_or_update", deaf)
    told = scenario(
        tmp_path, fault("roll", "1s", part=0.5, step=0.5), length="8s", upstreams=4, balancers=2, rate=15.0
    )
    assert told.fault[0].kind == "roll"
    out, keep = tmp_path / "worst.toml", tmp_path / "cases"
    code, text = lab("search", tmp_path / "s.toml", "--runs", 4, "--out", out, "--keep", keep)
    assert code == 5 and "kept: " in text
    (case,) = keep.iterdir()
    assert "drains kept" in load(case).found.rules
    code, text = lab("replay", case)
    assert code == 5 and "still broken: drains kept" in text


def test_what_a_run_did_first_is_gone_on_from(tmp_path: Path) -> None:
    calm = scenario(tmp_path, length="4s", rate=20.0)
    rough = replace(scenario(tmp_path, fault("silent", "1s", part=1.0, lasts="2s"), length="4s", rate=20.0))
    score, first = hunt.judge(calm, 1)
    _, second = hunt.judge(rough, 1)
    assert score.rules == () and not hunt.features(calm, first)
    assert any(one.split()[1] in ("failed", "nothing", "refused") for one in hunt.features(rough, second))


# --- experiments


def test_outcomes_are_shown_as_table_lines_chart_and_page(tmp_path: Path) -> None:
    scenario(tmp_path, length="3s", upstreams=4, balancers=2, rate=30.0)
    path, out = tmp_path / "e.toml", tmp_path / "out"
    path.write_text(
        'scenario = "s.toml"\nseeds = 3\n[arm.few]\n"clients.rate" = "20.0"\n'
        '[arm.many]\n"clients.rate" = "200.0"\n'
    )
    assert lab("experiment", path, "--out", out, "--jobs", 3)[0] == 0
    code, text = lab("table", path, "--out", out)
    assert code == 0 and all(outcome in text for outcome in experiment.OUTCOMES)
    code, text = lab("table", path, "--out", out, "--csv")
    lines = text.splitlines()
    assert lines[0].split(",")[:3] == ["arm", "seed", "worth"] and len(lines) == 1 + 6
    for name in ("c.svg", "c.png"):
        assert lab("chart", path, "--out", out, "--to", tmp_path / name, "--outcome", "refused")[0] == 0
        assert (tmp_path / name).stat().st_size > 2000
    html = tmp_path / "r.html"
    assert lab("report", path, "--out", out, "--to", html)[0] == 0
    text = html.read_text()
    assert text.count("<h2>") == len(experiment.OUTCOMES) and "<svg" in text and "many" in text
    told, runs = experiment.load(path)
    (words,) = page.verdict(told, list(experiment.compare(told, runs, out)), "worth")
    assert words.startswith("many: no difference to few shown") or words.startswith("many: worse than few by")
    code, text = lab("chart", path, "--out", out, "--to", tmp_path / "c.pdf")
    assert code == 2 and ".svg, .png" in text
    code, text = lab("chart", path, "--out", out, "--to", html.with_suffix(".svg"), "--outcome", "speed")
    assert code == 2 and "allowed: worth, in_aim" in text


@pytest.mark.parametrize("module", [name for name in MODULES if name != "brain"])
def test_every_variant_keeps_the_rules(tmp_path: Path, module: str) -> None:
    told = scenario(tmp_path, *MORE)
    _, found = played(replace(told, balancers=replace(told.balancers, module=module)))
    assert [words for one in found.values() for words in one.words] == []


# --- what keeps itself alive


@pytest.mark.parametrize(("backoff", "ends"), [("0s", False), ("1s", True)])
def test_a_retry_storm_outlives_its_cause_unless_clients_wait(backoff: str, ends: bool) -> None:
    """Slow for four seconds; eight seconds later upstreams that first tries would half fill serve nothing."""
    from brackengate.emulator.play import play
    from brackengate.emulator.scenario import changed

    path = ROOT / "examples" / "lab" / "storm.toml"
    sets = ("length=20s", "clients.rate=30.0", "upstreams.count=4", "balancers.count=2")
    made = play(changed(path.read_text(), str(path), (*sets, f"clients.backoff={backoff}")), 1)
    assert made.rules == ()
    assert made.tail > 0.95 if ends else made.tail < 0.05
    calm = play(changed(path.read_text(), str(path), (*sets, "fault.0.times=1.0", "clients.backoff=0s")), 1)
    assert calm.tail > 0.99  # without the cause nothing begins


# --- on sockets


def test_the_same_scenario_is_played_by_processes_and_stand_ins(tmp_path: Path) -> None:
    told = scenario(
        tmp_path,
        fault("kill", "500ms", part=0.2, lasts="1s"),
        fault("roll", "1s", on="balancers", part=0.5, step=0.5),
        fault("slow", "1500ms", part=0.2, times=2.0, lasts="500ms"),
        fault("flood", "2s", times=2.0, lasts="500ms"),
        length="3s",
        upstreams=4,
        balancers=2,
        rate=20.0,
    )
    summary, twice = sockets.play(told, 1)
    assert twice == [] and len(summary.faults) == 4
    assert sum(one.items for one in summary.classes.values()) == summary.items > 20
    assert (
        sum(one.ends["in aim"] + one.ends["late"] for one in summary.classes.values()) > 0.5 * summary.items
    )


def test_what_cannot_be_had_on_sockets_is_told_with_what_can(tmp_path: Path) -> None:
    told = scenario(tmp_path, fault("loss", lasts="1s"), fault("late", "4s", lasts="1s"), rate=1000.0)
    told = replace(told, balancers=Balancers(count=200))
    with pytest.raises(sockets.CannotPlay) as caught:
        sockets.check(told)
    for words in (
        "fault[0].kind: loss",
        "fault[1].kind: late",
        "allowed: kill, zone",
        "200 is too many",
        "rate",
    ):
        assert words in str(caught.value)
    for command in (("calibrate",), ("run", "--sockets")):
        code, text = lab(*command, tmp_path / "s.toml")
        assert code == 2 and "cannot be played on sockets" in text


def test_how_far_apart_two_sides_are_is_told_from_chance() -> None:
    def side(in_aim: int, failed: int) -> Summary:
        one = Outcome(took=[1000 * n for n in range(100)])
        one.ends.update({"in aim": in_aim, "failed": failed})
        return Summary({"c": one})

    rows = {row.end: row for row in calibrate.compare([side(480, 20)] * 2, [side(485, 15), side(479, 21)])}
    assert rows["in aim"].emulated == pytest.approx(0.96) and rows["in aim"].real == pytest.approx(0.964)
    assert not any(row.told_apart for row in rows.values())
    rows = {row.end: row for row in calibrate.compare([side(480, 20)], [side(420, 80)])}
    assert rows["failed"].difference == pytest.approx(0.12) and rows["failed"].told_apart
    assert not rows["nothing"].told_apart and rows["nothing"].noise > 0  # none and none
    assert list(calibrate.times([side(1, 0)], [side(1, 0)], 0.5)) == [("c", 50.0, 50.0)]


def test_figures_as_json_have_the_items_that_ran_again(tmp_path: Path) -> None:
    scenario(tmp_path, fault("kill", on="balancers", part=1.0, lasts="1s"), length="8s")
    code, text = lab("run", tmp_path / "s.toml", "--json", "--set", "clients.backoff=1ms")
    told = json.loads(text)
    assert code == 0 and told["broken"] == {} and told["double"] >= 0
    code, text = lab("run", tmp_path / "s.toml", "--set", "clients.backof=1ms")
    assert code == 2 and "did you mean 'backoff'?" in text


def test_durations_and_sizes_are_written_as_they_are_read(tmp_path: Path) -> None:
    told = scenario(tmp_path, length="4s")
    told = replace(told, balancers=replace(told.balancers, start=Duration(250_000)))
    path = tmp_path / "again.toml"
    path.write_text(tomli_w.dumps(hunt.plain(told)))
    assert load(path) == told
