"""The stage between fronts and node that recognises repeats; they wait for the first one's answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from brackengate.interface import EarlierAttempt, Idempotency, Request, RequestClass
from brackengate.net.alarms import Timer, TimerQueue
from brackengate.net.http import InnerStage
from brackengate.net.node import Caller, Message, Reply
from brackengate.repeats.table import Answer, Identity, Join, Lead, Pass, Replay, Table, Turned

CONFLICT, UNPROCESSABLE, OVERDUE, REFUSED = 409, 422, 504, 503
WORDS = {
    Turned.MISMATCH: b"the key was used with another body\n",
    Turned.BUSY: b"a request with this key is running\n",
    Turned.UNKNOWN: b"a request with this key may have run, and its answer is not known\n",
}
BUSY_RETRY_US = 500_000
WORTHWHILE_US = 20_000  # with less time than this left nobody goes on in the leader's place


Keep = Callable[[Identity, bytes, Answer | None], None]


@dataclass(slots=True, eq=False)
class _Waiter:
    request: Request
    message: Message
    caller: Caller
    alarm: Timer | None = None


@dataclass(slots=True, eq=False)
class _Group:
    """All that wait for one answer.  The leader is the one that the node holds; its client may have gone."""

    identity: Identity
    digest: bytes
    cls: RequestClass
    lead: _Leader | None = None
    waiters: dict[str, _Waiter] = field(default_factory=dict)


class RepeatsDoor:
    """Keyed requests with a key go by the table, all others straight on.

    The one that leads is held by the node under its own id and deadline.  If its client goes while it may
    run, it goes on: a repeat is likely, and gets its answer.  If its time ends first and another that waits
    has more, that one goes on in its place, to where it may have run only.
    """

    def __init__(
        self, inner: InnerStage, table: Table, loop: asyncio.AbstractEventLoop, keep: Keep | None = None
    ) -> None:
        """`keep`: the journal's; told what is finished, and None for an answer that is not known."""
        self._inner, self.table, self._keep = inner, table, keep
        self._alarms = TimerQueue(loop, inner.clock)
        self._groups: dict[Identity, _Group] = {}
        self._by_request: dict[str, _Group] = {}

    # --- Door

    def submit(self, request: Request, message: Message, caller: Caller) -> None:
        cls = self._inner.classes.get(request.class_name)
        keyed = cls is not None and cls.idempotency is Idempotency.KEYED
        if cls is None or not keyed or not message.key or message.client is None:
            self._inner.submit(request, message, caller)
            return
        identity = Identity(request.tenant, message.client, request.class_name, message.key)
        method, _, rest = message.head.partition(b" ")
        digest = self.table.digest(method, rest.partition(b" ")[0], message.body)
        now = self._inner.clock.now()
        told = self.table.arrive(now, identity, digest, request.request, cls.key_memory)
        waiter = _Waiter(request, message, caller)
        match told:
            case Pass():
                self._inner.submit(request, message, caller)
            case Lead(earlier):
                group = self._groups[identity] = _Group(identity, digest, cls)
                self._lead(group, waiter, earlier)
            case Join():
                self._join(self._groups[identity], waiter)
            case Replay(answer):
                caller.answer(Reply(200, answer.body, answer.content_type))
            case Turned.UNKNOWN:
                caller.answer(
                    Reply(
                        CONFLICT,
                        WORDS[told],
                        b"text/plain",
                        possible_executions=(EarlierAttempt.at_unknown_upstream(now),),
                    )
                )
            case Turned.BUSY:
                caller.answer(Reply(CONFLICT, WORDS[told], b"text/plain", BUSY_RETRY_US))
            case Turned.MISMATCH:
                caller.answer(Reply(UNPROCESSABLE, WORDS[told], b"text/plain"))

    def client_disconnected(self, request: str, caller: Caller) -> None:
        group = self._by_request.get(request)
        waiter = group.waiters.get(request) if group is not None else None
        if group is None or waiter is None or waiter.caller is not caller:
            self._inner.client_disconnected(request, caller)
            return
        self._forget(group, request)
        lead = group.lead
        if not group.waiters and lead is not None and not self._inner.started(lead.request):
            # Nobody waits, and no upstream has it: the last to leave ends it.
            self._close(group)
            self.table.never_ran(self._inner.clock.now(), group.identity, lead.request)
            self._inner.client_disconnected(lead.request, lead)

    def waiting(self) -> int:
        """Requests that await the answer of another."""
        return sum(1 for group in self._groups.values() for w in group.waiters.values() if w.alarm)

    # --- groups

    def _lead(self, group: _Group, waiter: _Waiter, earlier: tuple[EarlierAttempt, ...]) -> None:
        """Hand it to the node, whose deadline is its own from here on."""
        request = waiter.request
        if waiter.alarm is not None:
            waiter.alarm.cancel()
            waiter.alarm = None
        group.waiters[request.request] = waiter
        self._by_request[request.request] = group
        request.earlier = earlier
        group.lead = _Leader(self, group, request.request, request.deadline)
        self._inner.submit(request, waiter.message, group.lead)

    def _join(self, group: _Group, waiter: _Waiter) -> None:
        name = waiter.request.request
        group.waiters[name] = waiter
        self._by_request[name] = group
        now = self._inner.clock.now()
        waiter.alarm = self._alarms.schedule(waiter.request.deadline, lambda: self._late(group, name), now)

    def _late(self, group: _Group, name: str) -> None:
        """One that joined has no time left; the others go on."""
        waiter = group.waiters.get(name)
        if waiter is not None:
            self._forget(group, name)
            ran = (EarlierAttempt.at_unknown_upstream(self._inner.clock.now()),)
            waiter.caller.answer(Reply(OVERDUE, possible_executions=ran))

    def _forget(self, group: _Group, name: str) -> _Waiter:
        waiter = group.waiters.pop(name)
        self._by_request.pop(name, None)
        if waiter.alarm is not None:
            waiter.alarm.cancel()
            self.table.left(group.identity, name)
        return waiter

    def _close(self, group: _Group) -> list[_Waiter]:
        """The group is over; those that wait are owed an answer."""
        self._groups.pop(group.identity, None)
        group.lead = None
        waiters = list(group.waiters.values())
        group.waiters.clear()
        for waiter in waiters:
            self._by_request.pop(waiter.request.request, None)
            if waiter.alarm is not None:
                waiter.alarm.cancel()
        return waiters

    def _ended(self, group: _Group, lead: _Leader, reply: Reply) -> None:
        """The node's answer to the leader."""
        now, identity, ran = self._inner.clock.now(), group.identity, reply.possible_executions
        if reply.status == 200:
            answer = Answer(reply.body, reply.content_type)
            self.table.answered(now, identity, lead.request, answer)
            self._tell_journal(group, answer if len(reply.body) <= self.table.bounds.max_answer else None)
        elif reply.status == REFUSED or not ran:
            self.table.never_ran(now, identity, lead.request)
        else:
            self.table.ran_at(identity, lead.request, tuple(ran))
            successor = self._successor(group, lead, now, ran)
            if successor is not None and self.table.led_by(identity, lead.request, successor.request.request):
                if lead.request in group.waiters:
                    first = self._forget(group, lead.request)
                    first.caller.answer(reply)
                self._lead(group, successor, tuple(ran))
                return
            self.table.may_have_run(now, identity, lead.request, ())
            self._tell_journal(group, None)
        for waiter in self._close(group):
            waiter.caller.answer(reply)

    def _successor(
        self, group: _Group, lead: _Leader, now: int, ran: Sequence[EarlierAttempt]
    ) -> _Waiter | None:
        """Who has more time than the leader had, while upstreams still drop a repeat."""
        if any(now - earlier.sent_at >= group.cls.key_memory for earlier in ran):
            return None
        joined = [waiter for waiter in group.waiters.values() if waiter.alarm is not None]
        best = max(joined, key=lambda waiter: waiter.request.deadline, default=None)
        if best is None or best.request.deadline <= max(lead.deadline, now + WORTHWHILE_US):
            return None
        return best

    def _tell_journal(self, group: _Group, answer: Answer | None) -> None:
        if self._keep is not None:
            self._keep(group.identity, group.digest, answer)


class _Leader:
    """The caller that the node sees."""

    __slots__ = ("_door", "_group", "deadline", "request")

    def __init__(self, door: RepeatsDoor, group: _Group, request: str, deadline: int) -> None:
        self._door, self._group, self.request, self.deadline = door, group, request, deadline

    def answer(self, reply: Reply) -> None:
        self._door._ended(self._group, self, reply)
