"""Every message between the system's own processes, as one tagged line of JSON.  Pure.

The epoch of a view stands in every message of the chain, so that a stale one is refused before it is read.
Places are numbers of entries in the log of changes; they never go back and are never given twice.
"""

from __future__ import annotations

from typing import Any

import msgspec

Row = tuple[str, str, Any]  # kind, name, value; None as a value: the row is gone
PUBLIC = frozenset(("route", "plant", "limits", "inst", "silent"))  # kinds of rows that pilots follow
ITEMS = frozenset(("route", "plant", "limits"))  # of these, the operator's


class Word(msgspec.Struct, tag_field="t", omit_defaults=True, frozen=True):
    """One line."""


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A member of a view.  `incarnation`: of its disk; `since`: the epoch in which it became one."""

    addr: str
    incarnation: str
    since: int


class View(msgspec.Struct, frozen=True, array_like=True):
    """Who holds the log in this epoch, from the head to the tail; they are its voters too."""

    epoch: int
    members: tuple[Member, ...]

    def member(self, addr: str) -> Member | None:
        return next((member for member in self.members if member.addr == addr), None)

    @property
    def majority(self) -> int:
        return len(self.members) // 2 + 1


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One step of the log: rows that come into being together.

    `staged`: the order whose rows were delivered to followers before, by its id; empty: none.
    """

    index: int
    rows: tuple[Row, ...]
    staged: str = ""


class CommittedRow(msgspec.Struct, frozen=True, array_like=True):
    """A committed row, with the log index of the entry that it comes from."""

    kind: str
    name: str
    index: int
    value: Any


class CopyPosition(msgspec.Struct, frozen=True, array_like=True):
    """How far a copy is: it holds the rows of all buckets below `bucket` as they stood at `index`."""

    bucket: int = 0
    index: int = 0


class CopyTotal(msgspec.Struct, frozen=True, array_like=True):
    """What a complete copy holds: a copy that differs from it does not count."""

    count: int
    checksum: int


Ballot = tuple[int, str]


# --- asks: what pilots and the operator want of the log


class Amend(msgspec.Struct, tag_field="t", tag="amend", frozen=True):
    """The operator's call, as it came."""

    body: str


class Read(msgspec.Struct, tag_field="t", tag="read", frozen=True):
    """The configuration as it stands."""


class Claim(msgspec.Struct, tag_field="t", tag="claim", frozen=True):
    """This gate wants to be the only one to run this operation.

    `instead`: an earlier claim of its own, of which it does not know whether it stands.  It is replaced, so
    that whatever was said of the earlier one and comes late finds it gone.
    """

    key: str
    gate: str
    attempt: str
    instead: str = ""


class Unclaim(msgspec.Struct, tag_field="t", tag="unclaim", frozen=True):
    """It has not run and never will."""

    key: str
    gate: str
    attempt: str


class Report(msgspec.Struct, tag_field="t", tag="report", frozen=True):
    """What a pilot knows of the upstream beside it."""

    name: str
    value: Any


class Suspect(msgspec.Struct, tag_field="t", tag="noticed", frozen=True):
    """The machines that a pilot watches and does not hear."""

    watcher: str
    silent: tuple[str, ...]


Command = Amend | Read | Claim | Unclaim | Report | Suspect


# --- what becomes of a command


class CommandDone(msgspec.Struct, tag_field="t", tag="ok", frozen=True):
    """It holds: agreed, whether it changed anything or was so already."""


class HeldBy(msgspec.Struct, tag_field="t", tag="held_by", frozen=True):
    """A claim: another one holds the key."""

    owner: str  # the pilot
    attempt: str


class InvalidOrder(msgspec.Struct, tag_field="t", tag="invalid", frozen=True):
    """An order of the operator that must not be in force, in any part."""

    reason: str


class ConflictingOrder(msgspec.Struct, tag_field="t", tag="conflict", frozen=True):
    """Another order was acknowledged with other content under the same version; no part is in force."""

    reason: str


class UndecidedOrder(msgspec.Struct, tag_field="t", tag="undecided", frozen=True):
    """Whether it was acknowledged before is no longer known; no part is in force by it now."""

    reason: str


