"""Runs a history: clients, machines and faults in simulated time.

client --> egress proxy --> ingress proxy --> upstream

The proxies run their production code: `Egress`, `Ingress`, their pools and listeners.  Each machine's proxy
is a process of its own that can be paused, killed and restarted.
"""

from __future__ import annotations

import random
from collections import defaultdict
from functools import partial

from brackengate.emulator.calls.history import (
    OUTBOUND_PORT,
    SERVICES,
    Attempt,
    AttemptResult,
    Behaviour,
    Fault,
    History,
    Observations,
    machine_ip,
)
from brackengate.emulator.calls.machine import ClaimStore, Machine
from brackengate.emulator.loop import MS, Loop, S
from brackengate.emulator.mesh.ground import MachineNetwork
from brackengate.emulator.mesh.talk import HttpMessage, HttpRequest, encode_message
from brackengate.emulator.process import Process

SETTLE_TIME_US = 6 * S  # after the last event of a history, so that everything delayed has arrived


class Simulation:
    """The network, machines and clients of one history."""

    def __init__(self, history: History) -> None:
        self.loop, self.observations = Loop(), Observations(history)
        self.network = MachineNetwork(self.loop, random.Random(f"{history.seed}/net"), 700, 700, 0.3)
        self.claim_store = ClaimStore(self, history.core)
        behaviours = defaultdict[int, tuple[Behaviour, ...]](tuple, dict(history.behaviours))
        self.machines = [Machine(self, number, behaviours[number]) for number in range(len(SERVICES))]
        self.clients = [Process(self.loop, self.network, one.ip, "client") for one in self.machines]

    def play(self) -> Observations:
        """Run the history to its end and return what clients and upstreams observed."""
        history, last_ms = self.observations.history, 0
        for number, attempt in enumerate(history.attempts):
            self.loop.after(attempt.at * MS, partial(self._send_attempt, f"t{number}", attempt))
            last_ms = max(last_ms, attempt.at + attempt.leaves)
        for fault in history.faults:
            self.loop.after(fault.at * MS, partial(self._inject, fault))
            last_ms = max(last_ms, fault.at + fault.lasts)
        self.loop.run(last_ms * MS + SETTLE_TIME_US)
        self.observations.errors = self.loop.errors
        alive = [one for one in self.machines if one.process.alive]
        self.observations.pending_requests = sum(
            one.egress.pending_count() + one.ingress.pending_count() for one in alive
        )
        for one in self.machines:
            one.process.die()
        return self.observations

    def _send_attempt(self, attempt_id: str, attempt: Attempt) -> None:
        kind = attempt.route.partition("-")[0]
        fields = {
            "Host": "h",
            "X-Brackengate-Attempt-Id": attempt_id,
            "X-Brackengate-Deadline-Ms": str(attempt.deadline),
        }
        if attempt.key:
            fields["X-Brackengate-Operation-Key"] = attempt.key
        method = "GET" if kind == "read" and not attempt.size else "POST"
        data = encode_message(f"{method} /{attempt.route}/x HTTP/1.1", fields, b"b" * attempt.size)
        if attempt.half:
            data = data[: len(data) * 2 // 3]
        address = (machine_ip(attempt.proxy), OUTBOUND_PORT)
        HttpRequest(
            self.clients[attempt.proxy],
            address,
            data,
            partial(self._record_result, attempt_id),
            attempt.leaves * MS,
        )

    def _record_result(self, attempt_id: str, answer: HttpMessage | None, reason: str) -> None:
        self.observations.results[attempt_id] = AttemptResult(self.loop.now, answer, reason)

    def _inject(self, fault: Fault) -> None:
        """Begin a fault, and schedule its end if it has one."""
        machine, at_end = self.machines[fault.proxy], partial(self.loop.after, fault.lasts * MS)
        match fault.what:
            case "freeze":
                machine.process.pause()
                at_end(machine.process.resume)
            case "reset":
                machine.process.reset()
            case "cut":
                pair = machine.ip, machine_ip(fault.other)
                self.network.set_cut(*pair, True)
                at_end(partial(self.network.set_cut, *pair, False))
            case "refuse" if machine.upstream is not None:
                machine.upstream.refuse()
                at_end(machine.upstream.listen)
            case "stray":
                machine.repeat_last_writes()
            case "term":
                machine.process.enter(machine.start_draining)
            case "kill":
                machine.process.die()
            case "restart":
                machine.process.die()
                at_end(machine.start)
            case "replace":
                machine.replace_upstream()


def play(history: History) -> Observations:
    """Run a history in a simulation of its own."""
    return Simulation(history).play()
