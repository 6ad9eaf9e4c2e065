"""Explores all histories of a connection up to a depth on the state machines and checks their invariants.

Equal states are explored once, so the depth counts different situations, not repetitions.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import pytest

from brackengate.http import caller, upstream
from brackengate.http.body import MAX_UNSTREAMED_BYTES, Body, ByteBudget
from brackengate.http.connection_states import (
    CALLER_STATES,
    UPSTREAM_STATES,
    CallerState,
    CallerTransition,
    UpstreamState,
    UpstreamTransition,
    next_state,
)
from brackengate.http.message import IncomingRequest, InvalidTransition, RequestError

GET = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
PIECES = {
    "get": GET,
    "get close": GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"),
    "half a head": GET[:12],
    "the other half": GET[12:],
    "bad": b"GET /a HTTP/2.0\r\nHost: a\r\n\r\n",
    "short body": POST % 4,
    "body": b"abcd",
    "long body": POST % (MAX_UNSTREAMED_BYTES + 10),
    "much": b"x" * MAX_UNSTREAMED_BYTES,
    "ten": b"x" * 10,
}
DEPTH = 6


class World:
    """One caller's connection, the handler of its request, and the invariants between them."""

    def __init__(self) -> None:
        self.now = 0
        self.machine = caller.CallerMachine(0, lambda target: 1 << 20)
        self.pending: IncomingRequest | None = None  # delivered, and neither answered nor reported as gone
        self.streaming = False  # a streamed answer is being sent
        self.open_bodies: set[int] = set()
        self.ended = False  # nothing may be written any more
        self.resume_later = False
        self.draining = False
        self.finals = self.delivered = self.gone = 0

    def key(self) -> tuple[object, ...]:
        machine = self.machine
        return (
            machine.state,
            len(machine._unparsed),
            machine._write_buffer_full,
            machine._body_paused,
            machine._reading,
            self.pending is not None,
            self.streaming,
            self.ended,
            self.resume_later,
            self.draining,
            machine._body_size,
        )

    def take(self, commands: list[caller.Command]) -> None:
        for command in commands:
            match command:
                case caller.Deliver(arrival):
                    assert self.pending is None, "a second request is delivered before the first is answered"
                    assert not self.ended
                    self.pending, self.delivered = arrival, self.delivered + 1
                case caller.OpenBody(arrival, length):
                    arrival.stream = Body(ByteBudget(1), length, lambda: None)
                    self.open_bodies.add(id(arrival))
                case caller.FeedBody(arrival, _):
                    assert id(arrival) in self.open_bodies
                case caller.EndBody(arrival) | caller.TruncateBody(arrival):
                    self.open_bodies.discard(id(arrival))
                    if isinstance(command, caller.TruncateBody) and self.pending is arrival:
                        self.pending, self.gone = None, self.gone + 1
                case caller.CallerGone():
                    assert self.pending is not None or self.streaming, "there is no pending request"
                    self.gone += 1
                    self.pending, self.streaming = None, False
                case caller.Write():
                    assert not self.ended, "bytes are written on a connection that has ended"
                case caller.Close() | caller.EndSending():
                    assert not (isinstance(command, caller.EndSending) and self.ended)
                    self.ended = True
                case caller.ContinueLater():
                    self.resume_later = True

    def final(self, commands: list[caller.Command]) -> None:
        if any(isinstance(command, caller.Write) for command in commands):
            assert self.pending is not None or self.streaming, "an answer without a pending request"
            self.finals += 1
            self.pending, self.streaming = None, False
        self.take(commands)

    # --- possible events

    def moves(self) -> dict[str, Callable[[], None]]:
        machine, moves = self.machine, dict[str, Callable[[], None]]()
        if machine.state is not CallerState.CLOSED and machine._reading:
            for name, data in PIECES.items():
                moves[name] = lambda data=data: self.take(machine.received(data, self.now))  # type: ignore[misc]
        if self.resume_later:
            moves["again"] = self._again
        if self.pending is not None:
            moves["answer"] = lambda: self.final(machine.answer(self.now, 200, b"ok", draining=self.draining))
            moves["refuse"] = lambda: self.final(
                machine.refuse(RequestError(404, "path"), self.now, self.draining)
            )
            moves["refuse and end"] = lambda: self.final(
                machine.refuse(RequestError(400, "", rule_slug="twice"), self.now)
            )
            if machine.state is CallerState.AWAITING_ANSWER:
                moves["begin an answer"] = self._begin
        if self.streaming:
            moves["a piece"] = lambda: self.take(machine.answer_piece(b"x"))
            moves["its end"] = lambda: self.final(machine.end_answer(self.now))
            moves["its break"] = lambda: self.final_cut()
        if machine.state in (CallerState.BODY, CallerState.STREAMING_BODY) and self.open_bodies:
            moves["no room"] = lambda: self.take(machine.set_body_paused(True, self.now))
            moves["room"] = lambda: self.take(machine.set_body_paused(False, self.now))
        if machine.state is not CallerState.CLOSED:
            moves["not taken"] = lambda: self.take(machine.set_write_buffer_full(True, self.now))
            moves["taken"] = lambda: self.take(machine.set_write_buffer_full(False, self.now))
            moves["evicted"] = lambda: self.take(machine.close(self.now, True))
            moves["lost"] = self._lost
            moves["a drain"] = lambda: setattr(self, "draining", not self.draining)
            moves["a long while"] = self._wait
        return moves

    def _again(self) -> None:
        self.resume_later = False
        self.take(self.machine.resume(self.now))

    def _begin(self) -> None:
        head = self.machine.begin_answer(self.now, None, b"", b"", self.draining)
        assert head
        self.pending, self.streaming = None, True
        self.take(head)

    def final_cut(self) -> None:
        self.take([c for c in self.machine.abort_answer(self.now) if not isinstance(c, caller.CallerGone)])
        self.finals, self.streaming = self.finals + 1, False

    def _lost(self) -> None:
        self.take(self.machine.connection_closed())
        self.ended = True

    def _wait(self) -> None:
        self.now += 30_000_000
        self.take(self.machine.tick(self.now))

    def check(self) -> None:
        assert self.delivered == self.finals + self.gone + (self.pending is not None) + self.streaming
        if self.machine.state is CallerState.CLOSED:
            assert self.pending is None and not self.streaming, "the handler of a request was not notified"
            assert not self.open_bodies, "the reader of a body was not notified"
        assert self.machine.buffered_bytes() <= caller.MAX_READ_AHEAD_BYTES + MAX_UNSTREAMED_BYTES + 2 * max(
            map(len, PIECES.values())
        )

    def settle(self) -> None:
        """Without further input the connection becomes quiet: no request waits for ever."""
        for _ in range(40):
            possible = self.moves()
            for name in ("again", "room", "taken", "answer", "its end", "a long while"):
                if name in possible:
                    possible[name]()
            self.check()
        assert self.pending is None and not self.streaming
        assert self.machine.state in (CallerState.IDLE, CallerState.CLOSED)


