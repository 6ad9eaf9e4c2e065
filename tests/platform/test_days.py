"""The balancer as a process: operators' calls, metrics, drains, and replacement by another process."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from peers import WATCH_HEAD, Caller, Peer, answer, replies, row, run

ROOT = Path(__file__).parent.parent.parent
SETTINGS = {
    "Classes": [
        {"Name": "read", "AimUs": 2_000_000, "DeadlineUs": 2_000_000, "Idempotency": "repeatable"},
        {"Name": "buy", "AimUs": 2_000_000, "DeadlineUs": 2_000_000, "Idempotency": "once"},
    ],
    "PolicyLimits": {"MaxAttempts": 4, "Cancel": True},
}
READY = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Platform:
    """What a platform provides: the clients' socket, the common directory, discovery and an upstream."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.common_directory = directory / "tmp"
        self.common_directory.mkdir()
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.port: int = self.socket.getsockname()[1]
        self.release = asyncio.Event()
        self.held_requests: asyncio.Queue[str] = (
            asyncio.Queue()
        )  # requests that the upstream holds until `release`
        self.processes: list[Program] = []

    async def start(self) -> Platform:
        self.upstream = await Peer(self._serve).start()
        self.discovery = await Peer(replies(WATCH_HEAD)).start()
        return self

    async def _serve(self, message: tuple[str, dict[str, str], bytes], writer: asyncio.StreamWriter) -> None:
        if message[1]["x-txn"].startswith("held"):
            self.held_requests.put_nowait(message[1]["x-txn"])
            await self.release.wait()
        writer.write(answer(200, b"done"))

    async def start_program(self, inherited: int | None = None, **extra_env: str) -> Program:
        """Start a process.  `inherited`: the descriptor it is given; None: that of the listening socket."""
        number, admin = len(self.processes), free_port()
        path = self.directory / f"config{number}.json"
        known = {"index": 1, "snapshot": True, "endpoints": [row("u0", self.upstream.port)]}
        config = {"name": "n0", "listen": f"127.0.0.1:{self.port}", "seed": "1", "settings": SETTINGS}
        config |= {"discovery": f"127.0.0.1:{self.discovery.port}", "known": known}
        config |= {"limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "admin": f"127.0.0.1:{admin}"}
        path.write_text(json.dumps(config))
        env = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        env |= {"RELAY_CONFIG": str(path), "TMPDIR": str(self.common_directory)} | extra_env
        env["RELAY_LISTEN_FD"] = str(self.socket.fileno() if inherited is None else inherited)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "brackengate",
            cwd=ROOT,
            env=env,
            stderr=asyncio.subprocess.DEVNULL,
            pass_fds=(self.socket.fileno(),),
        )
        program = Program(process, admin)
        self.processes.append(program)
        return program

    async def close(self) -> None:
        for program in self.processes:
            if program.process.returncode is None:
                program.process.kill()
            await program.process.wait()
        self.socket.close()


class Program:
    """One balancer process and its operators' calls."""

    def __init__(self, process: asyncio.subprocess.Process, admin: int) -> None:
        self.process, self.admin = process, admin

    async def ask(self, call: str) -> str:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.admin)
        writer.write(call.encode() + b"\n")
        reply = (await reader.read()).decode()
        writer.close()
        return reply

    async def wait_for(self, call: str, prefix: str) -> None:
        reply = ""
        while not reply.startswith(prefix):
            with contextlib.suppress(OSError):  # it does not listen yet
                reply = await self.ask(call)

    async def metrics(self) -> dict[str, int]:
        *lines, end = (await self.ask("vars")).splitlines()
        assert end == "END"
        pairs = [line.partition(":") for line in lines]
        return {name: int(value.partition("|")[0]) for name, _, value in pairs}


@contextlib.asynccontextmanager
async def platform(directory: Path) -> AsyncIterator[Platform]:
    host = await Platform(directory).start()
    try:
        yield host
    finally:
        await host.close()


async def ready(caller: Caller) -> tuple[int, str | None]:
    caller.writer.write(READY)
    status, headers, _ = await caller.read()
    return status, headers.get("connection")


