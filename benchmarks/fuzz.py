"""A coverage-guided fuzzer (atheris) on both machines of `brackengate/http`.

    python -m benchmarks.fuzz --runs 2000000 --seconds 600          # both, the long run
    python -m benchmarks.fuzz --machine caller --runs 20000 --seed 1

Each input is a message and how it is cut.  Checked: no exception, nothing held beyond the bound, one verdict
for all cuts, and that an accepted message reads the same when it is written out again.  A finding is printed
with its bytes, which belong into `tests/http/test_smuggling.py`.
"""

from __future__ import annotations

import argparse
import os
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path

import atheris

with atheris.instrument_imports(include=["brackengate.http"]):
    from brackengate.http import caller, upstream
    from brackengate.http.body import MAX_UNSTREAMED_BYTES, Body, ByteBudget
    from brackengate.http.message import MAX_HEAD_BYTES, IncomingRequest

SEEDS = (
    b"GET /api HTTP/1.1\r\nHost: a\r\nX-Org: b\r\n\r\n",
    b"POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcdeGET / HTTP/1.1\r\nHost: a\r\n\r\n",
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nX: y\r\n\r\n",
    b"GET http://a/b HTTP/1.0\r\nHost: a\r\nConnection: keep-alive, X-Org\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Pressure: inflight=1\r\n\r\nok",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc",
    b"HTTP/1.1 503 X\r\nContent-Length: 0\r\nX-Turned-Away: 1\r\n\r\n",
)
WORDS = (
    b"Content-Length: ", b"Transfer-Encoding: chunked", b"\r\n", b"\r\n\r\n", b"\n", b"\r", b"Host: ",
    b"HTTP/1.1", b"HTTP/1.0", b"GET ", b"POST ", b"0\r\n\r\n", b"X_Org: ", b"X-Org: ", b"Connection: ",
    b"Expect: 100-continue", b"Upgrade: ", b"1\r\na\r\n", b"200", b"204", b";", b"chunked, chunked",
    b"HTTP/1.1 200 OK\r\n", b"http://a/",
)  # fmt: skip
HELD = caller.MAX_READ_AHEAD_BYTES + MAX_HEAD_BYTES + 2 * MAX_UNSTREAMED_BYTES


class Wrong(AssertionError):
    """What must not be."""


def pieces(data: bytes, how: bytes) -> Iterator[bytes]:
    """Cut by the sizes that `how` says, over and over."""
    at, number = 0, 0
    while at < len(data):
        size = 1 + how[number % len(how)] if how else len(data)
        yield data[at : at + size]
        at, number = at + size, number + 1


class Front:
    """Answers every request at once, and keeps what it was."""

    def __init__(self) -> None:
        self.machine = caller.CallerMachine(0, lambda target: 1 << 20)
        self.told: list[object] = []
        self.arrivals: list[tuple[IncomingRequest, bytes]] = []
        self._bodies: dict[int, bytearray] = {}
        self._budget = ByteBudget(1 << 30)

    def run(self, parts: Iterator[bytes]) -> list[object]:
        for part in parts:
            self._do(self.machine.received(part, 0))
            if self.machine.buffered_bytes() > HELD:
                raise Wrong(f"{self.machine.buffered_bytes()} bytes are held")
        return [*self.told, self.machine.state]

    def _do(self, commands: list[caller.Command]) -> None:
        for command in commands:
            match command:
                case caller.Deliver(arrival):
                    body = bytes(self._bodies.get(id(arrival), arrival.body))
                    self.told.append((arrival.method, arrival.target, arrival.version, arrival.headers, body))
                    self.arrivals.append((arrival, body))
                    self._do(self.machine.answer(0, 200, b""))
                case caller.OpenBody(arrival, length):
                    arrival.stream = Body(self._budget, length, lambda: None)
                    self._bodies[id(arrival)] = bytearray()
                case caller.FeedBody(arrival, data):
                    self._bodies[id(arrival)] += data
                case caller.ReportBadRequest(bad):
                    self.told.append((bad.status, bad.rule_slug))
                case caller.ContinueLater():
                    self._do(self.machine.resume(0))


