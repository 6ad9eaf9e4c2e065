"""As much of HTTP/1.1 (RFC 9112) as the stand-ins speak, written apart from brackengate's own."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from dataclasses import dataclass
from typing import Any

MAX_HEAD, MAX_BODY = 64 << 10, 4 << 20


class Broken(Exception):
    """What came is no message, or ended before its end."""


@dataclass(slots=True)
class Message:
    """A request or an answer: `start` is its first line; header names are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.start.split(" ")[1])

    @property
    def method(self) -> str:
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        return self.start.split(" ")[1]

    @property
    def keep_alive(self) -> bool:
        return self.headers.get("connection", "").lower() != "close"


async def read(reader: asyncio.StreamReader) -> Message | None:
    """The next message; None where the other side ended between two."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise Broken("the head is cut off") from None
    except asyncio.LimitOverrunError:
        raise Broken("a head without end") from None
    lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:-2])
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    length = headers.get("content-length", "0")
    if not length.isdigit() or int(length) > MAX_BODY:
        raise Broken(f"content-length {length!r}")
    try:
        body = await reader.readexactly(int(length))
    except asyncio.IncompleteReadError:
        raise Broken("the body is cut off") from None
    return Message(lines[0], headers, body)


def answer(status: int, body: bytes = b"", **headers: object) -> bytes:
    """An answer as bytes; `_` in a header's name stands for `-`."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def answer_json(value: Any) -> bytes:
    return answer(200, json.dumps(value).encode(), Content_Type="application/json")


def request(method: str, target: str, headers: dict[str, object], body: bytes = b"") -> bytes:
    lines = [f"{method} {target} HTTP/1.1", "Host: standin"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Break the connection as a process does that dies."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
