"""The watch on the list of upstreams."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest
from peers import WATCH_HEAD, Bench, Module, Peer, chunk, reset, row, run, silent, watch_line

from brackengate import interface as api
from brackengate.net import discovery as discovery_module
from brackengate.net.discovery import Discovery, InvalidEndpointList, parse_endpoint_list

KNOWN = {"index": 41, "snapshot": True, "endpoints": [row("u0", 1), row("u1", 2, since_ms=5)]}


def watching(peer: Peer, on_request: bool = False) -> tuple[Bench, Module, Discovery]:
    module = Module(lambda event: [])
    bench = Bench(module)
    discovery = Discovery(bench.node, ("127.0.0.1", peer.port), on_request, random.Random(1))
    bench.node.watch = discovery
    return bench, module, discovery


async def requested_version(peer: Peer) -> int:
    """The version from which the next watch requests changes."""
    line = (await peer.got.get())[0]
    assert line.startswith("GET /v1/endpoints?watch=1&after=")
    return int(line.split("after=")[1].split(" ")[0])


def test_the_known_list_comes_first_then_changes_from_there() -> None:
    async def main() -> None:
        async def script(_: object, writer: asyncio.StreamWriter) -> None:
            lines = watch_line(42, row("u1", 2, status="draining")) + chunk(b"\n")
            lines += watch_line(43, row("u1", 0, status="gone", address=""), row("u2", 3))
            whole = WATCH_HEAD + lines + watch_line(44, row("u9", 9, status="odd"), snapshot=True)
            for start in range(0, len(whole), 37):  # split at arbitrary positions
                writer.write(whole[start : start + 37])
                await writer.drain()

        peer = await Peer(script).start()
        _, module, discovery = watching(peer)
        discovery.start(KNOWN)
        cached = await module.next(api.UpstreamList)
        assert (cached.kind, cached.version) == (api.ListKind.CACHED, 41)
        expected = api.Endpoint("u1", "a", "m", 3, api.Lifecycle.SERVING, 1.0, 5000)
        assert cached.endpoints[1] == expected
        assert await requested_version(peer) == 41
        states = []
        for _ in range(3):
            event = await module.next(api.UpstreamList)
            states.append((event.kind, event.version, [(e.upstream, e.state) for e in event.endpoints]))
        serving, draining, gone = api.Lifecycle.SERVING, api.Lifecycle.DRAINING, api.Lifecycle.GONE
        assert states == [
            (api.ListKind.CHANGES, 42, [("u1", draining)]),
            (api.ListKind.CHANGES, 43, [("u1", gone), ("u2", serving)]),
            (api.ListKind.FULL, 44, [("u9", draining)]),
        ]
        discovery.close()

    run(main())


INVALID_LINES = ("not json", "not a list")


@pytest.mark.parametrize(
    "end", ["close", "reset", "silent", "not http", "not json", "not a list", "503", "head", "chunked end"]
)
def test_a_watch_that_ends_is_restarted_from_the_last_version(
    end: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Whatever ends it, the process continues, the last list stays in force and no change is missed."""
    monkeypatch.setattr(discovery_module, "WATCH_SILENCE_TIMEOUT_S", 0.3)

    async def main() -> None:
        async def script(_: object, writer: asyncio.StreamWriter) -> None:
            if len(peer.requests) > 1:
                writer.write(WATCH_HEAD + watch_line(50, row("u5", 5)))
                return
            head = WATCH_HEAD + watch_line(42, row("u2", 3))
            rest = {
                "not http": b"zz\r\nzz",
                "not json": chunk(b"{]\n"),
                "not a list": chunk(b"[1]\n"),
                "chunked end": b"0\r\n\r\n",
            }
            if end == "503":
                writer.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
            elif end == "head":
                writer.write(b"HTTP/1.1 200 X\r\nX-Long: " + b"x" * 40_000)
            else:
                writer.write(head + rest.get(end, b""))
            await writer.drain()
            if end == "close":
                writer.close()
            elif end == "reset":
                reset(writer)

        peer = await Peer(script).start()
        bench, module, discovery = watching(peer)
        discovery.start(KNOWN)
        assert await requested_version(peer) == 41
        seen = await requested_version(peer)
        # The changes in an invalid line arrive with the complete list.
        assert seen in {"503": (41,), "head": (41,), "reset": (41, 42)}.get(
            end, (0,) if end in INVALID_LINES else (42,)
        )
        while (await module.next(api.UpstreamList)).version != 50:
            pass
        kinds = {event.kind for event in module.events if isinstance(event, api.UpstreamList)}
        assert kinds == {api.ListKind.CACHED, api.ListKind.CHANGES}
        assert bench.node.can_serve()
        discovery.close()

    run(main())


def test_with_lists_on_request_the_module_starts_the_watch_and_is_notified_of_its_end() -> None:
    async def main() -> None:
        async def script(_: object, writer: asyncio.StreamWriter) -> None:
            if len(peer.requests) == 2:
                writer.write(WATCH_HEAD + watch_line(42, row("u2", 3)))
                await writer.drain()
            writer.close()

        peer = await Peer(script).start()
        _, module, discovery = watching(peer, on_request=True)
        discovery.start(KNOWN)
        assert (await module.next(api.UpstreamList)).kind is api.ListKind.CACHED
        await asyncio.sleep(0)
        assert not peer.requests
        module.act = lambda event: [api.WatchList(True)] if isinstance(event, api.ClientGone) else []
        for kinds in (["BROKEN"], ["CHANGES", "BROKEN"]):
            module.seen.put_nowait(api.ClientGone(""))
            discovery.watch(True)
            for kind in kinds:
                assert (await module.next(api.UpstreamList)).kind is api.ListKind[kind]
        assert len(peer.requests) == 2

    run(main())


def test_the_modules_own_watch_action_reaches_discovery() -> None:
    async def main() -> None:
        peer = await Peer(silent).start()
        _, module, discovery = watching(peer, on_request=True)
        module.act = lambda event: [api.WatchList(True)]
        discovery.start(KNOWN)
        assert await requested_version(peer) == 41
        module.act = lambda event: [api.WatchList(False)]
        discovery.apply({"index": 42, "snapshot": False, "endpoints": []})
        await peer.closed.get()

    run(main())


@pytest.mark.parametrize(
    "message",
    [
        None,
        [],
        {},
        {"index": 1, "snapshot": True},
        {"index": "x", "snapshot": True, "endpoints": []},
        {"index": 1, "snapshot": True, "endpoints": 1},
    ],
)
def test_an_invalid_list_raises_an_error(message: Any) -> None:
    with pytest.raises(InvalidEndpointList):
        parse_endpoint_list(message)


@pytest.mark.parametrize(
    "bad",
    [
        row("bad", 1, address="nowhere"),
        row("bad", 1, address="h:99999"),
        row("bad", 1, weight="heavy"),
        row("bad", 1, weight=float("nan")),
        row("bad", 1, since_ms="soon"),
        {"name": "bad"},
    ],
)
def test_an_invalid_row_affects_no_other_and_its_upstream_gets_no_requests(bad: dict[str, Any]) -> None:
    """It would end each watch, as a new one receives it again; its upstream may be draining."""
    _, _, rows = parse_endpoint_list(
        {"index": 1, "snapshot": False, "endpoints": [1, None, bad, row("good", 1)]}
    )
    states = [(endpoint.upstream, endpoint.state) for endpoint, _ in rows]
    assert states == [("bad", api.Lifecycle.GONE), ("good", api.Lifecycle.SERVING)]
