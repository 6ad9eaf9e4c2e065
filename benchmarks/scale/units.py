"""Processor time and bytes of single steps by size, in one process: whatever else the machine does.

For the sizes at which a whole deployment does not fit on one machine.  Processor time is the process's own.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable

import msgspec

from benchmarks.scale.orders import CHANGED_ROUTE, HOST
from benchmarks.scale.site import Size, first_configuration, proxy_ip, route, zone
from brackengate.control.config_changes import History, decide
from brackengate.control.item_index import ItemIndex
from brackengate.control.recent import RecentEntries
from brackengate.control.rows import CommittedRows
from brackengate.control.transfer import NOTHING, next_piece
from brackengate.protocol.config_items import parse_change
from brackengate.protocol.messages import (
    Changes,
    Message,
    Row,
    SnapshotPiece,
    SnapshotRequest,
    UpstreamReport,
)
from brackengate.proxy.failure_detector import FailureDetector, watchers_of
from brackengate.proxy.routing_table import RoutingTable
from brackengate.proxy.snapshot_receiver import SnapshotReceiver

SIZES = (100, 300, 970)
KEYS = (10_000, 100_000)
BEST_OF = 3


class Units(msgspec.Struct, frozen=True):
    """Of one size; milliseconds of processor time where nothing else is said."""

    proxies: int
    rows: int
    copy_bytes: int
    copy_sent: float  # by a replica to one follower
    copy_taken: float  # by that follower, until its table has it
    change_bytes: int
    change_taken: float  # by one follower: one upstream, with its failure detector
    order_checked: float  # by the head: one route
    watchers_ranked: float  # once for a changed list


def public_rows(size: Size) -> list[Row]:
    items = parse_change(first_configuration(size))
    rows: list[Row] = [(kind, name, msgspec.to_builtins(item)) for (kind, name), item in items]
    return rows + [("inst", proxy_ip(n), upstream(size, n)) for n in range(size.proxies)]


def upstream(size: Size, number: int) -> dict[str, object]:
    ip = proxy_ip(number)
    row = UpstreamReport(f"i-{ip}", f"s{number % size.services}", zone(number), "ready", 6, 0, "0" * 16)
    found: dict[str, object] = msgspec.to_builtins(row)
    return found


def cpu_ms(step: Callable[[], object], times: int) -> float:
    """Of one time; the best of several rounds."""
    best = float("inf")
    for _ in range(BEST_OF):
        begun = time.process_time()
        for _ in range(times):
            step()
        best = min(best, time.process_time() - begun)
    return best / times * 1e3


def pieces(rows: CommittedRows, recent: RecentEntries) -> list[bytes]:
    """A whole copy, as it goes over the wire."""
    position, sent = NOTHING, list[bytes]()
    while True:
        piece = next_piece(rows, recent, 1, SnapshotRequest(1, position))
        assert piece is not None
        sent.append(msgspec.json.encode(piece))
        if piece.total is not None:
            return sent
        position = piece.position


def take(sent: list[bytes]) -> RoutingTable:
    receiver, table = SnapshotReceiver(), RoutingTable()
    for data in sent:
        piece: Message = msgspec.json.decode(data, type=Message)
        assert isinstance(piece, SnapshotPiece)
        if receiver.receive(receiver.position, piece):
            table.apply_snapshot(*receiver.take_complete())
    return table


def units(proxies: int) -> Units:
    size = Size(proxies)
    held, recent = public_rows(size), RecentEntries(1, 1)
    recent.begin(1)
    rows = CommittedRows.of((kind, name, 1, value) for kind, name, value in held)
    sent = pieces(rows, recent)
    table, ip = take(sent), proxy_ip(0)
    detector, change = (
        FailureDetector(ip, 0),
        msgspec.json.encode(Changes(2, (("inst", ip, upstream(size, 0)),))),
    )
    changes = iter(range(2, 10_000_000))

    def take_change() -> None:
        word: Message = msgspec.json.decode(change, type=Message)
        assert isinstance(word, Changes)
        table.apply_changes(next(changes), word.rows)
        detector.update(table.proxy_machines(), (), 0)

    hosts = [{"Host": HOST, "Paths": [route(CHANGED_ROUTE, "s0", 2)]}]
    order = json.dumps({"Apply": {"Hosts": hosts}}).encode()
    items = ItemIndex.of(parse_change(first_configuration(size)))
    machines = table.proxy_machines()
    return Units(
        proxies=proxies,
        rows=len(held),
        copy_bytes=sum(map(len, sent)),
        copy_sent=cpu_ms(lambda: pieces(rows, recent), 5),
        copy_taken=cpu_ms(lambda: take(sent), 5),
        change_bytes=len(change),
        change_taken=cpu_ms(take_change, 200),
        order_checked=cpu_ms(lambda: decide(parse_change(order), items, lambda _: History()), 10),
        watchers_ranked=cpu_ms(lambda: watchers_of(ip, machines), 20),
    )


def key_bytes(count: int) -> float:
    """What one key of so many takes in a replica's rows, beside the objects that hold them."""
    rows = CommittedRows.of(("key", f"{n:032x}", n, [proxy_ip(n % 970), f"{n:016x}"]) for n in range(count))
    return sum(map(len, rows.buckets.values())) / count


def measure() -> str:
    lines = ["   ".join(f"{name:>15}" for name in Units.__struct_fields__)]
    for proxies in SIZES:
        found = msgspec.structs.astuple(units(proxies))
        lines.append(
            "   ".join(f"{value:15.3f}" if isinstance(value, float) else f"{value:15}" for value in found)
        )
    lines += [f"a key of {count}: {key_bytes(count):.1f} bytes" for count in KEYS]
    return "\n".join(lines)
