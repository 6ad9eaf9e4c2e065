"""An upstream's side of its connections: requests read, answers written, by the model in `upstream.py`."""

from __future__ import annotations

from collections.abc import Callable

from brackengate.emulator.loop import Loop
from brackengate.emulator.network import End, Network
from brackengate.emulator.process import Process
from brackengate.emulator.upstream import Job, Upstream
from brackengate.interface import LoadReport, Outcome
from brackengate.net.sockets import Address

Trace = Callable[..., None]
Below = Callable[[str, int, str, str, int, Callable[[bool], None]], None]
"""A call of the next tier: its id, work, class, key, deadline, and who is told whether it was served."""
STATUS = {
    Outcome.OK: b"200 OK\r\n",
    Outcome.REJECTED: b"503 Busy\r\nX-Turned-Away: 1\r\n",
    Outcome.ERROR: b"500 Failed\r\n",
}


def field(head: bytes, name: bytes) -> bytes:
    """A header's value; empty where there is none."""
    start = head.find(b"\r\n" + name + b": ")
    if start < 0:
        return b""
    start += len(name) + 4
    return head[start : head.find(b"\r\n", start)]


def cut(data: bytes) -> tuple[bytes, bytes] | None:
    """The first message's head up to its empty line, and what follows the message; None: it is not whole."""
    at = data.find(b"\r\n\r\n")
    if at < 0:
        return None
    end = at + 4 + int(field(data[: at + 2], b"Content-Length") or b"0")
    return (data[: at + 2], data[end:]) if len(data) >= end else None


def pressure(load: LoadReport) -> bytes:
    return b"inflight=%d,queue=%d" % (load.in_flight or 0, load.waiting or 0)


class Backend:
    """One upstream as a server, as often as its process starts."""

    def __init__(self, loop: Loop, net: Network, model: Upstream, address: Address, trace: Trace) -> None:
        self._loop, self._net, self.model, self.address = loop, net, model, address
        self._trace = trace
        self.below: Below | None = None
        self.below_part = 1.0  # of a request's work, at the next tier
        self.process = self._begin()
        model.fell = self.kill

    def _begin(self) -> Process:
        process = Process(self._loop, self._net, self.model.zone, self.model.name)
        process.listener(self.address).taken = lambda end: self._taken(process, end)
        return process

    def start(self, cold_us: int, fall: float) -> None:
        self.kill()
        self.model.start(cold_us, fall)
        self.process = self._begin()

    def kill(self) -> None:
        """Its connections break; what ran has run."""
        self.process.die()
        if self.model.up:
            self.model.kill()

    def _taken(self, process: Process, end: End) -> None:
        process.holds(end)
        talk = _Talk(self, end)
        end.listen(talk.hears, talk.ends)

    def job(self, talk: _Talk, head: bytes) -> Job:
        request = field(head, b"X-Txn").decode()
        name, key = field(head, b"X-Lane").decode(), field(head, b"Idempotency-Key").decode()
        item, work = request.partition(".")[0], int(field(head, b"X-Work") or b"1")
        latest = self._loop.now + int(field(head, b"X-Remaining-Ms") or b"0") * 1000
        job = Job(request, work, talk.ended, key=key, latest=latest)
        job.began = lambda: self._trace("ran", self.model.name, request, item)
        below = self.below
        if below is not None:
            part = max(1, int(work * self.below_part))
            job.below = lambda told: below(f"{request}~{self.model.name}", part, name, key, latest, told)
        self._trace("arrived", self.model.name, work)
        return job


class _Talk:
    """One connection: one exchange at a time."""

    def __init__(self, backend: Backend, end: End) -> None:
        self._backend, self._end = backend, end
        self._job: Job | None = None
        self._data = b""

    def hears(self, data: bytes) -> None:
        self._data += data
        message = cut(self._data)
        if message is None:
            return
        head, self._data = message
        model = self._backend.model
        if model.silent:
            return
        if head.startswith(b"GET /status/load"):
            self._answer(b"200 OK\r\n", pressure(model.load()))
            return
        self._job = self._backend.job(self, head)
        model.take(self._job)

    def ended(self, outcome: Outcome) -> None:
        self._job = None
        status = STATUS.get(outcome)
        if status is not None:
            load = pressure(self._backend.model.load())
            self._answer(status + b"X-Pressure: " + load + b"\r\n", b"done")

    def _answer(self, status: bytes, body: bytes) -> None:
        self._end.write(b"HTTP/1.1 %sContent-Length: %d\r\n\r\n%s" % (status, len(body), body))

    def ends(self, broken: bool) -> None:
        """Its caller has closed: what stands in line is dropped, what runs goes on."""
        if self._job is not None:
            self._job.over = True
