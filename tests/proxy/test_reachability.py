"""Work at a machine that answers no datagrams is cut off only where no connection answers either."""

from __future__ import annotations

import asyncio
import socket

import pytest
from peers import run

from brackengate.proxy import reachability
from brackengate.proxy.reachability import Reachability

LOCAL = "127.0.0.1"


class Machine:
    """A listener that can be full, so that connections to it hang as into a cut, or closed."""

    def __init__(self) -> None:
        self._listener = socket.create_server((LOCAL, 0), backlog=0)
        self._waiting: list[socket.socket] = []
        self.address: tuple[str, int] = self._listener.getsockname()

    def fill(self) -> None:
        """Until the kernel answers no more."""
        for _ in range(8):
            one = socket.socket()
            one.setblocking(False)
            one.connect_ex(self.address)
            self._waiting.append(one)

    def close(self) -> None:
        for one in (*self._waiting, self._listener):
            one.close()


class Checked:
    def __init__(self, machine: Machine) -> None:
        self.ended = asyncio.Event()
        self.unreachable: list[str] = []
        self.reachability = Reachability(
            asyncio.get_running_loop(), lambda _: machine.address, self._on_unreachable
        )

    def _on_unreachable(self, machine: str) -> None:
        self.unreachable.append(machine)
        self.ended.set()


def test_one_that_takes_connections_keeps_its_work_until_it_takes_none() -> None:
    async def play() -> None:
        server = await asyncio.start_server(lambda _, writer: writer.write(b"HTTP/1.1 400 X\r\n"), LOCAL, 0)
        machine = Machine()
        machine.address, before = server.sockets[0].getsockname()[:2], machine.address
        checked = Checked(machine)
        checked.reachability.check("m")
        for _ in range(3):
            assert await checked.reachability._is_reachable("m")
        assert checked.unreachable == []
        server.close()
        machine.close()
        machine.address = before
        await checked.ended.wait()
        assert checked.unreachable == ["m"]

    run(play())


@pytest.mark.parametrize("full", [True, False])
def test_one_that_answers_nothing_is_cut_off_after_a_while(full: bool) -> None:
    """Also where its kernel takes the connection, as that of a frozen process does."""

    async def play() -> None:
        machine = Machine()
        if full:
            machine.fill()
        checked, loop = Checked(machine), asyncio.get_running_loop()
        since = loop.time()
        checked.reachability.check("m")
        checked.reachability.check("m")
        await checked.ended.wait()
        assert loop.time() - since >= reachability.ANSWER_TIMEOUT_S * 0.9 and checked.unreachable == ["m"]
        machine.close()

    run(play())


def test_one_that_answers_again_meanwhile_is_not() -> None:
    async def play() -> None:
        machine = Machine()
        machine.fill()
        checked = Checked(machine)
        checked.reachability.check("m")
        await asyncio.sleep(0)
        checked.reachability.cancel("m")
        assert checked.reachability._checks == {}
        checked.reachability.check("n")
        await checked.ended.wait()
        assert checked.unreachable == ["n"]
        machine.close()

    run(play())
