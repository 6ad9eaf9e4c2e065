"""What it costs a replica to catch up, by the size of the state, on loopback with real processes and disks.

    python -m benchmarks.snapshots                          # 1,000 to 1,000,000 rows
    python -m benchmarks.snapshots --rows 1000 10000
    python -m benchmarks.snapshots --tree ../elsewhere      # the program of another checkout
    python -m benchmarks.snapshots --restarts               # 1,000 orders while each member is killed in turn

Three members start with so many keys on their disks, and claims go on at one of them; then a fourth replica
starts with an empty disk.  Told of each size: the seconds that a member's start takes, the memory that it has
then, the seconds until the new one is a member with all that it owes, the bytes that it was sent, the longest
stop of a loop, by the clock and (busy) by the loop's own processor time, and the highest memory at the new
one and at the members meanwhile, and the longest that a claim took.  "never": not within the limit.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import select
import shutil
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

SIZES = (1_000, 10_000, 100_000, 300_000, 1_000_000)
ADDRESSES = [f"127.20.0.{n}" for n in range(1, 5)]
CONTROL, INTERNAL = 18_900, 18_910
PROBE_S = 0.002
CLAIM_S = 0.02
AT_ONCE = 20_000
ORDERS, ORDER_S, KILL_S = 1_000, 1.0, 6.0
ANSWER_S = 30.0  # a process that tells nothing for so long is said to stand still for so long
SILENT = {
    "in": False,
    "stop": ANSWER_S,
    "busy": 0,
    "claim": ANSWER_S,
    "bytes": 0,
    "memory": 0,
    "peak": 0,
    "started": 0,
}
SETTINGS = """
Ip = "{ip}"
Zone = "z"
InternalPorts = [{internal}, {internal}]
Seeds = {seeds}
InitialStart = {first}
DataDir = "{folder}"
[Listen]
Control = "{ip}:{control}"
[Tolerance]
Machines = 1
[Bounds]
DedupeWindow = "1h"
"""


# --- in the child: a replica, looked at


def memory(name: str) -> float:
    """In MiB, by the kernel's count."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1]) / 1024
    return 0.0


class Probe:
    """The longest that the loop stood still, and the longest claim, since they were last told."""

    def __init__(self, lighthouse: Any, claims: bool) -> None:
        self.lighthouse, self.loop = lighthouse, asyncio.get_running_loop()
        self.longest = self.busiest = self.claim = 0.0
        self.bytes = self.claims = 0
        self._due, self._used = self.loop.time() + PROBE_S, time.thread_time()
        self._look()
        if claims:
            self._claim()

    def _look(self) -> None:
        used = time.thread_time()
        self.longest = max(self.longest, self.loop.time() - self._due)
        self.busiest = max(self.busiest, used - self._used)
        self._due, self._used = self.loop.time() + PROBE_S, used
        self.loop.call_later(PROBE_S, self._look)

    def _claim(self) -> None:
        from brackengate.protocol.messages import Claim

        self.claims += 1
        begun = self.loop.time()

        def done(result: Any) -> None:
            self.claim = max(self.claim, self.loop.time() - begun)

        self.lighthouse.submit(Claim(f"claim {self.claims}", "gate", "1"), done)
        self.loop.call_later(CLAIM_S, self._claim)

    def report(self) -> dict[str, Any]:
        chain = self.lighthouse.replica.chain
        told = {
            "in": chain.has_snapshot and chain.caught_up_epoch == chain.view.epoch,
            "members": len(chain.view.members),
            "stop": self.longest,
            "busy": self.busiest,
            "claim": self.claim,
            "bytes": self.bytes,
            "memory": memory("VmRSS"),
            "peak": memory("VmHWM"),
        }
        self.longest = self.busiest = self.claim = 0.0
        state = getattr(chain, "state", None)
        return told if state is None else {**told, "sum": [state.rows.count, state.rows.checksum]}


async def child(path: str, claims: bool) -> None:
    from brackengate.control.role import ControlReplica
    from brackengate.protocol.json_connection import JsonConnection
    from brackengate.protocol.settings import load

    begun = time.perf_counter()
    lighthouse = ControlReplica(load(path))
    running = asyncio.create_task(lighthouse.run())
    while not hasattr(lighthouse, "replica"):
        await asyncio.sleep(0.005)
        if running.done():
            running.result()
    started = time.perf_counter() - begun
    probe = Probe(lighthouse, claims)
    real = JsonConnection.data_received

    def counted(self: JsonConnection, data: bytes) -> None:
        probe.bytes += len(data)
        real(self, data)

    JsonConnection.data_received = counted  # type: ignore[method-assign]
    lines = asyncio.StreamReader()
    await probe.loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    while await lines.readline():
        print(json.dumps({"started": started, **probe.report()}), flush=True)


