"""Members of the next view, quorums, and one replica's agreement with scripted peers."""

from __future__ import annotations

from itertools import combinations

import pytest

from brackengate.control.actions import Action, Send, Store
from brackengate.control.ballots import NO_BALLOT, ViewChange, quorum
from brackengate.control.contact import LogStatus
from brackengate.control.failure_detector import FIRST_START_GRACE_US, FORGET_PEER_AFTER_US, LEASE_US
from brackengate.control.membership import MembershipFacts, next_members
from brackengate.control.replica import FIRST_INCARNATION, Replica, StoredState
from brackengate.control.view import MAX_ADMISSION_LAG_ENTRIES, Agreement
from brackengate.protocol.messages import Accept, Member, Message, Ping, Pong, Prepare, Promise, View

A, B, C, D, E = (Member(name, "i", 1) for name in "ABCDE")
NEW = Member("N", "n", 2)


def facts(
    members: str,
    lost: str = "",
    wiped: str = "",
    leaving: str = "",
    learner: Member | None = None,
    copies: bool = False,
    minimum: int = 2,
    lacking: str = "",
    commit_known: bool = True,
) -> MembershipFacts:
    of = {"A": A, "B": B, "C": C, "D": D, "E": E}
    return MembershipFacts(
        tuple(of[name] for name in members),
        tuple(of[name] for name in members if name not in lost + wiped),
        frozenset(wiped),
        frozenset(name for name in members if name not in lost + wiped + lacking),
        frozenset(leaving),
        learner,
        copies or learner is not None,
        minimum,
        commit_known,
        False,
    )


def names(members: tuple[Member, ...]) -> str:
    return "".join(member.addr for member in members)


@pytest.mark.parametrize(
    ("given", "then"),
    [
        (facts("ABC"), "ABC"),
        (facts("ABC", lost="C"), "AB"),  # two can accept writes: no waiting for the lost one
        (facts("ABC", lost="C", learner=NEW), "AB"),  # nobody is admitted in the same step
        (facts("ABC", learner=NEW), "ABCN"),
        (facts("ABCDE", lost="BD", minimum=3), "ACE"),
        (facts("ABC", lost="C", minimum=3), "ABC"),  # two can't accept writes: its copy may come back
        (facts("ABC", wiped="C", minimum=3), "AB"),  # a wiped copy can't
        (facts("ABC", lost="C", minimum=3, learner=NEW), "ABN"),  # a complete copy takes over
        (facts("ABC", lost="B", minimum=3, lacking="C"), "AC"),  # otherwise C would wait for B for ever
        (facts("ABC", lost="C", minimum=3, commit_known=False), "AB"),  # otherwise no learner could copy
        (facts("ABC", leaving="C"), "AB"),
        (facts("ABC", leaving="C", copies=True), "ABC"),  # it stays until the learner holds everything
        (facts("ABC", leaving="C", learner=NEW), "ABCN"),
        (facts("ABCD", leaving="D", copies=True), "ABC"),  # three survive the next loss
        (facts("ABC", leaving="BC"), "AB"),  # the other one stays
        (facts("AB", leaving="B"), "AB"),
        (facts("ABC", leaving="A", lacking="C"), "ABC"),  # B would be the only other complete copy
        (facts("ABCD", lost="B", leaving="D"), "ACD"),  # one at a time
        (facts("ABCDE", leaving="E", minimum=3), "ABCD"),
        (facts("ABCDE", leaving="E", minimum=3, copies=True), "ABCDE"),
    ],
)
def test_the_next_members(given: MembershipFacts, then: str) -> None:
    assert names(next_members(given)) == then


def test_any_two_quorums_share_a_member_that_kept_its_disk() -> None:
    """Also if only one of them knows of lost disks; a lost member votes for neither later."""
    for size in range(1, 7):
        members = [Member(str(n), "i", 1) for n in range(size)]
        view = View(1, tuple(members))
        for lost in range(size):
            whole = [set(votes) for votes in combinations(members, quorum(view, False))]
            left = [set(votes) for votes in combinations(members[lost:], quorum(view, lost > 0))]
            assert all(one & other for one in left for other in (*whole, *left))
    assert [quorum(View(1, (A, B, C, D)[:size]), True) for size in (2, 3, 4)] == [1, 2, 2]