def replay(history: tuple[str, ...]) -> World:
    world = World()
    for name in history:
        world.moves()[name]()
    return world


def test_each_request_has_one_answer_in_every_history_and_none_after_the_connection_ended() -> None:
    seen, todo, met = {World().key()}, deque[tuple[str, ...]]([()]), set[CallerState]()
    while todo:
        history = todo.popleft()
        for name in replay(history).moves():
            world = replay(history)
            world.moves()[name]()
            world.check()
            met.add(world.machine.state)
            if world.key() not in seen:
                seen.add(world.key())
                replay((*history, name)).settle()
                if len(history) + 1 < DEPTH:
                    todo.append((*history, name))
    assert met == set(CallerState)
    assert len(seen) > 500


def test_every_state_is_reachable_and_can_be_left_by_the_table() -> None:
    for table, start, end in (
        (CALLER_STATES, CallerState.IDLE, CallerState.CLOSED),
        (UPSTREAM_STATES, UpstreamState.IDLE, UpstreamState.CLOSED),
    ):
        reached, todo = {start}, [start]
        while todo:
            state = todo.pop()
            for (at, _), to in table.items():  # type: ignore[attr-defined]
                if at is state and to not in reached:
                    reached.add(to)
                    todo.append(to)
        assert reached == set(type(start))
        assert all(to is end for (at, _), to in table.items() if at is end)  # type: ignore[attr-defined]


def test_an_invalid_transition_raises_and_has_no_effect() -> None:
    with pytest.raises(InvalidTransition, match="IDLE"):
        next_state(CALLER_STATES, CallerState.IDLE, CallerTransition.ANSWERED)
    with pytest.raises(InvalidTransition, match="STREAMING"):
        next_state(UPSTREAM_STATES, UpstreamState.STREAMING, UpstreamTransition.REQUEST_STARTED)
    machine = caller.CallerMachine(0, lambda target: 0)
    machine.received(GET, 0)
    assert machine.answer(0, 200, b"") and machine.answer(0, 200, b"") == []


def test_an_exchange_ends_once_whatever_is_received() -> None:
    ok = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
    pieces = [
        ok,
        b"ab",
        b"cd",
        b"HTTP/1.1 100 X\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n",
    ]
    pieces += [
        b"x" * 70_000,
        b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
        b"\x00",
        b"HTTP/1.1 200 OK\r\nX: ",
    ]
    moves = [*pieces, "written", "end", "break", "ask"]
    met = set[UpstreamState]()
    todo = deque[tuple[object, ...]]([()])
    while todo:
        history = todo.popleft()
        machine, ends, asked = upstream.UpstreamMachine(), 0, 1
        machine.start_request(0, None, upstream.StreamingPolicy())
        for move in history:
            before = machine.state
            events: list[upstream.Event] = []
            if move == "written":
                machine.next_piece(0)
            elif move in ("end", "break"):
                events = machine.ended(move == "end")
            elif move == "ask":
                if machine.state is not UpstreamState.IDLE:
                    with pytest.raises(InvalidTransition):
                        machine.start_request(0)
                    break
                machine.start_request(0, None, upstream.StreamingPolicy())
                asked += 1
            else:
                assert isinstance(move, bytes)
                events = machine.received(move, 0)
            ends += sum(isinstance(e, upstream.UpstreamResponse | upstream.InvalidResponse) for e in events)
            assert ends <= asked, history
            assert not (before is UpstreamState.CLOSED and events), history
            if any(isinstance(e, upstream.UpstreamResponse) and e.status == 200 for e in events):
                assert machine.written or machine.state is UpstreamState.CLOSED
            assert machine.buffered_bytes <= upstream.MAX_BUFFERED_RESPONSE_BYTES
            met.add(machine.state)
        else:
            if len(history) < 4 and machine.state is not UpstreamState.CLOSED:
                todo += [(*history, move) for move in moves]
    assert met == set(UpstreamState)
