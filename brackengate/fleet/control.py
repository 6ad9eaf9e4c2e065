"""Unix sockets with owner-only rights: one JSON object a line, each answered with one or more lines.

Used twice: by the supervisor (`control.sock`: status, restart, reload, stop) and by each instance
(`i-SLOT-PID.sock`: status, and the listening sockets for a supervisor that starts anew).
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import socket
import stat
import struct
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Annotated, Any

import msgspec

log = logging.getLogger(__name__)

MAX_LINE = 64 << 10
MAX_PATH = 100  # sun_path holds 108
READ_S = 5.0  # for a line to come
MOST = 32  # connections at once
MAX_FDS = 64


class BadRuntimeDir(Exception):
    """The folder for sockets cannot be used."""


# --- requests; a tag in `op` tells them apart


class Status(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="op", tag="status"):
    pass


class Sockets(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="op", tag="sockets"):
    pass


class Restart(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="op", tag="restart"):
    slots: Annotated[tuple[int, ...], msgspec.Meta(max_length=256)] = ()  # none: all
    together: Annotated[int, msgspec.Meta(ge=0, le=256)] = 0  # 0: as the file says


class Reload(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="op", tag="reload"):
    pass


class Stop(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="op", tag="stop"):
    pass


# Of versions: asked of the supervisor for all instances, and of an instance for itself.

Name = Annotated[str, msgspec.Meta(max_length=256)]


class Rollback(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="op", tag="rollback"):
    version: Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


class Release(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="op", tag="release"):
    pass


class Difference(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="op", tag="difference"):
    one: Name = ""
    other: Name = ""


class Show(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="op", tag="show"):
    version: Name = ""


OfVersions = Rollback | Release | Difference | Show
Request = Status | Sockets | Restart | Reload | Stop | OfVersions
_DECODER: msgspec.json.Decoder[Request] = msgspec.json.Decoder(Request)


class Connection:
    """One asker."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock

    async def send(self, answer: dict[str, Any], fds: Iterable[int] = ()) -> None:
        """One line.  Descriptors go with its first byte."""
        data = json.dumps(answer).encode() + b"\n"
        loop = asyncio.get_running_loop()
        fds = list(fds)
        if fds:
            socket.send_fds(self._sock, [data[:1]], fds)
            data = data[1:]
        await loop.sock_sendall(self._sock, data)


Handler = Callable[[Request, Connection], Awaitable[None]]


class ControlServer:
    """Listens on a path.  What cannot be read gets an error in its answer and changes nothing."""

    def __init__(self, path: Path, handler: Handler) -> None:
        self.path, self._handler = path, handler
        self._tasks: set[asyncio.Task[None]] = set()
        check_path(path)
        with contextlib.suppress(FileNotFoundError):
            os.unlink(path)
        self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
        old = os.umask(0o177)
        try:
            self._socket.bind(str(path))
        finally:
            os.umask(old)
        self._socket.listen(64)
        self._socket.setblocking(False)
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._socket.fileno(), self._accept)

    def close(self) -> None:
        self._loop.remove_reader(self._socket.fileno())
        self._socket.close()
        for task in self._tasks:
            task.cancel()
        with contextlib.suppress(OSError):
            os.unlink(self.path)

    def _accept(self) -> None:
        try:
            sock, _ = self._socket.accept()
        except OSError as error:
            log.debug("control: cannot accept: %s", error)
            return
        sock.setblocking(False)
        if len(self._tasks) >= MOST or peer(sock)[1] not in (0, os.getuid()):
            sock.close()
            return
        task = self._loop.create_task(self._serve(sock))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, sock: socket.socket) -> None:
        connection = Connection(sock)
        try:
            buffer = b""
            while True:
                while b"\n" not in buffer:
                    async with asyncio.timeout(READ_S):
                        data = await self._loop.sock_recv(sock, 4096)
                    if not data:
                        return
                    buffer += data
                    if len(buffer) > MAX_LINE:
                        await connection.send({"error": f"a line has {MAX_LINE} bytes at most"})
                        return
                line, _, buffer = buffer.partition(b"\n")
                try:
                    request = _DECODER.decode(line)
                except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
                    ops = "status, sockets, restart, reload, stop, rollback, release, difference, show"
                    await connection.send({"error": f"not a request: {error}; 'op' is one of: {ops}"})
                    continue
                await self._handler(request, connection)
        except (OSError, TimeoutError) as error:
            log.debug("control: an asker went: %r", error)
        finally:
            sock.close()


