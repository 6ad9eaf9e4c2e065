"""Single-decree Paxos among the members of a view about the next one: votes and their counting.  Pure.

Whoever promises closes the epoch: it stores nothing more in it, so nothing more is acknowledged there.  A
ballot is on its coordinator's disk before anybody else hears of it, so that no ballot is ever begun twice.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brackengate.protocol.messages import Ballot, Member, Promise, View

NOBODY: Ballot = (0, "")


@dataclass(slots=True)
class Acceptor:
    """What a member has promised and accepted for the next view."""

    promised: Ballot = NOBODY
    taken_at: Ballot | None = None
    taken: View | None = None

    def promise(self, ballot: Ballot) -> bool:
        if ballot < self.promised:
            return False
        self.promised = ballot
        return True

    def accept(self, ballot: Ballot, view: View) -> bool:
        if ballot < self.promised:
            return False
        self.promised = self.taken_at = ballot
        self.taken = view
        return True

    def meta(self) -> dict[str, object]:
        """As it is stored."""
        return {"promised": self.promised, "taken_at": self.taken_at, "taken": self.taken}


@dataclass(slots=True)
class ViewChange:
    """A ballot that this replica coordinates."""

    ballot: Ballot
    view: View  # what it proposes, unless another view may have been agreed
    at: int
    quorum: int  # as of its beginning; see `quorum`
    promises: dict[str, Promise] = field(default_factory=dict)
    accepted: set[str] = field(default_factory=set)
    second: bool = False  # the view is fixed, and asked to be accepted

    def proposal(self) -> View | None:
        """The view to be accepted by all; None: wait for more promises."""
        votes = [one for one in self.promises.values() if one.accepted_view is not None]
        if votes:  # it may have been agreed: the one that was accepted last
            return max(votes, key=lambda one: one.accepted_ballot or NOBODY).accepted_view
        return self._with_complete_head()

    def _with_complete_head(self) -> View | None:
        """The new head is one that promised and holds everything.

        A member without its snapshot that would be the head goes to the end, as one that starts anew;
        the others keep their order.  None: the one that would be the head hasn't answered yet.
        """
        members = self.view.members
        for n, member in enumerate(members):
            promise = self.promises.get(member.addr)
            if promise is None:
                return None
            if promise.has_snapshot:
                behind = [Member(one.addr, one.incarnation, self.view.epoch) for one in members[:n]]
                return View(self.view.epoch, (*members[n:], *behind))
        return None


def quorum(view: View, any_wiped: bool) -> int:
    """How many votes agree on the next view.

    A majority; where a disk is known to be lost, of an even number of members one less is enough: any
    majority, and any other half without a lost member, still has one in common with it.  It holds for a
    ballot that begins after the loss is known, and whose votes none of the lost gave.
    """
    return len(view.members) - view.majority + 1 if any_wiped else view.majority
