"""A history played: clients, machines and faults in simulated time.

client --> way out (egress proxy) --> gate (ingress proxy) --> upstream

The proxies' code is as it is: `Egress`, `Ingress`, their pools and listeners, each machine's in a process of
its own that can be frozen, killed and started again.
"""

from __future__ import annotations

import random
from collections import defaultdict
from functools import partial

from brackengate.emulator.calls.history import (
    OUTBOUND,
    SERVICES,
    Attempt,
    Behaviour,
    Ended,
    Fault,
    History,
    Observations,
    ip_of,
)
from brackengate.emulator.calls.machine import ClaimStore, Machine
from brackengate.emulator.loop import MS, Loop, S
from brackengate.emulator.mesh.ground import MachineNetwork
from brackengate.emulator.mesh.talk import HttpMessage, HttpRequest, encode_message
from brackengate.emulator.process import Process

AFTERWARDS = 6 * S  # until whatever was late has come


class Simulation:
    def __init__(self, history: History) -> None:
        self.loop, self.seen = Loop(), Observations(history)
        self.net = MachineNetwork(self.loop, random.Random(f"{history.seed}/net"), 700, 700, 0.3)
        self.core = ClaimStore(self, history.core)
        acts = defaultdict[int, tuple[Behaviour, ...]](tuple, dict(history.behaviours))
        self.proxies = [Machine(self, number, acts[number]) for number in range(len(SERVICES))]
        self.clients = [Process(self.loop, self.net, one.ip, "client") for one in self.proxies]

    def play(self) -> Observations:
        history, last = self.seen.history, 0
        for number, asks in enumerate(history.attempts):
            self.loop.after(asks.at * MS, partial(self._ask, f"t{number}", asks))
            last = max(last, asks.at + asks.leaves)
        for fault in history.faults:
            self.loop.after(fault.at * MS, partial(self._begin, fault))
            last = max(last, fault.at + fault.lasts)
        self.loop.run(last * MS + AFTERWARDS)
        self.seen.errors = self.loop.errors
        standing = [one for one in self.proxies if one.process.alive]
        self.seen.held = sum(one.egress.pending_count() + one.ingress.pending_count() for one in standing)
        for one in self.proxies:
            one.process.die()
        return self.seen

    def _ask(self, attempt: str, asks: Attempt) -> None:
        kind = asks.route.partition("-")[0]
        fields = {
            "Host": "h",
            "X-Brackengate-Attempt-Id": attempt,
            "X-Brackengate-Deadline-Ms": str(asks.deadline),
        }
        if asks.key:
            fields["X-Brackengate-Operation-Key"] = asks.key
        method = "GET" if kind == "read" and not asks.size else "POST"
        data = encode_message(f"{method} /{asks.route}/x HTTP/1.1", fields, b"b" * asks.size)
        if asks.half:
            data = data[: len(data) * 2 // 3]
        address = (ip_of(asks.proxy), OUTBOUND)
        HttpRequest(self.clients[asks.proxy], address, data, partial(self._ended, attempt), asks.leaves * MS)

    def _ended(self, attempt: str, heard: HttpMessage | None, why: str) -> None:
        self.seen.ended[attempt] = Ended(self.loop.now, heard, why)

    def _begin(self, fault: Fault) -> None:
        proxy, over = self.proxies[fault.proxy], partial(self.loop.after, fault.lasts * MS)
        match fault.what:
            case "freeze":
                proxy.process.pause()
                over(proxy.process.resume)
            case "reset":
                proxy.process.reset()
            case "cut":
                pair = proxy.ip, ip_of(fault.other)
                self.net.set_cut(*pair, True)
                over(partial(self.net.set_cut, *pair, False))
            case "refuse" if proxy.upstream is not None:
                proxy.upstream.refuse()
                over(proxy.upstream.listen)
            case "stray":
                proxy.stray()
            case "term":
                proxy.process.enter(proxy.term)
            case "kill":
                proxy.process.die()
            case "restart":
                proxy.process.die()
                over(proxy.start)
            case "replace":
                proxy.new_upstream()


def play(history: History) -> Observations:
    return Simulation(history).play()
