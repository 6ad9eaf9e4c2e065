"""The supervisor's decisions: when to start, restart, replace, kill and stop instances.  Pure.

Times are whole microseconds on one clock and come in as arguments; so do random numbers, by a seed.
Each event is answered with actions; `due` says when `Tick` is next owed.

Invariants: a slot has at most one process that serves and one successor; a process that serves is told to
leave only when its successor is ready, or when the fleet stops; what was told to leave is killed at the
latest `stop_within` later.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

STEADY = 10_000_000  # an instance that served this long did not fail to start: waits begin anew
STALL_SHARE = 0.5  # of the watchdog's time between ticks; after twice that the supervisor itself stood still


@dataclass(frozen=True, slots=True)
class Rules:
    """The `fleet` section, as far as it concerns the supervisor; times in microseconds."""

    instances: int
    together: int = 1
    settle: int = 1_000_000
    ready_within: int = 15_000_000
    stop_within: int = 2_200_000
    watchdog: int = 5_000_000
    restart_wait: int = 200_000
    restart_wait_most: int = 30_000_000
    crash_limit: int = 6
    crash_window: int = 60_000_000


class Phase(Enum):
    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"
    KILLED = "killed"


# --- events


@dataclass(frozen=True, slots=True)
class Adopt:
    """An instance that an earlier supervisor started still runs."""

    slot: int
    pid: int
    ready: bool
    leaving: bool
    started: int
    generation: int = 0


@dataclass(frozen=True, slots=True)
class Start:
    """Begin: every slot that nothing was adopted for gets a process."""


@dataclass(frozen=True, slots=True)
class Spawned:
    slot: int
    pid: int


@dataclass(frozen=True, slots=True)
class SpawnFailed:
    slot: int
    why: str


@dataclass(frozen=True, slots=True)
class Ready:
    pid: int


@dataclass(frozen=True, slots=True)
class Alive:
    """A sign of life."""

    pid: int


@dataclass(frozen=True, slots=True)
class Exited:
    pid: int
    how: str  # "exit 0", "signal 9"


@dataclass(frozen=True, slots=True)
class Roll:
    """Replace instances, `together` at a time."""

    slots: tuple[int, ...]
    together: int = 1


@dataclass(frozen=True, slots=True)
class Stop:
    """All leave."""


@dataclass(frozen=True, slots=True)
class NewRules:
    rules: Rules


@dataclass(frozen=True, slots=True)
class Tick:
    """A time that `due` named has come."""


Event = Adopt | Start | Spawned | SpawnFailed | Ready | Alive | Exited | Roll | Stop | NewRules | Tick


# --- actions


@dataclass(frozen=True, slots=True)
class Spawn:
    """Start a process for a slot; `Spawned` or `SpawnFailed` is owed."""

    slot: int
    generation: int


class Word(Enum):
    LEAVE = "leave"  # SIGTERM
    REPLACED = "replaced"  # SIGUSR2: leave, another accepts already
    KILL = "kill"  # SIGKILL


@dataclass(frozen=True, slots=True)
class Say:
    pid: int
    word: Word


@dataclass(frozen=True, slots=True)
class Report:
    """For the log, and for those who await a roll."""

    text: str
    slot: int = -1
    bad: bool = False


@dataclass(frozen=True, slots=True)
class RollEnded:
    ok: bool
    text: str


@dataclass(frozen=True, slots=True)
class AllStopped:
    pass


Action = Spawn | Say | Report | RollEnded | AllStopped


# --- state


@dataclass(slots=True, eq=False)
class Process:
    pid: int
    slot: int
    generation: int
    started: int
    phase: Phase = Phase.STARTING
    ready_at: int = 0
    beat: int = 0
    heard: bool = False  # it has given a sign of life
    kill_at: int = 0
    why_killed: str = ""


@dataclass(slots=True, eq=False)
class Slot:
    number: int
    process: Process | None = None
    successor: Process | None = None
    leaving: dict[int, Process] = field(default_factory=dict)
    spawning: bool = False  # `Spawned` is awaited
    as_successor: bool = False  # of that: whether it is to replace one that serves
    crashes: deque[int] = field(default_factory=deque)
    streak: int = 0  # crashes in a row, none of which had served for long
    start_at: int = 0  # when it is started again; 0: not waiting
    given_up: bool = False
    restarts: int = 0
    last_exit: str = ""


@dataclass(slots=True)
class Rolling:
    together: int
    queue: deque[int]
    active: dict[int, int] = field(default_factory=dict)  # slot: when its part is over, or overdue
    done: list[int] = field(default_factory=list)
    failed: str = ""


@dataclass(frozen=True, slots=True)
class Row:
    """One process, for the status."""

    slot: int
    pid: int
    state: str
    generation: int
    started: int
    restarts: int
    last_exit: str


class Keeper:
    def __init__(self, rules: Rules, seed: int, generation: int = 0) -> None:
        self.rules, self.rng = rules, random.Random(seed)
        self.slots = {number: Slot(number) for number in range(rules.instances)}
        self.processes: dict[int, Process] = {}
        self.generation = generation
        self.rolling: Rolling | None = None
        self.stopping = self.stopped = False
        self.now = 0
        self._last_tick = 0
        self._out: list[Action] = []

    def handle(self, now: int, event: Event) -> list[Action]:
        self.now, self._out = now, []
        match event:
            case Adopt():
                self._adopt(event)
            case Start():
                self._last_tick = now
                for slot in self.slots.values():
                    named = slot.number in range(self.rules.instances)
                    if named and slot.process is None and not slot.spawning:
                        self._spawn(slot)
            case Spawned(number, pid):
                self._spawned(self.slots[number], pid)
            case SpawnFailed(number, why):
                self._spawn_failed(self.slots[number], why)
            case Ready(pid):
                self._ready(pid)
            case Alive(pid):
                self._alive(pid)
            case Exited(pid, how):
                self._exited(pid, how)
            case Roll(numbers, together):
                self._roll(numbers, together)
            case Stop():
                self._stop()
            case NewRules(rules):
                self.rules = rules
            case Tick():
                self._tick()
        if not self.stopping:
            self._go_on()
        elif not self.stopped and not self.processes and not any(s.spawning for s in self.slots.values()):
            self.stopped = True
            self._out.append(AllStopped())
        return self._out

    def due(self) -> int | None:
        """The earliest time at which `Tick` is owed; None while there is nothing to wait for."""
        times = [slot.start_at for slot in self.slots.values() if slot.start_at and not self.stopping]
        times += [p.kill_at for p in self.processes.values() if p.kill_at]
        times += [self._overdue(p) for p in self.processes.values() if self._overdue(p)]
        if self.rolling is not None:
            times += list(self.rolling.active.values())
        if self.rules.watchdog and self.processes:  # also where nothing is due: `_forgive_stall` counts on it
            times.append(self._last_tick + int(self.rules.watchdog * STALL_SHARE))
        return min(times, default=None)

    def rows(self) -> list[Row]:
        found = []
        for slot in self.slots.values():
            processes = [p for p in (slot.process, slot.successor, *slot.leaving.values()) if p is not None]
            for p in processes:
                state = "replacing" if p is slot.successor else p.phase.value
                row = Row(slot.number, p.pid, state, p.generation, p.started, slot.restarts, slot.last_exit)
                found.append(row)
            if slot.process is None and slot.successor is None:
                state = "gave up" if slot.given_up else "waiting" if slot.start_at else "down"
                found.append(Row(slot.number, 0, state, 0, 0, slot.restarts, slot.last_exit))
        return found

    # --- starting

    def _spawn(self, slot: Slot, as_successor: bool = False) -> None:
        slot.spawning, slot.as_successor, slot.start_at = True, as_successor, 0
        self._out.append(Spawn(slot.number, self.generation))

    def _spawned(self, slot: Slot, pid: int) -> None:
        slot.spawning = False
        process = Process(pid, slot.number, self.generation, self.now, beat=self.now)
        self.processes[pid] = process
        if slot.as_successor and slot.process is not None:
            slot.successor = process
        else:
            slot.process = process
        if self.stopping:
            self._tell_to_leave(process, Word.LEAVE)

    def _spawn_failed(self, slot: Slot, why: str) -> None:
        slot.spawning = False
        slot.last_exit = f"not started: {why}"
        if slot.as_successor and slot.process is not None:
            self._roll_failed(slot, slot.last_exit)
        else:
            self._crashed(slot, slot.last_exit, served=0)

    def _adopt(self, event: Adopt) -> None:
        slot = self.slots.setdefault(event.slot, Slot(event.slot))
        process = Process(event.pid, event.slot, event.generation, event.started, beat=self.now)
        self.processes[event.pid] = process
        self.generation = max(self.generation, event.generation)
        if event.ready:
            process.phase, process.ready_at = Phase.READY, event.started
        if event.slot not in range(self.rules.instances):  # the file names fewer now
            slot.leaving[event.pid] = process
            self._tell_to_leave(process, Word.LEAVE)
            return
        rival = slot.process
        if event.leaving:
            slot.leaving[event.pid] = process
            process.phase, process.kill_at = Phase.LEAVING, self.now + self.rules.stop_within
        elif rival is None:
            slot.process = process
        else:  # a roll was cut off: the newest that is ready serves, the others leave
            best = max((rival, process), key=lambda p: (p.phase is Phase.READY, p.started))
            other = process if best is rival else rival
            slot.process = best
            slot.leaving[other.pid] = other
            self._tell_to_leave(other, Word.REPLACED)

    # --- signs of life

    def _ready(self, pid: int) -> None:
        process = self.processes.get(pid)
        if process is None or process.phase is not Phase.STARTING:
            self._alive(pid)
            return
        process.phase, process.ready_at, process.beat = Phase.READY, self.now, self.now
        process.heard = True
        slot = self.slots[process.slot]
        if process is slot.successor:
            old, slot.process, slot.successor = slot.process, process, None
            if old is not None:
                slot.leaving[old.pid] = old
                self._tell_to_leave(old, Word.REPLACED)
        if self.rolling is not None and slot.number in self.rolling.active and process is slot.process:
            self.rolling.active[slot.number] = self.now + self.rules.settle

    def _alive(self, pid: int) -> None:
        process = self.processes.get(pid)
        if process is not None:
            process.beat, process.heard = self.now, True

    def _overdue(self, process: Process) -> int:
        """When its silence counts as a hang; 0 for never."""
        if not self.rules.watchdog or process.phase not in (Phase.STARTING, Phase.READY):
            return 0
        limit = self.rules.watchdog if process.heard else max(self.rules.watchdog, self.rules.ready_within)
        return process.beat + limit

    def _tick(self) -> None:
        self._forgive_stall()
        for process in list(self.processes.values()):
            overdue = self._overdue(process)
            if process.kill_at and self.now >= process.kill_at:
                process.why_killed = process.why_killed or "did not leave in time"
                self._kill(process)
            elif overdue and self.now >= overdue:
                process.why_killed = f"hung: no sign of life for {(self.now - process.beat) / 1e6:.1f} s"
                self._kill(process)
        for slot in self.slots.values():
            if slot.start_at and self.now >= slot.start_at and not slot.spawning and not self.stopping:
                self._spawn(slot)

    def _forgive_stall(self) -> None:
        """Guards against a supervisor that stood still itself, with its machine or by a signal: all signs of
        life that came meanwhile lie unread, and it would kill a whole fleet that is well."""
        since, self._last_tick = self.now - self._last_tick, self.now
        if since > self.rules.watchdog * STALL_SHARE * 2:
            for process in self.processes.values():
                process.beat = self.now

    # --- endings

    def _tell_to_leave(self, process: Process, word: Word) -> None:
        if process.phase in (Phase.LEAVING, Phase.KILLED):
            return
        process.phase = Phase.LEAVING
        process.kill_at = self.now + self.rules.stop_within
        self._out.append(Say(process.pid, word))

    def _kill(self, process: Process) -> None:
        if process.phase is not Phase.KILLED:
            process.phase, process.kill_at = Phase.KILLED, 0
            self._out.append(Say(process.pid, Word.KILL))
            self._out.append(Report(f"killed {process.pid}: {process.why_killed}", process.slot, True))

    def _exited(self, pid: int, how: str) -> None:
        process = self.processes.pop(pid, None)
        if process is None:
            return
        slot = self.slots[process.slot]
        slot.last_exit = f"{how} ({process.why_killed})" if process.why_killed else how
        if slot.leaving.pop(pid, None) is not None:
            if slot.number not in range(self.rules.instances) and not slot.leaving:
                del self.slots[slot.number]
            return
        served = self.now - process.ready_at if process.ready_at else 0
        if process is slot.successor:
            slot.successor = None
            self._roll_failed(slot, f"its successor ended before it was ready: {slot.last_exit}")
        elif process is slot.process:
            slot.process = None
            if slot.successor is not None:
                slot.process, slot.successor = slot.successor, None  # it takes over as soon as it is ready
            if self.stopping or slot.spawning:  # what is being started takes its place
                return
            if self.rolling is not None and slot.number in self.rolling.active and slot.process is None:
                self._roll_failed(slot, f"it ended: {slot.last_exit}")
            if slot.process is None:
                self._crashed(slot, slot.last_exit, served)

    def _crashed(self, slot: Slot, how: str, served: int) -> None:
        """Start it again after growing, jittered waits, but not for ever."""
        rules = self.rules
        slot.crashes.append(self.now)
        while slot.crashes and slot.crashes[0] <= self.now - rules.crash_window:
            slot.crashes.popleft()
        slot.streak = 1 if served >= STEADY else slot.streak + 1
        if len(slot.crashes) >= rules.crash_limit:
            slot.given_up = True
            window = rules.crash_window / 1e6
            text = f"crash loop: {len(slot.crashes)} ends within {window:g} s, the last: {how}; given up"
            self._out.append(Report(text, slot.number, True))
            return
        wait = min(rules.restart_wait_most, rules.restart_wait * 2 ** min(slot.streak - 1, 30))
        wait = int(wait * self.rng.uniform(0.5, 1.0))  # what kills several at once must not do so in step
        slot.start_at = self.now + max(1, wait)
        slot.restarts += 1
        self._out.append(Report(f"ended: {how}; again in {wait / 1e6:.2f} s", slot.number, True))

    # --- rolls

    def _roll(self, numbers: tuple[int, ...], together: int) -> None:
        if self.stopping or self.rolling is not None:
            self._out.append(
                RollEnded(False, "the fleet stops" if self.stopping else "a restart is under way")
            )
            return
        unknown = [number for number in numbers if number not in range(self.rules.instances)]
        if unknown or together < 1:
            told = f"no instance {unknown[0]}" if unknown else "fewer than one at a time"
            self._out.append(RollEnded(False, told))
            return
        self.generation += 1
        self.rolling = Rolling(together, deque(dict.fromkeys(numbers)))

    def _go_on(self) -> None:
        """Advance a roll as far as it may go now."""
        rolling = self.rolling
        if rolling is None:
            return
        for number, due in list(rolling.active.items()):
            slot = self.slots[number]
            if self.now < due or slot.spawning:
                continue
            successor = slot.successor
            waits = successor or (
                slot.process if slot.process and slot.process.phase is Phase.STARTING else None
            )
            if waits is not None:
                limit = self.rules.ready_within / 1e6
                waits.why_killed = f"not ready within {limit:g} s"
                if successor is not None:  # it may have taken connections: it leaves in order
                    slot.successor = None
                    slot.leaving[waits.pid] = waits
                    self._tell_to_leave(waits, Word.LEAVE)
                self._roll_failed(slot, f"its successor was not ready within {limit:g} s")
            else:
                del rolling.active[number]
                rolling.done.append(number)
                self._out.append(Report("replaced", number))
        while rolling.queue and not rolling.failed and len(rolling.active) < rolling.together:
            slot = self.slots[rolling.queue.popleft()]
            rolling.active[slot.number] = self.now + self.rules.ready_within
            slot.given_up, slot.streak = False, 0
            slot.crashes.clear()
            if not slot.spawning:
                self._spawn(slot, as_successor=slot.process is not None)
        if not rolling.active and (rolling.failed or not rolling.queue):
            self.rolling = None
            count = len(rolling.done)
            left = len(rolling.queue)
            text = (
                f"{count} replaced" if not rolling.failed else f"stopped: {rolling.failed}; {count} replaced"
            )
            text += f", {left} left as they were" if left else ""
            self._out.append(RollEnded(not rolling.failed, text))

    def _roll_failed(self, slot: Slot, why: str) -> None:
        if self.rolling is None or slot.number not in self.rolling.active:
            return
        del self.rolling.active[slot.number]
        self.rolling.failed = self.rolling.failed or f"instance {slot.number}: {why}"
        self._out.append(Report(f"the restart stops: {why}", slot.number, True))

    def _stop(self) -> None:
        if self.stopping:
            return
        self.stopping = True
        if self.rolling is not None:
            self.rolling = None
            self._out.append(RollEnded(False, "the fleet stops"))
        for slot in self.slots.values():
            slot.start_at = 0
        for process in self.processes.values():
            self._tell_to_leave(process, Word.LEAVE)
