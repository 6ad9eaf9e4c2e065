"""What one replica knows of another: failure detection and leases, which use two different times.  Pure.

Failure detection decides which peers are dead: a new peer, or one that was not heard from because this
process was paused, gets time to answer.  A lease decides whether the data served here may still be current:
it runs from the sending of a ping that was answered, and nothing else extends it.  Times are microseconds of
a monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from brackengate.protocol.messages import Ping, Pong

PING_INTERVAL_US = 150_000  # between two pings to a peer
DEAD_AFTER_US = 500_000  # without an answer to a ping
FIRST_START_GRACE_US = 2_000_000  # at the system's first start, for a member that has not come up yet
LEASE_US = 600_000  # from the sending of a ping that was answered
PAUSE_THRESHOLD_US = 350_000  # between two ticks: the process was paused, what it knows of peers is stale
PARTITIONED_AFTER_US = 500_000  # two members that report for so long that they do not hear each other
PING_ANSWERABLE_US = 4 * DEAD_AFTER_US  # an answer to an older ping is ignored
FORGET_PEER_AFTER_US = 600_000_000  # without a message from a peer that is not a member
NEVER = -(2**60)  # earlier than any clock reading


@dataclass(slots=True)
class Peer:
    """What is known of one other replica."""

    last_answer_at: int  # for failure detection: when its last pong arrived, or when its grace time began
    last_ping: Ping | None = None
    last_ping_at: int = NEVER
    ever_answered: bool = False
    refused: bool = False  # connections to its address are refused
    pings: tuple[int, ...] = ()  # send times of the pings that it may still answer
    open_epoch: int = 0  # according to its last pong, it stores entries in this epoch
    open_since: int = NEVER  # the send time of the ping that this pong answered
    incarnation: str = ""  # of the process that answered last
    incarnation_at: int = NEVER  # the send time of the ping that it answered

    def is_alive(self, now: int) -> bool:
        """Whether failure detection counts it as alive."""
        return not self.refused and now - self.last_answer_at < DEAD_AFTER_US

    def recent_ping(self, now: int) -> Ping | None:
        """Its last ping if it is recent, else None."""
        return self.last_ping if now - self.last_ping_at < DEAD_AFTER_US else None

    def silent_for(self, now: int) -> int:
        """Microseconds since its last ping or pong."""
        return now - max(self.last_answer_at, self.last_ping_at)

    def on_ping_sent(self, now: int) -> None:
        """Records a ping that it may answer, and drops those that are too old."""
        kept = [sent for sent in self.pings if now - sent < PING_ANSWERABLE_US and sent != now]
        self.pings = (*kept, now)

    def on_pong(self, pong: Pong, now: int) -> bool:
        """Records a pong; False if it answers no recent ping of this replica, and so may be stale."""
        if pong.sent not in self.pings or now - pong.sent >= PING_ANSWERABLE_US:
            return False
        self.pings = tuple(sent for sent in self.pings if sent > pong.sent)
        self.last_answer_at, self.refused, self.ever_answered = now, False, True
        self.incarnation, self.incarnation_at = pong.incarnation, pong.sent
        if not pong.epoch_closed:
            self.open_epoch, self.open_since = pong.epoch, pong.sent
        return True

    def extend_after_pause(self, now: int) -> None:
        """Gives the peer time to answer after a pause of this process.  Does not extend a lease."""
        self.last_answer_at = max(self.last_answer_at, now - DEAD_AFTER_US // 2)
        self.last_ping_at = NEVER


def majority_since(open_since: Iterable[int], needed: int, now: int) -> int:
    """The latest time at which `needed` other members all had the epoch open; `now` if none is needed."""
    if needed <= 0:
        return now
    latest = sorted(open_since, reverse=True)
    return latest[needed - 1] if len(latest) >= needed else NEVER
