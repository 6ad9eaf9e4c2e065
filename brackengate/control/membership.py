"""Which members the next view should have.  Pure: facts in, members out.

A view change does one of these, in this order: it drops those that can't go on, it admits one learner that
holds the committed state, or it lets one leaver go.  Order and log: those that stay keep their order, so that
each log stays a prefix of the log before it.  Every member that counts as complete holds each acknowledged
write, so no choice made here loses one; what is weighed is whether the next loss can be borne.
"""

from __future__ import annotations

from dataclasses import dataclass

from brackengate.protocol.messages import Member, View


@dataclass(frozen=True, slots=True)
class MembershipFacts:
    """What the coordinator knows.  Sets are of addresses."""

    members: tuple[Member, ...]  # of the view that is in force, from the head to the tail
    live: tuple[Member, ...]  # of these, the ones that can go on, in their order
    wiped: frozenset[str]  # whose disk is known to be lost: neither copy nor vote comes back
    caught_up: frozenset[str]  # that hold the whole log and have met the one before them in this epoch
    leaving: frozenset[str]  # that were told to leave
    learner: Member | None  # one that may be admitted now
    learner_copying: bool  # a live learner is on its way
    min_replicas: int  # disks that hold a write before it is acknowledged
    commit_known: bool  # the coordinator knows what is committed
    head_lost: bool  # the epoch is closed, and its head can't take part in the next one


def next_members(facts: MembershipFacts) -> tuple[Member, ...]:
    """The members that the next view should have; those of today where nothing should change."""
    if len(facts.live) < len(facts.members):
        return _without_failed(facts)
    if facts.learner is not None:
        return (*facts.members, facts.learner)
    leaver = _leaver(facts)
    return tuple(member for member in facts.members if member != leaver)


def _without_failed(facts: MembershipFacts) -> tuple[Member, ...]:
    """Shrinking is for writes: it gives up a copy and a vote that may come back, so that the others go on.

    Where those that are left are too few to acknowledge a write, it would give these up for nothing: a member
    that comes back with its disk is a complete copy at once.  So the view waits, unless the disk is lost for
    good, or a learner can take over in the same step, or those that are left can't serve it as they are.
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
    """The last one that wants to leave, if the others do without it.

    It keeps its copy and its vote until `min_replicas` others hold everything; and, while a learner is on its
    way, until so many stay that a majority of them outlasts the next loss.  Guards against two that are told
    at the same moment, neither of which has heard of the other's wish.
    """
    for member in reversed(facts.members):
        staying = facts.caught_up - {member.addr}
        outlasts = len(facts.members) - 1 >= members_to_survive_loss(facts.min_replicas)
        if (
            member.addr in facts.leaving
            and len(facts.caught_up) == len(facts.members)
            and len(staying) >= facts.min_replicas
            and (outlasts or not facts.learner_copying)
        ):
            return member
    return None


@dataclass(frozen=True, slots=True)
class LeaveRequest:
    """A member is told to leave."""

    view: View
    live: int  # members
    staying: int  # live members but this one and those that leave
    min_replicas: int
    replaced: bool  # what is left must bear the next loss, or have somebody to admit
    successor: bool  # somebody waits to be admitted, and is counted on


def refusal_to_leave(request: LeaveRequest) -> str:
    """Why it does not leave; empty where it does, as soon as the others do without it."""
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
    """So many members that a majority is left when `min_replicas - 1` of them are lost."""
    return 2 * min_replicas - 1
