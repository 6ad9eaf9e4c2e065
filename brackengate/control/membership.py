"""Which members the next view should have.  Pure: facts in, members out.

A view change does one of these, in this order: it drops the members that failed, it admits one learner that
holds the committed state, or it releases one member that wants to leave.  Remaining members keep their order,
so that each log stays a prefix of its predecessor's log.  Every caught-up member holds each acknowledged
write, so no choice made here loses one; the choice decides only whether the next failure can be survived.
"""

from __future__ import annotations

from dataclasses import dataclass

from brackengate.protocol.messages import Member, View


@dataclass(frozen=True, slots=True)
class MembershipFacts:
    """What the coordinator knows.  Sets contain addresses."""

    members: tuple[Member, ...]  # of the current view, from the head to the tail
    live: tuple[Member, ...]  # those of them that are healthy, in the same order
    wiped: frozenset[str]  # members whose disk is known to be lost: neither their copy nor vote comes back
    caught_up: frozenset[str]  # members that hold the whole log and synchronized with their predecessor
    # in this epoch
    leaving: frozenset[str]  # members that were asked to leave
    learner: Member | None  # a learner that may be admitted now
    learner_copying: bool  # a live learner exists, whether its copy is complete or not
    min_replicas: int  # disks that hold a write before it is acknowledged
    commit_known: bool  # the coordinator knows the commit index
    head_lost: bool  # the epoch is closed, and its head can't take part in the next one


def next_members(facts: MembershipFacts) -> tuple[Member, ...]:
    """The members that the next view should have; the current members if nothing should change."""
    if len(facts.live) < len(facts.members):
        return _without_failed(facts)
    if facts.learner is not None:
        return (*facts.members, facts.learner)
    leaver = _leaver(facts)
    return tuple(member for member in facts.members if member != leaver)


def _without_failed(facts: MembershipFacts) -> tuple[Member, ...]:
    """The members without the failed ones, where dropping them lets the others accept writes again.

    Dropping a member gives up a copy and a vote that may come back.  If the remaining members are too few to
    acknowledge a write, that gains nothing: a member that comes back with its disk is a complete copy at
    once.  So the view keeps it, unless its disk is lost for good, or a learner can be admitted in the same
    step, or the remaining members can't serve the current view.
    """
    if len(facts.live) >= facts.min_replicas:
        return facts.live
    if facts.learner is not None:
        return (*facts.live, facts.learner)
    ready = facts.commit_known and all(member.addr in facts.caught_up for member in facts.live)
    if not ready or facts.head_lost:
        return facts.live
    return tuple(member for member in facts.members if member.addr not in facts.wiped)


def _leaver(facts: MembershipFacts) -> Member | None:
    """The last member in the chain that wants to leave, if the others can continue without it.

    It keeps its copy and its vote until `min_replicas` others hold the whole log, and, while a learner is
    copying, until a majority of the remaining members survives the next loss.  This guards against two
    members that are asked to leave at the same moment and do not know of each other's request.
    """
    for member in reversed(facts.members):
        staying = facts.caught_up - {member.addr}
        survives_loss = len(facts.members) - 1 >= members_to_survive_loss(facts.min_replicas)
        if (
            member.addr in facts.leaving
            and len(facts.caught_up) == len(facts.members)
            and len(staying) >= facts.min_replicas
            and (survives_loss or not facts.learner_copying)
        ):
            return member
    return None


@dataclass(frozen=True, slots=True)
class LeaveRequest:
    """A request that a member leaves.  Counts are numbers of members."""

    view: View
    live: int
    staying: int  # live members without this one and those that are leaving
    min_replicas: int
    replaced: bool  # the remaining members must survive the next loss, or have a learner to admit
    successor: bool  # a learner waits to be admitted, and counts as a replacement


def refusal_to_leave(request: LeaveRequest) -> str:
    """The reason why the member may not leave; empty if it may, once the others can continue without it."""
    view, minimum = request.view, request.min_replicas
    if request.staying + request.successor < minimum:
        return (
            f"{request.staying} of the {len(view.members)} members of view {view.epoch} would"
            f" be left; a write needs {minimum} (Tolerance.Machines + 1)"
        )
    if request.live < view.majority:
        return f"too few members of view {view.epoch} answer for a new view to be agreed"
    needed = members_to_survive_loss(minimum)
    if request.replaced and not request.successor and request.staying < needed:
        return (
            f"{request.staying} members would be left and no other replica waits to be admitted;"
            f" it takes {needed} to lose {minimum - 1} more"
        )
    return ""


def members_to_survive_loss(min_replicas: int) -> int:
    """The number of members of which a majority remains when `min_replicas - 1` of them are lost."""
    return 2 * min_replicas - 1