def test_the_metrics_have_the_counts_of_the_test(tmp_path: Path) -> None:
    async def main() -> None:
        async with platform(tmp_path) as host:
            program = await host.start_program()
            await program.wait_for("check", "YES")
            metrics = await program.metrics()
            assert metrics["app.success.read"] == metrics["app.busy.buy"] == metrics["app.inflight"] == 0
            caller, held, leaver = [await Caller.to(host.port) for _ in range(3)]
            for number in range(5):
                assert (await caller.ask(f"r{number}"))[0] == 200
            assert (await caller.ask("b0", "buy", body=b"x"))[0] == 200
            assert (await caller.ask("bad", "none"))[0] == 400  # an unknown class is counted nowhere
            held.send("held1", "buy", 1900)
            leaver.send("held2", "read", 1900)
            while len(host.upstream.requests) < 8:
                await host.upstream.got.get()
            metrics = await program.metrics()
            assert metrics["app.inflight"] == 2 and metrics["app.backend_calls"] == 8
            leaver.writer.close()
            while (await program.metrics())["app.inflight"] != 1:
                pass
            host.release.set()
            assert (await held.read())[0] == 200
            metrics = await program.metrics()
            assert [metrics[f"app.success.{name}"] for name in ("read", "buy")] == [5, 2]
            assert metrics["app.failure.read"] == metrics["app.busy.read"] == 0
            assert (metrics["app.hosts_listed"], metrics["app.hosts_down"]) == (1, 0)
            host.upstream.server.close()
            for writer in host.upstream.writers:
                writer.close()
            for number in range(4):
                assert (await caller.ask(f"dead{number}", ms=300))[0] in (503, 504)
            metrics = await program.metrics()
            assert metrics["app.hosts_down"] == 1 and metrics["app.inflight"] == 0
            assert metrics["app.busy.read"] + metrics["app.failure.read"] == 4

    run(main())


def test_operators_are_answered_while_clients_use_all_sockets(tmp_path: Path) -> None:
    """More clients than there are sockets send unfinished heads; others hold operators' connections open."""

    async def main() -> None:
        async with platform(tmp_path) as host:
            program = await host.start_program()
            await program.wait_for("check", "YES")
            connections = []
            for _ in range(300):  # 256 descriptors in total
                _, writer = await asyncio.open_connection("127.0.0.1", host.port)
                writer.write(b"POST /api HTTP/1.1\r\nX-T")
                connections.append(writer)
            for _ in range(40):
                _, writer = await asyncio.open_connection("127.0.0.1", program.admin)
                writer.write(b"che")
                connections.append(writer)
            for call in ("check", "vars", "drain-on", "drain-off", "check"):
                assert (await program.ask(call)).splitlines()[-1] in ("YES", "END")
            assert (await program.metrics())["app.inflight"] == 0  # none of them is a request
            for writer in connections:
                writer.close()

    run(main())


def test_a_drain_closes_idle_connections_serves_requests_in_flight_and_can_be_ended(tmp_path: Path) -> None:
    async def main() -> None:
        async with platform(tmp_path) as host:
            program = await host.start_program()
            await program.wait_for("check", "YES")
            idle, held, kept = [await Caller.to(host.port) for _ in range(3)]
            for caller in (idle, kept):
                assert await ready(caller) == (200, None)
            held.send("held", "buy", 1900)
            await host.upstream.got.get()
            assert await program.ask("drain-on") == "YES\n"
            assert await program.ask("drain-on") == "YES\n"
            assert await program.ask("check") == "NO not ready: drained by a call\n"
            assert await ready(kept) == (503, "close")
            fresh = await Caller.to(host.port)  # new clients still connect for a while and are served
            status, headers, _ = await fresh.ask("fresh")
            assert (status, headers["connection"]) == (200, "close")
            assert await idle.ended()  # closed while idle
            host.release.set()
            status, headers, body = await held.read()
            assert (status, headers["connection"], body) == (200, "close", b"done")
            program.process.send_signal(signal.SIGHUP)
            assert await program.ask("check") == "NO not ready: drained by a call\n"
            assert await program.ask("drain-off") == "YES\n"
            back = await Caller.to(host.port)
            assert await ready(back) == (200, None)
            assert (await back.ask("back"))[0] == 200
            assert await program.ask("drain-off") == "YES\n"
            assert await program.ask("drain-on") == "YES\n"
            program.process.send_signal(signal.SIGTERM)
            assert await program.process.wait() == 0

    run(main())


