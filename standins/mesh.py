"""A mesh on loopback: machines by address, upstreams that beat, an operator and callers.

Each machine is an address of 127/8; all have the same ports, as the operators' machines do.  Roles are real
processes of this program; the upstreams live in the process that uses this module.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any

ROOT = Path(__file__).parent.parent
SECONDS_TO_START = 60.0
LONG = 20 << 20
INNER_NETWORK_OFFSET = 100  # between the second numbers of a machine's address and of the one behind its link
MISDIRECTED = b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nX-Brackengate-Attempt-Id: %s\r\n\r\n"


@dataclass(frozen=True)
class Ports:
    """The same on every machine; `first` and the eight after it are taken."""

    first: int = 18300

    @property
    def inbound(self) -> int:
        return self.first

    @property
    def application(self) -> int:
        return self.first + 1

    @property
    def readiness(self) -> int:
        return self.first + 2

    @property
    def outbound(self) -> int:
        return self.first + 3

    @property
    def control(self) -> int:
        return self.first + 4

    @property
    def internal(self) -> int:
        return self.first + 5


@dataclass(eq=False)
class Machine:
    ip: str
    zone: str
    role: str
    folder: Path
    plant: str = ""
    process: subprocess.Popen[bytes] | None = None
    starts: int = 0

    @property
    def settings(self) -> Path:
        return self.folder / "local.toml"

    def start(self, log: IO[bytes]) -> None:
        env = {**os.environ, "BRACKENGATE_NODE_FILE": str(self.settings), "PYTHONPATH": str(ROOT)}
        self.starts += 1
        command = [sys.executable, "-m", "brackengate.mesh", self.role]
        self.process = subprocess.Popen(command, env=env, cwd=self.folder, stdout=log, stderr=log)

    def end(self, how: int = signal.SIGKILL) -> None:
        if self.process is not None:
            self.process.send_signal(how)
            self.process.wait()
            self.process = None

    def cpu_s(self) -> float:
        """Processor seconds of its process so far, its start with them."""
        assert self.process is not None
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_mb(self) -> float:
        """Its process's resident memory at the peak."""
        assert self.process is not None
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM"):
                return int(line.split()[1]) / 1024
        return 0.0


