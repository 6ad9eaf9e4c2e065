"""Results as text and as a chart."""

from __future__ import annotations

from pathlib import Path

from benchmarks.scale.calls import Added
from benchmarks.scale.measures import MEASURES, claim_cost, claims_each_commit, middle, slopes
from benchmarks.scale.results import Claims, Results, RoleLoad, Run
from benchmarks.scale.slopes import Target

CHARTED = (
    "replica, processor at rest",
    "replica, processor for one change",
    "replica, messages out at rest",
    "a change, from there to the last proxy",
    "all start anew, until the last knows all",
    "a death, until the last proxy suspects it",
)
LOAD_COLUMNS = (
    "role     followers    cpu %  peak MB | followers: msg out     in    B out     B in |"
    " replicas: msg out     in    B out     B in | commits  waited %"
)


def table(results: Results) -> str:
    lines = [f"commit {results.commit}; {results.machine}", results.command, ""]
    for run in results.runs:
        lines += [*run_lines(run), ""]
    lines += [f"FAILED: {one}" for one in results.failed]
    lines += slope_lines(results)
    return "\n".join([*lines, ""])


def run_lines(run: Run) -> list[str]:
    news, suspicion = run.news, run.suspicion
    return [
        f"== {run.proxies} proxies ({run.real_proxies} real), {run.replicas} replicas, run {run.repeat + 1}"
        f"{'' if run.calm else ' (NOT CALM: in no line)'};"
        f" load average before it {run.load_average:.1f}; {run.seconds:.0f} s;"
        f" late after {run.late_ms:.0f} ms; epoch {run.epoch};"
        f" a sync {run.sync_ms[0]:.2f} ms (99 in 100: {run.sync_ms[1]:.1f})",
        f"at rest (longest stall of a hollow process {run.rest.longest_stall_ms:.0f} ms,"
        f" {run.rest.suspected} suspected); datagrams in {run.rest.datagrams_in:.1f}/s each",
        LOAD_COLUMNS,
        *map(load_line, run.rest.roles),
        f"a change: acknowledged after {middle(news.acknowledged_ms):.1f} ms (most"
        f" {max(news.acknowledged_ms):.1f}), from there on the last proxy {middle(news.last_proxy_ms):.1f} ms"
        f" (most {max(news.last_proxy_ms):.1f})",
        claims_line("claims, one at a time", run.single_claims),
        claims_line("claims, most", run.most_claims),
        "  processor for a claim, us: "
        + ", ".join(f"{name} {claim_cost(run, name):.0f}" for name in ("head", "middle", "tail"))
        + f"; {claims_each_commit(run.most_claims):.1f} claims a commit",
        f"a death is known to the first after {middle(suspicion.first_ms):.0f} ms, to the last after"
        f" {max(suspicion.last_ms):.0f} ms; late: {suspicion.late}",
        f"first start, spread: replicas' processor {sum(run.start.replicas_cpu_s):.2f} s;"
        f" late: {run.start.late}",
        f"all at once anew: the last knows all after {run.restart.last_ms:.0f} ms, late: {run.restart.late},"
        f" {run.restart.bytes_each:.0f} bytes each, replicas' processor"
        f" {sum(run.restart.replicas_cpu_s):.2f} s, longest stall {run.restart.longest_stall_ms:.0f} ms",
    ]


def load_line(load: RoleLoad) -> str:
    return (
        f"{load.role:8} {load.followers:9} {load.cpu * 100:8.2f} {load.peak_mb:8.1f} |"
        f" {load.messages_out:18.1f} {load.messages_in:6.1f} {load.bytes_out:8.0f} {load.bytes_in:8.0f} |"
        f" {load.core_messages_out:17.1f} {load.core_messages_in:6.1f} {load.core_bytes_out:8.0f}"
        f" {load.core_bytes_in:8.0f} | {load.commits:7.1f} {load.waited * 100:9.1f}"
    )


def claims_line(name: str, claims: Claims) -> str:
    return (
        f"{name}: {claims.at_once} at once, {claims.per_s:.0f}/s, p50 {claims.p50_ms:.1f} ms,"
        f" p99 {claims.p99_ms:.1f} ms; refused {claims.refused}, unanswered"
        f" {claims.unanswered}; {claims.live_keys} keys held, disk {claims.disk_mb:.1f} MB, head's memory"
        f" {claims.memory_mb:.0f} MB"
    )


def slope_lines(results: Results) -> list[str]:
    lines = [f"{'':42} {'unit':12} {'along':10} {'base':>10} {'slope':>10} {'off':>6} {'at target':>10}"]
    for one in slopes(results.runs, Target()):
        measure, line = one.measure, one.line
        lines.append(
            f"{measure.name:42} {measure.unit:12} {measure.size:10} {line.base:10.3f} {line.slope:10.4f}"
            f" {line.off * 100:5.0f}% {one.at_target:10.2f}"
        )
    return lines if len(lines) > 1 else []


def chart(results: Results, path: Path) -> None:
    """A panel for each of the charted measures: every run's points, their line, and the target's size."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    found = {one.measure.name: one for one in slopes(results.runs, Target())}
    figure, panels = pyplot.subplots(2, 3, figsize=(13, 7.5), layout="constrained")
    for panel, name in zip(panels.flat, CHARTED, strict=True):
        measure = next(one for one in MEASURES if one.name == name)
        points = [point for run in results.runs if run.calm for point in measure.points(run)]
        panel.plot([x for x, _ in points], [y for _, y in points], "o", color="tab:blue", markersize=4)
        if name in found:
            line, target = found[name].line, measure.target(Target())
            ends = [0.0, max(target, *(x for x, _ in points))]
            panel.plot(ends, [line.at(x) for x in ends], "-", color="tab:gray", linewidth=1)
            panel.axvline(target, color="tab:red", linestyle=":", linewidth=1)
        panel.set(title=name, xlabel=measure.size, ylabel=measure.unit, xlim=(0, None), ylim=(0, None))
    figure.suptitle(
        "Each point one calm run, or a replica of one; the line fitted; dotted: the target's size",
        fontsize=10,
    )
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def added_text(found: tuple[Added, ...]) -> str:
    """A line for each measurement of calls."""
    return "\n".join(map(added_line, found))


def added_line(one: Added) -> str:
    load = f"{one.rate:.0f} a second" if one.rate else f"{one.at_once} at once"
    return (
        f"{load}: {one.calls} calls, {one.per_s:.0f}/s; directly p50 {one.direct_p50:.2f}, p99"
        f" {one.direct_p99:.2f} ms; through both proxies p50 {one.both_p50:.2f}, p99 {one.both_p99:.2f} ms;"
        f" added p50 {one.both_p50 - one.direct_p50:.2f}, p99 {one.both_p99 - one.direct_p99:.2f} ms;"
        f" processor for a call {one.out_cpu_ms:.3f} ms out + {one.in_cpu_ms:.3f} ms in"
    )
