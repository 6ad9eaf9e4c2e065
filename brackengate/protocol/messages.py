"""All messages between this system's processes; each is one line of tagged JSON.  No I/O.

Control replicas form a replication chain from a head to a tail; proxies follow them, and operators' commands
query them.  Every message of the chain carries the epoch of its view, so that a replica rejects a stale one
before it looks at the rest.  A log index is the number of an entry in the replicated log; indexes only grow
and are never reused.

Tags and field names are the wire format: a field that was renamed here keeps its outer name by
`msgspec.field(name=...)`.
"""

from __future__ import annotations

from typing import Any

import msgspec

Row = tuple[str, str, Any]  # kind, name, value; a value of None deletes the row
PUBLIC_KINDS = frozenset(("route", "plant", "limits", "inst", "silent"))  # kinds of rows sent to proxies
ITEM_KINDS = frozenset(("route", "plant", "limits"))  # those of them that an operator configures


class BaseMessage(msgspec.Struct, tag_field="t", omit_defaults=True, frozen=True):
    """Base of all messages that are sent as a line of their own."""


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A member of a view.

    `incarnation` is that of its disk, `since` the epoch in which it became a member.
    """

    addr: str
    incarnation: str
    since: int


class View(msgspec.Struct, frozen=True, array_like=True):
    """The members that replicate the log in this epoch, from head to tail.  They are also its voters."""

    epoch: int
    members: tuple[Member, ...]

    def member(self, addr: str) -> Member | None:
        """The member at this address, None if there is none."""
        return next((member for member in self.members if member.addr == addr), None)

    @property
    def majority(self) -> int:
        """The number of members that a quorum needs."""
        return len(self.members) // 2 + 1


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log: rows that take effect together.

    `staged` is the id of the configuration change whose rows were delivered to followers in advance; empty
    if there was none.
    """

    index: int
    rows: tuple[Row, ...]
    staged: str = ""


class CommittedRow(msgspec.Struct, frozen=True, array_like=True):
    """A committed row, with the log index of the entry that set it."""

    kind: str
    name: str
    index: int
    value: Any


class SnapshotPosition(msgspec.Struct, frozen=True, array_like=True):
    """Progress of a snapshot: it holds the rows of all buckets below `bucket` as of log index `index`."""

    bucket: int = 0
    index: int = 0


class SnapshotTotal(msgspec.Struct, frozen=True, array_like=True):
    """Row count and checksum of a complete snapshot; a snapshot that differs is discarded."""

    count: int
    checksum: int


Ballot = tuple[int, str]  # round and proposer's address


# --- commands: input of the replicated state machine, from proxies and operators


class Amend(msgspec.Struct, tag_field="t", tag="amend", frozen=True):
    """Apply the operator's configuration change.  `body` is the document as received."""

    body: str


class Read(msgspec.Struct, tag_field="t", tag="read", frozen=True):
    """Read the configuration in force."""


class Claim(msgspec.Struct, tag_field="t", tag="claim", frozen=True):
    """Claim the exclusive right to execute the operation with this key.

    `owner` is the incarnation of the claiming proxy's ingress.  `replaces` is an earlier claim of the same
    owner whose outcome is unknown.  It is replaced, so that a late message about the earlier claim has no
    effect.
    """

    key: str
    owner: str = msgspec.field(name="gate")
    attempt: str
    replaces: str = msgspec.field(name="instead", default="")


class Unclaim(msgspec.Struct, tag_field="t", tag="unclaim", frozen=True):
    """Release a claim whose operation was not executed and never will be."""

    key: str
    owner: str = msgspec.field(name="gate")
    attempt: str


class ReportUpstream(msgspec.Struct, tag_field="t", tag="report", frozen=True):
    """Report the state of the upstream beside a proxy; `name` is the machine's address."""

    name: str
    value: Any


class Suspect(msgspec.Struct, tag_field="t", tag="noticed", frozen=True):
    """Report the machines that a proxy monitors and cannot reach."""

    watcher: str
    silent: tuple[str, ...]


Command = Amend | Read | Claim | Unclaim | ReportUpstream | Suspect