class Configuration(msgspec.Struct, tag_field="t", tag="configuration", frozen=True):
    """All items that stand, as the operator's first call lays them out."""

    content: dict[str, Any]


CommandResult = CommandDone | HeldBy | InvalidOrder | ConflictingOrder | UndecidedOrder | Configuration


# --- on every connection


class Part(Word, frozen=True, tag="part"):
    """A part of a long message, see `message_parts.py`.

    `size`: with the last one, of the line when unpacked.
    """

    data: bytes
    size: int = 0
    background: bool = False  # of a message that others may pass


class PartReceived(Word, frozen=True, tag="got"):
    """The oldest part that was not acknowledged yet has come."""


# --- among lighthouses


class Hello(Word, frozen=True, tag="hello"):
    """The first line on a connection: who speaks."""

    addr: str
    pilot: bool = False


class Ping(Word, frozen=True, tag="ping"):
    incarnation: str
    epoch: int
    index: int = 0  # stored
    caught_up_epoch: int = 0  # the epoch in which it has caught up with the one before it
    joining: bool = False  # it is no member, and wants to be one
    disk_healthy: bool = True  # its disk takes what it is given
    zone: str = ""
    hears: tuple[str, ...] = ()
    leaves: bool = False  # it was told to leave
    sent: int = 0  # the sender's steady clock when it sent this; the pong brings it back
    copied: int = -1  # a learner's complete copy reaches to this index of the log; -1: it is not complete


class Pong(Word, frozen=True, tag="pong"):
    epoch: int
    sent: int = 0  # of the ping that this answers: a lease runs from its sending
    closed: bool = False  # the sender has promised to store nothing more in this epoch
    incarnation: str = ""  # of the process that answers


class WantView(Word, frozen=True, tag="view?"):
    pass


class NewView(Word, frozen=True, tag="view"):
    """A view that has been agreed."""

    view: View


class Prepare(Word, frozen=True, tag="prep"):
    epoch: int  # of the view that is to be agreed
    ballot: Ballot


class Promise(Word, frozen=True, tag="prom"):
    """The sender has closed the epoch before this one: it stores nothing more in it."""

    epoch: int
    ballot: Ballot
    index: int  # stored
    has_snapshot: bool  # it holds all that its membership owes
    taken_at: Ballot | None = None
    taken: View | None = None


class Accept(Word, frozen=True, tag="acc"):
    epoch: int
    ballot: Ballot
    view: View


class Accepted(Word, frozen=True, tag="accd"):
    epoch: int
    ballot: Ballot


class Outvoted(Word, frozen=True, tag="nack"):
    epoch: int
    ballot: Ballot  # the higher one that was promised


class Position(Word, frozen=True, tag="have"):
    """To the one before in the chain: send what follows this index."""

    epoch: int
    index: int


class Append(Word, frozen=True, tag="fwd"):
    """The entries that follow an index, each as it was made."""

    epoch: int
    after: int
    entries: tuple[Entry, ...]
    until: int = 0  # what the sender has stored: a new member holds all that it owes from there on


class Ack(Word, frozen=True, tag="ack"):
    """From the sender on to the tail, all have this index on disk."""

    epoch: int
    index: int


class Submit(Word, frozen=True, tag="do"):
    """To the head: a command that came to another replica.

    `epoch`: of the view in which it was submitted.  One that lay in a queue until the view was another one
    is not taken: its sender has submitted it anew, or has told its caller nothing and been told to stop.
    """

    id: int
    what: Command
    epoch: int = 0


class Underway(Word, frozen=True, tag="way"):
    """From the head: the command of that submission is being delivered; no need to submit it again yet."""

    id: int


class Stage(Word, frozen=True, tag="stage"):
    """From the head: deliver this order to your followers, ahead of its decision."""

    epoch: int
    id: str
    pieces: tuple[tuple[Row, ...], ...]


class Delivered(Word, frozen=True, tag="dlvd"):
    """To the head: all followers of the sender that are in touch hold this order."""

    epoch: int
    id: str


class Result(Word, frozen=True, tag="done"):
    """`result` None: it is not known what becomes of the command."""

    id: int
    result: CommandResult | InquiryResult | None


