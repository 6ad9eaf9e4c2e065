"""Single-decree Paxos by which the members of a view agree on the next one: votes and vote counting.  Pure.

A member that promises closes the epoch: it stores nothing more in that epoch, so nothing more is
acknowledged in it.  The coordinator writes a ballot to its disk before it sends it to other members, so that
a ballot number is never used twice.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brackengate.protocol.messages import Ballot, Member, Promise, View

NO_BALLOT: Ballot = (0, "")


@dataclass(slots=True)
class Acceptor:
    """What a member has promised and accepted for the next view."""

    promised: Ballot = NO_BALLOT
    accepted_ballot: Ballot | None = None
    accepted_view: View | None = None

    def promise(self, ballot: Ballot) -> bool:
        """Promises the ballot; False if a higher one was promised before."""
        if ballot < self.promised:
            return False
        self.promised = ballot
        return True

    def accept(self, ballot: Ballot, view: View) -> bool:
        """Accepts the view under this ballot; False if a higher ballot was promised."""
        if ballot < self.promised:
            return False
        self.promised = self.accepted_ballot = ballot
        self.accepted_view = view
        return True

    def meta(self) -> dict[str, object]:
        """The metadata that is written to disk."""
        return {"promised": self.promised, "taken_at": self.accepted_ballot, "taken": self.accepted_view}


@dataclass(slots=True)
class ViewChange:
    """A view change that this replica coordinates."""

    ballot: Ballot
    view: View  # the proposed view, unless another view may already have been agreed
    started_at: int
    quorum: int  # votes needed, fixed when the ballot begins; see `quorum`
    promises: dict[str, Promise] = field(default_factory=dict)
    accepted: set[str] = field(default_factory=set)
    accepting: bool = False  # phase 2: the view is fixed and the accept messages are sent

    def proposal(self) -> View | None:
        """The view to send for acceptance; None while more promises are needed."""
        votes = [one for one in self.promises.values() if one.accepted_view is not None]
        if votes:  # such a view may have been agreed: propose the one accepted under the highest ballot
            return max(votes, key=lambda one: one.accepted_ballot or NO_BALLOT).accepted_view
        return self._with_complete_head()

    def _with_complete_head(self) -> View | None:
        """The proposed view, reordered so that its head has promised and holds the complete log.

        Members in front of that head lack their snapshot: they move to the end, as members that start from
        scratch.  The others keep their order.  None while the next candidate for the head has not answered.
        """
        members = self.view.members
        for rank, member in enumerate(members):
            promise = self.promises.get(member.addr)
            if promise is None:
                return None
            if promise.has_snapshot:
                behind = [Member(one.addr, one.incarnation, self.view.epoch) for one in members[:rank]]
                return View(self.view.epoch, (*members[rank:], *behind))
        return None


def quorum(view: View, any_wiped: bool) -> int:
    """The number of votes that agree on the next view.

    Normally a majority.  If a member's disk is known to be lost, half of an even number of members is enough:
    that half still shares a member with any majority and with any other half without a lost member.  This
    applies to a ballot that begins after the loss is known and counts no vote of a member that lost its disk.
    """
    return len(view.members) - view.majority + 1 if any_wiped else view.majority
