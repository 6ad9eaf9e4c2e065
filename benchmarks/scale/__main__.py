"""The command line of the scale measurements."""

from __future__ import annotations

import argparse
import asyncio
import signal
import subprocess
import sys
from pathlib import Path

import msgspec

from benchmarks.scale import calls, report, units
from benchmarks.scale.measure import QUICK, Place, Spans, run
from benchmarks.scale.results import Results, Run
from benchmarks.scale.site import FIRST_PORT, Size
from brackengate.proxy.failure_detector import KEEPALIVE_TIMEOUT_US

MOST_S = 1_500.0  # the whole stops by itself after so long
RUN_S = 180.0  # and each run


def arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scale", description=__doc__)
    parser.add_argument("what", nargs="?", choices=("sizes", "calls", "units", "report"), default="sizes")
    parser.add_argument("--quick", action="store_true", help="some seconds: 12 proxies, short spans")
    parser.add_argument("--sizes", default="30,100,300,1000", help="numbers of proxies")
    parser.add_argument("--replicas", default="3", help="numbers of control replicas, 3 to 6")
    parser.add_argument("--tolerance", type=int, default=1, help="machines that may be lost")
    parser.add_argument("--repeats", type=int, default=2)
    parser.add_argument("--rest", type=float, default=Spans().rest_s, help="seconds at rest")
    parser.add_argument("--claims", type=float, default=Spans().claims_s, help="seconds of claims")
    parser.add_argument("--at-once", type=int, default=Spans().most_at_once, help="claims under way")
    parser.add_argument(
        "--late", type=float, default=KEEPALIVE_TIMEOUT_US / 1e3, help="ms until hollow ones suspect others"
    )
    parser.add_argument("--port", type=int, default=FIRST_PORT, help="the first of nine, on all addresses")
    parser.add_argument("--data", type=Path, help="folder for the replicas' disks")
    parser.add_argument("--out", type=Path, help="folder or name stem of results: .json, .txt, .png")
    return parser.parse_args()


def whole_numbers(text: str) -> list[int]:
    return [int(one) for one in text.split(",")]


def sizes(options: argparse.Namespace) -> list[Size]:
    return [
        Size(proxies, replicas, tolerance=options.tolerance, late_us=round(options.late * 1e3))
        for replicas in whole_numbers(options.replicas)
        for proxies in whole_numbers(options.sizes)
    ]


async def measure(options: argparse.Namespace) -> tuple[list[Run], list[str]]:
    """The runs, and why others did not come to their end."""
    place = Place(options.port, options.data)
    if options.quick:
        return [await run(Size(12, real_proxies=1), 0, QUICK, place, say)], []
    spans = Spans(rest_s=options.rest, claims_s=options.claims, most_at_once=options.at_once)
    runs: list[Run] = []
    failed: list[str] = []
    for repeat in range(options.repeats):
        for size in sizes(options):
            try:
                async with asyncio.timeout(RUN_S):
                    runs.append(await run(size, repeat, spans, place, say))
            except (OSError, RuntimeError) as error:  # TimeoutError is one
                name = f"{size.proxies} proxies, {size.replicas} replicas, run {repeat + 1}"
                failed.append(f"{name}: {error!r} (at most {RUN_S:.0f} s)")
                say(f"  failed: {error!r}")
    return runs, failed


def say(text: str) -> None:
    print(text, flush=True)


def results(runs: list[Run], failed: list[str]) -> Results:
    command = ["git", "describe", "--always", "--dirty"]
    commit = subprocess.run(command, capture_output=True, text=True).stdout.strip()
    cores = Path("/proc/cpuinfo").read_text()
    model = next((line.partition(": ")[2] for line in cores.splitlines() if "model name" in line), "unknown")
    machine = f"{cores.count('processor	:')} cores of {model}"
    return Results(
        commit, machine, " ".join(["python -m benchmarks.scale", *sys.argv[1:]]), tuple(runs), tuple(failed)
    )


async def main() -> None:
    options = arguments()
    whole = asyncio.current_task()
    assert whole is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, whole.cancel)  # nothing is left running
    if options.what == "calls":
        print(report.added_text(await calls.measure(options.quick, options.port)))
        return
    if options.what == "units":
        print(units.measure())
        return
    if options.what == "report":
        found: Results = msgspec.json.decode(options.out.with_suffix(".json").read_bytes(), type=Results)
    else:
        async with asyncio.timeout(MOST_S):
            found = results(*await measure(options))
    text = report.table(found)
    print(text)
    if options.out is not None:
        options.out.parent.mkdir(parents=True, exist_ok=True)
        options.out.with_suffix(".json").write_bytes(msgspec.json.format(msgspec.json.encode(found)))
        options.out.with_suffix(".txt").write_text(text)
        if not options.quick:  # one size has no line
            report.chart(found, options.out.with_suffix(".png"))


if __name__ == "__main__":
    asyncio.run(main())