@dataclass(eq=False)
class Upstream:
    """Answers with its id's seal after `work_s`; counts what it ran, by attempt id and by key.

    A target that ends with `/long` gets `LONG` bytes.
    """

    machine: Machine
    port: int
    control: int  # of the pilot on its machine: there go its beats
    id: str
    work_s: float = 0.005
    ran: list[tuple[str, str]] = field(default_factory=list)
    state: str = "ready"
    server: asyncio.Server | None = None
    beats: asyncio.Task[None] | None = None
    lives: int = 0
    open: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Each start is another instance, with an id of its own."""
        self.lives += 1
        if self.lives > 1:
            self.id = f"{self.id.partition('.')[0]}.{self.lives}"
        self.server = await asyncio.start_server(self._serve, self.machine.ip, self.port)
        self.beats = asyncio.create_task(self._beat())

    async def stop(self) -> None:
        """As a crash: no word."""
        if self.beats is not None:
            self.beats.cancel()
        if self.server is not None:
            self.server.close()
        for writer in self.open:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                fields = {n.lower(): v for n, _, v in (line.partition(": ") for line in head[1:])}
                await reader.readexactly(int(fields.get("content-length", "0")))
                if fields.get("x-brackengate-target-instance", self.id) != self.id:
                    writer.write(MISDIRECTED % fields.get("x-brackengate-attempt-id", "").encode())
                    continue
                attempt = fields.get("x-brackengate-attempt-id", "")
                self.ran.append((attempt, fields.get("x-brackengate-operation-key", "")))
                await asyncio.sleep(self.work_s)
                long = head[0].split(" ")[1].endswith("/long")
                body = bytes(LONG) if long else f"{self.id} {attempt}".encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Brackengate-Server-Seal: %s\r\n"
                    b"X-Brackengate-Attempt-Id: %s\r\n\r\n%s"
                    % (len(body), self.id.encode(), attempt.encode(), body)
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the caller left, or the whole ends
        finally:
            self.open.discard(writer)
            writer.close()

    async def _beat(self) -> None:
        count = 0
        while True:
            count += 1
            beat = {
                "Plant": self.machine.plant,
                "Address": f"{self.machine.ip}:{self.port}",
                "Zone": self.machine.zone,
                "Revision": "v1",
                "Capacity": 6,
                "State": self.state,
                "WarmupLeft": "0ms",
                "CallCount": count,
            }
            target = f"/v1/rpc?call=instances.feedback&of={self.id}"
            try:
                await call(self.machine.ip, self.control, "POST", target, json.dumps(beat).encode())
            except OSError:
                await asyncio.sleep(0.1)  # its pilot is not up yet
                continue
            await asyncio.sleep(0.5)


async def call(
    ip: str, port: int, method: str, target: str, body: bytes = b"", headers: dict[str, str] | None = None
) -> tuple[int, dict[str, str], bytes]:
    """One request on a connection of its own; OSError where it broke off."""
    try:
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            lines = {"Host": "h.example", "Content-Length": str(len(body)), **(headers or {})}
            head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
            writer.write(f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body)
            said = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            fields = {n.lower(): v for n, _, v in (line.partition(": ") for line in said[1:])}
            return int(said[0].split()[1]), fields, await reader.readexactly(int(fields["content-length"]))
        finally:
            writer.close()
    except asyncio.IncompleteReadError as error:
        raise ConnectionResetError(str(error)) from None


def inner_ip(ip: str) -> str:
    """Where the process of a machine with this address listens if there is a link in front of it."""
    first, second, rest = ip.split(".", 2)
    return f"{first}.{int(second) + INNER_NETWORK_OFFSET}.{rest}"


def spoil(file: Path, what: bytes) -> bool:
    """Change a byte in the last place that holds `what`; whether there is one."""
    held = bytearray(file.read_bytes())
    at = held.rfind(what)
    if at >= 0:
        held[at] ^= 1
        file.write_bytes(held)
    return at >= 0


class Mesh:
    def __init__(
        self,
        folder: Path,
        lighthouses: int = 3,
        pilots: int = 4,
        first_port: int = 18300,
        behind_links: bool = False,
    ) -> None:
        """`behind_links`: the internal ports of lighthouses and `Inbound` of pilots listen at `inner_ip`;
        who made the mesh puts links in front of them."""
        self.folder, self.ports, self._behind_links = folder, Ports(first_port), behind_links
        self.core = [
            Machine(f"127.10.{n + 1}.1", f"z{n + 1}", "lighthouse", folder / f"core-{n + 1}")
            for n in range(lighthouses)
        ]
        self.sides = [
            Machine(f"127.10.{n % 3 + 1}.{n + 10}", f"z{n % 3 + 1}", "pilot", folder / f"side-{n + 1}", "p")
            for n in range(pilots)
        ]
        ports = self.ports
        self.upstreams = [
            Upstream(side, ports.application, ports.control, f"i-{n + 1}")
            for n, side in enumerate(self.sides)
        ]
        self.log = folder / "log.txt"
        self._log = open(self.log, "wb")  # noqa: SIM115 -- it lives as long as the mesh does
        self._version = 0

    def _write(self, machine: Machine, first: bool) -> None:
        machine.folder.mkdir(exist_ok=True)
        ports = self.ports
        seeds = [f"{one.ip}:{ports.control}" for one in self.core[:3]]
        behind = inner_ip(machine.ip) if self._behind_links else machine.ip
        lines = [
            f'Node = "{machine.folder.name}"',
            f'Ip = "{machine.ip if machine.role == "pilot" else behind}"',
            f'Zone = "{machine.zone}"',
            f"InternalPorts = [{ports.internal}, {ports.internal + 3}]",
            f"Seeds = {json.dumps(seeds)}",
            f"InitialStart = {str(first).lower()}",
            'Feedback = "500ms"',
        ]
        listen = [f'Control = "{machine.ip}:{ports.control}"']
        if machine.role == "pilot":
            lines += [f'Plant = "{machine.plant}"', f'Application = "{machine.ip}:{ports.application}"']
            listen += [
                f'{name} = "{ip}:{port}"'
                for name, ip, port in (
                    ("Inbound", behind, ports.inbound),
                    ("Outbound", machine.ip, ports.outbound),
                    ("Readiness", machine.ip, ports.readiness),
                )
            ]
        else:
            lines.append(f'DataDir = "{machine.folder / "data"}"')
        tail = ["[Listen]", *listen, "[Tolerance]", "Machines = 1", "[Bounds]", 'Grace = "3s"', ""]
        machine.settings.write_text("\n".join([*lines, *tail]))

    async def start(self) -> None:
        """All processes, upstreams and the first configuration; TimeoutError where they do not come up."""
        for machine in (*self.core, *self.sides):
            self._write(machine, first=True)
            machine.start(self._log)
        for upstream in self.upstreams:
            await upstream.start()
        plant = {"Name": "p", "HealthPath": "/health", "ConnLimit": 100, "Revision": "r1"}
        async with asyncio.timeout(SECONDS_TO_START):
            await self.amend([("read", "/read/", "idempotent"), ("bid", "/bid/", "keyed")], [plant])
            for side in self.sides:
                while not await self.ready(side):
                    await asyncio.sleep(0.05)
            for kind in ("read", "bid"):
                while (await self.request(self.sides[0], f"/{kind}/up", key=f"up-{kind}"))[0] != 200:
                    await asyncio.sleep(0.05)

    def restart(self, machine: Machine, wipe: bool = False) -> None:
        if wipe:
            for file in (machine.folder / "data").glob("*"):
                file.unlink()
        self._write(machine, first=False)
        machine.start(self._log)

    async def ready(self, side: Machine) -> bool:
        try:
            return (await call(side.ip, self.ports.readiness, "GET", "/v1/readiness"))[0] == 200
        except OSError:
            return False

    async def amend(self, routes: list[tuple[str, str, str]], plants: Any = ()) -> int:
        """Set routes (name, prefix, kind) under a new version at whichever lighthouse takes it."""
        self._version += 1
        paths = [
            {
                "Name": name,
                "PathPrefix": prefix,
                "SignalKind": kind,
                "Cutoff": "2s",
                "Setpoint": "1s",
                "Priority": 1,
                "Plant": "p",
                "MaxAttempts": 2,
                "Revision": f"r{self._version}",
            }
            for name, prefix, kind in routes
        ]
        body = {"Apply": {"Plants": list(plants), "Hosts": [{"Host": "h.example", "Paths": paths}]}}
        text = json.dumps(body).encode()
        while True:
            for machine in self.core:
                if machine.process is None:
                    continue
                try:
                    async with asyncio.timeout(1.0):
                        target = "/v1/rpc?call=config.amend"
                        status, _, said = await call(machine.ip, self.ports.control, "POST", target, text)
                except OSError:  # TimeoutError is one
                    continue
                if status == 200:
                    return self._version
                if status == 400:
                    raise ValueError(said.decode())
            await asyncio.sleep(0.05)

    async def request(
        self, side: Machine, target: str, key: str = "", attempt: str = "a", ms: int = 2000
    ) -> tuple[int, dict[str, str], bytes]:
        headers = {"X-Brackengate-Attempt-Id": attempt, "X-Brackengate-Deadline-Ms": str(ms)}
        if key:
            headers["X-Brackengate-Operation-Key"] = key
        return await call(side.ip, self.ports.outbound, "POST" if key else "GET", target, headers=headers)

    async def stop(self) -> None:
        for machine in (*self.core, *self.sides):
            machine.end()
        for upstream in self.upstreams:
            await upstream.stop()
        self._log.close()
