"""A scripted seznam strežnikov: the list, its changes by number, watches, and silence on command.

python -m standins.discovery --port 8500 --row s1=127.0.0.1:9001
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
from typing import Any
from urllib.parse import parse_qs

from standins import http

KEEP_ALIVE_S = 2.0
CHANGES_KEPT = 1000


class Discovery:
    """`put` and `remove` change the list, and every watch is told."""

    def __init__(self) -> None:
        self.index = 0
        self.rows: dict[str, dict[str, Any]] = {}
        self.watches = 0
        self.watched: asyncio.Queue[int] = asyncio.Queue()  # a watch has begun, after this number
        self.silent = False
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        assert self._server is not None
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def start(self, port: int = 0) -> Discovery:
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", port, backlog=512)
        return self

    async def stop(self) -> None:
        """Go down: watches end, new ones are refused."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            http.reset(writer)

    async def put(self, *rows: dict[str, Any]) -> None:
        async with self._changed:
            for row in rows:
                self.index += 1
                self.rows[row["name"]] = row
                self._changes.append((self.index, row))
            del self._changes[:-CHANGES_KEPT]
            self._changed.notify_all()

    async def remove(self, name: str) -> None:
        async with self._changed:
            self.index += 1
            row = self.rows.pop(name)
            self._changes.append((self.index, {**row, "status": "gone"}))
            self._changed.notify_all()

    def _line(self, after: int) -> dict[str, Any]:
        """What changed after a number, or the whole list where that is not kept any more."""
        oldest = self._changes[0][0] if self._changes else self.index + 1
        if after <= 0 or after > self.index or after + 1 < oldest:
            return {"index": self.index, "snapshot": True, "endpoints": list(self.rows.values())}
        latest = {row["name"]: row for number, row in self._changes if number > after}
        return {"index": self.index, "snapshot": False, "endpoints": list(latest.values())}

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (message := await http.read(reader)) is not None:
                path, _, query = message.target.partition("?")
                asked = parse_qs(query)
                if path != "/v1/endpoints":
                    writer.write(http.answer(404))
                elif asked.get("watch") == ["1"]:
                    await self._watch(writer, int(asked.get("after", ["0"])[0]))
                else:
                    writer.write(http.answer_json(self._line(0)))
        except (OSError, http.Broken, ValueError, asyncio.CancelledError):
            pass  # cancelled with its loop: asyncio.streams would print that
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _watch(self, writer: asyncio.StreamWriter, after: int) -> None:
        self.watches += 1
        self.watched.put_nowait(after)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        try:
            if after != self.index or after == 0:
                self._say(writer, json.dumps(self._line(after)).encode())
                after = self.index
            while not writer.transport.is_closing():
                async with self._changed:
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(KEEP_ALIVE_S):
                            await self._changed.wait()
                if self.silent:
                    continue
                if after < self.index:
                    self._say(writer, json.dumps(self._line(after)).encode())
                    after = self.index
                else:
                    self._say(writer, b"")
                await writer.drain()
        finally:
            self.watches -= 1

    @staticmethod
    def _say(writer: asyncio.StreamWriter, line: bytes) -> None:
        data = line + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))


async def _main(args: argparse.Namespace) -> None:
    made = await Discovery().start(args.port)
    for text in args.row:
        name, _, address = text.partition("=")
        row = {"name": name, "address": address, "zone": "a", "type": "m1", "group": 1}
        await made.put({**row, "status": "ready", "weight": 1.0, "since_ms": 0})
    print(f"discovery on {made.address}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--row", action="append", default=[], metavar="NAME=HOST:PORT")
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_main(parser.parse_args()))