# --- results of commands


class CommandDone(msgspec.Struct, tag_field="t", tag="ok", frozen=True):
    """The command is committed, whether or not it changed anything."""


class HeldBy(msgspec.Struct, tag_field="t", tag="held_by", frozen=True):
    """The claim failed: this owner holds the key by this attempt."""

    owner: str  # incarnation of a proxy's ingress
    attempt: str


class InvalidChange(msgspec.Struct, tag_field="t", tag="invalid", frozen=True):
    """The configuration change is invalid and was rejected as a whole."""

    reason: str


class ConflictingChange(msgspec.Struct, tag_field="t", tag="conflict", frozen=True):
    """Other content was acknowledged under the same version; the change was rejected as a whole."""

    reason: str


class UndecidedChange(msgspec.Struct, tag_field="t", tag="undecided", frozen=True):
    """It is no longer known whether the change was acknowledged before; this time it had no effect."""

    reason: str


class Configuration(msgspec.Struct, tag_field="t", tag="configuration", frozen=True):
    """All items in force, in the layout of the operator's configuration document."""

    content: dict[str, Any]


CommandResult = CommandDone | HeldBy | InvalidChange | ConflictingChange | UndecidedChange | Configuration


# --- on every connection


class MessagePart(BaseMessage, frozen=True, tag="part"):
    """A part of a long message, see `message_parts.py`.

    `size` is 0 but in the last part, where it is the size in bytes of the decompressed line.
    """

    data: bytes
    size: int = 0
    background: bool = False  # part of a message that others may overtake


class PartReceived(BaseMessage, frozen=True, tag="got"):
    """Acknowledges the oldest unacknowledged part."""


# --- between control replicas


class Hello(BaseMessage, frozen=True, tag="hello"):
    """The first message on a connection: identifies the sender."""

    addr: str
    is_proxy: bool = msgspec.field(name="pilot", default=False)


class Ping(BaseMessage, frozen=True, tag="ping"):
    """Heartbeat of a replica to another, with its state."""

    incarnation: str
    epoch: int
    index: int = 0  # stored on disk
    caught_up_epoch: int = 0  # the epoch in which it caught up with its predecessor
    joining: bool = False  # it is not a member and asks to become one
    disk_healthy: bool = True  # its disk completes writes in time
    zone: str = ""
    reachable: tuple[str, ...] = msgspec.field(name="hears", default=())
    leaving: bool = msgspec.field(name="leaves", default=False)  # an operator told it to leave
    sent: int = 0  # the sender's monotonic clock when it sent this; returned in the pong
    # The log index of a learner's complete snapshot; -1 while it is incomplete.
    copied_index: int = msgspec.field(name="copied", default=-1)


class Pong(BaseMessage, frozen=True, tag="pong"):
    """Answer to a ping."""

    epoch: int
    sent: int = 0  # of the ping that this answers: a lease starts when that was sent
    # The sender has promised to store nothing more in this epoch.
    epoch_closed: bool = msgspec.field(name="closed", default=False)
    incarnation: str = ""  # of the answering process


class ViewRequest(BaseMessage, frozen=True, tag="view?"):
    """Asks for the latest agreed view."""


class NewView(BaseMessage, frozen=True, tag="view"):
    """A view that was agreed on."""

    view: View


class Prepare(BaseMessage, frozen=True, tag="prep"):
    """Phase 1 of the agreement on a view (Paxos)."""

    epoch: int  # of the proposed view
    ballot: Ballot


class Promise(BaseMessage, frozen=True, tag="prom"):
    """Answer to `Prepare`: the sender has closed the previous epoch and stores nothing more in it."""

    epoch: int
    ballot: Ballot
    index: int  # stored on disk
    has_snapshot: bool  # it holds the complete state that a member must hold
    accepted_ballot: Ballot | None = msgspec.field(name="taken_at", default=None)
    accepted_view: View | None = msgspec.field(name="taken", default=None)


class Accept(BaseMessage, frozen=True, tag="acc"):
    """Phase 2 of the agreement on a view (Paxos)."""

    epoch: int
    ballot: Ballot
    view: View


