"""A connection that is established just as its attempt is cancelled is closed, not leaked."""

from __future__ import annotations

import asyncio
from typing import Any, cast

from brackengate.interface import Outcome
from brackengate.net.sockets import SocketBudget
from brackengate.net.upstream import Pool, Result


class Transport:
    aborted = False

    def set_write_buffer_limits(self, high: int) -> None: ...

    def abort(self) -> None:
        self.aborted = True


class Socket:
    def close(self) -> None: ...


class Wire:
    def now(self) -> int:
        return 0

    def socket(self, address: Any) -> Any:
        return Socket()


class Loop:
    """The running loop; its connections are established one iteration before the waiting task resumes."""

    def __init__(self) -> None:
        self._real, self.transport = asyncio.get_running_loop(), Transport()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._real, name)

    async def sock_connect(self, sock: Any, address: Any) -> None: ...

    async def create_connection(self, factory: Any, sock: Any) -> None:
        factory().connection_made(self.transport)
        await asyncio.sleep(0)


def test_a_dial_cancelled_as_its_connection_is_established_leaves_none_open() -> None:
    async def main() -> None:
        loop, budget, found = Loop(), SocketBudget(10), list[Result]()
        pool = Pool(cast(Any, loop), budget, 1.0, 9.0, network=cast(Any, Wire()))
        job = pool.start("u", ("host", 1), b"x", found.append)
        await asyncio.sleep(0)  # the connection is established
        job.give_up(Outcome.TIMEOUT)
        for _ in range(3):
            await asyncio.sleep(0)
        assert ([one.outcome for one in found], loop.transport.aborted) == ([Outcome.TIMEOUT], True)
        assert budget.in_use == 0
        pool.close()

    asyncio.run(main())
