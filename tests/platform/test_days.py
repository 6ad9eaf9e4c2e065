"""The program as a process on operators' days: calls, figures, drains, and being replaced."""

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
    """What the platform holds: the clients' socket, the folder in common, a discovery and an upstream."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.common = folder / "tmp"
        self.common.mkdir()
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.port: int = self.socket.getsockname()[1]
        self.hold = asyncio.Event()
        self.holding: asyncio.Queue[str] = asyncio.Queue()  # requests that the upstream keeps until `hold`
        self.processes: list[Program] = []

    async def start(self) -> Platform:
        self.upstream = await Peer(self._serve).start()
        self.discovery = await Peer(replies(WATCH_HEAD)).start()
        return self

    async def _serve(self, message: tuple[str, dict[str, str], bytes], writer: asyncio.StreamWriter) -> None:
        if message[1]["x-txn"].startswith("held"):
            self.holding.put_nowait(message[1]["x-txn"])
            await self.hold.wait()
        writer.write(answer(200, b"done"))

    async def program(self, inherited: int | None = None, **more: str) -> Program:
        """`inherited`: the descriptor that is named to it; None: the listening socket's own."""
        number, admin = len(self.processes), free_port()
        path = self.folder / f"config{number}.json"
        known = {"index": 1, "snapshot": True, "endpoints": [row("u0", self.upstream.port)]}
        told = {"name": "n0", "listen": f"127.0.0.1:{self.port}", "seed": "1", "settings": SETTINGS}
        told |= {"discovery": f"127.0.0.1:{self.discovery.port}", "known": known}
        told |= {"limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "admin": f"127.0.0.1:{admin}"}
        path.write_text(json.dumps(told))
        env = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        env |= {"RELAY_CONFIG": str(path), "TMPDIR": str(self.common)} | more
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
        made = Program(process, admin)
        self.processes.append(made)
        return made

    async def close(self) -> None:
        for made in self.processes:
            if made.process.returncode is None:
                made.process.kill()
            await made.process.wait()
        self.socket.close()


class Program:
    def __init__(self, process: asyncio.subprocess.Process, admin: int) -> None:
        self.process, self.admin = process, admin

    async def ask(self, call: str) -> str:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.admin)
        writer.write(call.encode() + b"\n")
        told = (await reader.read()).decode()
        writer.close()
        return told

    async def until(self, call: str, word: str) -> None:
        told = ""
        while not told.startswith(word):
            with contextlib.suppress(OSError):  # it has not got so far
                told = await self.ask(call)

    async def figures(self) -> dict[str, int]:
        *lines, end = (await self.ask("vars")).splitlines()
        assert end == "END"
        pairs = [line.partition(":") for line in lines]
        return {name: int(value.partition("|")[0]) for name, _, value in pairs}


@contextlib.asynccontextmanager
async def platform(folder: Path) -> AsyncIterator[Platform]:
    made = await Platform(folder).start()
    try:
        yield made
    finally:
        await made.close()


async def ready(caller: Caller) -> tuple[int, str | None]:
    caller.writer.write(READY)
    status, headers, _ = await caller.read()
    return status, headers.get("connection")


def test_figures_are_those_that_the_test_counts(tmp_path: Path) -> None:
    async def main() -> None:
        async with platform(tmp_path) as made:
            program = await made.program()
            await program.until("check", "YES")
            figures = await program.figures()
            assert figures["app.success.read"] == figures["app.busy.buy"] == figures["app.inflight"] == 0
            caller, held, leaver = [await Caller.to(made.port) for _ in range(3)]
            for number in range(5):
                assert (await caller.ask(f"r{number}"))[0] == 200
            assert (await caller.ask("b0", "buy", body=b"x"))[0] == 200
            assert (await caller.ask("bad", "none"))[0] == 400  # no class: it counts nowhere
            held.send("held1", "buy", 1900)
            leaver.send("held2", "read", 1900)
            while len(made.upstream.requests) < 8:
                await made.upstream.got.get()
            figures = await program.figures()
            assert figures["app.inflight"] == 2 and figures["app.backend_calls"] == 8
            leaver.writer.close()
            while (await program.figures())["app.inflight"] != 1:
                pass
            made.hold.set()
            assert (await held.read())[0] == 200
            figures = await program.figures()
            assert [figures[f"app.success.{name}"] for name in ("read", "buy")] == [5, 2]
            assert figures["app.failure.read"] == figures["app.busy.read"] == 0
            assert (figures["app.hosts_listed"], figures["app.hosts_down"]) == (1, 0)
            made.upstream.server.close()
            for writer in made.upstream.writers:
                writer.close()
            for number in range(4):
                assert (await caller.ask(f"dead{number}", ms=300))[0] in (503, 504)
            figures = await program.figures()
            assert figures["app.hosts_down"] == 1 and figures["app.inflight"] == 0
            assert figures["app.busy.read"] + figures["app.failure.read"] == 4

    run(main())


def test_operators_are_answered_beside_a_full_crowd_of_callers(tmp_path: Path) -> None:
    """More callers than the sockets allow hold unfinished heads, others hold operators' connections."""

    async def main() -> None:
        async with platform(tmp_path) as made:
            program = await made.program()
            await program.until("check", "YES")
            crowd = []
            for _ in range(300):  # 256 descriptors in all
                _, writer = await asyncio.open_connection("127.0.0.1", made.port)
                writer.write(b"POST /api HTTP/1.1\r\nX-T")
                crowd.append(writer)
            for _ in range(40):
                _, writer = await asyncio.open_connection("127.0.0.1", program.admin)
                writer.write(b"che")
                crowd.append(writer)
            for call in ("check", "vars", "drain-on", "drain-off", "check"):
                assert (await program.ask(call)).splitlines()[-1] in ("YES", "END")
            assert (await program.figures())["app.inflight"] == 0  # none of them is a request
            for writer in crowd:
                writer.close()

    run(main())


