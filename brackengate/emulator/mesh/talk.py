"""The part of HTTP/1.1 that the models of clients and upstreams use: messages with a Content-Length."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from brackengate.emulator.network import End
from brackengate.emulator.process import Process
from brackengate.net.sockets import Address


@dataclass(frozen=True, slots=True)
class HttpMessage:
    """A message: start line, header fields by lower-case name, body, and whether more bytes followed it."""

    start_line: str
    fields: dict[str, str]
    body: bytes
    has_trailing_data: bool = False

    @property
    def status(self) -> int:
        """Status code of a response."""
        return int(self.start_line.split()[1])


class InvalidMessage(Exception):
    """Raised for bytes that are not a valid message."""


class MessageReader:
    """Splits the byte stream of a connection into messages."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[HttpMessage]:
        """Adds received data and returns the messages that are now complete.

        Raises InvalidMessage for a message without a usable length or start line.
        """
        self._buffer += data
        found: list[HttpMessage] = []
        while (end := self._buffer.find(b"\r\n\r\n")) >= 0:
            start_line, *lines = self._buffer[:end].decode("latin-1").split("\r\n")
            fields = {
                name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)
            }
            length = fields.get("content-length", "0")
            if not length.isdigit() or "transfer-encoding" in fields or len(start_line.split()) < 2:
                raise InvalidMessage(start_line)
            message_end = end + 4 + int(length)
            if len(self._buffer) < message_end:
                break
            body, self._buffer = self._buffer[end + 4 : message_end], self._buffer[message_end:]
            found.append(HttpMessage(start_line, fields, body, bool(self._buffer)))
        return found


def encode_message(start_line: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Returns the bytes of a message, with its Content-Length."""
    lines = [
        start_line,
        *(f"{name}: {value}" for name, value in fields.items()),
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class HttpRequest:
    """A request on a connection of its own.  `done` gets the response, or None and the reason."""

    def __init__(
        self,
        process: Process,
        address: Address,
        data: bytes,
        done: Callable[[HttpMessage | None, str], None],
        timeout_us: int,
        connect_timeout_us: int = 1_000_000,
    ) -> None:
        """Connects and sends `data`.

        `timeout_us`, `connect_timeout_us`: limits for the whole request and for its connection.
        """
        self._done: Callable[[HttpMessage | None, str], None] | None = done
        self._data, self._reader = data, MessageReader()
        self._end: End | None = None
        process.call_later(timeout_us / 1e6, self._finish, None, "time")
        process.call_later(min(timeout_us, connect_timeout_us) / 1e6, self._connect_timeout)
        process.connect(address, self._connected)

    def _connect_timeout(self) -> None:
        if self._end is None:
            self._finish(None, "no connection")

    def _connected(self, end: End | None) -> None:
        if end is None:
            self._finish(None, "refused")
        elif self._done is None:
            end.close()
        else:
            self._end = end
            end.listen(self._receive, lambda broken: self._finish(None, "broken" if broken else "closed"))
            end.write(self._data)

    def _receive(self, data: bytes) -> None:
        try:
            found = self._reader.feed(data)
        except InvalidMessage:
            self._finish(None, "no answer")
            return
        if found:
            self._finish(found[0], "")

    def _finish(self, response: HttpMessage | None, reason: str) -> None:
        done, self._done = self._done, None
        if done is not None:
            if self._end is not None:
                self._end.close()
            done(response, reason)
