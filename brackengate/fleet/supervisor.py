"""The fleet's supervisor: holds the sockets, and carries out what `keeper` decides.

It can be killed at any time.  The instances serve on, hold the listening sockets, and hand them to the next
supervisor; what else that one needs it asks them for.  The state file only keeps history.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import json
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

from brackengate.fleet import activation, control, keeper
from brackengate.fleet.notify import Notifier
from brackengate.installation import settings as derived
from brackengate.installation.reading import BadFile, loads, read_text
from brackengate.installation.schema import File
from brackengate.net.sockets import bind, parse_address

log = logging.getLogger("brackengate.fleet")

ASK_S = 0.5  # for an instance to say how it is
SO_PASSCRED = 16  # <asm-generic/socket.h>; the socket module names it from Python 3.14 on
SIGNALS = {
    keeper.Word.LEAVE: signal.SIGTERM,
    keeper.Word.REPLACED: signal.SIGUSR2,
    keeper.Word.KILL: signal.SIGKILL,
}
PIPE_HOLDS = 60_000  # of text, without asking for a larger pipe

Listener = tuple[str, int]  # name, and the slot that it is for; -1: all


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
        history = self._read_history()
        self.keeper = keeper.Keeper(rules(file), seed, int(history.get("generation", 0)))
        self._restore(history)
        self._sockets: dict[Listener, socket.socket] = {}
        self._pidfds: dict[int, int] = {}
        self._children: set[int] = set()
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
            self._bind()
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
        for sock in self._sockets.values():
            sock.close()
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
                self._take_sockets(slot, told.get("names", []), client.fds)
        except (OSError, EOFError, ValueError) as error:  # it hangs: the watchdog sees to it
            log.warning("instance %d (pid %d) runs and does not answer: %r", slot, pid, error)
        state = str(status["state"])
        log.info("instance %d: taken over (pid %d, %s)", slot, pid, state)
        if self._watch_pid(pid):
            started, generation = int(status["started"]), int(status["generation"])
            ready, leaving = state in ("ready", "reloading"), state == "draining"
            self._post(keeper.Adopt(slot, pid, ready, leaving, started, generation))

    def _take_sockets(self, slot: int, names: Sequence[str], fds: Sequence[int]) -> None:
        shared = {listener.name: bool(listener.address) for listener in self.file.listener}
        for name, fd in zip(names, fds, strict=False):
            key = (name, -1 if shared.get(name) else slot)
            if name not in shared or key in self._sockets:
                os.close(fd)
            else:
                self._sockets[key] = activation.listening(fd)

    def _bind(self) -> None:
        """Hold a socket for each address of the file.  OSError names the address that cannot be had."""
        wanted = self._wanted(self.file)
        for key, address in wanted.items():
            held = self._sockets.get(key)
            host, port = parse_address(address)
            if held is not None and (port not in (0, held.getsockname()[1]) or held.getsockname()[0] != host):
                held.close()
                held = None
            if held is not None:
                continue
            backlog = next(entry.backlog for entry in self.file.listener if entry.name == key[0])
            try:
                sock = bind((host, port))
                sock.listen(backlog)
            except OSError as error:
                raise OSError(f"cannot listen on {address}: {error.strerror}") from None
            self._sockets[key] = sock
            where = sock.getsockname()
            log.info("listener %s: %s:%d", key[0], where[0], where[1])
        for key in [key for key in self._sockets if key not in wanted]:
            self._sockets.pop(key).close()

    @staticmethod
    def _wanted(file: File) -> dict[Listener, str]:
        wanted: dict[Listener, str] = {}
        for listener in file.listener:
            if listener.address:
                wanted[listener.name, -1] = listener.address
            for slot, address in enumerate(listener.addresses):
                wanted[listener.name, slot] = address
        return wanted

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
                self._signal(pid, SIGNALS[word])
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
            pid = self._fork(slot, generation)
        except OSError as error:
            log.error("instance %d cannot be started: %s", slot, error)
            return keeper.SpawnFailed(slot, error.strerror or str(error))
        self._children.add(pid)
        log.info("instance %d: started (pid %d, generation %d)", slot, pid, generation)
        if not self._watch_pid(pid):  # out of descriptors: it could not be looked after
            self._signal(pid, signal.SIGKILL)
            with contextlib.suppress(ChildProcessError):
                os.waitpid(pid, 0)
            self._children.discard(pid)
            return keeper.SpawnFailed(slot, "no descriptor left to watch it")
        return keeper.Spawned(slot, pid)

    def _fork(self, slot: int, generation: int) -> int:
        """Start `serve` with its sockets from descriptor 3 on and the accepted file in a pipe after them.

        LISTEN_PID has to name the process itself, which only a fork of one's own can know.
        """
        handed = [(key, self._sockets[key]) for key in self._wanted(self.file) if key[1] in (-1, slot)]
        count = len(handed)
        text = self._text.encode()
        read_end, write_end = os.pipe()
        try:
            if len(text) > PIPE_HOLDS:
                fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, 1 << 21)
            os.set_blocking(write_end, False)
            if text and os.write(write_end, text) != len(text):
                raise OSError("the file does not fit a pipe")
            environ = {
                **os.environ,
                "LISTEN_FDS": str(count),
                "LISTEN_FDNAMES": ":".join(key[0] for key, _ in handed),
                "NOTIFY_SOCKET": str(self.dir / "notify.sock"),
                "BRACKENGATE_SLOT": str(slot),
                "BRACKENGATE_GENERATION": str(generation),
                "BRACKENGATE_SUCCESSOR": "1" if self._others_accept(slot) else "0",
                "BRACKENGATE_RUNTIME_DIR": str(self.dir),
                "BRACKENGATE_FILE_FD": str(activation.FIRST + count),
            }
            environ.pop("WATCHDOG_PID", None)
            if self.file.fleet.watchdog:
                environ["WATCHDOG_USEC"] = str(int(self.file.fleet.watchdog) // 2)
            else:
                environ.pop("WATCHDOG_USEC", None)
            sets = [word for text_of in self.sets for word in ("--set", text_of)]
            argv = [sys.executable, "-m", "brackengate.cli", "serve", self.path, *sets]
            fds = [sock.fileno() for _, sock in handed] + [read_end]
            cores = sorted(os.sched_getaffinity(0))
            core = cores[slot % len(cores)] if self.file.fleet.pin_cores else None
            sys.stderr.flush()
            pid = os.fork()
            if pid == 0:
                _become(argv, environ, fds, core)
            return pid
        finally:
            os.close(read_end)
            os.close(write_end)

    def _others_accept(self, slot: int) -> bool:
        """Whether the sockets of a slot are accepted from while its new process is not ready."""
        return any(row.slot == slot and row.state == "ready" for row in self.keeper.rows()) or (
            all(listener.address for listener in self.file.listener)
            and any(row.state == "ready" for row in self.keeper.rows())
        )

    def _watch_pid(self, pid: int) -> bool:
        """Hear of a process's end, also where it is not a child (pidfd_open(2))."""
        try:
            fd = os.pidfd_open(pid)
        except OSError as error:
            log.warning("pid %d cannot be watched: %s", pid, error)
            return False
        self._pidfds[pid] = fd
        self._loop.add_reader(fd, self._ended, pid)
        return True

    def _ended(self, pid: int) -> None:
        fd = self._pidfds.pop(pid)
        self._loop.remove_reader(fd)
        os.close(fd)
        how = "gone (started by an earlier supervisor)"
        if pid in self._children:
            self._children.discard(pid)
            _, status = os.waitpid(pid, 0)
            code = os.waitstatus_to_exitcode(status)
            how = f"signal {signal.Signals(-code).name}" if code < 0 else f"exit {code}"
        for path in self.dir.glob(f"i-*-{pid}.sock"):
            path.unlink(missing_ok=True)
        log.info("pid %d: %s", pid, how)
        self._post(keeper.Exited(pid, how))

    def _signal(self, pid: int, number: signal.Signals) -> None:
        fd = self._pidfds.get(pid)
        if fd is None:
            return  # it has ended: its number may be another's by now
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(fd, number)

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
            self._bind()
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
                self._signal(process.pid, signal.SIGHUP)
        return {"ok": True, "needs_restart": needs}

    def _read_history(self) -> dict[str, Any]:
        try:
            history = json.loads((self.dir / "state.json").read_text())
            return history if isinstance(history, dict) else {}
        except (OSError, ValueError):
            return {}

    def _restore(self, history: dict[str, Any]) -> None:
        for text, kept in (history.get("slots") or {}).items():
            slot = self.keeper.slots.get(int(text)) if text.isdigit() else None
            if slot is not None and isinstance(kept, dict):
                slot.last_exit, slot.restarts = str(kept.get("last_exit", "")), int(kept.get("restarts", 0))

    def _write_history(self) -> None:
        """Beside, then in place.  Where the disk is full the fleet goes on, and the status says so."""
        slots = {
            str(slot.number): {"last_exit": slot.last_exit, "restarts": slot.restarts}
            for slot in self.keeper.slots.values()
        }
        data = json.dumps({"generation": self.keeper.generation, "slots": slots})
        path = self.dir / "state.json"
        try:
            path.with_suffix(".new").write_text(data)
            path.with_suffix(".new").rename(path)
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


def _become(argv: list[str], environ: dict[str, str], fds: list[int], core: int | None) -> None:
    """In the child: descriptors to 3, 4, ..., then the program.  Never returns."""
    try:
        os.setsid()  # the terminal's Ctrl-C is the supervisor's to pass on
        if core is not None:
            os.sched_setaffinity(0, {core})
        base = activation.FIRST + len(fds)
        high = [fcntl.fcntl(fd, fcntl.F_DUPFD_CLOEXEC, base) for fd in fds]
        for step, fd in enumerate(high):
            os.dup2(fd, activation.FIRST + step, inheritable=True)
        null = os.open(os.devnull, os.O_RDONLY)
        os.dup2(null, 0)
        environ["LISTEN_PID"] = str(os.getpid())
        os.execve(argv[0], argv, environ)
    except BaseException as error:
        os.write(2, f"brackengate: cannot start {argv[0]}: {error}\n".encode())
    finally:
        os._exit(127)