class Accepted(BaseMessage, frozen=True, tag="accd"):
    """Answer to `Accept`: the sender has accepted the view of this ballot."""

    epoch: int
    ballot: Ballot


class BallotRejected(BaseMessage, frozen=True, tag="nack"):
    """Answer to `Prepare` or `Accept`: the sender has promised a higher ballot."""

    epoch: int
    ballot: Ballot  # the higher one


class EntriesRequest(BaseMessage, frozen=True, tag="have"):
    """To the predecessor in the chain: send the entries after this index."""

    epoch: int
    index: int


class Append(BaseMessage, frozen=True, tag="fwd"):
    """The entries after an index, unchanged."""

    epoch: int
    after: int
    entries: tuple[Entry, ...]
    until: int = 0  # the sender's stored index: a new member that reaches it holds all that it must hold


class Ack(BaseMessage, frozen=True, tag="ack"):
    """All members from the sender to the tail have stored this index on disk."""

    epoch: int
    index: int


class Submit(BaseMessage, frozen=True, tag="do"):
    """To the head: a command that another replica received.

    `epoch` is that of the view in which it was submitted.  The head rejects one that was queued until the
    view changed: its sender has submitted it again, or has withdrawn it without a result for its caller.
    """

    id: int
    what: Command
    epoch: int = 0


class CommandInProgress(BaseMessage, frozen=True, tag="way"):
    """From the head: the submitted command is being delivered; no need to submit it again yet."""

    id: int


class StageChange(BaseMessage, frozen=True, tag="stage"):
    """From the head: deliver this configuration change to your followers before it is decided."""

    epoch: int
    id: str
    pieces: tuple[tuple[Row, ...], ...]


class ChangeDelivered(BaseMessage, frozen=True, tag="dlvd"):
    """To the head: all reachable followers of the sender hold this configuration change."""

    epoch: int
    id: str


class Result(BaseMessage, frozen=True, tag="done"):
    """The result of a command or query.  None: the outcome of the command is unknown."""

    id: int
    result: CommandResult | InquiryResult | None


# --- snapshots: of a replica's state for a learner, of the public rows for a follower


class SnapshotRequest(BaseMessage, frozen=True, tag="copy?"):
    """Asks for the next piece of the snapshot, once the previous piece is stored."""

    id: int  # returned with the piece; a piece that answers no pending request is ignored
    position: SnapshotPosition


class SnapshotPiece(BaseMessage, frozen=True, tag="copy"):
    """Entries that advance the rows received so far to a later index, then the rows that come next.

    `from_start`: the sender no longer has the entries after the position's index, so that the snapshot
    starts again at its first row.  `total`: present if this piece completes the snapshot.
    """

    id: int
    position: SnapshotPosition  # after this piece is applied
    from_start: bool = msgspec.field(name="anew", default=False)
    entries: tuple[Entry, ...] = ()
    rows: tuple[CommittedRow, ...] = ()
    total: SnapshotTotal | None = None


# --- between a proxy and a control replica


class StagedPosition(msgspec.Struct, frozen=True, array_like=True):
    """How many pieces of a staged configuration change a follower holds."""

    id: str
    pieces: int


class Follow(BaseMessage, frozen=True, tag="follow"):
    """Subscribes to changes after this index.

    Where they are not available any more, a snapshot of the public rows comes first.
    """

    index: int
    reports_progress: bool = msgspec.field(name="tells", default=False)  # it answers `ProgressRequest`
    # Progress of a snapshot whose transfer was interrupted.
    snapshot: SnapshotPosition = msgspec.field(name="copy", default=SnapshotPosition())
    sent: int = 0  # the follower's monotonic clock; returned in the next heartbeat
    staged: tuple[StagedPosition, ...] = ()


class HeartbeatRequest(BaseMessage, frozen=True, tag="clk"):
    """Asks for a heartbeat that returns `sent`, a time of the follower's monotonic clock."""

    sent: int


class StageOffer(BaseMessage, frozen=True, tag="stg"):
    """Announces a configuration change of so many pieces that may take effect soon."""

    id: str
    pieces: int


