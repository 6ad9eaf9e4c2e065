"""The effects that the pure state machines return, for the process around them to carry out."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from brackengate.control.staging import StagedChange
from brackengate.protocol.messages import Entry, Message, Row


@dataclass(slots=True)
class Send:
    """Send a message to another control replica; it is lost if there is no connection."""

    addr: str
    message: Message


@dataclass(slots=True)
class Store:
    """Write this to disk, then send `sends`, then call `on_stored(index, generation)` if `index` is not
    negative.

    Stores are done in the order in which they were returned, each completely or not at all.  A disk holds
    the committed rows, and beside them the log entries that were not committed when they were stored.
    Applied in this order: `drop_all` or `drop_entries`, then `rows`, then the entries up to `committed` are
    removed, then `entries` are added.
    """

    meta: dict[str, Any] = field(default_factory=dict)
    rows: list[tuple[int, Row]] = field(default_factory=list)  # each with its log index
    drop_all: bool = False  # delete all rows and entries on disk first
    drop_entries: bool = False  # delete all entries on disk first
    committed: int = -1  # delete the entries up to this index: what they set is among the rows
    entries: list[Entry] = field(default_factory=list)
    sends: list[Send] = field(default_factory=list)
    index: int = -1
    generation: int = 0


@dataclass(slots=True)
class Answer:
    """The result of a command that was submitted at this replica; None: its outcome is unknown."""

    id: int
    result: Any


@dataclass(slots=True)
class Publish:
    """Send committed rows to the followers.  `staged`: ids of the orders that delivered some in advance."""

    index: int
    rows: tuple[Row, ...]
    staged: tuple[str, ...] = ()


@dataclass(slots=True)
class Deliver:
    """Offer this order to the followers; call `on_delivered` when all connected ones hold it."""

    order: StagedChange


@dataclass(slots=True)
class ResetFollowers:
    """What was published is no longer a prefix of the log held here: followers must take a new copy."""


@dataclass(slots=True)
class Continue:
    """Work remains that is done in slices: call `run_slice` in the next iteration of the event loop."""


Action = Send | Store | Answer | Publish | Deliver | ResetFollowers | Continue
