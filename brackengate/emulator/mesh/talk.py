"""As much of HTTP/1.1 as the models speak: whole messages with a length."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from brackengate.emulator.network import End
from brackengate.emulator.process import Process
from brackengate.net.sockets import Address


@dataclass(frozen=True, slots=True)
class HttpMessage:
    """One message: its first line, fields by lower-case name, body; and whether bytes came behind it."""

    start_line: str
    fields: dict[str, str]
    body: bytes
    has_trailing_data: bool = False

    @property
    def status(self) -> int:
        return int(self.start_line.split()[1])


class InvalidMessage(Exception):
    """Bytes that are no message."""


class MessageReader:
    def __init__(self) -> None:
        self._held = b""

    def feed(self, data: bytes) -> list[HttpMessage]:
        """The messages that are whole by now."""
        self._held += data
        found: list[HttpMessage] = []
        while (end := self._held.find(b"\r\n\r\n")) >= 0:
            first, *lines = self._held[:end].decode("latin-1").split("\r\n")
            fields = {name.lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)}
            length = fields.get("content-length", "0")
            if not length.isdigit() or "transfer-encoding" in fields or len(first.split()) < 2:
                raise InvalidMessage(first)
            until = end + 4 + int(length)
            if len(self._held) < until:
                break
            body, self._held = self._held[end + 4 : until], self._held[until:]
            found.append(HttpMessage(first, fields, body, bool(self._held)))
        return found


def encode_message(start_line: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    lines = [
        start_line,
        *(f"{name}: {value}" for name, value in fields.items()),
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class HttpRequest:
    """One request on a connection of its own.  `done` gets the answer, or None and why there is none."""

    def __init__(
        self,
        process: Process,
        address: Address,
        data: bytes,
        done: Callable[[HttpMessage | None, str], None],
        within: int,
        stands_within: int = 1_000_000,
    ) -> None:
        """`within`, `stands_within`: microseconds for the whole, and for the connection."""
        self._done: Callable[[HttpMessage | None, str], None] | None = done
        self._data, self._reader = data, MessageReader()
        self._end: End | None = None
        process.call_later(within / 1e6, self._over, None, "time")
        process.call_later(min(within, stands_within) / 1e6, self._late)
        process.connect(address, self._connected)

    def _late(self) -> None:
        if self._end is None:
            self._over(None, "no connection")

    def _connected(self, end: End | None) -> None:
        if end is None:
            self._over(None, "refused")
        elif self._done is None:
            end.close()
        else:
            self._end = end
            end.listen(self._hears, lambda broken: self._over(None, "broken" if broken else "closed"))
            end.write(self._data)

    def _hears(self, data: bytes) -> None:
        try:
            found = self._reader.feed(data)
        except InvalidMessage:
            self._over(None, "no answer")
            return
        if found:
            self._over(found[0], "")

    def _over(self, heard: HttpMessage | None, why: str) -> None:
        done, self._done = self._done, None
        if done is not None:
            if self._end is not None:
                self._end.close()
            done(heard, why)