class StageRequest(BaseMessage, frozen=True, tag="stg?"):
    """Asks for one piece of a staged change.  `piece` equal to the number of pieces: all were received."""

    id: str
    piece: int


class StagePiece(BaseMessage, frozen=True, tag="stgp"):
    """Rows of a configuration change that is not in effect yet."""

    id: str
    piece: int
    rows: tuple[Row, ...]


class StagedRows(msgspec.Struct, frozen=True, array_like=True):
    """Refers to the rows of a staged change, except those at the positions `without`."""

    id: str
    without: tuple[int, ...] = ()


class FollowerCommand(BaseMessage, frozen=True, tag="ask"):
    """A follower's command; answered by `Result` with the same id."""

    id: int
    what: Command


class Changes(BaseMessage, frozen=True, tag="chg"):
    """Public rows that take effect, up to log index `index`."""

    index: int
    rows: tuple[Row, ...] = ()
    staged: tuple[StagedRows, ...] = ()  # take effect with these rows


class ControlReplicas(BaseMessage, frozen=True, tag="core"):
    """Addresses and zones of the current members, and whether the sender is in contact with them."""

    members: tuple[tuple[str, str], ...]
    in_contact: bool = msgspec.field(name="touch", default=True)


class Heartbeat(BaseMessage, frozen=True, tag="b"):
    """A heartbeat to a follower, from which it knows how current it is.

    Everything that was acknowledged by `now` minus `age` is in effect at `index`.  Times are microseconds of
    the sender's monotonic clock.
    """

    index: int = msgspec.field(name="i", default=-1)
    now: int = msgspec.field(name="n", default=0)
    age: int = msgspec.field(name="a", default=0)
    echo: int = msgspec.field(name="e", default=0)  # the `sent` that this answers; 0 if it answers none


class Redirect(BaseMessage, frozen=True, tag="away"):
    """Tells a follower to use another replica: the sender does not know what is committed by now."""


class ProgressRequest(BaseMessage, frozen=True, tag="look"):
    """To a proxy, for an operator: asks for its log index and its decisions about this attempt."""

    id: int
    attempt: str = ""  # empty: only its log index is wanted


class ProgressReport(BaseMessage, frozen=True, tag="seen"):
    """A proxy's answer to `ProgressRequest`."""

    id: int
    index: int
    decisions: tuple[dict[str, Any], ...] = msgspec.field(name="wake", default=())  # oldest first


# --- queries of an operator's command to a control replica
#
# The command line prints the lower-case class name of a query in its error lines: these names stay.


class Stand(msgspec.Struct, tag_field="t", tag="stand", frozen=True):
    """Asks for the replica's own status.  Answered by `ReplicaStatus`."""


class Held(msgspec.Struct, tag_field="t", tag="held", frozen=True):
    """Asks which of the operator's items are in effect and which were removed.  Answered by `ItemList`."""


class Leave(msgspec.Struct, tag_field="t", tag="leave", frozen=True):
    """Leave the view, and do not rejoin until told to or restarted.

    `replaced`: leave only if another replica waits to be admitted, or if enough members remain to tolerate
    the loss of `Tolerance.Machines` more.
    """

    replaced: bool = False


class Rejoin(msgspec.Struct, tag_field="t", tag="rejoin", frozen=True):
    """Become a member again."""


class Explain(msgspec.Struct, tag_field="t", tag="explain", frozen=True):
    """Asks what the proxies that follow this replica decided about an attempt.  Answered by `Followers`."""

    attempt: str


class Inquiry(BaseMessage, frozen=True, tag="inq"):
    """A query; answered by `Result`.

    The receiving replica answers itself, except that `Amend` and `Read` are submitted to the chain.
    """

    id: int
    what: Stand | Held | Leave | Rejoin | Explain | Amend | Read


