"""Queries and commands to control replicas at their internal port, over one connection each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from brackengate.net.sockets import Address, parse_address
from brackengate.protocol.json_connection import JsonConnection
from brackengate.protocol.messages import (
    Amend,
    CommandResult,
    Configuration,
    Explain,
    Followers,
    FollowerStatus,
    Held,
    Inquiry,
    InquiryResult,
    ItemList,
    Leave,
    Message,
    Read,
    Rejoin,
    ReplicaStatus,
    Result,
    Stand,
)

CONNECT_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 2.0  # for the status of one replica and its followers
CHAIN_TIMEOUT_S = 14.0  # through the chain: a replica gives up after 12 s
DISCOVERY_ROUNDS = 3  # members name further members: so many find a control plane that is being replaced
Query = Stand | Held | Leave | Rejoin | Explain | Amend | Read
QueryResult = CommandResult | InquiryResult | None


class Unanswered(Exception):
    """A control replica that did not answer, the step that failed, and why."""

    def __init__(self, step: str, peer: Address, why: str) -> None:
        super().__init__(f"step {step}, lighthouse {peer[0]}:{peer[1]}: {why}")
        self.peer, self.why = peer, why


async def ask(address: Address, what: Query, within_s: float = ANSWER_TIMEOUT_S) -> QueryResult:
    """Send one query; its answer.  Raises Unanswered."""
    loop = asyncio.get_running_loop()
    answer: asyncio.Future[QueryResult] = loop.create_future()
    name = type(what).__name__.lower()

    def on_line(lines: JsonConnection, word: Message) -> None:
        if isinstance(word, Result) and not answer.done():
            answer.set_result(word.result)

    def on_lost(lines: JsonConnection) -> None:
        if not answer.done():
            answer.set_exception(Unanswered(name, address, "it ended the connection; an older program?"))

    connection = JsonConnection(on_line, lambda lines: lines.send(Inquiry(1, what)), on_lost)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await loop.create_connection(lambda: connection, *address)
    except OSError as error:  # TimeoutError is one
        raise Unanswered("connect", address, error.strerror or "no answer") from None
    try:
        async with asyncio.timeout(within_s):
            return await answer
    except TimeoutError:
        raise Unanswered(name, address, f"no answer in {within_s:g} s") from None
    finally:
        answer.cancel()
        connection.close()


class MeshClient:
    """A client of a mesh, by the addresses of control replicas, which are tried in their order."""

    def __init__(self, addresses: Sequence[Address]) -> None:
        self._addresses = list(addresses)
        self._port = self._addresses[0][1]

    def address(self, member: str) -> Address:
        """The internal address of a member: its port is the same on all machines."""
        return parse_address(member)[0], self._port

    async def first(
        self,
        what: Query,
        within_s: float = ANSWER_TIMEOUT_S,
        reject: Callable[[QueryResult], str] = lambda _: "",
    ) -> QueryResult:
        """The first acceptable answer.  Raises a group of Unanswered if there is none.

        `reject`: why an answer is not acceptable; empty: it is.
        """
        failed: list[Unanswered] = []
        for address in self._addresses:
            try:
                answer = await ask(address, what, within_s)
            except Unanswered as error:
                failed.append(error)
                continue
            why = reject(answer)
            if not why:
                return answer
            failed.append(Unanswered(type(what).__name__.lower(), address, why))
        raise ExceptionGroup("no lighthouse answered", failed)

    async def statuses(self) -> tuple[list[ReplicaStatus], list[Unanswered]]:
        """The status of every replica that can be found.  Raises a group of Unanswered if none answers."""
        found: dict[Address, ReplicaStatus] = {}
        failed: dict[Address, Unanswered] = {}
        pending = self._addresses
        for _ in range(DISCOVERY_ROUNDS):
            answers = await asyncio.gather(*(ask(one, Stand()) for one in pending), return_exceptions=True)
            for address, answer in zip(pending, answers, strict=True):
                if isinstance(answer, Unanswered):
                    failed[address] = answer
                elif isinstance(answer, BaseException):
                    raise answer
                else:
                    assert isinstance(answer, ReplicaStatus)
                    found[address] = answer
            known = {
                self.address(addr)
                for one in found.values()
                for addr in (
                    *(member.addr for member in one.members),
                    *(near.addr for near in one.peers if near.reachable),
                )
            }
            pending = sorted(known - found.keys() - failed.keys())
            if not pending:
                break
        if not found:
            raise ExceptionGroup("no lighthouse answered", list(failed.values()))
        by_name = {one.addr: one for one in found.values()}
        return [by_name[addr] for addr in sorted(by_name)], list(failed.values())

    async def items(self) -> ItemList:
        """The configuration items, from a replica that is connected to the others."""

        def reject(answer: QueryResult) -> str:
            serves = isinstance(answer, ItemList) and answer.serving
            return "" if serves else "it is out of touch with the others"

        found = await self.first(Held(), reject=reject)
        assert isinstance(found, ItemList)
        return found

    async def of_members(self, what: Query, members: Sequence[str]) -> list[QueryResult]:
        """The answers of those members that answer."""
        queries = (ask(self.address(member), what) for member in members)
        answers = await asyncio.gather(*queries, return_exceptions=True)
        return [answer for answer in answers if not isinstance(answer, BaseException)]

    async def amend(self, body: bytes) -> QueryResult:
        """Commit a change; it is idempotent, so it is repeated elsewhere if its result is unknown."""
        return await self.first(Amend(body.decode()), CHAIN_TIMEOUT_S, _not_committed)

    async def read(self) -> dict[str, Any]:
        """The newest committed configuration."""
        found = await self.first(Read(), CHAIN_TIMEOUT_S, _not_committed)
        assert isinstance(found, Configuration)
        return found.content

    async def explain(self, attempt: str, members: Sequence[str]) -> list[FollowerStatus]:
        """What the followers of these members recorded of one request."""
        answers = await self.of_members(Explain(attempt), members)
        answered = [answer for answer in answers if isinstance(answer, Followers)]
        return [one for answer in answered for one in answer.proxies]


def _not_committed(answer: QueryResult) -> str:
    return "the core did not agree in time" if answer is None else ""
