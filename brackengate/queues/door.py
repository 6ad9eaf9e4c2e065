"""The stage between fronts and node where requests wait their turn.  Decides nothing: see `admission`."""

from __future__ import annotations

import asyncio
import hashlib
from collections import deque
from typing import Any

from brackengate.interface import Idempotency, Request
from brackengate.net.alarms import Timer, TimerQueue
from brackengate.net.http import InnerStage
from brackengate.net.node import Caller, Message, Reply
from brackengate.queues.admission import Admission, Offer, Reason, Turn, Verdict
from brackengate.queues.scheduler import Identity

REFUSED, BAD = 503, 400
NAME_MOST = 64  # characters
ITEM_BYTES = 3000  # what a request that waits holds beside its head and body
WORDS = {
    Reason.WAIT: b"its share would have it wait too long",
    Reason.EXPIRED: b"it waited, and its turn did not come in time",
    Reason.FULL: b"too much waits, and most of it is its client's",
    Reason.RETRIES: b"its client's retries are used up",
}


def short(name: str) -> str:
    """Names are the callers': a long one is kept as its digest."""
    if len(name) <= NAME_MOST:
        return name
    return f"{name[:16]}~{hashlib.blake2b(name.encode(), digest_size=16).hexdigest()}"


class QueuesDoor:
    """Requests whose origin is told go by the queues; all others straight on.

    `dry`: all go straight on, and the queues only count what they would have done.
    """

    def __init__(
        self,
        inner: InnerStage,
        admission: Admission,
        loop: asyncio.AbstractEventLoop,
        header: bytes = b"X-Place",
        dry: bool = False,
    ) -> None:
        self._inner, self.admission = inner, admission
        self._alarms = TimerQueue(loop, inner.clock)
        self._header, self.dry = header, dry
        self.classes, self.clock = inner.classes, inner.clock
        self._held: dict[str, _Held] = {}
        self._verdicts: deque[Verdict] = deque()
        self._busy = False
        self._alarm: Timer | None = None
        self._alarm_at = 0

    # --- Door

    def started(self, request: str) -> bool:
        return self._inner.started(request)

    def submit(self, request: Request, message: Message, caller: Caller) -> None:
        origin, cls = message.client_info, self.classes.get(request.class_name)
        if origin is None or cls is None:
            self._inner.submit(request, message, caller)
            return
        name = request.request
        if name in self._held:  # the node does not know it yet
            caller.answer(Reply(BAD, b"X-Txn has been used\n", b"text/plain"))
            return
        held = self._held[name] = _Held(self, request, message, caller)
        keyed = cls.idempotency is Idempotency.KEYED
        offer = Offer(
            name,
            Identity(self._tenant(request.tenant), short(origin.client)),
            origin.address,
            request.class_name,
            request.deadline,
            len(message.head) + len(message.body) + ITEM_BYTES,
            request.work_hint,
            message.operation_count,
            request.is_retry,
            message.key if keyed else b"",
            origin.queue_token,
        )
        verdicts = self.admission.arrive(self.clock.now(), offer)
        if self.dry:
            held.handed_on = True
            self._inner.submit(request, message, held)
        self._act(verdicts)

    def client_disconnected(self, request: str, caller: Caller) -> None:
        held = self._held.get(request)
        if held is None or held.caller is not caller:
            self._inner.client_disconnected(request, caller)
            return
        del self._held[request]
        if held.handed_on:
            self._inner.client_disconnected(request, held)
        now = self.clock.now()
        if not self.admission.gone(now, request):
            self._act(self.admission.ended(now, request, False, False))

    def _tenant(self, name: str) -> str:
        return name if name in self.admission.scheduler.tenants else short(name)

    def waiting(self) -> int:
        """Requests that are held here and not handed on."""
        return 0 if self.dry else self.admission.waiting()

    # --- inside

    def _act(self, verdicts: list[Verdict]) -> None:
        """Carry them out, after those before them.

        Guards against recursion: a batch whose operations go one after another sends the next one when one
        is refused, in the same turn.
        """
        self._verdicts.extend(verdicts)
        if self._busy:
            return
        self._busy = True
        try:
            while self._verdicts:
                self._carry_out(self._verdicts.popleft())
        finally:
            self._busy = False
        due = self.admission.due()
        if due is not None and (self._alarm is None or due < self._alarm_at):
            if self._alarm is not None:
                self._alarm.cancel()
            self._alarm, self._alarm_at = self._alarms.schedule(due, self._ring, self.clock.now()), due

    def _ring(self) -> None:
        self._alarm = None
        self._act(self.admission.expire(self.clock.now()))

    def _carry_out(self, verdict: Verdict) -> None:
        held = self._held.get(verdict.name)
        if held is None:
            return  # dry: it was answered in the same turn
        if isinstance(verdict, Turn):
            if not self.dry:
                del self._held[verdict.name]
                self._turn_away(held, verdict)
        elif not held.handed_on:
            held.handed_on = True
            self._inner.submit(held.request, held.message, held)

    def _turn_away(self, held: _Held, turn: Turn) -> None:
        body = b"refused at the door: %s (%.3f s)\n" % (WORDS[turn.reason], turn.wait / 1e6)
        if not turn.retry_after:
            body += b"no place is free in the time that it has\n"
        extra = self._place_header(turn.token)
        held.caller.answer(Reply(REFUSED, body, b"text/plain", turn.retry_after, extra_headers=extra))

    def _place_header(self, token: bytes) -> bytes:
        return b"%s: %s\r\n" % (self._header, token) if token else b""

    def _answered(self, held: _Held, reply: Reply) -> list[Verdict]:
        """The node's answer to one that was handed on; what follows from it."""
        name, now = held.request.request, self.clock.now()
        self._held.pop(name, None)
        if self.dry and self.admission.gone(now, name):
            return []
        refused = reply.status == REFUSED
        if refused and not self.dry:
            reply.retry_after_us, token = self.admission.refused(now, name, reply.retry_after_us)
            reply.extra_headers += self._place_header(token)
        return self.admission.ended(now, name, reply.status == 200, refused)

    def status(self, most: int = 128) -> dict[str, Any]:
        """For `queues top` and the counters' readers."""
        admission, limit = self.admission, self.admission.limit
        queues = [
            ({"tenant": queue.tenant.name, "client": queue.label, "shared": queue.shared}, queue)
            for queue in [*admission.clients.own.values(), *admission.clients.shared_queues()]
            if queue.passed or queue.turned or queue.count
        ]
        queues.sort(key=lambda row: (-row[1].count, -row[1].turned, -row[1].passed))
        return {
            "dry": self.dry,
            "limit": int(limit.value),
            "limit_falls": limit.falls,
            "limit_rises": limit.rises,
            "running": admission.running(),
            "waiting": admission.waiting(),
            "waiting_bytes": admission.waiting_bytes(),
            "rate": round(admission.rate(), 3),
            "known_clients": len(admission.clients.own),
            "evicted": admission.clients.evicted,
            "to_shared": admission.clients.shared,
            "heavy": admission.clients.heavy,
            "places": len(admission.places),
            **dict(admission.counters),
            "tenants": [
                {
                    "tenant": t.name,
                    "weight": t.weight,
                    "waiting": t.count,
                    "passed": t.passed,
                    "turned": t.turned,
                }
                for t in admission.scheduler.all_tenants()
            ],
            "clients": [
                label
                | {
                    "waiting": queue.count,
                    "running": queue.running,
                    "passed": queue.passed,
                    "turned": queue.turned,
                    "reason": queue.reason,
                    "owes_ms": round(max(0.0, -queue.deficit) / 1000, 1),
                }
                for label, queue in queues[:most]
            ],
        }


class _Held:
    """One request: here while it waits, and the caller that the node sees."""

    __slots__ = ("_door", "caller", "handed_on", "message", "request")

    def __init__(self, door: QueuesDoor, request: Request, message: Message, caller: Caller) -> None:
        self._door, self.request, self.message, self.caller = door, request, message, caller
        self.handed_on = False

    def answer(self, reply: Reply) -> None:
        verdicts = self._door._answered(self, reply)
        self.caller.answer(reply)
        self._door._act(verdicts)