def test_a_drain_sends_clients_away_keeps_what_runs_and_ends(tmp_path: Path) -> None:
    async def main() -> None:
        async with platform(tmp_path) as made:
            program = await made.program()
            await program.until("check", "YES")
            idle, held, kept = [await Caller.to(made.port) for _ in range(3)]
            for caller in (idle, kept):
                assert await ready(caller) == (200, None)
            held.send("held", "buy", 1900)
            await made.upstream.got.get()
            assert await program.ask("drain-on") == "YES\n"
            assert await program.ask("drain-on") == "YES\n"
            assert await program.ask("check") == "NO not ready: drained by a call\n"
            assert await ready(kept) == (503, "close")
            fresh = await Caller.to(made.port)  # they still come for a while, and are served
            status, headers, _ = await fresh.ask("fresh")
            assert (status, headers["connection"]) == (200, "close")
            assert await idle.ended()  # closed while nothing was on it
            made.hold.set()
            status, headers, body = await held.read()
            assert (status, headers["connection"], body) == (200, "close", b"done")
            program.process.send_signal(signal.SIGHUP)
            assert await program.ask("check") == "NO not ready: drained by a call\n"
            assert await program.ask("drain-off") == "YES\n"
            back = await Caller.to(made.port)
            assert await ready(back) == (200, None)
            assert (await back.ask("back"))[0] == 200
            assert await program.ask("drain-off") == "YES\n"
            assert await program.ask("drain-on") == "YES\n"
            program.process.send_signal(signal.SIGTERM)
            assert await program.process.wait() == 0

    run(main())


def test_a_process_is_replaced_under_load_and_no_request_goes_unheard(tmp_path: Path) -> None:
    """Twice in a row, beside callers that keep their connections; a buy in flight ends in the old process."""

    async def main() -> None:
        async with platform(tmp_path) as made:
            old = await made.program()
            await old.until("check", "YES")
            over, served = asyncio.Event(), 0

            async def load(name: str) -> None:
                """As clients do: what a closed connection did not take goes once more on a new one."""
                nonlocal served
                caller, number = await Caller.to(made.port), 0
                while not over.is_set():
                    number += 1
                    try:
                        status, headers, _ = await caller.ask(f"{name}{number}")
                    except (asyncio.IncompleteReadError, ConnectionError):  # the close crossed it
                        caller = await Caller.to(made.port)
                        status, headers, _ = await caller.ask(f"{name}{number}")
                    assert status == 200
                    served += 1
                    if headers.get("connection") == "close":
                        caller = await Caller.to(made.port)

            callers = [asyncio.create_task(load(name)) for name in ("c", "d", "e")]
            for turn in range(2):
                made.hold.clear()
                held = await Caller.to(made.port)
                held.send(f"held{turn}", "buy", 1900)
                assert await made.holding.get() == f"held{turn}"
                new = await made.program()
                await new.until("check", "YES")
                old.process.send_signal(signal.SIGTERM)
                made.hold.set()
                assert (await held.read())[0] == 200
                assert await old.process.wait() == 0
                before = served
                while served < before + 20:
                    await asyncio.sleep(0)
                old = new
            over.set()
            await asyncio.gather(*callers)
            ran = [m[1]["x-txn"] for m in made.upstream.requests]
            assert len(ran) == len(set(ran))  # nothing ran twice
            assert (await old.figures())["app.success.read"] > 0
            assert len(os.listdir(made.common)) == 1

    run(main())


def test_a_new_one_that_dies_before_or_after_its_yes_leaves_the_old_one_serving(tmp_path: Path) -> None:
    async def main() -> None:
        async with platform(tmp_path) as made:
            old = await made.program()
            await old.until("check", "YES")
            early = await made.program()
            early.process.kill()
            await early.process.wait()
            caller = await Caller.to(made.port)
            assert (await caller.ask("a1"))[0] == 200
            late = await made.program()
            await late.until("check", "YES")
            answers: list[str | None] = []
            while answers[-1:] != ["close"]:  # the old one has seen it, and asks its callers to go
                status, headers, _ = await caller.ask(f"b{len(answers)}")
                assert status == 200
                answers.append(headers.get("connection"))
            late.process.kill()
            await late.process.wait()
            again = await Caller.to(made.port)
            assert (await again.ask("c1"))[0] == 200  # the old one accepts again
            assert (await old.ask("check")) == "YES\n"

    run(main())


def test_an_old_one_that_dies_early_leaves_the_new_one_serving(tmp_path: Path) -> None:
    async def main() -> None:
        async with platform(tmp_path) as made:
            old = await made.program()
            await old.until("check", "YES")
            new = await made.program()
            old.process.kill()
            await old.process.wait()
            await new.until("check", "YES")
            assert (await (await Caller.to(made.port)).ask("a1"))[0] == 200

    run(main())


@pytest.mark.parametrize("descriptor", [199, 0])
def test_a_descriptor_that_is_no_listening_socket_is_passed_over(tmp_path: Path, descriptor: int) -> None:
    """It binds the address itself, which is free here."""

    async def main() -> None:
        async with platform(tmp_path) as made:
            made.socket.close()
            made.socket = socket.create_server(("127.0.0.1", 0))  # another one is passed, and not named
            program = await made.program(inherited=descriptor)
            await program.until("check", "YES")
            assert (await (await Caller.to(made.port)).ask("a1"))[0] == 200

    run(main())


def test_a_descriptor_that_is_no_number_is_one_line_and_exit_2(tmp_path: Path) -> None:
    async def main() -> None:
        async with platform(tmp_path) as made:
            program = await made.program(RELAY_ADMIN="nowhere")
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