async def operator() -> None:
    """One order after the other, each sent to the next member after a second without an answer."""
    from brackengate.protocol.json_connection import Dialer
    from brackengate.protocol.messages import Amend, CommandDone, Inquiry, Message, Result

    loop = asyncio.get_running_loop()
    waits: dict[int, asyncio.Future[Any]] = {}

    def heard(word: Message) -> None:
        if isinstance(word, Result) and word.id in waits and not waits[word.id].done():
            waits[word.id].set_result(word.result)

    links = [Dialer((ip, INTERNAL), heard, lambda dialer: None) for ip in ADDRESSES[:3]]
    taken, sent, longest, done = 0, 0, 0.0, CommandDone()
    for version in range(1, ORDERS + 1):
        body = json.dumps({"Apply": {"Plants": [{"Name": f"p{version % 50}", "Revision": f"r{version}"}]}})
        begun, result = loop.time(), None
        while result != done:
            sent += 1
            waits[sent] = loop.create_future()
            links[sent % 3].send(Inquiry(sent, Amend(body)))
            result = (await asyncio.wait([waits[sent]], timeout=ORDER_S)) and (
                waits[sent].result() if waits[sent].done() else None
            )
            if result != done:
                await asyncio.sleep(0.02)
        taken, longest = taken + 1, max(longest, loop.time() - begun)
        await asyncio.sleep(0.02)
    print(json.dumps({"taken": taken, "sent": sent, "longest": longest}), flush=True)


# --- in the parent


@dataclass
class Told:
    """One row of the table."""

    rows: int
    start_s: float
    start_memory: float
    took_s: float | None
    megabytes: float
    stop_ms: float
    busy_ms: float
    members_stop_ms: float
    members_busy_ms: float
    memory: float
    members_memory: float
    claim_ms: float


class Process:
    def __init__(self, tree: Path, folder: Path, n: int, first: bool, claims: bool = False) -> None:
        ip = ADDRESSES[n]
        seeds = json.dumps([f"{one}:{CONTROL}" for one in ADDRESSES[:3]])
        path = folder / f"{n}.toml"
        path.write_text(
            SETTINGS.format(
                ip=ip, internal=INTERNAL, control=CONTROL, seeds=seeds, folder=folder / str(n),
                first="true" if first else "false",
            )
        )  # fmt: skip
        argv = [sys.executable, str(Path(__file__).resolve()), "--child", str(path)]
        self._process = subprocess.Popen(
            [*argv, "--claims"] if claims else argv,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=(folder / f"{n}.log").open("w"),
            env={**os.environ, "PYTHONPATH": str(tree)},
            cwd=folder,
            text=True,
        )

    def report(self) -> dict[str, Any]:
        assert self._process.stdin is not None and self._process.stdout is not None
        self._process.stdin.write("\n")
        self._process.stdin.flush()
        if not select.select([self._process.stdout], [], [], ANSWER_S)[0]:
            return SILENT
        told: dict[str, Any] = json.loads(self._process.stdout.readline())
        return told

    def end(self) -> None:
        self._process.kill()
        self._process.communicate()


def fill(folder: str, rows: int) -> None:
    """A member's disk of the first view, with so many keys; by the program that is being measured."""
    from brackengate.control.actions import Store
    from brackengate.control.store import open_disk
    from brackengate.protocol.messages import Member, View

    rng = random.Random(rows)
    view = View(1, tuple(Member(f"{ip}:{CONTROL}", "first", 1) for ip in ADDRESSES[:3]))
    disk, _ = open_disk(folder, first=True)
    disk.write([Store({"view": view, "lineage": 1, "place": rows, "base": rows})])
    for begin in range(0, rows, AT_ONCE):
        held = [
            (
                n + 1,
                ("key", f"{rng.getrandbits(128):032x}", ["127.1.2.3:18304", f"{rng.getrandbits(64):016x}"]),
            )
            for n in range(begin, min(rows, begin + AT_ONCE))
        ]
        disk.write([Store({}, held)])  # type: ignore[arg-type]
    disk.close()


def measure(tree: Path, rows: int, limit: float) -> Told:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        command = [sys.executable, str(Path(__file__).resolve()), "--fill", str(folder / "0"), str(rows)]
        subprocess.run(command, check=True, env={**os.environ, "PYTHONPATH": str(tree)})
        for n in (1, 2):
            shutil.copytree(folder / "0", folder / str(n))
        members = [Process(tree, folder, n, True, claims=n == 0) for n in range(3)]
        try:
            for member in members:
                first = member.report()
            time.sleep(1.5)
            settled = [member.report() for member in members]
            learner = Process(tree, folder, 3, False)
            members.append(learner)
            return _watched(rows, first, settled, members, limit)
        finally:
            for member in members:
                member.end()


