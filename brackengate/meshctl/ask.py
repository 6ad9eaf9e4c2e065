"""Questions to lighthouses, a connection each, at their internal port.  Decides nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from brackengate.net.sockets import Address, parse_address
from brackengate.protocol.json_connection import Lines
from brackengate.protocol.messages import (
    Amend,
    CommandResult,
    Configuration,
    Explain,
    Followers,
    Follows,
    Held,
    Inquire,
    InquiryResult,
    Items,
    Leave,
    Line,
    Read,
    Rejoin,
    Result,
    Stand,
    Standing,
)

CONNECT_S = 1.0
ANSWER_S = 2.0  # of one lighthouse about itself and its pilots
CHAIN_S = 14.0  # of the chain: a lighthouse gives up after 12 s
ROUNDS = 3  # members name members: a core that is being exchanged is known after as many
Question = Stand | Held | Leave | Rejoin | Explain | Amend | Read
QuestionResult = CommandResult | InquiryResult | None


class Unanswered(Exception):
    """One lighthouse, the step that failed there, and why."""

    def __init__(self, step: str, peer: Address, why: str) -> None:
        super().__init__(f"step {step}, lighthouse {peer[0]}:{peer[1]}: {why}")
        self.peer, self.why = peer, why


async def ask(address: Address, what: Question, within_s: float = ANSWER_S) -> QuestionResult:
    """The answer; `Unanswered` where there is none."""
    loop = asyncio.get_running_loop()
    answer: asyncio.Future[QuestionResult] = loop.create_future()
    name = type(what).__name__.lower()

    def on_line(lines: Lines, word: Line) -> None:
        if isinstance(word, Result) and not answer.done():
            answer.set_result(word.result)

    def on_lost(lines: Lines) -> None:
        if not answer.done():
            answer.set_exception(Unanswered(name, address, "it ended the connection; an older program?"))

    made = Lines(on_line, lambda lines: lines.send(Inquire(1, what)), on_lost)
    try:
        async with asyncio.timeout(CONNECT_S):
            await loop.create_connection(lambda: made, *address)
    except OSError as error:  # TimeoutError is one
        raise Unanswered("connect", address, error.strerror or "no answer") from None
    try:
        async with asyncio.timeout(within_s):
            return await answer
    except TimeoutError:
        raise Unanswered(name, address, f"no answer in {within_s:g} s") from None
    finally:
        answer.cancel()
        made.close()


class Bridge:
    """A mesh by the address of a lighthouse, or of several that are tried in their order."""

    def __init__(self, at: Sequence[Address]) -> None:
        self._at = list(at)
        self._port = self._at[0][1]

    def address(self, member: str) -> Address:
        """Where a member hears the others: the port is the same on all machines."""
        return parse_address(member)[0], self._port

    async def first(
        self,
        what: Question,
        within_s: float = ANSWER_S,
        good: Callable[[QuestionResult], str] = lambda _: "",
    ) -> QuestionResult:
        """The first answer that will do; a group of `Unanswered` where there is none.

        `good`: why an answer will not do; empty: it does.
        """
        failed: list[Unanswered] = []
        for address in self._at:
            try:
                answer = await ask(address, what, within_s)
            except Unanswered as error:
                failed.append(error)
                continue
            why = good(answer)
            if not why:
                return answer
            failed.append(Unanswered(type(what).__name__.lower(), address, why))
        raise ExceptionGroup("no lighthouse answered", failed)

    async def standings(self) -> tuple[list[Standing], list[Unanswered]]:
        """Everybody whom those that are asked know of; a group of `Unanswered` where nobody answers."""
        found: dict[Address, Standing] = {}
        failed: dict[Address, Unanswered] = {}
        wanted = self._at
        for _ in range(ROUNDS):
            answers = await asyncio.gather(*(ask(one, Stand()) for one in wanted), return_exceptions=True)
            for address, answer in zip(wanted, answers, strict=True):
                if isinstance(answer, Unanswered):
                    failed[address] = answer
                elif isinstance(answer, BaseException):
                    raise answer
                else:
                    assert isinstance(answer, Standing)
                    found[address] = answer
            known = {
                self.address(addr)
                for one in found.values()
                for addr in (
                    *(seat.addr for seat in one.members),
                    *(near.addr for near in one.neighbours if near.heard),
                )
            }
            wanted = sorted(known - found.keys() - failed.keys())
            if not wanted:
                break
        if not found:
            raise ExceptionGroup("no lighthouse answered", list(failed.values()))
        by_name = {one.addr: one for one in found.values()}
        return [by_name[addr] for addr in sorted(by_name)], list(failed.values())

    async def items(self) -> Items:
        """The operator's items, by a lighthouse that is in touch with the others."""

        def good(answer: QuestionResult) -> str:
            serves = isinstance(answer, Items) and answer.serves
            return "" if serves else "it is out of touch with the others"

        found = await self.first(Held(), good=good)
        assert isinstance(found, Items)
        return found

    async def of_members(self, what: Question, members: Sequence[str]) -> list[QuestionResult]:
        """The answers of those who answer."""
        asked = (ask(self.address(member), what) for member in members)
        answers = await asyncio.gather(*asked, return_exceptions=True)
        return [answer for answer in answers if not isinstance(answer, BaseException)]

    async def amend(self, body: bytes) -> QuestionResult:
        """Through the chain; asked again elsewhere where its fate is not known, which does no harm."""
        return await self.first(Amend(body.decode()), CHAIN_S, _agreed)

    async def read(self) -> dict[str, Any]:
        found = await self.first(Read(), CHAIN_S, _agreed)
        assert isinstance(found, Configuration)
        return found.content

    async def explain(self, attempt: str, members: Sequence[str]) -> list[Follows]:
        answers = await self.of_members(Explain(attempt), members)
        told = [answer for answer in answers if isinstance(answer, Followers)]
        return [one for answer in told for one in answer.pilots]


def _agreed(answer: QuestionResult) -> str:
    return "the core did not agree in time" if answer is None else ""