# --- the asking side


class Client:
    """Asks a control socket.  OSError where nobody listens; TimeoutError where nobody answers."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock, self._buffer = sock, b""
        self.fds: list[int] = []

    @classmethod
    async def to(cls, path: Path, within_s: float = 2.0) -> Client:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
        sock.setblocking(False)
        try:
            async with asyncio.timeout(within_s):
                await asyncio.get_running_loop().sock_connect(sock, str(path))
        except BaseException:
            sock.close()
            raise
        return cls(sock)

    def peer_pid(self) -> int:
        return peer(self._sock)[0]

    async def send(self, request: dict[str, Any]) -> None:
        await asyncio.get_running_loop().sock_sendall(self._sock, json.dumps(request).encode() + b"\n")

    async def line(self, within_s: float | None = 2.0) -> dict[str, Any]:
        """The next answer; EOFError where the other side has gone."""
        async with asyncio.timeout(within_s):
            while b"\n" not in self._buffer:
                data = await self._receive()
                if not data:
                    raise EOFError("the other side has gone")
                self._buffer += data
        line, _, self._buffer = self._buffer.partition(b"\n")
        answer: dict[str, Any] = json.loads(line)
        return answer

    async def ask(self, request: dict[str, Any], within_s: float = 2.0) -> dict[str, Any]:
        await self.send(request)
        return await self.line(within_s)

    async def _receive(self) -> bytes:
        loop = asyncio.get_running_loop()
        while True:
            try:
                data, fds, _, _ = socket.recv_fds(self._sock, 65536, MAX_FDS)
                self.fds += fds
                return data
            except BlockingIOError:
                ready: asyncio.Future[None] = loop.create_future()
                loop.add_reader(self._sock.fileno(), _done, ready)
                try:
                    await ready
                finally:
                    loop.remove_reader(self._sock.fileno())

    def close(self) -> None:
        self._sock.close()


def _done(ready: asyncio.Future[None]) -> None:
    if not ready.done():
        ready.set_result(None)


def peer(sock: socket.socket) -> tuple[int, int]:
    """Process and user at the other end (SO_PEERCRED, unix(7))."""
    raw = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
    pid, uid, _ = struct.unpack("3i", raw)
    return pid, uid


def check_path(path: Path) -> None:
    if len(str(path).encode()) > MAX_PATH:
        raise BadRuntimeDir(
            f"{path}: {len(str(path).encode())} bytes; a socket's path has {MAX_PATH} at most"
        )


def runtime_dir(configured: str, name: str) -> Path:
    """The folder for an installation's sockets, made if need be, with rights for its owner alone."""
    if configured:
        path = Path(configured)
    else:
        base = os.environ.get("XDG_RUNTIME_DIR")
        path = Path(base) / "brackengate" / name if base else Path(f"/tmp/brackengate-{os.getuid()}") / name
    path = path.absolute()
    check_path(path / "i-255-4194304.sock")
    try:
        path.mkdir(mode=0o700, parents=True, exist_ok=True)
        found = path.stat()
    except OSError as error:
        raise BadRuntimeDir(f"{path}: {error.strerror}") from None
    if not stat.S_ISDIR(found.st_mode) or found.st_uid != os.getuid() or found.st_mode & 0o077:
        raise BadRuntimeDir(f"{path}: must be a folder of this user, with rights for nobody else (mode 0700)")
    return path
