"""The life of one process: starting, ready, away, replaced, reloading, draining, stopped.  Pure.

The platform's program and the fleet's instances go by it.

What its service manager is told follows sd_notify(3): READY, RELOADING with MONOTONIC_USEC, STOPPING, STATUS.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class State(Enum):
    STARTING = "starting"
    READY = "ready"
    AWAY = "away"  # an operator's drain: clients are sent away, the process runs on
    REPLACED = "replaced"  # another process accepts from the same socket
    RELOADING = "reloading"
    DRAINING = "draining"
    STOPPED = "stopped"


# --- events


@dataclass(frozen=True, slots=True)
class Listening:
    """The listening sockets are held."""


@dataclass(frozen=True, slots=True)
class Serving:
    """Whether at least one upstream serves; told on each change."""

    now: bool


@dataclass(frozen=True, slots=True)
class Waited:
    """It has been long enough without an upstream: callers are owed a refusal rather than silence."""


@dataclass(frozen=True, slots=True)
class ReloadAsked:
    """SIGHUP."""

    at: int  # CLOCK_MONOTONIC, microseconds


@dataclass(frozen=True, slots=True)
class Reloaded:
    """The file has been read again, and applied or turned down."""

    what: str


@dataclass(frozen=True, slots=True)
class StopAsked:
    """`replaced`: another instance accepts from the same sockets already."""

    replaced: bool = False


@dataclass(frozen=True, slots=True)
class DrainOn:
    """An operator sends the clients away; the process runs on."""


@dataclass(frozen=True, slots=True)
class DrainOff:
    """The end of that."""


@dataclass(frozen=True, slots=True)
class Successor:
    """Whether another process that is ready accepts from the same socket; told on each change."""

    there: bool


@dataclass(frozen=True, slots=True)
class Drained:
    """No connection is left; `held` requests were not answered."""

    held: int = 0


Event = (
    Listening
    | Serving
    | Waited
    | ReloadAsked
    | Reloaded
    | DrainOn
    | DrainOff
    | Successor
    | StopAsked
    | Drained
)


# --- actions


@dataclass(frozen=True, slots=True)
class Tell:
    """To the service manager."""

    text: str


@dataclass(frozen=True, slots=True)
class Open:
    """Accept from now on."""


@dataclass(frozen=True, slots=True)
class AskToGo:
    """Whether callers are to leave: each answer says so, and what is idle is closed."""

    on: bool


@dataclass(frozen=True, slots=True)
class Accept:
    """Whether connections are taken, after `Open`."""

    on: bool


@dataclass(frozen=True, slots=True)
class Reload:
    """Read the file again; `Reloaded` is owed."""


@dataclass(frozen=True, slots=True)
class Drain:
    """Answer what is held and close; `Drained` is owed.

    `last_call`: nobody else accepts here, so connections are taken for a while yet.
    """

    last_call: bool


@dataclass(frozen=True, slots=True)
class Leave:
    code: int


Action = Tell | Open | AskToGo | Accept | Reload | Drain | Leave

EXIT_UNANSWERED = 4  # requests were held when the time was up


class Lifecycle:
    """Takes one event at a time and answers with actions.

    An instance accepts only from when it can serve: those beside it on the same socket could have done so
    meanwhile.  One that is `alone` there accepts after a while in any case, to refuse at once.

    READY is told once per start and once per reload; not taken back when all upstreams go, since nothing
    that a restart could mend has happened (`GET /ready` says so instead).

    A drain by an operator and a successor are facts that outlast reloads and each other: with a successor the
    process is replaced, drained or not, and takes over again, drained or not, when the successor is gone.
    """

    def __init__(self, alone: bool = True) -> None:
        self.state = State.STARTING
        self.listening = self.serving = self.open = False
        self._alone = alone
        self._away = self._replaced = False
        self._again = False  # a reload was asked for during a reload
        self._was = State.STARTING  # before the reload, as it would be without it

    @property
    def _beneath(self) -> State:
        """The state without the reload that is on."""
        return self._was if self.state is State.RELOADING else self.state

    @property
    def ready(self) -> bool:
        """Whether clients are welcome, which a front may ask on any connection.

        With a successor the word is for both: as it serves, so does the balancer.
        """
        if self._away or not self.serving:
            return False
        return self._beneath in (State.READY, State.REPLACED) or (
            self.state is State.DRAINING and self._replaced
        )

    @property
    def asks_to_go(self) -> bool:
        """Whether callers are sent away."""
        return self._away or self._replaced or self.state in (State.DRAINING, State.STOPPED)

    @property
    def why_not(self) -> str:
        """For an operator who was told that it is not ready."""
        match self._beneath:
            case State.STARTING:
                return "starting: no upstream serves yet"
            case State.DRAINING | State.STOPPED:
                return "leaving"
        return "drained by a call" if self._away else "no upstream serves"

    def handle(self, event: Event) -> list[Action]:
        if self.state is State.STOPPED:
            return []
        match event:
            case Listening():
                self.listening = True
                return self._ready_if_due()
            case Serving(now):
                changed, self.serving = now is not self.serving, now
                if self.state is State.STARTING:
                    return self._ready_if_due()
                if changed and self.state in (State.READY, State.AWAY, State.REPLACED):
                    return [Tell(f"STATUS={self._status()}")]
                return []
            case Waited():
                return self._open() if self._alone and self.listening else []
            case ReloadAsked(at):
                return self._reload(at)
            case Reloaded(what):
                return self._reloaded(what)
            case DrainOn() | DrainOff():
                return self._change(isinstance(event, DrainOn), self._replaced)
            case Successor(there):
                return self._change(self._away, there)
            case StopAsked(replaced):
                if self.state is State.DRAINING:
                    return []
                last_call = not (replaced or self._replaced)
                self.state = State.DRAINING
                return [Tell("STOPPING=1\nSTATUS=draining"), Drain(last_call)]
            case Drained(held):
                if self.state is not State.DRAINING:
                    return []
                self.state = State.STOPPED
                return [Leave(EXIT_UNANSWERED if held else 0)]

    def _change(self, away: bool, replaced: bool) -> list[Action]:
        """Take in a drain or a successor; leaving is not undone by either."""
        if self.state is State.DRAINING:
            return []
        asked, accepted = self._away or self._replaced, not self._replaced
        self._away, self._replaced = away, replaced
        if self._beneath is not State.STARTING:
            if self.state is State.RELOADING:
                self._was = self._running()
            else:
                self.state = self._running()
        actions: list[Action] = []
        if (away or replaced) is not asked:
            actions.append(AskToGo(not asked))
        if accepted is replaced and self.open:
            actions.append(Accept(not replaced))
        return [*actions, Tell(f"STATUS={self._status()}")] if actions else []

    def _running(self) -> State:
        if self._replaced:
            return State.REPLACED
        return State.AWAY if self._away else State.READY

    def _ready_if_due(self) -> list[Action]:
        if self.state is not State.STARTING or not (self.listening and self.serving):
            return []
        self.state = self._running()
        return [*self._open(), Tell(f"READY=1\nSTATUS={self._status()}")]

    def _open(self) -> list[Action]:
        if self.open or self.state is State.DRAINING:
            return []
        self.open = True
        return [Open(), Accept(False)] if self._replaced else [Open()]

    def _reload(self, at: int) -> list[Action]:
        if self.state is State.RELOADING:
            self._again = True  # the file may have changed after it was read
            return []
        if self.state is State.DRAINING:
            return []
        self._was, self.state = self.state, State.RELOADING
        return [Tell(f"RELOADING=1\nMONOTONIC_USEC={at}\nSTATUS=reading the file again"), Reload()]

    def _reloaded(self, what: str) -> list[Action]:
        if self.state is not State.RELOADING:
            return []
        if self._again:
            self._again = False
            return [Reload()]
        self.state = self._was
        line = what.splitlines()[0] if what else "reloaded"
        if self.state is State.STARTING:  # READY ends a reload, but it is not ready
            return [Tell(f"STATUS={line}"), *self._ready_if_due()]
        return [Tell(f"READY=1\nSTATUS={line}")]

    def _status(self) -> str:
        if self._replaced:
            return "another process has taken over"
        if self._away:
            return "drained by a call"
        return "serving" if self.serving else "no upstream serves"
