"""An application upstream beside a pilot: slots, a line, beats, and an end that is planned or not."""

from __future__ import annotations

import json
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from brackengate.emulator.loop import MS, Loop, S
from brackengate.emulator.mesh.ground import MachineNetwork
from brackengate.emulator.mesh.scenario import Service
from brackengate.emulator.mesh.talk import (
    HttpMessage,
    HttpRequest,
    InvalidMessage,
    MessageReader,
    encode_message,
)
from brackengate.emulator.network import End
from brackengate.emulator.process import Process
from brackengate.net.sockets import Address

COLD = 2 * S  # from its start it takes up to twice as long
EXTRA = 150 * MS  # served beyond `Drain`
UNHEARD = 5 * S  # without an acknowledgement it ends anyway
AGAIN = 200 * MS  # a beat that failed is sent again


@dataclass(eq=False, slots=True)
class Work:
    end: End
    heard: HttpMessage
    latest: int
    over: bool = False


class Upstream:
    def __init__(
        self,
        loop: Loop,
        net: MachineNetwork,
        rng: random.Random,
        trace: Callable[..., None],
        id_: str,
        plant: str,
        told: Service,
        address: Address,
        control: Address,
        feedback: int,
        drain: int,
    ) -> None:
        self._loop, self._rng, self._trace, self.id, self.service = loop, rng, trace, id_, plant
        self._told, self._control, self._feedback, self._drain = told, control, feedback, drain
        self._address, self._zone = address, net.zones[address[0]]
        self.process = Process(loop, net, address[0], id_)
        self._busy, self._line = 0, deque[Work]()
        self._started, self._beats, self._seals = loop.now, 0, 0
        self._speed = rng.uniform(0.8, 1.25)
        self.state = "ready"
        self._ended: Callable[[], None] = lambda: None
        self.process.listener(address).taken = self._taken
        trace("begins", id_, plant, address[0])
        self._beat()

    # --- its life

    def shut_down(self, ended: Callable[[], None]) -> None:
        """Drain, say so, end; then `ended`."""
        if self.state == "ready" and self.process.alive:
            self.state, self._ended = "draining", ended
            self._say_beat(lambda: None)
            self.process.call_later(UNHEARD / 1e6, self._end)

    def _end(self) -> None:
        if self.process.alive:
            self.die()
            self._ended()

    def die(self) -> None:
        if self.process.alive:
            self._trace("ends", self.id)
            self.process.die()

    def _beat(self) -> None:
        self._say_beat(lambda: self.process.call_later(self._feedback / 1e6, self._beat))

    def _say_beat(self, then: Callable[[], object]) -> None:
        self._beats += 1
        draining = self.state == "draining"
        warm = max(0, self._started + COLD - self._loop.now)
        beat = {
            "Plant": self.service,
            "Address": f"{self._address[0]}:{self._address[1]}",
            "Zone": self._zone,
            "Revision": "v1",
            "Capacity": self._told.slots,
            "State": self.state,
            "WarmupLeft": f"{warm // 1000}ms",
            "CallCount": self._beats,
        }

        def done(heard: HttpMessage | None, why: str) -> None:
            if heard is None or not 200 <= heard.status < 300:
                self.process.call_later(AGAIN / 1e6, partial(self._say_beat, then))
                return
            if draining and self._drain:
                lasts, self._drain = self._drain + EXTRA, 0
                self._trace("drains", self.id, self._address[0])
                self.process.call_later(lasts / 1e6, self._say_leave)
            then()

        self._call("instances.feedback", json.dumps(beat).encode(), done)

    def _say_leave(self) -> None:
        self._call("instances.leave", b"{}", lambda heard, why: self._end())

    def _call(self, name: str, body: bytes, done: Callable[[HttpMessage | None, str], None]) -> None:
        first = f"POST /v1/rpc?call={name}&of={self.id} HTTP/1.1"
        data = encode_message(first, {"Host": "pilot", "Content-Type": "application/json"}, body)
        HttpRequest(self.process, self._control, data, done, S)

    # --- its work

    def _taken(self, end: End) -> None:
        self.process.holds(end)
        reader = MessageReader()
        held: list[Work] = []

        def hears(data: bytes) -> None:
            try:
                found = reader.feed(data)
            except InvalidMessage:
                end.close()
                return
            for one in found:
                held.append(self._asked(end, one))

        def ends(broken: bool) -> None:
            for work in held:
                work.over = True  # a request goes with its connection

        end.listen(hears, ends)

    def _asked(self, end: End, heard: HttpMessage) -> Work:
        fields = heard.fields
        left = int(fields.get("x-brackengate-deadline-ms", "1000"))
        work = Work(end, heard, self._loop.now + left * MS)
        attempt = fields.get("x-brackengate-attempt-id", "")
        if fields.get("x-brackengate-target-instance", self.id) != self.id:
            self._answer(work, 421, unrun=True)
            return work
        self._trace("arrived", self.id, self.service, attempt)
        if self._busy < self._told.slots:
            self._run(work)
        elif len(self._line) < self._told.room:
            self._line.append(work)
        else:
            self._answer(work, 503, unrun=True)
        return work

    def _run(self, work: Work) -> None:
        fields, method, target = work.heard.fields, *work.heard.start_line.split()[:2]
        attempt = fields.get("x-brackengate-attempt-id", "")
        key, caller = (fields.get(f"x-brackengate-{x}", "") for x in ("operation-key", "caller-service"))
        self._busy += 1
        body = work.heard.body.decode("latin-1")
        self._trace("ran", self.id, self.service, attempt, key, caller, f"{method} {target} {body}")
        named = target.split("/")[2] if target.count("/") > 2 else ""
        takes = int(named) if named.isdigit() else 20 * MS
        cold = max(0.0, 1 - (self._loop.now - self._started) / COLD)
        takes = int(takes * self._speed * (1 + cold) * self._rng.uniform(0.8, 1.3))
        self.process.call_later(
            min(takes, max(0, work.latest - self._loop.now)) / 1e6, self._ran, work, attempt
        )

    def _ran(self, work: Work, attempt: str) -> None:
        self._busy -= 1
        if self._loop.now >= work.latest:
            self._answer(work, 504)
        else:
            self._seals += 1
            seal = f"{self.id}.{self._seals}"
            body = f"{attempt}|{seal}|{'x' * self._rng.randrange(200)}".encode()
            self._trace("done", self.id, attempt, seal, body.decode())
            self._answer(work, 200, {"X-Brackengate-Server-Seal": seal}, body)
        while self._line and self._busy < self._told.slots:
            waits = self._line.popleft()
            if waits.over:
                continue
            if self._loop.now >= waits.latest:
                self._answer(waits, 503, unrun=True)
            else:
                self._run(waits)

    def _answer(
        self,
        work: Work,
        status: int,
        fields: dict[str, str] | None = None,
        body: bytes = b"",
        unrun: bool = False,
    ) -> None:
        if work.over:
            return
        work.over = True
        attempt = work.heard.fields.get("x-brackengate-attempt-id", "")
        said = {"X-Brackengate-Attempt-Id": attempt, **(fields or {})}
        if unrun:
            said["X-Brackengate-Not-Executed"] = "1"
        if self.state == "draining":
            said["Connection"] = "close"
        work.end.write(encode_message(f"HTTP/1.1 {status} Said", said, body))
        if self.state == "draining":
            work.end.close()
