"""Finds the end of a chunked body and limits its framing (RFC 9112, section 7.1).

The httptools library decodes the data, but reports neither where a message ends nor how much framing it has.
"""

from __future__ import annotations

import re

from brackengate.http.message import MAX_HEAD_BYTES, RequestError
from brackengate.http.rules import TOKEN_PATTERN, VALUE_PATTERN, Rule

MAX_CHUNK_LINE_BYTES = 4 << 10  # a chunk's size with its extensions
MAX_FRAMING_PER_DATA_BYTE = 16  # beside MAX_HEAD_BYTES; chunks of 1 byte have 5
CHUNK_SIZE_PATTERN = re.compile(rb"([0-9A-Fa-f]{1,16})(?:[ \t]*;[\t -~\x80-\xff]*)?\r\n")
TRAILER_PATTERN = re.compile(TOKEN_PATTERN + rb":" + VALUE_PATTERN + rb"\r\n")


def invalid_chunks() -> RequestError:
    """The error for a body with invalid chunk framing."""
    return RequestError(400, Rule.CHUNKS.description, rule_slug=Rule.CHUNKS.slug)


class ChunkedBodyScanner:
    """Scans one chunked body, in pieces of any size.  `fault` is set if its framing is invalid."""

    __slots__ = ("_data_bytes", "_data_left", "_framing_bytes", "_in_trailers", "_line", "done", "fault")

    def __init__(self) -> None:
        self.done = False
        self.fault: RequestError | None = None
        self._line = b""  # the start of an incomplete chunk size or trailer line
        self._data_left = 0  # of a chunk's data, with the CRLF after it
        self._data_bytes = self._framing_bytes = 0
        self._in_trailers = False

    def scan(self, data: bytes) -> int:
        """How many bytes of `data` belong to the body, up to a `fault` if there is one.

        The bytes before a fault are to be parsed by the library first: an error that it finds came earlier.
        """
        position, size = 0, len(data)
        while position < size and not self.done and self.fault is None:
            if self._data_left:
                step = min(self._data_left, size - position)
                self._data_left -= step
                position += step
                continue
            end = data.find(b"\n", position) + 1 or size
            max_bytes = (MAX_HEAD_BYTES if self._in_trailers else MAX_CHUNK_LINE_BYTES) - len(self._line)
            if end - position > max_bytes:
                position += max_bytes
                self.fault = RequestError(
                    431, "a chunk's size, or a trailer, without end", rule_slug=Rule.CHUNKS.slug
                )
                break
            self._line += data[position:end]
            position = end
            if self._line.endswith(b"\n"):
                self._line_complete(self._line)
                self._line = b""
        return position

    def _line_complete(self, line: bytes) -> None:
        self._framing_bytes += len(line)
        if self._framing_bytes > MAX_HEAD_BYTES + MAX_FRAMING_PER_DATA_BYTE * self._data_bytes:
            self.fault = RequestError(431, "more framing than body", rule_slug=Rule.CHUNKS.slug)
            return
        if self._in_trailers:
            if line == b"\r\n":
                self.done = True
            elif not TRAILER_PATTERN.fullmatch(line):
                self.fault = invalid_chunks()
            return
        size_line = CHUNK_SIZE_PATTERN.fullmatch(line)
        if size_line is None:
            self.fault = invalid_chunks()
            return
        length = int(size_line[1], 16)
        self._in_trailers = length == 0
        self._data_left = length + 2 if length else 0
        self._data_bytes += length