def again(arrival: IncomingRequest, body: bytes) -> bytes:
    """The message as it would be written to the next one."""
    lines = [b"%s %s HTTP/%s" % (arrival.method, arrival.target, arrival.version.encode())]
    lines += [b"%s: %s" % (name, value) for name, value in arrival.headers]
    if b"transfer-encoding" in arrival.fields:
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body) if body else b"0\r\n\r\n"
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def caller_input(data: bytes) -> None:
    how, message = data[1 : 1 + data[0] % 4], data[1 + data[0] % 4 :]
    whole, cut = Front(), Front()
    first, second = whole.run(iter([message])), cut.run(pieces(message, how))
    if first != second:
        raise Wrong(f"{first} whole, {second} in pieces")
    for arrival, body in whole.arrivals:
        back = Front()
        back.run(iter([again(arrival, body)]))
        got = [(a.method, a.target, a.headers, b) for a, b in back.arrivals]
        if got != [(arrival.method, arrival.target, arrival.headers, body)]:
            raise Wrong(f"{arrival} reads as {got}")


def upstream_input(data: bytes) -> None:
    how, message = data[1 : 1 + data[0] % 4], data[1 + data[0] % 4 :]

    def run(parts: Iterator[bytes], ends: bool) -> list[object]:
        machine = upstream.UpstreamMachine()
        machine.start_request(0, None, upstream.StreamingPolicy() if data[0] & 4 else None)
        machine.next_piece(0)
        told: list[object] = []
        passed, begun = b"", False

        def take(events: list[upstream.Event]) -> None:
            nonlocal passed, begun
            for event in events:
                match event:
                    case upstream.ResponseStarted(head, length):
                        begun, passed = True, head.body
                        told.append((head.status, dict(head.fields), length))
                    case upstream.BodyPiece(piece):
                        passed += piece
                    case upstream.UpstreamResponse(status, fields, body):
                        told.append((status, dict(fields), passed + body, begun))
                    case upstream.InvalidResponse():
                        told.append("spoilt")

        for part in parts:
            take(machine.received(part, 0))
            if machine.buffered_bytes > upstream.MAX_BUFFERED_RESPONSE_BYTES + 2 * MAX_UNSTREAMED_BYTES:
                raise Wrong(f"{machine.buffered_bytes} bytes are kept")
            if (told and told[-1] == "spoilt") or machine.state.name in ("IDLE", "CLOSED"):
                break
        if ends and machine.state.name != "CLOSED":
            take(machine.ended(True))
        return told

    ends = bool(data[0] & 8)
    first, second = run(iter([message]), ends), run(pieces(message, how), ends)
    if first != second:
        raise Wrong(f"{first} whole, {second} in pieces")


INPUTS = {"caller": caller_input, "upstream": upstream_input}


def one(data: bytes, machine: str) -> None:
    if data:
        INPUTS[machine](data)


def campaign(machine: str, runs: int, seconds: int, seed: int) -> int:
    """One fuzzer in a process of its own: libFuzzer ends the process that it runs in."""
    with tempfile.TemporaryDirectory() as folder:
        corpus, words = Path(folder) / "corpus", Path(folder) / "words"
        corpus.mkdir()
        for number, text in enumerate(SEEDS):
            for how in (b"\x00", b"\x09\x00", b"\x06\x03\x10"):
                (corpus / f"{number}-{how.hex()}").write_bytes(how + text)
        escaped = ("".join(f"\\x{byte:02x}" for byte in word) for word in WORDS)
        words.write_text("".join(f'"{word}"\n' for word in escaped))
        told = [
            f"-runs={runs}",
            f"-seed={seed}",
            f"-dict={words}",
            "-max_len=2048",
            "-timeout=20",
            "-verbosity=1",
        ]
        told += [f"-max_total_time={seconds}"] if seconds else []
        command = [sys.executable, "-m", "benchmarks.fuzz", "--inside", machine, *told, str(corpus)]
        done = subprocess.run(
            command, capture_output=True, text=True, env={**os.environ, "PYTHONHASHSEED": "0"}
        )
    lines = (done.stdout + done.stderr).splitlines()
    kept = [line for line in lines if "Wrong" in line or "Error" in line or "cov:" in line or "Done" in line]
    print(f"{machine}: exit {done.returncode}")
    print("\n".join(f"  {line[:2000]}" for line in (kept[-3:] if done.returncode == 0 else lines[-60:])))
    return done.returncode


def main() -> None:
    if sys.argv[1:2] == ["--inside"]:
        machine = sys.argv[2]
        atheris.Setup([sys.argv[0], *sys.argv[3:]], lambda data: one(data, machine))
        atheris.Fuzz()
        return
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--machine", choices=(*INPUTS, "both"), default="both")
    parser.add_argument("--runs", type=int, default=200_000)
    parser.add_argument("--seconds", type=int, default=0, help="and no longer than this")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    names = list(INPUTS) if args.machine == "both" else [args.machine]
    sys.exit(max(campaign(name, args.runs, args.seconds, args.seed) for name in names))


if __name__ == "__main__":
    main()