Message = (
    MessagePart
    | PartReceived
    | Hello
    | Ping
    | Pong
    | ViewRequest
    | NewView
    | Prepare
    | Promise
    | Accept
    | Accepted
    | BallotRejected
    | EntriesRequest
    | Append
    | SnapshotRequest
    | SnapshotPiece
    | Ack
    | Submit
    | CommandInProgress
    | StageChange
    | ChangeDelivered
    | Result
    | Follow
    | HeartbeatRequest
    | StageOffer
    | StageRequest
    | StagePiece
    | FollowerCommand
    | Changes
    | ControlReplicas
    | Heartbeat
    | Redirect
    | ProgressRequest
    | ProgressReport
    | Inquiry
)


class UpstreamReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """State of an upstream, reported by the proxy beside it.  Its row is named by the machine's address."""

    id: str
    service: str = msgspec.field(name="plant")
    zone: str
    state: str  # ready, draining or gone
    capacity: int = 1
    warmup: int = 0  # remaining warm-up at the time of the report, microseconds
    proxy_incarnation: str = msgspec.field(name="pilot", default="")  # of the proxy beside it


# --- a control replica's answers to an operator's command


class PeerStatus(msgspec.Struct, frozen=True, omit_defaults=True):
    """Another control replica, as seen by the one that answers."""

    addr: str
    zone: str = ""
    reachable: bool = msgspec.field(name="heard", default=False)
    joining: bool = False
    disk_healthy: bool = True
    leaving: bool = msgspec.field(name="leaves", default=False)


class MembershipAnswer(msgspec.Struct, tag_field="t", tag="seat", frozen=True, omit_defaults=True):
    """Answer to `Leave` and `Rejoin`.  `refused` is the reason for a refusal; empty if it complies."""

    refused: str = ""


class FollowerStatus(msgspec.Struct, frozen=True, omit_defaults=True):
    """A proxy that follows this replica."""

    addr: str
    sent_index: int = msgspec.field(name="sent")  # the index up to which it was sent changes
    index: int | None = None  # the index that it reports; None: it did not answer
    # Its decisions about the attempt that was asked for.
    decisions: tuple[dict[str, Any], ...] = msgspec.field(name="wake", default=())


class Followers(msgspec.Struct, tag_field="t", tag="followers", frozen=True):
    """Answer to `Explain`: the following proxies, each with its decisions."""

    proxies: tuple[FollowerStatus, ...] = msgspec.field(name="pilots")


class ReplicaStatus(msgspec.Struct, tag_field="t", tag="standing", frozen=True, omit_defaults=True):
    """A replica's own status.  Indexes are log indexes; -1 if none is known."""

    addr: str
    incarnation: str
    zone: str
    epoch: int
    members: tuple[Member, ...]
    min_replicas: int  # disks that must hold a write before it is acknowledged
    index: int
    stored_index: int = msgspec.field(name="stored")
    commit_index: int
    public_index: int = msgspec.field(name="public")  # the last index that changed anything for proxies
    is_member: bool
    has_snapshot: bool
    serving: bool = msgspec.field(name="serves")
    disk_healthy: bool = True
    leaving: bool = msgspec.field(name="leaves", default=False)
    epoch_closed: bool = False
    keys: int = 0
    routes: int = 0
    services: int = msgspec.field(name="plants", default=0)
    duties: tuple[str, ...] = ()
    upstreams: tuple[tuple[str, UpstreamReport], ...] = ()  # with the machine's address
    peers: tuple[PeerStatus, ...] = msgspec.field(name="neighbours", default=())
    proxies: tuple[FollowerStatus, ...] = msgspec.field(name="pilots", default=())


class StoredItem(msgspec.Struct, frozen=True, omit_defaults=True):
    """One item of the operator's configuration.  `body` is None if it was removed."""

    kind: str
    name: str
    index: int = msgspec.field(name="place")  # the key in backups
    version: int
    host: str = ""
    body: dict[str, Any] | None = None


class ItemList(msgspec.Struct, tag_field="t", tag="items", frozen=True):
    """Answer to `Held`.  `serving`: whether the replica is current."""

    serving: bool = msgspec.field(name="serves")
    commit_index: int
    epoch: int
    items: tuple[StoredItem, ...]


InquiryResult = MembershipAnswer | Followers | ReplicaStatus | ItemList