def change(*promises: Promise | None) -> ViewChange:
    made = ViewChange((3, "A"), View(2, (A, B, C)), 0, 2)
    made.promises = {name: one for name, one in zip("ABC", promises, strict=False) if one is not None}
    return made


def promise(index: int, has_snapshot: bool = True) -> Promise:
    return Promise(2, (3, "A"), index, has_snapshot)


def test_the_new_head_has_promised_and_holds_the_complete_log() -> None:
    assert change(promise(5), promise(4)).proposal() == View(2, (A, B, C))
    assert (
        change(None, promise(4), promise(4)).proposal() is None
    )  # A may lack its snapshot: wait for its answer
    made = change(promise(9, False), promise(4), promise(3)).proposal()
    assert made == View(2, (B, C, Member("A", "i", 2)))  # A lacks its snapshot and starts from scratch
    assert change(promise(9, False), promise(4, False)).proposal() is None


def test_a_view_that_may_have_been_agreed_is_proposed_again() -> None:
    older, newer = View(2, (A, B)), View(2, (B, C))
    first = Promise(2, (3, "A"), 5, True, (1, "B"), older)
    second = Promise(2, (3, "A"), 5, True, (2, "C"), newer)
    assert change(first, promise(5)).proposal() == older
    assert change(first, second).proposal() == newer


# --- one replica's agreement


class Scripted:
    """A, the head of {A, B, C}; the messages of the others are scripted."""

    def __init__(self, members: tuple[Member, ...] = (A, B, C)) -> None:
        self.agreement = Agreement("A", "i", "", 0, View(1, members), min_replicas=2)
        self.log = LogStatus(100, True, 1, 100)
        self.now = 0

    def hear(self, addr: str, message: Message) -> list[Action]:
        return self.agreement.on_message(addr, message, self.now, self.log)

    def round(self, *others: str, copied: int = -1, learner: str = "", answers: bool = True) -> list[Action]:
        """150 ms in which the others send pings and, with `answers`, pongs."""
        out: list[Action] = []
        hears = ("A", "B", "C", "N")
        for _ in range(3):
            self.now += 50_000
            out += self.agreement.tick(self.now, self.log)
        pings = {
            one.addr: one.message for one in out if isinstance(one, Send) and isinstance(one.message, Ping)
        }
        for addr in others:
            inc = "n" if addr == learner else "i"
            ping = Ping(
                inc,
                1,
                100,
                1,
                addr == learner,
                reachable=hears,
                copied_index=copied if addr == learner else -1,
            )
            out += self.hear(addr, ping)
            if addr in pings and answers:
                out += self.hear(addr, Pong(1, pings[addr].sent, False, inc))
        return out


def prepares(actions: list[Action]) -> list[Send]:
    sends = [send for action in actions if isinstance(action, Store) for send in action.sends]
    return [send for send in sends if isinstance(send.message, Prepare)]


def test_a_ballot_is_sent_only_once_it_is_on_its_coordinators_disk() -> None:
    scripted, out = Scripted(), list[Action]()
    for _ in range(6):  # C counts as dead in the fourth
        out += scripted.round("B") if not prepares(out) else []
    assert [send.addr for send in prepares(out)] == ["B", "C"]
    assert not [one for one in out if isinstance(one, Send) and isinstance(one.message, Prepare)]
    began = next(one for one in out if isinstance(one, Store) and one.sends)
    assert began.meta["promised"] == (1, "A")


@pytest.mark.parametrize("copied", [-1, 0, MAX_ADMISSION_LAG_ENTRIES - 1, MAX_ADMISSION_LAG_ENTRIES])
def test_a_learner_without_a_copy_is_not_admitted(copied: int) -> None:
    scripted, out = Scripted(), list[Action]()
    scripted.log.commit_index = 2 * MAX_ADMISSION_LAG_ENTRIES
    for _ in range(5):
        out += scripted.round("B", "C", "N", learner="N", copied=copied)
    assert bool(prepares(out)) is (copied == MAX_ADMISSION_LAG_ENTRIES)


def test_a_disk_counts_as_lost_only_by_an_answer_to_a_ping() -> None:
    """Messages of a process that preceded the member at its address may still be in flight."""
    scripted = Scripted((A, B))
    scripted.round("B")
    scripted.hear("B", Ping("older", 1, joining=True))
    assert scripted.agreement._quorum() == 2
    scripted.hear("B", Pong(1, 12_345, False, "older"))
    assert scripted.agreement._quorum() == 2
    sent = scripted.now = scripted.now + 150_000
    scripted.agreement.tick(sent, scripted.log)
    scripted.hear("B", Pong(1, sent, False, "newer"))
    assert scripted.agreement._quorum() == 1


