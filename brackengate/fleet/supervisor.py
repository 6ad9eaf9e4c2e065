"""The fleet's supervisor: holds the sockets, and carries out what `keeper` decides.

It can be killed at any time.  The instances serve on, hold the listening sockets, and hand them to the next
supervisor; what else that one needs it asks them for.  The state file only keeps history.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import logging
import os
import random
import re
import signal
import socket
import sys
import time
from collections.abc import Sequence
from typing import Any

import msgspec

from brackengate.fleet import activation, control, history, keeper
from brackengate.fleet.listeners import Listeners
from brackengate.fleet.notify import Notifier
from brackengate.fleet.processes import Processes, Start, Unwatchable
from brackengate.installation import settings as derived
from brackengate.installation.reading import BadFile, loads, read_text
from brackengate.installation.schema import File

log = logging.getLogger("brackengate.fleet")

ASK_S = 0.5  # for an instance to say how it is
SO_PASSCRED = 16  # <asm-generic/socket.h>; the socket module names it from Python 3.14 on
SIGNALS = {
    keeper.Word.LEAVE: signal.SIGTERM,
    keeper.Word.REPLACED: signal.SIGUSR2,
    keeper.Word.KILL: signal.SIGKILL,
}


class Taken(Exception):
    """Another supervisor runs this installation."""


class CannotStart(Exception):
    """An address cannot be had, or the folder for sockets not be used."""


def now_us() -> int:
    return time.monotonic_ns() // 1000


class Supervisor:
    def __init__(self, path: str, sets: Sequence[str], file: File, text: str) -> None:
        self.path, self.sets = path, tuple(sets)
        self.file, self._text = file, text  # as accepted last: what instances are started with
        self._loop = asyncio.get_running_loop()
        self.dir = control.runtime_dir(file.fleet.runtime_dir, file.installation.name)
        self._lock = self._take_lock()
        seed = random.SystemRandom().getrandbits(64)
        before = history.read(self.dir)
        self.keeper = keeper.Keeper(rules(file), seed, history.generation(before))
        history.restore(before, self.keeper.slots)
        self._listeners = Listeners()
        self._processes = Processes(self._loop, self._ended)
        self._timer: asyncio.TimerHandle | None = None
        self._askers: list[asyncio.Queue[dict[str, Any]]] = []  # who await a roll
        self._stopped = asyncio.Event()
        self._parent = Notifier()
        self._told_ready = False
        self.state_errors = 0

    # --- start

    async def run(self) -> int:
        """Until the fleet has stopped; the exit code."""
        self._notices = self._open_notices()
        await self._take_over()
        try:
            self._listeners.open(self.file)
        except OSError as error:
            raise CannotStart(str(error)) from None
        self._control = control.ControlServer(self.dir / "control.sock", self._asked)
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._post, keeper.Stop())
        self._loop.add_signal_handler(signal.SIGHUP, self._hangup)
        self._post(keeper.Start())
        self._beat()
        await self._stopped.wait()
        self._parent.tell("STOPPING=1")
        self._control.close()
        self._loop.remove_reader(self._notices.fileno())
        self._notices.close()
        self._listeners.close()
        if self._timer is not None:
            self._timer.cancel()
        for name in ("notify.sock", "lock"):
            with contextlib.suppress(OSError):
                (self.dir / name).unlink()
        return 0

    def _take_lock(self) -> int:
        """One supervisor an installation; the lock goes with its holder, however that ends."""
        fd = os.open(self.dir / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            holder = os.read(fd, 32).decode("ascii", "replace").strip() or "unknown"
            os.close(fd)
            raise Taken(f"a supervisor of this installation runs already (pid {holder})") from None
        with contextlib.suppress(OSError):  # its number is for people only
            os.ftruncate(fd, 0)
            os.write(fd, f"{os.getpid()}\n".encode())
        return fd

    def _open_notices(self) -> socket.socket:
        path = self.dir / "notify.sock"
        with contextlib.suppress(FileNotFoundError):
            path.unlink()
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC)
        sock.setsockopt(socket.SOL_SOCKET, SO_PASSCRED, 1)
        old = os.umask(0o177)
        try:
            sock.bind(str(path))
        finally:
            os.umask(old)
        sock.setblocking(False)
        self._loop.add_reader(sock.fileno(), self._notified)
        return sock

    async def _take_over(self) -> None:
        """Adopt what an earlier supervisor started, and take the listening sockets back from it."""
        for path in sorted(self.dir.glob("i-*-*.sock")):
            found = re.fullmatch(r"i-(\d+)-(\d+)\.sock", path.name)
            if found is None:
                continue
            slot, pid = int(found[1]), int(found[2])
            try:
                client = await control.Client.to(path, ASK_S)
            except ConnectionRefusedError:
                path.unlink(missing_ok=True)  # its owner has gone
                continue
            except OSError as error:
                log.warning("instance %d (pid %d) cannot be asked: %r", slot, pid, error)
                continue
            try:
                if client.peer_pid() != pid:
                    log.warning("%s belongs to another process", path)
                    continue
                await self._adopt(client, slot, pid)
            finally:
                client.close()

    async def _adopt(self, client: control.Client, slot: int, pid: int) -> None:
        status: dict[str, Any] = {"state": "ready", "started": now_us(), "generation": 0}
        try:
            status = await client.ask({"op": "status"}, ASK_S)
            if status["state"] != "draining":
                told = await client.ask({"op": "sockets"}, ASK_S)
                self._listeners.adopt(self.file, slot, told.get("names", []), client.fds)
        except (OSError, EOFError, ValueError) as error:  # it hangs: the watchdog sees to it
            log.warning("instance %d (pid %d) runs and does not answer: %r", slot, pid, error)
        state = str(status["state"])
        log.info("instance %d: taken over (pid %d, %s)", slot, pid, state)
        if self._processes.watch(pid):
            started, generation = int(status["started"]), int(status["generation"])
            ready, leaving = state in ("ready", "reloading"), state == "draining"
            self._post(keeper.Adopt(slot, pid, ready, leaving, started, generation))

    # --- the keeper

    def _post(self, event: keeper.Event) -> None:
        queue: list[keeper.Event] = [event]
        while queue:
            for action in self.keeper.handle(now_us(), queue.pop(0)):
                follows = self._carry_out(action)
                if follows is not None:
                    queue.append(follows)
        if isinstance(event, keeper.Exited | keeper.Roll | keeper.Start):
            self._write_history()
        self._set_timer()

    def _carry_out(self, action: keeper.Action) -> keeper.Event | None:
        match action:
            case keeper.Spawn(slot, generation):
                return self._spawn(slot, generation)
            case keeper.Say(pid, word):
                self._processes.signal(pid, SIGNALS[word])
            case keeper.Report(text, slot, bad):
                who = f"instance {slot}: " if slot >= 0 else ""
                log.log(logging.WARNING if bad else logging.INFO, "%s%s", who, text)
                self._tell_askers({"report": f"{who}{text}"})
            case keeper.RollEnded(ok, text):
                log.log(logging.INFO if ok else logging.ERROR, "restart: %s", text)
                self._tell_askers({"ok": ok, "text": text})
                self._askers.clear()
            case keeper.AllStopped():
                self._stopped.set()
        return None

    def _tell_askers(self, answer: dict[str, Any]) -> None:
        for queue in self._askers:
            queue.put_nowait(answer)

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due = self.keeper.due()
        if due is not None and not self._stopped.is_set():
            wait = max(0.0, (due - now_us()) / 1e6) + 0.001  # the loop's timers are early by up to 1 ms
            self._timer = self._loop.call_later(wait, self._post, keeper.Tick())

    # --- processes

    def _spawn(self, slot: int, generation: int) -> keeper.Event:
        try:
            pid = self._processes.start(self._start_of(slot, generation))
        except OSError as error:
            log.error("instance %d cannot be started: %s", slot, error)
            return keeper.SpawnFailed(slot, error.strerror or str(error))
        except Unwatchable as error:
            return keeper.SpawnFailed(slot, str(error))
        log.info("instance %d: started (pid %d, generation %d)", slot, pid, generation)
        return keeper.Spawned(slot, pid)

    def _start_of(self, slot: int, generation: int) -> Start:
        """`serve` with the slot's sockets and the accepted file."""
        handed = self._listeners.of_slot(self.file, slot)
        sets = [word for text_of in self.sets for word in ("--set", text_of)]
        cores = sorted(os.sched_getaffinity(0))
        return Start(
            [sys.executable, "-m", "brackengate.cli", "serve", self.path, *sets],
            self._environment(slot, generation, [name for (name, _), _ in handed]),
            [sock.fileno() for _, sock in handed],
            self._text.encode(),
            cores[slot % len(cores)] if self.file.fleet.pin_cores else None,
        )

    def _environment(self, slot: int, generation: int, listeners: Sequence[str]) -> dict[str, str]:
        environ = {
            **os.environ,
            "LISTEN_FDS": str(len(listeners)),
            "LISTEN_FDNAMES": ":".join(listeners),
            "NOTIFY_SOCKET": str(self.dir / "notify.sock"),
            "BRACKENGATE_SLOT": str(slot),
            "BRACKENGATE_GENERATION": str(generation),
            "BRACKENGATE_SUCCESSOR": "1" if self._others_accept(slot) else "0",
            "BRACKENGATE_RUNTIME_DIR": str(self.dir),
            "BRACKENGATE_FILE_FD": str(activation.FIRST + len(listeners)),
        }
        environ.pop("WATCHDOG_PID", None)
        environ.pop("WATCHDOG_USEC", None)
        if self.file.fleet.watchdog:
            environ["WATCHDOG_USEC"] = str(int(self.file.fleet.watchdog) // 2)
        return environ

    def _others_accept(self, slot: int) -> bool:
        """Whether the sockets of a slot are accepted from while its new process is not ready."""
        return any(row.slot == slot and row.state == "ready" for row in self.keeper.rows()) or (
            all(listener.address for listener in self.file.listener)
            and any(row.state == "ready" for row in self.keeper.rows())
        )

    def _ended(self, pid: int, how: str) -> None:
        for path in self.dir.glob(f"i-*-{pid}.sock"):
            path.unlink(missing_ok=True)
        log.info("pid %d: %s", pid, how)
        self._post(keeper.Exited(pid, how))

    def _notified(self) -> None:
        for _ in range(64):
            try:
                data, ancillary, _, _ = self._notices.recvmsg(4096, socket.CMSG_SPACE(12))
            except OSError:
                return
            pid = 0
            for level, kind, raw in ancillary:
                if level == socket.SOL_SOCKET and kind == socket.SCM_CREDENTIALS and len(raw) >= 4:
                    pid = int.from_bytes(raw[:4], sys.byteorder, signed=True)
            lines = dict(
                line.split("=", 1) for line in data.decode("utf-8", "replace").split("\n") if "=" in line
            )
            if pid not in self.keeper.processes:
                continue
            if lines.get("READY") == "1":
                self._post(keeper.Ready(pid))
                if not self._told_ready:
                    self._told_ready = True
                    self._parent.tell("READY=1\nSTATUS=serving")
            else:
                self._post(keeper.Alive(pid))

    def _beat(self) -> None:
        if self._parent.watchdog_us:
            self._parent.tell("WATCHDOG=1")
            self._loop.call_later(max(0.01, self._parent.watchdog_us / 2e6), self._beat)

    # --- files

    def _hangup(self) -> None:
        answer = self._reload()
        log.log(logging.ERROR if "error" in answer else logging.INFO, "reload: %s", answer)

    def _accept_file(self) -> list[str]:
        """Read the file again and take it; what of it needs a restart.  BadFile, OSError: nothing changed."""
        text = read_text(self.path)
        file = loads(text, self.path, self.sets)
        old = self.file
        fixed = [
            name
            for name in ("instances", "runtime_dir")
            if getattr(file.fleet, name) != getattr(old.fleet, name)
        ]
        if fixed:
            keys = ", ".join(f"fleet.{name}" for name in fixed)
            raise BadFile(self.path, []) from ValueError(keys)
        self.file = file
        try:
            self._listeners.open(file)
        except OSError:
            self.file = old
            raise
        self._text = text
        self._post(keeper.NewRules(rules(file)))
        return derived.needs_restart(old, file)

    def _try_accept(self) -> tuple[list[str], str]:
        try:
            return self._accept_file(), ""
        except BadFile as error:
            if isinstance(error.__cause__, ValueError):
                return (
                    [],
                    f"{error.__cause__} changes with the supervisor's own restart only; nothing changed",
                )
            return [], f"the file stays as it is:\n{error}"
        except OSError as error:
            return [], f"the file stays as it is: {error}"

    def _reload(self) -> dict[str, Any]:
        needs, wrong = self._try_accept()
        if wrong:
            return {"error": wrong}
        for process in list(self.keeper.processes.values()):
            if process.phase in (keeper.Phase.STARTING, keeper.Phase.READY) and process.heard:
                self._processes.signal(process.pid, signal.SIGHUP)
        return {"ok": True, "needs_restart": needs}

    def _write_history(self) -> None:
        """Where the disk is full the fleet goes on, and the status says so."""
        try:
            history.write(self.dir, self.keeper.generation, self.keeper.slots)
        except OSError as error:
            self.state_errors += 1
            log.warning("the state file cannot be written: %s", error)

    # --- control

    async def _asked(self, request: control.Request, connection: control.Connection) -> None:
        match request:
            case control.Status():
                await connection.send(await self.status())
            case control.Reload():
                await connection.send(self._reload())
            case control.Stop():
                self._post(keeper.Stop())
                await connection.send({"ok": True, "text": "stopping"})
            case control.Restart(slots, together):
                await self._restart(slots, together, connection)
            case control.Sockets():
                await connection.send({"error": "sockets are handed out by instances"})
            case _:
                await connection.send(await self._ask_all(request))

    async def _ask_all(self, request: control.OfVersions) -> dict[str, Any]:
        """Of every instance that runs, what it answers."""
        rows = [row for row in self.keeper.rows() if row.pid]
        told = [self._ask(row, msgspec.to_builtins(request)) for row in rows]
        said = await asyncio.gather(*told)
        return {
            "answers": [{"slot": r.slot, "pid": r.pid, "says": s} for r, s in zip(rows, said, strict=True)]
        }

    async def _restart(self, slots: tuple[int, ...], together: int, connection: control.Connection) -> None:
        count = self.file.fleet.instances
        strange = [slot for slot in slots if slot not in range(count)]
        if strange:
            await connection.send({"error": f"no instance {strange[0]}; there are 0 to {count - 1}"})
            return
        if self.keeper.rolling is not None or self.keeper.stopping:
            await connection.send({"error": "a restart or stop is under way"})
            return
        _, wrong = self._try_accept()
        if wrong:
            await connection.send({"error": wrong})
            return
        queue: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        self._askers.append(queue)
        chosen = slots or tuple(range(count))
        self._post(keeper.Roll(chosen, together or self.file.fleet.together))
        answer: dict[str, Any] = {}
        while "ok" not in answer:  # an asker that goes does not end the restart
            answer = await queue.get()
            await connection.send(answer)

    async def status(self) -> dict[str, Any]:
        """Every process as the keeper has it, with what each says of itself."""
        rows = self.keeper.rows()
        said = await asyncio.gather(*(self._ask(row) for row in rows))
        now = now_us()
        return {
            "name": self.file.installation.name,
            "file": self.path,
            "pid": os.getpid(),
            "generation": self.keeper.generation,
            "restarting": self.keeper.rolling is not None,
            "stopping": self.keeper.stopping,
            "state_errors": self.state_errors,
            "instances": [
                {
                    "slot": row.slot,
                    "pid": row.pid,
                    "state": row.state,
                    "generation": row.generation,
                    "age_s": round((now - row.started) / 1e6, 1) if row.pid else 0,
                    "restarts": row.restarts,
                    "last_exit": row.last_exit,
                    "says": told,
                }
                for row, told in zip(rows, said, strict=True)
            ],
        }

    async def _ask(self, row: keeper.Row, request: dict[str, Any] | None = None) -> dict[str, Any]:
        if not row.pid:
            return {}
        try:
            client = await control.Client.to(self.dir / f"i-{row.slot}-{row.pid}.sock", ASK_S)
        except OSError:
            return {}
        try:
            return await client.ask(request or {"op": "status"}, ASK_S)
        except (OSError, EOFError, ValueError):
            return {}
        finally:
            client.close()


def rules(file: File) -> keeper.Rules:
    fleet = file.fleet
    return keeper.Rules(
        instances=fleet.instances,
        together=fleet.together,
        settle=int(fleet.settle),
        ready_within=int(fleet.ready_within),
        stop_within=derived.stop_within(file),
        watchdog=int(fleet.watchdog),
        restart_wait=int(fleet.restart_wait),
        restart_wait_most=int(fleet.restart_wait_most),
        crash_limit=fleet.crash_limit,
        crash_window=int(fleet.crash_window),
    )
