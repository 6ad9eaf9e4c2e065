"""What processes use, as the kernel tells: processor time, memory, bytes of connections, commits on disk."""

from __future__ import annotations

import os
import re
import subprocess
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec

from benchmarks.scale.slopes import percentile

SYNCS = 100
BYTES = re.compile(r"\b(bytes_sent|bytes_received|data_segs_out|data_segs_in):(\d+)")
OWNER = re.compile(r"pid=(\d+)")


def cpu_s(pid: int) -> float:
    """Processor seconds of all threads of a process so far."""
    tasks = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(task.read_text().split()[0]) for task in tasks) / 1e9


def waited_s(pid: int) -> float:
    """Seconds that its threads were ready to run and had no core: much of it, and times are the machine's."""
    tasks = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(task.read_text().split()[1]) for task in tasks) / 1e9


def memory_kb(pid: int, field: str = "VmHWM") -> int:
    """Resident memory: `VmHWM` at its peak, `VmRSS` now."""
    text = Path(f"/proc/{pid}/status").read_text()
    found = re.search(rf"{field}:\s+(\d+)", text)
    return int(found[1]) if found else 0


def commits(folder: Path) -> int:
    """Transactions that a replica's disk holds, as its own tally says.  Each is one sync of the write-ahead
    log; sqlite adds two at a checkpoint, which comes about once in a thousand pages."""
    for file in folder.glob("*.tally"):
        told: tuple[str, int] = msgspec.json.decode(file.read_bytes()[8:].rstrip(b"\0"), type=tuple[str, int])
        return told[1]
    return 0


def disk_bytes(folder: Path) -> int:
    return sum(file.stat().st_size for file in folder.glob("*"))


def sync_ms(folder: Path) -> tuple[float, float]:
    """The median and the 99th in 100 of syncs of a page each, one after the other."""
    took: list[float] = []
    with (folder / "sync").open("wb", buffering=0) as file:
        for _ in range(SYNCS):
            file.write(bytes(4096))
            begun = time.perf_counter()
            os.fdatasync(file.fileno())
            took.append((time.perf_counter() - begun) * 1e3)
    return percentile(took, 0.5), percentile(took, 0.99)


@dataclass(frozen=True, slots=True)
class Wire:
    """Of the open connections between two sets of addresses.  Segments with data stand for messages: each
    is sent at once (TCP_NODELAY), and those that wait together share one."""

    bytes_out: int = 0
    bytes_in: int = 0
    segments_out: int = 0
    segments_in: int = 0

    def __add__(self, other: Wire) -> Wire:
        return Wire(
            self.bytes_out + other.bytes_out,
            self.bytes_in + other.bytes_in,
            self.segments_out + other.segments_out,
            self.segments_in + other.segments_in,
        )

    def __sub__(self, other: Wire) -> Wire:
        return Wire(
            self.bytes_out - other.bytes_out,
            self.bytes_in - other.bytes_in,
            self.segments_out - other.segments_out,
            self.segments_in - other.segments_in,
        )


@dataclass(frozen=True, slots=True)
class Connection:
    """One end of a connection, and the process that has it; 0: not told."""

    local: str
    peer: str
    pid: int
    wire: Wire


def parse_connections(text: str) -> list[Connection]:
    """What `ss -tinpH` says: a line for each end, its state first, and an indented one with its counters."""
    found: list[Connection] = []
    end: tuple[str, str, int] | None = None
    for line in text.splitlines():
        if not line[:1].isspace():
            fields, owner = line.split(), OWNER.search(line)
            end = (fields[3], fields[4], int(owner[1]) if owner else 0) if len(fields) >= 5 else None
        elif end is not None:
            told = {name: int(count) for name, count in BYTES.findall(line)}
            wire = Wire(
                told.get("bytes_sent", 0),
                told.get("bytes_received", 0),
                told.get("data_segs_out", 0),
                told.get("data_segs_in", 0),
            )
            found.append(Connection(*end, wire))
            end = None
    return found


def connections(port: int) -> list[Connection]:
    """All ends of connections at this port; none where `ss` is not installed."""
    command = ["ss", "-tinpH", f"( sport = :{port} or dport = :{port} )"]
    try:
        return parse_connections(subprocess.run(command, capture_output=True, text=True, check=True).stdout)
    except FileNotFoundError:
        return []


Wires = dict[tuple[str, str], Wire]  # by the two ends of a connection


def of_replica(pid: int, replicas: set[int], ends: list[Connection]) -> tuple[Wires, Wires]:
    """Of one replica: what goes between it and the other replicas, and between it and all others.

    Who dials does not choose its address, so the process at the other end says who that is."""
    owners = {end.local: end.pid for end in ends}
    core: Wires = {}
    others: Wires = {}
    for end in ends:
        if end.pid == pid:
            kind = core if owners.get(end.peer) in replicas else others
            kind[end.local, end.peer] = end.wire
    return core, others


def since(old: Wires, new: Wires) -> Wire:
    """What went over the connections that are still open: what closed meanwhile is not known any more."""
    total = Wire()
    for ends, wire in new.items():
        total += wire - old.get(ends, Wire())
    return total