# --- copies: of a replica for a learner, of the public rows for a follower


class CopyRequest(Word, frozen=True, tag="copy?"):
    """Send the next piece of the copy.  Asked for once the piece before it is stored."""

    id: int  # comes back with the piece; one that answers no open request is left alone
    position: CopyPosition


class CopyPiece(Word, frozen=True, tag="copy"):
    """The entries that bring what is held to a later index, then the rows that come next.

    `anew`: the entries after the position's index are gone, so that the copy begins at its first row.
    `total`: with this piece the copy is complete.
    """

    id: int
    position: CopyPosition  # with this piece taken
    anew: bool = False
    entries: tuple[Entry, ...] = ()
    rows: tuple[CommittedRow, ...] = ()
    total: CopyTotal | None = None


# --- between a pilot and a lighthouse


class StagedPosition(msgspec.Struct, frozen=True, array_like=True):
    """How many pieces of a staged order a follower holds."""

    id: str
    pieces: int


class Follow(Word, frozen=True, tag="follow"):
    """Send the changes from this index on; a copy of the public rows first where they are not at hand."""

    index: int
    tells: bool = False  # it answers `Look`
    copy: CopyPosition = CopyPosition()  # of a copy that was cut off
    sent: int = 0  # the follower's steady clock; the next heartbeat brings it back
    staged: tuple[StagedPosition, ...] = ()


class ClockRequest(Word, frozen=True, tag="clk"):
    """Send a heartbeat that brings this time back.  `sent`: the follower's steady clock."""

    sent: int


class StageOffer(Word, frozen=True, tag="stg"):
    """An order of so many pieces may come into force soon."""

    id: str
    pieces: int


class StageRequest(Word, frozen=True, tag="stg?"):
    """Send that piece of an order.  The number of its pieces: all are here."""

    id: str
    piece: int


class StagePiece(Word, frozen=True, tag="stgp"):
    """Rows of an order that is not in force."""

    id: str
    piece: int
    rows: tuple[Row, ...]


class StagedRows(msgspec.Struct, frozen=True, array_like=True):
    """The rows of a staged order, but for those at some places among them."""

    id: str
    without: tuple[int, ...] = ()


class FollowerCommand(Word, frozen=True, tag="ask"):
    id: int
    what: Command


class Changes(Word, frozen=True, tag="chg"):
    index: int
    rows: tuple[Row, ...] = ()
    staged: tuple[StagedRows, ...] = ()  # in force with these rows


class Core(Word, frozen=True, tag="core"):
    """The members by now, and their zones; and whether this one is in touch with them."""

    members: tuple[tuple[str, str], ...]
    touch: bool = True


class Beat(Word, frozen=True, tag="b"):
    """A heartbeat to a follower, with what makes it current.

    Everything that was acknowledged by `now` less `age` is in force at `index`.  Times are the sender's
    steady clock.
    """

    index: int = msgspec.field(name="i", default=-1)
    now: int = msgspec.field(name="n", default=0)
    age: int = msgspec.field(name="a", default=0)
    echo: int = msgspec.field(name="e", default=0)  # the `sent` that this answers; 0: of none


class Away(Word, frozen=True, tag="away"):
    """Go to another one: this one does not know what is agreed by now."""


class Look(Word, frozen=True, tag="look"):
    """To a pilot, when an operator asks: how far are you, and what did you decide of this attempt."""

    id: int
    attempt: str = ""  # empty: only how far


class Seen(Word, frozen=True, tag="seen"):
    id: int
    index: int
    wake: tuple[dict[str, Any], ...] = ()  # what it decided, the oldest first


# --- between an operator's command and a lighthouse


class Stand(msgspec.Struct, tag_field="t", tag="stand", frozen=True):
    """How do you stand?  Answered by `Standing`, by this lighthouse about itself."""


class Held(msgspec.Struct, tag_field="t", tag="held", frozen=True):
    """Which of the operator's items are in force here, and which were dropped?  Answered by `Items`."""


class Leave(msgspec.Struct, tag_field="t", tag="leave", frozen=True):
    """Leave the view, and be no member until told or started again.

    `replaced`: only where another replica waits to be admitted, or enough stay to lose `Tolerance.Machines`
    more.
    """

    replaced: bool = False


