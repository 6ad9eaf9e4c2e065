"""What the deciders ask their carrier for."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from brackengate.control.staging import StagedChange
from brackengate.protocol.messages import Entry, Message, Row


@dataclass(slots=True)
class Tell:
    """Say it to another lighthouse; lost where there is no connection."""

    addr: str
    word: Message


@dataclass(slots=True)
class Store:
    """Bring it to the disk, then say `tells`, then call
    `stored(index, generation)` where `index` is not negative.

    Stores are done in the order in which they were asked for, and each as a whole or not at all.  A disk
    holds the committed rows, and beside them the log's entries that were not committed when they were stored:
    first `forget` or `cut`, then `rows`, then what is `committed` leaves the log, then `entries` join it.
    """

    meta: dict[str, Any] = field(default_factory=dict)
    rows: list[tuple[int, Row]] = field(default_factory=list)  # with the place of each
    forget: bool = False  # all rows and entries that were there before go
    cut: bool = False  # all entries that were there before go
    committed: int = -1  # entries up to there go: what they say is among the rows
    entries: list[Entry] = field(default_factory=list)
    tells: list[Tell] = field(default_factory=list)
    index: int = -1
    generation: int = 0


@dataclass(slots=True)
class Answer:
    """An ask that came to this member is answered; None: it is not known what becomes of it."""

    id: int
    result: Any


@dataclass(slots=True)
class Publish:
    """These rows are agreed: followers may have them.  `staged`: orders by which some were delivered."""

    index: int
    rows: tuple[Row, ...]
    staged: tuple[str, ...] = ()


@dataclass(slots=True)
class Deliver:
    """Followers may fetch this order; say `delivered` when all in touch hold it."""

    order: StagedChange


@dataclass(slots=True)
class Restart:
    """What was published is no longer a prefix of what is held: followers take a snapshot."""


@dataclass(slots=True)
class Continue:
    """There is work that is done in slices: call `proceed` in the next step of the loop."""


Action = Tell | Store | Answer | Publish | Deliver | Restart | Continue