class Highest:
    """Of what several reports told, the most."""

    def __init__(self) -> None:
        self.told: dict[str, float] = {}

    def see(self, report: dict[str, Any]) -> None:
        for name in ("stop", "busy", "claim", "bytes", "peak"):
            self.told[name] = max(self.told.get(name, 0), report[name])


def _watched(
    rows: int, first: dict[str, Any], settled: list[dict[str, Any]], members: list[Process], limit: float
) -> Told:
    new, old, took = Highest(), Highest(), None
    begun = time.perf_counter()
    while took is None and time.perf_counter() - begun < limit:
        told = members[-1].report()
        if told["in"]:
            took = time.perf_counter() - begun
            time.sleep(1)
        new.see(told)
        for member in members[:-1]:
            old.see(member.report())
        time.sleep(0.02)
    new.see(members[-1].report())
    return Told(
        rows,
        first["started"],
        settled[-1]["memory"],
        took,
        new.told["bytes"] / 1e6,
        new.told["stop"] * 1e3,
        new.told["busy"] * 1e3,
        old.told["stop"] * 1e3,
        old.told["busy"] * 1e3,
        new.told["peak"],
        old.told["peak"],
        old.told["claim"] * 1e3,
    )


def restarts(tree: Path, rows: int) -> None:
    """Orders and claims while each member is killed and started in turn; then all must hold the same."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        script, env = str(Path(__file__).resolve()), {**os.environ, "PYTHONPATH": str(tree)}
        subprocess.run([sys.executable, script, "--fill", str(folder / "0"), str(rows)], check=True, env=env)
        for n in (1, 2):
            shutil.copytree(folder / "0", folder / str(n))
        members = [Process(tree, folder, n, True, claims=n == 0) for n in range(3)]
        try:
            for member in members:
                member.report()
            orders = subprocess.Popen([sys.executable, script, "--operator"], stdout=subprocess.PIPE, env=env)
            while orders.poll() is None:
                for n in range(3):
                    time.sleep(KILL_S)
                    if orders.poll() is None:
                        members[n].end()
                        members[n] = Process(tree, folder, n, True, claims=n == 0)
                        print(f"member {n}: {_back(members[n])}", flush=True)
            assert orders.stdout is not None
            print(f"orders: {orders.stdout.read().decode().strip()}")
            time.sleep(5)
            print(f"rows and sums: {[member.report().get('sum') for member in members]}")
        finally:
            for member in members:
                member.end()


def _back(member: Process) -> str:
    """From its start until it is a member with all that it owes."""
    begun, seen = time.perf_counter(), Highest()
    while True:
        told = member.report()
        seen.see(told)
        if told["in"] or time.perf_counter() - begun > 60:
            took = time.perf_counter() - begun
            busy, sent = seen.told["busy"] * 1e3, seen.told["bytes"] / 1e6
            return f"in again: {told['in']}, after {took:.1f} s, {sent:.2f} MB, busy for {busy:.0f} ms"
        time.sleep(0.02)


HEAD = (
    "      rows | start s  MiB | caught up s  MB sent | longest stop ms: new, members |"
    " highest MiB: new, members | longest claim ms"
)


def line(told: Told) -> str:
    took = "never" if told.took_s is None else f"{told.took_s:.2f}"
    return (
        f"{told.rows:>10,} | {told.start_s:7.2f} {told.start_memory:4.0f} |"
        f" {took:>11} {told.megabytes:8.1f} |"
        f" {told.stop_ms:18.0f} ({told.busy_ms:.0f})"
        f" {told.members_stop_ms:6.0f} ({told.members_busy_ms:.0f}) |"
        f" {told.memory:16.0f} {told.members_memory:8.0f} | {told.claim_ms:16.0f}"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--rows", type=int, nargs="+", default=SIZES)
    parser.add_argument("--tree", type=Path, default=Path(__file__).resolve().parent.parent)
    parser.add_argument("--limit", type=float, default=120.0, help="seconds that a copy may take")
    parser.add_argument("--child", help=argparse.SUPPRESS)
    parser.add_argument("--claims", action="store_true", help=argparse.SUPPRESS)
    parser.add_argument("--restarts", action="store_true", help="200,000 keys")
    parser.add_argument("--operator", action="store_true", help=argparse.SUPPRESS)
    parser.add_argument("--fill", nargs=2, help=argparse.SUPPRESS)
    told = parser.parse_args()
    if told.child:
        asyncio.run(child(told.child, told.claims))
    elif told.operator:
        asyncio.run(operator())
    elif told.restarts:
        restarts(told.tree.resolve(), 200_000)
    elif told.fill:
        fill(told.fill[0], int(told.fill[1]))
    else:
        print(HEAD, flush=True)
        for rows in told.rows:
            print(line(measure(told.tree.resolve(), rows, told.limit)), flush=True)


if __name__ == "__main__":
    main()