def test_a_lease_runs_from_the_sending_and_a_member_that_promised_does_not_renew_it() -> None:
    scripted = Scripted()
    for _ in range(3):
        scripted.round("B", "C")
    assert scripted.agreement.holds_lease(scripted.now)
    scripted.round("B", "C", answers=False)
    scripted.now += 450_000
    scripted.hear("B", Pong(1, scripted.now - 600_000, False, "i"))
    scripted.hear("C", Pong(1, scripted.now - 600_000, False, "i"))
    assert not scripted.agreement.holds_lease(scripted.now)
    scripted.agreement.tick(scripted.now, scripted.log)
    scripted.hear("B", Pong(1, scripted.now, True, "i"))
    scripted.hear("C", Pong(1, scripted.now, False, "other"))
    assert not scripted.agreement.holds_lease(scripted.now)
    scripted.hear("C", Pong(1, scripted.now, False, "i"))
    assert not scripted.agreement.holds_lease(scripted.now)  # only one answer counts for each ping
    assert scripted.agreement._acceptor.promised == NO_BALLOT


def test_the_vote_of_a_lost_disk_does_not_count_in_the_smaller_quorum() -> None:
    """D is lost: two of A, B, C agree.  B promises and is lost too: A is alone."""
    for lost in (False, True):
        scripted, out = Scripted((A, B, C, D)), list[Action]()
        for _ in range(3):
            scripted.round("B", "C", "D")
        for _ in range(3):
            if not prepares(out):
                out = scripted.round("B", "C")
                scripted.hear("D", Pong(1, scripted.now, False, "newer"))
        assert scripted.agreement._quorum() == 2 and prepares(out)
        scripted.hear("B", Promise(2, (1, "A"), 100, True))
        if lost:
            scripted.round("C")
            scripted.hear("B", Pong(1, scripted.now, False, "newer"))
        out = scripted.hear("A", Promise(2, (1, "A"), 100, True))
        assert any(isinstance(one, Send) and isinstance(one.message, Accept) for one in out) is not lost


def test_its_own_promise_ends_the_lease() -> None:
    """A and B are a majority, but so are A and C, which has A's promise and may agree on a new view."""
    scripted = Scripted()
    for _ in range(3):
        scripted.round("B", "C")
    scripted.hear("C", Prepare(2, (9, "C")))
    promised = scripted.now
    while scripted.now - promised < LEASE_US:
        assert scripted.agreement.holds_lease(scripted.now)  # its view was current within this time
        scripted.round("B")
    assert not scripted.agreement.holds_lease(scripted.now)


def test_members_remove_peers_that_have_been_silent_for_long() -> None:
    scripted = Scripted()
    for n in range(50):
        scripted.hear(f"gone{n}", Ping("n", 1, joining=True))
    for scripted.now in range(0, FORGET_PEER_AFTER_US + 600_000, 300_000):
        scripted.agreement.tick(scripted.now, scripted.log)
    assert sorted(scripted.agreement.peers) == ["B", "C"]


def test_a_seed_that_comes_up_late_at_the_first_start_keeps_its_membership() -> None:
    """Otherwise the first view shrinks to the replicas that started first, and the next loss stops writes."""
    replica = Replica("A", "", StoredState(FIRST_INCARNATION), ["A", "B", "C"], True, 2, 60_000_000, 0)
    begun: int | None = None
    actions = replica.start(0)
    for now in range(50_000, 4_000_000, 50_000):
        actions = replica.tick(now)
        for action in [one for one in actions if isinstance(one, Send) and one.addr == "B"]:
            if isinstance(action.message, Ping):
                replica.on_message("B", Pong(1, action.message.sent, False, FIRST_INCARNATION), now)
        replica.on_message(
            "B", Ping(FIRST_INCARNATION, 1, caught_up_epoch=1, reachable=("A", "C"), sent=now), now
        )
        stores = [one for one in actions if isinstance(one, Store)]
        if begun is None and any(isinstance(one.message, Prepare) for store in stores for one in store.sends):
            begun = now
    assert begun is not None and FIRST_START_GRACE_US < begun < FIRST_START_GRACE_US + 1_500_000
