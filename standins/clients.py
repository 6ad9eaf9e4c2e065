"""Open-loop clients: they come when they come, retry by the rules, and record the end of every try.

python -m standins.clients --port 8080 --rate 100 --seconds 10
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from standins import http


class Repeat(Enum):
    SAFE, KEYED, UNSAFE = "safe", "keyed", "unsafe"


@dataclass(frozen=True, slots=True)
class Kind:
    """A class of requests, as a client knows it."""

    name: str
    repeat: Repeat
    share: float
    deadline_s: float = 1.0


AUCTION = (
    Kind("pregled", Repeat.SAFE, 0.6),
    Kind("ponudba", Repeat.KEYED, 0.25),
    Kind("takoj-kupi", Repeat.UNSAFE, 0.15),
)


class End(Enum):
    """How a try ended."""

    ANSWERED = "answered"  # one whole answer, in time
    LATE = "late"  # a whole answer, after the client's time
    NOTHING = "nothing"  # the client's time was up
    BROKEN = "broken"  # the connection ended after the request was written, with no whole answer
    NEVER_SENT = "never sent"  # no connection


@dataclass(slots=True)
class Try:
    txn: str
    kind: Kind
    item: int
    began: float
    end: End = End.NOTHING
    status: int = 0
    took_s: float = 0.0
    resent: bool = False  # written again after its kept connection had ended unread
    body: bytes = b""


@dataclass(slots=True)
class Tally:
    """Every try and, by item, every status that its tries ended with."""

    tries: list[Try] = field(default_factory=list)
    items: dict[int, list[Try]] = field(default_factory=dict)

    def ends(self) -> Counter[str]:
        return Counter(t.end.value for t in self.tries)

    def statuses(self) -> Counter[int]:
        return Counter(t.status for t in self.tries if t.status)

    def lost(self) -> list[Try]:
        """Tries that were owed one whole answer in time and did not get it."""
        return [t for t in self.tries if t.end not in (End.ANSWERED, End.NEVER_SENT)]

    def served(self) -> int:
        return sum(1 for tries in self.items.values() if any(t.status == 200 for t in tries))

    def quantile(self, share: float) -> float:
        """Seconds; of tries that were served."""
        took = sorted(t.took_s for t in self.tries if t.status == 200)
        return took[min(len(took) - 1, int(share * len(took)))] if took else 0.0


class Clients:
    """Requests at random times, whatever became of those before.

    Retries: a safe or keyed one after any failure, an unsafe one only after a refusal (429, 503) or where no
    connection came up; none after the item's time.  An unsafe one always takes a new connection: on a kept
    one that the other side is just closing, nothing tells whether it was read.  Others are written once more
    where a kept connection ended with not one byte of an answer, as RFC 9110, section 9.2.2, allows.
    """

    def __init__(
        self,
        port: int,
        rate: float,
        seed: int = 1,
        kinds: tuple[Kind, ...] = AUCTION,
        retries: int = 2,
        tenants: tuple[str, ...] = ("zadruga-drava",),
        keep: int = 64,
    ) -> None:
        self.port, self.rate, self.kinds, self.retries = port, rate, kinds, retries
        self.tenants, self._keep = tenants, keep
        self.rng = random.Random(seed)
        self.tally = Tally()
        self.kept: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._items = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, until: asyncio.Event, most: int = 1 << 30) -> Tally:
        """Ask until the event is set or `most` items have begun, then wait for what is out."""
        due = time.monotonic()
        while not until.is_set() and self._items < most:
            due += self.rng.expovariate(self.rate)
            if (wait := due - time.monotonic()) > 0:
                await asyncio.sleep(wait)
            self.ask(self.rng.choices(self.kinds, [kind.share for kind in self.kinds])[0])
        await self.settle()
        return self.tally

    def ask(self, kind: Kind) -> int:
        """Begin one item; its number."""
        self._items += 1
        task = asyncio.get_running_loop().create_task(self._item(self._items, kind))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return self._items

    async def settle(self) -> None:
        while self._tasks:
            await asyncio.wait(self._tasks)
        for _, writer in self.kept:
            writer.close()
        self.kept.clear()

    async def _item(self, item: int, kind: Kind) -> None:
        give_up = time.monotonic() + kind.deadline_s
        key = f"{self.rng.getrandbits(128):032x}" if kind.repeat is Repeat.KEYED else ""
        tenant = self.rng.choice(self.tenants)
        tries = self.tally.items.setdefault(item, [])
        for number in range(self.retries + 1):
            one = await self._try(item, kind, key, tenant, give_up, number)
            tries.append(one)
            self.tally.tries.append(one)
            harmless = one.status in (429, 503) or one.end is End.NEVER_SENT
            if one.status == 200 or (kind.repeat is Repeat.UNSAFE and not harmless):
                return
            wait = 0.02 * 2**number * self.rng.uniform(0.5, 1.5)
            if time.monotonic() + wait >= give_up - 0.05:
                return
            await asyncio.sleep(wait)

    async def _try(self, item: int, kind: Kind, key: str, tenant: str, give_up: float, number: int) -> Try:
        one = Try(f"{self.rng.getrandbits(64):016x}", kind, item, time.monotonic())
        unsafe = kind.repeat is Repeat.UNSAFE
        try:
            async with asyncio.timeout(max(0.0, give_up - one.began)):
                for _ in range(2):
                    kept = bool(self.kept) and not unsafe and not one.resent
                    if kept:
                        reader, writer = self.kept.pop()
                    else:
                        try:
                            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                        except OSError:
                            one.end = End.NEVER_SENT
                            return one
                    if await self._exchange(one, reader, writer, key, tenant, give_up, number):
                        return one
                    one.end = End.BROKEN
                    if not kept:
                        return one
                    one.resent = True
        except TimeoutError:
            one.end = End.NOTHING
        return one

    async def _exchange(
        self,
        one: Try,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        key: str,
        tenant: str,
        give_up: float,
        number: int,
    ) -> bool:
        """Whether a whole answer came; else the connection ended with none."""
        kind = one.kind
        headers: dict[str, object] = {
            "X-Txn": one.txn,
            "X-Lane": kind.name,
            "X-Org": tenant,
            "X-Remaining-Ms": max(1, int((give_up - time.monotonic()) * 1000)),
        }
        if key:
            headers["Idempotency-Key"] = key
        if number:
            headers["X-Resent"] = 1
        safe = kind.repeat is Repeat.SAFE
        body = b"" if safe else b'{"lot": 7}'
        done = False
        try:
            writer.write(http.request("GET" if safe else "POST", "/api?lot=7", headers, body))
            answer = await http.read(reader)
            if answer is None:
                return False
            one.took_s = time.monotonic() - one.began
            one.status, one.body = answer.status, answer.body
            one.end = End.ANSWERED if time.monotonic() <= give_up else End.LATE
            if answer.keep_alive and len(self.kept) < self._keep:
                self.kept.append((reader, writer))
                done = True
            return True
        except (OSError, http.Broken):
            return False
        finally:
            if not done:
                writer.close()


async def _main(args: argparse.Namespace) -> None:
    clients, until = Clients(args.port, args.rate), asyncio.Event()
    asyncio.get_running_loop().call_later(args.seconds, until.set)
    tally = await clients.run(until)
    ends = dict(tally.ends())
    print(json.dumps({"items": len(tally.items), "served": tally.served(), "ends": ends}))


if __name__ == "__main__":
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--rate", type=float, default=50.0)
    parser.add_argument("--seconds", type=float, default=5.0)
    asyncio.run(_main(parser.parse_args()))