class Rejoin(msgspec.Struct, tag_field="t", tag="rejoin", frozen=True):
    """Be a member again."""


class Explain(msgspec.Struct, tag_field="t", tag="explain", frozen=True):
    """What did the pilots that follow you decide of this attempt?"""

    attempt: str


class Inquire(Word, frozen=True, tag="inq"):
    """Answered by `Done`, and by nobody else than the one who hears it; calls go on to the chain."""

    id: int
    what: Stand | Held | Leave | Rejoin | Explain | Amend | Read


Line = (
    Part
    | PartReceived
    | Hello
    | Ping
    | Pong
    | WantView
    | NewView
    | Prepare
    | Promise
    | Accept
    | Accepted
    | Outvoted
    | Position
    | Append
    | CopyRequest
    | CopyPiece
    | Ack
    | Submit
    | Underway
    | Stage
    | Delivered
    | Result
    | Follow
    | ClockRequest
    | StageOffer
    | StageRequest
    | StagePiece
    | FollowerCommand
    | Changes
    | Core
    | Beat
    | Away
    | Look
    | Seen
    | Inquire
)


class Instance(msgspec.Struct, frozen=True, omit_defaults=True):
    """One upstream, as the pilot beside it reports it.  Its row's name is its machine's address."""

    id: str
    plant: str
    zone: str
    state: str  # ready, draining or gone
    capacity: int = 1
    warmup: int = 0  # microseconds that it was still slow for, when this was said
    pilot: str = ""  # the life of the pilot beside it


# --- what a lighthouse says to an operator's command


class Neighbour(msgspec.Struct, frozen=True, omit_defaults=True):
    """Another lighthouse, as this one hears it."""

    addr: str
    zone: str = ""
    heard: bool = False
    joining: bool = False
    disk_healthy: bool = True
    leaves: bool = False


class SeatAnswer(msgspec.Struct, tag_field="t", tag="seat", frozen=True, omit_defaults=True):
    """To `Leave` and `Rejoin`.  `refused`: why it does not; empty: it does."""

    refused: str = ""


class Follows(msgspec.Struct, frozen=True, omit_defaults=True):
    """A pilot that follows this lighthouse."""

    addr: str
    sent: int  # the index that it was sent
    index: int | None = None  # that it has, by its own word; None: it did not say
    wake: tuple[dict[str, Any], ...] = ()  # what it decided of the attempt that was asked for


class Followers(msgspec.Struct, tag_field="t", tag="followers", frozen=True):
    """To `Explain`: the pilots that follow, each with what it decided."""

    pilots: tuple[Follows, ...]


class Standing(msgspec.Struct, tag_field="t", tag="standing", frozen=True, omit_defaults=True):
    """One lighthouse, by its own word.  Places are of the log; -1: none is known."""

    addr: str
    incarnation: str
    zone: str
    epoch: int
    members: tuple[Member, ...]
    min_replicas: int  # disks that hold a write before it is acknowledged
    index: int
    stored: int
    commit_index: int
    public: int  # the last place of which pilots have anything to know
    is_member: bool
    has_snapshot: bool
    serves: bool
    disk_healthy: bool = True
    leaves: bool = False
    epoch_closed: bool = False
    keys: int = 0
    routes: int = 0
    plants: int = 0
    duties: tuple[str, ...] = ()
    upstreams: tuple[tuple[str, Instance], ...] = ()  # by machine
    neighbours: tuple[Neighbour, ...] = ()
    pilots: tuple[Follows, ...] = ()


class HeldItem(msgspec.Struct, frozen=True, omit_defaults=True):
    """One item of the operator's.  `body` None: it was dropped."""

    kind: str
    name: str
    index: int = msgspec.field(name="place")  # as backups name it
    version: int
    host: str = ""
    body: dict[str, Any] | None = None


class Items(msgspec.Struct, tag_field="t", tag="items", frozen=True):
    serves: bool
    commit_index: int
    epoch: int
    items: tuple[HeldItem, ...]


InquiryResult = SeatAnswer | Followers | Standing | Items
