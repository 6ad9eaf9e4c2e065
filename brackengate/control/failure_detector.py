"""What one replica knows of another: failure detection and leases, which are two different times.  Pure.

Failure detection asks who is dead: a peer that is newly met, or that was not heard because this process stood
still, gets time to answer.  A lease asks whether what is served here may still be current: it runs from the
sending of a ping that was answered, and nothing else extends it.  Times are microseconds of a steady clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from brackengate.protocol.messages import Ping, Pong

PING = 150_000  # between two pings to a peer
DEAD = 500_000  # without an answer to a ping
FIRST_START = 2_000_000  # at the system's very first start, for a member that was never heard to come up
LEASE = 600_000  # from the sending of a ping that was answered
GAP = 350_000  # this process stood still: nothing that it believes of the others is fresh
APART = 500_000  # two that do not hear each other for so long, by their own word
REMEMBERED = 4 * DEAD  # an answer to an older ping is no answer
FORGOTTEN = 600_000_000  # without a word from one that is no member
NEVER = -(2**60)


@dataclass(slots=True)
class Peer:
    answered: int  # for failure detection: when its last pong came, or it got time to answer
    said: Ping | None = None
    said_at: int = NEVER
    ever: bool = False  # whether it answered at all
    refused: bool = False  # nobody listens at its address
    pings: tuple[int, ...] = ()  # send times of the pings that it may still answer
    open_epoch: int = 0  # by its last pong, it stores entries in this epoch
    open_since: int = NEVER  # the send time of the ping that this answered
    incarnation: str = ""  # of the process that answered last
    incarnation_at: int = NEVER  # the send time of the ping that it answered

    def hears(self, now: int) -> bool:
        """Failure detection: whether it counts as alive."""
        return not self.refused and now - self.answered < DEAD

    def fresh_word(self, now: int) -> Ping | None:
        """What it said of itself, where that is recent."""
        return self.said if now - self.said_at < DEAD else None

    def silence(self, now: int) -> int:
        """For how long it has said nothing."""
        return now - max(self.answered, self.said_at)

    def on_ping_sent(self, now: int) -> None:
        kept = [sent for sent in self.pings if now - sent < REMEMBERED and sent != now]
        self.pings = (*kept, now)

    def on_pong(self, pong: Pong, now: int) -> bool:
        """False where it answers no ping of ours: then it says nothing of the present."""
        if pong.sent not in self.pings or now - pong.sent >= REMEMBERED:
            return False
        self.pings = tuple(sent for sent in self.pings if sent > pong.sent)
        self.answered, self.refused, self.ever = now, False, True
        self.incarnation, self.incarnation_at = pong.incarnation, pong.sent
        if not pong.epoch_closed:
            self.open_epoch, self.open_since = pong.epoch, pong.sent
        return True

    def forgive_gap(self, now: int) -> None:
        """This process stood still, not the peer: it gets time to answer.  No lease is extended by it."""
        self.answered = max(self.answered, now - DEAD // 2)
        self.said_at = NEVER


def majority_since(open_since: Iterable[int], needed: int, now: int) -> int:
    """The latest time at which `needed` others were all known to be open; `now` where none is needed."""
    if needed <= 0:
        return now
    latest = sorted(open_since, reverse=True)
    return latest[needed - 1] if len(latest) >= needed else NEVER
