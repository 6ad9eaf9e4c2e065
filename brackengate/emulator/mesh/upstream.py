"""A model of an application upstream next to its proxy: slots, a queue, feedback reports and shutdown."""

from __future__ import annotations

import json
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from urllib.parse import quote

from brackengate.emulator.loop import MS, Loop, S
from brackengate.emulator.mesh.ground import MachineNetwork
from brackengate.emulator.mesh.names import WireNames, from_header
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

WARMUP_US = 2 * S  # after the start, while requests take up to twice as long
DRAIN_MARGIN_US = 150 * MS  # how much longer than `Drain` it serves requests
SHUTDOWN_TIMEOUT_US = 5 * S  # after which it ends without an acknowledgement
FEEDBACK_RETRY_US = 200 * MS  # pause before a failed report is sent again


@dataclass(eq=False, slots=True)
class PendingRequest:
    """A request that was received; `finished` once it is answered or its connection has ended."""

    end: End
    message: HttpMessage
    deadline: int  # time in microseconds
    finished: bool = False


class Upstream:
    """One process of a service, on the machine of a proxy, to which it reports."""

    def __init__(
        self,
        loop: Loop,
        net: MachineNetwork,
        rng: random.Random,
        trace: Callable[..., None],
        id_: str,
        plant: str,
        config: Service,
        address: Address,
        control: Address,
        feedback: int,
        drain: int,
        names: WireNames,
    ) -> None:
        """`names`: by which the id and the service are given on the wire, as the records have plain ones."""
        self._names, self._wire_id = names, names.upstream(id_)
        self._loop, self._rng, self._trace, self.id, self.service = loop, rng, trace, id_, plant
        self._config, self._control, self._feedback, self._drain = config, control, feedback, drain
        self._address, self._zone = address, net.zones[address[0]]
        self.process = Process(loop, net, address[0], id_)
        self._busy, self._queue = 0, deque[PendingRequest]()
        self._started, self._reports, self._responses = loop.now, 0, 0
        self._speed = rng.uniform(0.8, 1.25)
        self.state = "ready"
        self._on_end: Callable[[], None] = lambda: None
        self.process.listener(address).taken = self._accept
        trace("begins", id_, plant, address[0])
        self._report_periodically()

    # --- life cycle

    def shut_down(self, on_end: Callable[[], None]) -> None:
        """Reports that it drains, drains, leaves and ends; then calls `on_end`."""
        if self.state == "ready" and self.process.alive:
            self.state, self._on_end = "draining", on_end
            self._send_report(lambda: None)
            self.process.call_later(SHUTDOWN_TIMEOUT_US / 1e6, self._finish)

    def _finish(self) -> None:
        if self.process.alive:
            self.die()
            self._on_end()

    def die(self) -> None:
        """Ends at once."""
        if self.process.alive:
            self._trace("ends", self.id)
            self.process.die()

    def _report_periodically(self) -> None:
        self._send_report(lambda: self.process.call_later(self._feedback / 1e6, self._report_periodically))

    def _send_report(self, then: Callable[[], object]) -> None:
        self._reports += 1
        draining = self.state == "draining"
        warmup_left = max(0, self._started + WARMUP_US - self._loop.now)
        report = {
            "Plant": self._names.service(self.service),
            "Address": f"{self._address[0]}:{self._address[1]}",
            "Zone": self._zone,
            "Revision": "v1",
            "Capacity": self._config.slots,
            "State": self.state,
            "WarmupLeft": f"{warmup_left // 1000}ms",
            "CallCount": self._reports,
        }

        def on_response(message: HttpMessage | None, reason: str) -> None:
            if message is None or not 200 <= message.status < 300:
                self.process.call_later(FEEDBACK_RETRY_US / 1e6, partial(self._send_report, then))
                return
            if draining and self._drain:
                drain_time, self._drain = self._drain + DRAIN_MARGIN_US, 0
                self._trace("drains", self.id, self._address[0])
                self.process.call_later(drain_time / 1e6, self._send_leave)
            then()

        self._call("instances.feedback", json.dumps(report).encode(), on_response)

    def _send_leave(self) -> None:
        self._call("instances.leave", b"{}", lambda message, reason: self._finish())

    def _call(self, name: str, body: bytes, on_response: Callable[[HttpMessage | None, str], None]) -> None:
        start_line = f"POST /v1/rpc?call={name}&of={quote(self._wire_id, safe='')} HTTP/1.1"
        data = encode_message(start_line, {"Host": "pilot", "Content-Type": "application/json"}, body)
        HttpRequest(self.process, self._control, data, on_response, S)

    # --- requests

    def _accept(self, end: End) -> None:
        self.process.holds(end)
        reader = MessageReader()
        pending: list[PendingRequest] = []

        def receive(data: bytes) -> None:
            try:
                messages = reader.feed(data)
            except InvalidMessage:
                end.close()
                return
            for message in messages:
                pending.append(self._admit(end, message))

        def closed(broken: bool) -> None:
            for request in pending:
                request.finished = True  # a request is cancelled with its connection

        end.listen(receive, closed)

    def _admit(self, end: End, message: HttpMessage) -> PendingRequest:
        fields = message.fields
        time_left = int(fields.get("x-brackengate-deadline-ms", "1000"))
        request = PendingRequest(end, message, self._loop.now + time_left * MS)
        attempt = fields.get("x-brackengate-attempt-id", "")
        target = fields.get("x-brackengate-target-instance")
        if target is not None and from_header(target) != self._wire_id:
            self._answer(request, 421, not_executed=True)
            return request
        self._trace("arrived", self.id, self.service, attempt)
        if self._busy < self._config.slots:
            self._run(request)
        elif len(self._queue) < self._config.room:
            self._queue.append(request)
        else:
            self._answer(request, 503, not_executed=True)
        return request

    def _run(self, request: PendingRequest) -> None:
        fields, method, target = request.message.fields, *request.message.start_line.split()[:2]
        attempt = fields.get("x-brackengate-attempt-id", "")
        key = fields.get("x-brackengate-operation-key", "")
        caller = self._names.plain(from_header(fields.get("x-brackengate-caller-service", "")))
        self._busy += 1
        body = request.message.body.decode("latin-1")
        self._trace("ran", self.id, self.service, attempt, key, caller, f"{method} {target} {body}")
        requested = target.split("/")[2] if target.count("/") > 2 else ""
        duration = int(requested) if requested.isdigit() else 20 * MS
        coldness = max(0.0, 1 - (self._loop.now - self._started) / WARMUP_US)
        duration = int(duration * self._speed * (1 + coldness) * self._rng.uniform(0.8, 1.3))
        self.process.call_later(
            min(duration, max(0, request.deadline - self._loop.now)) / 1e6, self._complete, request, attempt
        )

    def _complete(self, request: PendingRequest, attempt: str) -> None:
        self._busy -= 1
        if self._loop.now >= request.deadline:
            self._answer(request, 504)
        else:
            self._responses += 1
            seal = f"{self.id}.{self._responses}"
            body = f"{attempt}|{seal}|{'x' * self._rng.randrange(200)}".encode()
            self._trace("done", self.id, attempt, seal, body.decode())
            self._answer(request, 200, {"X-Brackengate-Server-Seal": seal}, body)
        while self._queue and self._busy < self._config.slots:
            queued = self._queue.popleft()
            if queued.finished:
                continue
            if self._loop.now >= queued.deadline:
                self._answer(queued, 503, not_executed=True)
            else:
                self._run(queued)

    def _answer(
        self,
        request: PendingRequest,
        status: int,
        fields: dict[str, str] | None = None,
        body: bytes = b"",
        not_executed: bool = False,
    ) -> None:
        if request.finished:
            return
        request.finished = True
        attempt = request.message.fields.get("x-brackengate-attempt-id", "")
        headers = {"X-Brackengate-Attempt-Id": attempt, **(fields or {})}
        if not_executed:
            headers["X-Brackengate-Not-Executed"] = "1"
        if self.state == "draining":
            headers["Connection"] = "close"
        request.end.write(encode_message(f"HTTP/1.1 {status} Said", headers, body))
        if self.state == "draining":
            request.end.close()
