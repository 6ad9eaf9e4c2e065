"""What the service manager hands over and is told, control sockets, and sources of upstreams."""

from __future__ import annotations

import asyncio
import os
import socket
import sys
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import pytest
from fleetkit import Command, fleet, installation, run, static

from brackengate.fleet import activation, control
from brackengate.fleet.notify import Notifier
from brackengate.fleet.sources import FileSource, StaticSource
from brackengate.installation.reading import BadFile, load_upstreams, whereabouts
from brackengate.installation.schema import Upstream as Row
from brackengate.interface import Endpoint, Lifecycle, ListKind
from standins.clients import AUCTION, Clients, Kind, Repeat
from standins.discovery import Discovery
from standins.upstream import Shape, Upstream


class Manager:
    """A service manager's NOTIFY_SOCKET."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "notify"
        self.socket = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        self.socket.bind(str(self.path))
        self.socket.setblocking(False)
        self.told: list[str] = []

    async def until(self, line: str) -> list[str]:
        """Read until a message has this line; all messages so far."""
        loop = asyncio.get_running_loop()
        while not any(line in message.splitlines() for message in self.told):
            self.told.append((await loop.sock_recv(self.socket, 4096)).decode())
        return self.told


async def upstream(name: str = "u0") -> Upstream:
    return await Upstream(name, Shape(16, 64, 2)).start()


# --- the published conventions, on a real instance


def test_an_instance_tells_its_manager_each_step_and_that_it_lives(tmp_path: Path) -> None:
    async def main() -> None:
        up, manager = await upstream(), Manager(tmp_path)
        path = installation(tmp_path, static(up))
        env = {"NOTIFY_SOCKET": str(manager.path), "WATCHDOG_USEC": "200000"}
        serve = await Command.start("serve", path, env=env)
        try:
            await manager.until("READY=1")
            await manager.until("WATCHDOG=1")
            manager.told.clear()
            before = time.monotonic_ns() // 1000
            serve.process.send_signal(1)
            told = await manager.until("RELOADING=1")
            usec = next(line for line in told[-1].splitlines() if line.startswith("MONOTONIC_USEC="))
            assert before <= int(usec.partition("=")[2]) <= time.monotonic_ns() // 1000
            await manager.until("READY=1")
            serve.process.terminate()
            await manager.until("STOPPING=1")
            assert await serve.end() == 0
        finally:
            if serve.process.returncode is None:
                serve.process.kill()

    run(main())


def test_an_instance_serves_on_a_socket_that_was_handed_over(tmp_path: Path) -> None:
    """Connections made before it runs wait in that socket, and are served."""

    async def main() -> None:
        up = await upstream()
        path = installation(tmp_path, static(up))
        with socket.create_server(("127.0.0.1", 0)) as sock:
            clients = Clients(sock.getsockname()[1], 1)
            clients.ask(Kind("pregled", Repeat.SAFE, 1.0, 30.0))
            # LISTEN_PID must be the program's own: a shell that becomes it can tell.
            script = 'LISTEN_PID=$$ exec "$0" -m brackengate.cli serve "$1" 3<&' + str(sock.fileno())
            serve = await asyncio.create_subprocess_exec(
                "/bin/bash", "-c", script, sys.executable, str(path),
                cwd=Path(__file__).parent.parent.parent, pass_fds=[sock.fileno()],
                env={**os.environ, "LISTEN_FDS": "1", "LISTEN_FDNAMES": "api"},
                stderr=asyncio.subprocess.DEVNULL,
            )  # fmt: skip
            await clients.settle()
            assert [t.status for t in clients.tally.tries] == [200]
            serve.terminate()
            assert await serve.wait() == 0

    run(main())


def test_sockets_meant_for_another_process_are_left_alone() -> None:
    assert activation.inherited({"LISTEN_PID": str(os.getpid() + 1), "LISTEN_FDS": "2"}) == []
    assert activation.inherited({}) == []


def test_names_go_with_descriptors_in_order() -> None:
    me = str(os.getpid())
    told = activation.inherited({"LISTEN_PID": me, "LISTEN_FDS": "2", "LISTEN_FDNAMES": "api:admin"})
    assert told == [("api", 3), ("admin", 4)]
    assert activation.inherited({"LISTEN_PID": me, "LISTEN_FDS": "1"}) == [("unknown", 3)]


@pytest.mark.parametrize(
    "more", [{"LISTEN_FDS": "x"}, {"LISTEN_FDS": "9999"}, {"LISTEN_FDS": "2", "LISTEN_FDNAMES": "a"}]
)
def test_activation_that_makes_no_sense_is_refused(more: dict[str, str]) -> None:
    with pytest.raises(activation.BadActivation):
        activation.inherited({"LISTEN_PID": str(os.getpid()), **more})


def test_what_is_no_listening_socket_is_refused(tmp_path: Path) -> None:
    read_end, write_end = os.pipe()
    with pytest.raises(activation.BadActivation, match="no socket"):
        activation.listening(read_end)
    with socket.socket() as idle, pytest.raises(activation.BadActivation, match="listens"):
        activation.listening(idle.fileno())
    os.close(read_end)
    os.close(write_end)


def test_a_manager_that_does_not_read_loses_no_message_and_holds_nobody_up(tmp_path: Path) -> None:
    """Its queue holds some ten; the newest 16 wait beside it, and go out as it reads."""

    async def main() -> None:
        manager = Manager(tmp_path)
        notifier = Notifier({"NOTIFY_SOCKET": str(manager.path)})
        limit = int(Path("/proc/sys/net/unix/max_dgram_qlen").read_text()) + 1
        for number in range(limit + 8):
            notifier.tell(f"N={number}")
        await manager.until(f"N={limit + 7}")
        assert manager.told == [f"N={number}" for number in range(limit + 8)]
        notifier.close()

    run(main())


def test_a_manager_that_has_gone_is_counted_and_raises_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        notifier = Notifier({"NOTIFY_SOCKET": str(tmp_path / "nobody")})
        notifier.tell("READY=1")
        assert notifier.failed == 1
        assert Notifier({}).watchdog_us == 0
        assert Notifier({"WATCHDOG_USEC": "5", "WATCHDOG_PID": "1"}).watchdog_us == 0
        assert Notifier({"WATCHDOG_USEC": "5", "WATCHDOG_PID": str(os.getpid())}).watchdog_us == 5

    run(main())


# --- the folder for sockets


def test_a_runtime_dir_that_others_may_enter_is_refused(tmp_path: Path) -> None:
    (tmp_path / "open").mkdir(mode=0o755)
    with pytest.raises(control.BadRuntimeDir, match="0700"):
        control.runtime_dir(str(tmp_path / "open"), "x")
    with pytest.raises(control.BadRuntimeDir, match="100 at most"):
        control.runtime_dir(str(tmp_path / ("x" * 100)), "x")
    assert control.runtime_dir(str(tmp_path / "new" / "one"), "x").stat().st_mode & 0o777 == 0o700


def test_a_fleet_can_be_found_by_a_file_that_is_at_fault(tmp_path: Path) -> None:
    path = tmp_path / "f.toml"
    path.write_text('[installation]\nname = "n"\n[fleet]\nruntime_dir = "r"\ninstances = "many"\n')
    assert whereabouts(path) == ("n", "r")
    assert whereabouts(path, ["fleet.runtime_dir=s"]) == ("n", "s")
    for bad in ("", "installation = 1", "[installation]\nname = 1"):
        path.write_text(bad)
        with pytest.raises(BadFile, match="installation"):
            whereabouts(path)


# --- sources


class FakeNode:
    """Keeps what it is told."""

    class clock:
        @staticmethod
        def now() -> int:
            return 5_000_000

    def __init__(self) -> None:
        self.lists: list[list[Endpoint]] = []
        self.new = asyncio.Event()

    def update_upstreams(
        self, kind: ListKind, rows: Iterable[tuple[Endpoint, Any]], version: int = 0
    ) -> None:
        assert kind is ListKind.FULL
        self.lists.append([row for row, _ in rows])
        self.new.set()


def row(name: str, **more: Any) -> Row:
    return Row(name=name, address="127.0.0.1:1", **more)


def test_rows_from_the_start_are_warm_and_later_ones_just_started() -> None:
    node = FakeNode()
    source = StaticSource(node)  # type: ignore[arg-type]
    source.put([row("a"), row("b", state="draining")])
    source.put([row("a"), row("c")])
    source.put([row("a"), row("b")])
    assert [(e.upstream, e.started_at) for e in node.lists[0]] == [("a", 0), ("b", 0)]
    assert node.lists[0][1].state is Lifecycle.DRAINING
    assert [(e.upstream, e.started_at) for e in node.lists[1]] == [("a", 0), ("c", 5_000_000)]
    assert [(e.upstream, e.started_at) for e in node.lists[2]] == [("a", 0), ("b", 5_000_000)]  # back: cold


def test_a_watched_file_is_followed_and_a_bad_one_changes_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        path, node = tmp_path / "u.toml", FakeNode()
        path.write_text('[[upstream]]\nname = "a"\naddress = "127.0.0.1:1"\n')
        source = FileSource(node, str(path), 0.01)  # type: ignore[arg-type]
        source.start()
        assert [e.upstream for e in node.lists[-1]] == ["a"]
        path.write_text('[[upstream]]\nname = "a"\naddress = "nowhere"\n')
        while source.turned_down < 1:
            await asyncio.sleep(0)
        assert len(node.lists) == 1
        node.new.clear()
        path.write_text('[[upstream]]\nname = "bb"\naddress = "127.0.0.1:2"\n')
        await node.new.wait()
        assert [e.upstream for e in node.lists[-1]] == ["bb"]
        path.unlink()
        while source.turned_down < 2:
            await asyncio.sleep(0)
        assert len(node.lists) == 2
        other = tmp_path / "v.toml"
        other.write_text("")
        source.follow(str(other), 0.01)
        assert node.lists[-1] == []  # an empty list is a list
        source.close()

    run(main())


def test_an_upstream_file_names_all_of_its_faults(tmp_path: Path) -> None:
    path = tmp_path / "u.toml"
    two = '[[upstream]]\nname = "a"\naddress = "127.0.0.1:1"\n[[upstream]]\nname = "a"\naddress = "x:1"\n'
    path.write_text(two + "zome = 1\n")
    with pytest.raises(BadFile) as caught:
        load_upstreams(path)
    assert ":7: upstream[1].zome" in str(caught.value)
    path.write_text(two)
    with pytest.raises(BadFile) as caught:
        load_upstreams(path)
    assert ":5: upstream[1].name: 'a' stands twice" in str(caught.value) and "no name" in str(caught.value)


def test_an_instance_that_follows_discovery_serves_and_drains_by_it(tmp_path: Path) -> None:
    """The source `discovery`, with the stand-in of it: listed, drained, gone, and none at all."""

    async def main() -> None:
        one, two = await upstream("one"), await upstream("two")
        seznam = await Discovery().start()
        source = f'[upstreams]\nsource = "discovery"\ndiscovery = "{seznam.address}"\n'
        async with fleet(installation(tmp_path, source, instances=1)) as made:
            await seznam.watched.get()
            await seznam.put(one.row(), two.row())
            clients = Clients(await made.port(), 1)
            await made.until_ready(1)
            one.draining = True
            await seznam.put(one.row())
            while (await made.until_ready(1))[0]["says"]["upstreams"] != 1:
                pass
            seen = len(one.arrivals)
            for _ in range(10):
                clients.ask(AUCTION[1])
            await clients.settle()
            assert {t.status for t in clients.tally.tries} == {200}
            assert len(one.arrivals) == seen  # nothing new once told
            await seznam.remove("two")
            while (await made.until_ready(1))[0]["says"]["upstreams"] != 0:
                pass
            clients.ask(AUCTION[2])
            await clients.settle()
            refused = clients.tally.tries[-1]
            assert refused.status in (502, 503) and sum(two.executions.values()) == 10
            assert await made.stop() == 0

    run(main())