def test_a_process_is_replaced_under_load_and_each_request_is_answered(tmp_path: Path) -> None:
    """Twice in a row, under load on kept connections; a request in flight ends in the old process."""

    async def main() -> None:
        async with platform(tmp_path) as host:
            old = await host.start_program()
            await old.wait_for("check", "YES")
            finished, served = asyncio.Event(), 0

            async def load(name: str) -> None:
                """As clients do, repeat a request once on a new connection if the old one closed first."""
                nonlocal served
                caller, number = await Caller.to(host.port), 0
                while not finished.is_set():
                    number += 1
                    try:
                        status, headers, _ = await caller.ask(f"{name}{number}")
                    except (asyncio.IncompleteReadError, ConnectionError):  # closed while it was being sent
                        caller = await Caller.to(host.port)
                        status, headers, _ = await caller.ask(f"{name}{number}")
                    assert status == 200
                    served += 1
                    if headers.get("connection") == "close":
                        caller = await Caller.to(host.port)

            callers = [asyncio.create_task(load(name)) for name in ("c", "d", "e")]
            for turn in range(2):
                host.release.clear()
                held = await Caller.to(host.port)
                held.send(f"held{turn}", "buy", 1900)
                assert await host.held_requests.get() == f"held{turn}"
                new = await host.start_program()
                await new.wait_for("check", "YES")
                old.process.send_signal(signal.SIGTERM)
                host.release.set()
                assert (await held.read())[0] == 200
                assert await old.process.wait() == 0
                before = served
                while served < before + 20:
                    await asyncio.sleep(0)
                old = new
            finished.set()
            await asyncio.gather(*callers)
            ran = [m[1]["x-txn"] for m in host.upstream.requests]
            assert len(ran) == len(set(ran))  # nothing ran twice
            assert (await old.metrics())["app.success.read"] > 0
            assert len(os.listdir(host.common_directory)) == 1

    run(main())


def test_a_new_process_that_dies_before_or_after_it_is_ready_leaves_the_old_one_serving(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with platform(tmp_path) as host:
            old = await host.start_program()
            await old.wait_for("check", "YES")
            early = await host.start_program()
            early.process.kill()
            await early.process.wait()
            caller = await Caller.to(host.port)
            assert (await caller.ask("a1"))[0] == 200
            late = await host.start_program()
            await late.wait_for("check", "YES")
            answers: list[str | None] = []
            while answers[-1:] != ["close"]:  # the old one has seen it and closes its connections
                status, headers, _ = await caller.ask(f"b{len(answers)}")
                assert status == 200
                answers.append(headers.get("connection"))
            late.process.kill()
            await late.process.wait()
            new_client = await Caller.to(host.port)
            assert (await new_client.ask("c1"))[0] == 200  # the old one accepts again
            assert (await old.ask("check")) == "YES\n"

    run(main())


def test_an_old_process_that_dies_early_leaves_the_new_one_serving(tmp_path: Path) -> None:
    async def main() -> None:
        async with platform(tmp_path) as host:
            old = await host.start_program()
            await old.wait_for("check", "YES")
            new = await host.start_program()
            old.process.kill()
            await old.process.wait()
            await new.wait_for("check", "YES")
            assert (await (await Caller.to(host.port)).ask("a1"))[0] == 200

    run(main())


@pytest.mark.parametrize("descriptor", [199, 0])
def test_a_descriptor_that_is_no_listening_socket_is_ignored(tmp_path: Path, descriptor: int) -> None:
    """It binds the address itself, which is free here."""

    async def main() -> None:
        async with platform(tmp_path) as host:
            host.socket.close()
            host.socket = socket.create_server(("127.0.0.1", 0))  # another one is passed, but not named
            program = await host.start_program(inherited=descriptor)
            await program.wait_for("check", "YES")
            assert (await (await Caller.to(host.port)).ask("a1"))[0] == 200

    run(main())


def test_a_descriptor_that_is_no_number_gives_one_error_line_and_exit_code_2(tmp_path: Path) -> None:
    async def main() -> None:
        async with platform(tmp_path) as host:
            program = await host.start_program(RELAY_ADMIN="nowhere")
            assert await program.process.wait() == 2
            path = tmp_path / "config0.json"
            env = {**os.environ, "RELAY_CONFIG": str(path), "RELAY_LISTEN_FD": "seven"}
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "brackengate", cwd=ROOT, env=env, stderr=asyncio.subprocess.PIPE
            )
            _, errors = await process.communicate()
            assert process.returncode == 2
            assert (
                errors.startswith(b"brackengate: RELAY_LISTEN_FD is not the number")
                and errors.count(b"\n") == 1
            )

    run(main())
