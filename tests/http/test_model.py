"""All histories of a connection up to a depth, on the machines themselves, against what a caller is owed.

States that look alike are gone on from once: the depth counts different situations, not repetitions.
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
    """One caller's connection, whoever holds its request, and what must hold between them."""

    def __init__(self) -> None:
        self.now = 0
        self.machine = caller.CallerMachine(0, lambda target: 1 << 20)
        self.owed: IncomingRequest | None = None  # delivered, and neither answered nor told gone
        self.long = False  # its long answer is on its way
        self.open_bodies: set[int] = set()
        self.over = False  # nothing may be said any more
        self.again = False
        self.draining = False
        self.finals = self.delivered = self.gone = 0

    def key(self) -> tuple[object, ...]:
        it = self.machine
        return (
            it.state,
            len(it._unparsed),
            it._write_buffer_full,
            it._body_paused,
            it._reading,
            self.owed is not None,
            self.long,
            self.over,
            self.again,
            self.draining,
            it._body_size,
        )

    def take(self, commands: list[caller.Command]) -> None:
        for command in commands:
            match command:
                case caller.Deliver(arrival):
                    assert self.owed is None, "a second request is delivered before the first has its answer"
                    assert not self.over
                    self.owed, self.delivered = arrival, self.delivered + 1
                case caller.OpenBody(arrival, length):
                    arrival.stream = Body(ByteBudget(1), length, lambda: None)
                    self.open_bodies.add(id(arrival))
                case caller.FeedBody(arrival, _):
                    assert id(arrival) in self.open_bodies
                case caller.EndBody(arrival) | caller.TruncateBody(arrival):
                    self.open_bodies.discard(id(arrival))
                    if isinstance(command, caller.TruncateBody) and self.owed is arrival:
                        self.owed, self.gone = None, self.gone + 1
                case caller.CallerGone():
                    assert self.owed is not None or self.long, "nobody holds a request"
                    self.gone += 1
                    self.owed, self.long = None, False
                case caller.Write():
                    assert not self.over, "something is said on a connection that has ended"
                case caller.Close() | caller.EndSending():
                    assert not (isinstance(command, caller.EndSending) and self.over)
                    self.over = True
                case caller.ContinueLater():
                    self.again = True

    def final(self, commands: list[caller.Command]) -> None:
        if any(isinstance(command, caller.Write) for command in commands):
            assert self.owed is not None or self.long, "an answer that nobody is owed"
            self.finals += 1
            self.owed, self.long = None, False
        self.take(commands)

    # --- what can happen

    def moves(self) -> dict[str, Callable[[], None]]:
        it, found = self.machine, dict[str, Callable[[], None]]()
        if it.state is not CallerState.CLOSED and it._reading:
            for name, data in PIECES.items():
                found[name] = lambda data=data: self.take(it.received(data, self.now))  # type: ignore[misc]
        if self.again:
            found["again"] = self._again
        if self.owed is not None:
            found["answer"] = lambda: self.final(it.answer(self.now, 200, b"ok", draining=self.draining))
            found["refuse"] = lambda: self.final(
                it.refuse(RequestError(404, "path"), self.now, self.draining)
            )
            found["refuse and end"] = lambda: self.final(
                it.refuse(RequestError(400, "", rule_slug="twice"), self.now)
            )
            if it.state is CallerState.AWAITING_ANSWER:
                found["begin an answer"] = self._begin
        if self.long:
            found["a piece"] = lambda: self.take(it.answer_piece(b"x"))
            found["its end"] = lambda: self.final(it.end_answer(self.now))
            found["its break"] = lambda: self.final_cut()
        if it.state in (CallerState.BODY, CallerState.STREAMING_BODY) and self.open_bodies:
            found["no room"] = lambda: self.take(it.set_body_paused(True, self.now))
            found["room"] = lambda: self.take(it.set_body_paused(False, self.now))
        if it.state is not CallerState.CLOSED:
            found["not taken"] = lambda: self.take(it.set_write_buffer_full(True, self.now))
            found["taken"] = lambda: self.take(it.set_write_buffer_full(False, self.now))
            found["evicted"] = lambda: self.take(it.close(self.now, True))
            found["lost"] = self._lost
            found["a drain"] = lambda: setattr(self, "draining", not self.draining)
            found["a long while"] = self._wait
        return found

    def _again(self) -> None:
        self.again = False
        self.take(self.machine.resume(self.now))

    def _begin(self) -> None:
        head = self.machine.begin_answer(self.now, None, b"", b"", self.draining)
        assert head
        self.owed, self.long = None, True
        self.take(head)

    def final_cut(self) -> None:
        self.take([c for c in self.machine.abort_answer(self.now) if not isinstance(c, caller.CallerGone)])
        self.finals, self.long = self.finals + 1, False

    def _lost(self) -> None:
        self.take(self.machine.connection_closed())
        self.over = True

    def _wait(self) -> None:
        self.now += 30_000_000
        self.take(self.machine.tick(self.now))

    def check(self) -> None:
        assert self.delivered == self.finals + self.gone + (self.owed is not None) + self.long
        if self.machine.state is CallerState.CLOSED:
            assert self.owed is None and not self.long, "a request is left with whoever holds it"
            assert not self.open_bodies, "a body is left with whoever reads it"
        assert self.machine.buffered_bytes() <= caller.MAX_READ_AHEAD_BYTES + MAX_UNSTREAMED_BYTES + 2 * max(
            map(len, PIECES.values())
        )

    def settle(self) -> None:
        """Left alone, with everybody doing his part, it comes to rest: no request waits for ever."""
        for _ in range(40):
            moves = self.moves()
            for name in ("again", "room", "taken", "answer", "its end", "a long while"):
                if name in moves:
                    moves[name]()
            self.check()
        assert self.owed is None and not self.long
        assert self.machine.state in (CallerState.IDLE, CallerState.CLOSED)


def replay(history: tuple[str, ...]) -> World:
    world = World()
    for name in history:
        world.moves()[name]()
    return world


def test_each_request_has_one_answer_in_every_history_and_none_on_a_connection_that_has_ended() -> None:
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


def test_every_state_is_reached_and_left_by_the_table_alone() -> None:
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


def test_a_move_that_the_table_has_not_is_our_own_fault_and_says_nothing() -> None:
    with pytest.raises(InvalidTransition, match="IDLE"):
        next_state(CALLER_STATES, CallerState.IDLE, CallerTransition.ANSWERED)
    with pytest.raises(InvalidTransition, match="STREAMING"):
        next_state(UPSTREAM_STATES, UpstreamState.STREAMING, UpstreamTransition.REQUEST_STARTED)
    machine = caller.CallerMachine(0, lambda target: 0)
    machine.received(GET, 0)
    assert machine.answer(0, 200, b"") and machine.answer(0, 200, b"") == []


def test_of_all_that_can_come_back_an_exchange_ends_once() -> None:
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
