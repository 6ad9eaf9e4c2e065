"""Which members the next view has, and what a quorum of a view is: pure."""

from __future__ import annotations

from itertools import combinations

import pytest

from brackengate.control.actions import Action, Store, Tell
from brackengate.control.ballots import NOBODY, ViewChange, quorum
from brackengate.control.contact import LogStatus
from brackengate.control.failure_detector import FIRST_START, FORGOTTEN, LEASE
from brackengate.control.membership import MembershipFacts, next_members
from brackengate.control.replica import FIRST, Replica, StoredState
from brackengate.control.view import ADMISSION_LAG, Agreement
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
        (facts("ABC", lost="C"), "AB"),  # two can write: the lost one is not waited for
        (facts("ABC", lost="C", learner=NEW), "AB"),  # and nobody is admitted in the same step
        (facts("ABC", learner=NEW), "ABCN"),
        (facts("ABCDE", lost="BD", minimum=3), "ACE"),
        (facts("ABC", lost="C", minimum=3), "ABC"),  # two can't write: its copy may come back
        (facts("ABC", wiped="C", minimum=3), "AB"),  # that one can't
        (facts("ABC", lost="C", minimum=3, learner=NEW), "ABN"),  # a complete copy takes over
        (facts("ABC", lost="B", minimum=3, lacking="C"), "AC"),  # else C would wait for B for ever
        (facts("ABC", lost="C", minimum=3, commit_known=False), "AB"),  # else no learner could copy
        (facts("ABC", leaving="C"), "AB"),
        (facts("ABC", leaving="C", copies=True), "ABC"),  # it stays until the other holds everything
        (facts("ABC", leaving="C", learner=NEW), "ABCN"),
        (facts("ABCD", leaving="D", copies=True), "ABC"),  # three outlast the next loss
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


def test_any_two_quorums_have_a_member_in_common_that_remembers() -> None:
    """Also of one that knows of lost disks and one that doesn't; a lost member votes for neither later."""
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


def test_the_new_head_promised_and_holds_everything() -> None:
    assert change(promise(5), promise(4)).proposal() == View(2, (A, B, C))
    assert change(None, promise(4), promise(4)).proposal() is None  # A may hold nothing: it is waited for
    made = change(promise(9, False), promise(4), promise(3)).proposal()
    assert made == View(2, (B, C, Member("A", "i", 2)))  # what A holds counts no more: it starts anew
    assert change(promise(9, False), promise(4, False)).proposal() is None


def test_what_may_have_been_agreed_is_proposed_again() -> None:
    older, newer = View(2, (A, B)), View(2, (B, C))
    first = Promise(2, (3, "A"), 5, True, (1, "B"), older)
    second = Promise(2, (3, "A"), 5, True, (2, "C"), newer)
    assert change(first, promise(5)).proposal() == older
    assert change(first, second).proposal() == newer


# --- one replica's agreement


class Scripted:
    """A, the head of {A, B, C}, with words of the others by hand."""

    def __init__(self, members: tuple[Member, ...] = (A, B, C)) -> None:
        self.agreement = Agreement("A", "i", "", 0, View(1, members), min_replicas=2)
        self.log = LogStatus(100, True, 1, 100)
        self.now = 0

    def hear(self, addr: str, word: Message) -> list[Action]:
        return self.agreement.heard(addr, word, self.now, self.log)

    def round(self, *others: str, copied: int = -1, learner: str = "", answers: bool = True) -> list[Action]:
        """150 ms, in which the others say that all is well."""
        out: list[Action] = []
        hears = ("A", "B", "C", "N")
        for _ in range(3):
            self.now += 50_000
            out += self.agreement.tick(self.now, self.log)
        pings = {one.addr: one.word for one in out if isinstance(one, Tell) and isinstance(one.word, Ping)}
        for addr in others:
            inc = "n" if addr == learner else "i"
            said = Ping(
                inc,
                1,
                100,
                1,
                addr == learner,
                reachable=hears,
                copied_index=copied if addr == learner else -1,
            )
            out += self.hear(addr, said)
            if addr in pings and answers:
                out += self.hear(addr, Pong(1, pings[addr].sent, False, inc))
        return out


def prepares(actions: list[Action]) -> list[Tell]:
    told = [tell for action in actions if isinstance(action, Store) for tell in action.tells]
    return [tell for tell in told if isinstance(tell.word, Prepare)]


def test_nobody_hears_of_a_ballot_before_it_is_on_its_coordinators_disk() -> None:
    core, out = Scripted(), list[Action]()
    for _ in range(6):  # C is taken for dead in the fourth
        out += core.round("B") if not prepares(out) else []
    assert [tell.addr for tell in prepares(out)] == ["B", "C"]
    assert not [one for one in out if isinstance(one, Tell) and isinstance(one.word, Prepare)]
    began = next(one for one in out if isinstance(one, Store) and one.tells)
    assert began.meta["promised"] == (1, "A")


@pytest.mark.parametrize("copied", [-1, 0, ADMISSION_LAG - 1, ADMISSION_LAG])
def test_a_learner_without_a_copy_is_not_admitted(copied: int) -> None:
    core, out = Scripted(), list[Action]()
    core.log.commit_index = 2 * ADMISSION_LAG
    for _ in range(5):
        out += core.round("B", "C", "N", learner="N", copied=copied)
    assert bool(prepares(out)) is (copied == ADMISSION_LAG)


def test_a_lost_disk_is_believed_by_an_answer_alone() -> None:
    """Words of a process that was there before the member may still be under way."""
    core = Scripted((A, B))
    core.round("B")
    core.hear("B", Ping("older", 1, joining=True))
    assert core.agreement._quorum() == 2
    core.hear("B", Pong(1, 12_345, False, "older"))
    assert core.agreement._quorum() == 2
    sent = core.now = core.now + 150_000
    core.agreement.tick(sent, core.log)
    core.hear("B", Pong(1, sent, False, "newer"))
    assert core.agreement._quorum() == 1


def test_a_lease_runs_from_the_sending_and_is_not_given_by_who_has_promised() -> None:
    core = Scripted()
    for _ in range(3):
        core.round("B", "C")
    assert core.agreement.holds_lease(core.now)
    core.round("B", "C", answers=False)
    core.now += 450_000
    core.hear("B", Pong(1, core.now - 600_000, False, "i"))
    core.hear("C", Pong(1, core.now - 600_000, False, "i"))
    assert not core.agreement.holds_lease(core.now)
    core.agreement.tick(core.now, core.log)
    core.hear("B", Pong(1, core.now, True, "i"))
    core.hear("C", Pong(1, core.now, False, "other"))
    assert not core.agreement.holds_lease(core.now)
    core.hear("C", Pong(1, core.now, False, "i"))
    assert not core.agreement.holds_lease(core.now)  # one answer to each ping
    assert core.agreement._acceptor.promised == NOBODY


def test_the_vote_of_a_lost_disk_does_not_count_in_the_smaller_quorum() -> None:
    """D is lost: two of A, B, C agree.  B promises and is lost too: A is alone."""
    for lost in (False, True):
        core, out = Scripted((A, B, C, D)), list[Action]()
        for _ in range(3):
            core.round("B", "C", "D")
        for _ in range(3):
            if not prepares(out):
                out = core.round("B", "C")
                core.hear("D", Pong(1, core.now, False, "newer"))
        assert core.agreement._quorum() == 2 and prepares(out)
        core.hear("B", Promise(2, (1, "A"), 100, True))
        if lost:
            core.round("C")
            core.hear("B", Pong(1, core.now, False, "newer"))
        out = core.hear("A", Promise(2, (1, "A"), 100, True))
        assert any(isinstance(one, Tell) and isinstance(one.word, Accept) for one in out) is not lost


def test_its_own_promise_ends_the_lease() -> None:
    """With B it is a majority, and with C, which it gave its promise to, another one that may go on."""
    core = Scripted()
    for _ in range(3):
        core.round("B", "C")
    core.hear("C", Prepare(2, (9, "C")))
    promised = core.now
    while core.now - promised < LEASE:
        assert core.agreement.holds_lease(core.now)  # what was in force is not older than that
        core.round("B")
    assert not core.agreement.holds_lease(core.now)


def test_machines_that_are_gone_are_forgotten_by_members() -> None:
    core = Scripted()
    for n in range(50):
        core.hear(f"gone{n}", Ping("n", 1, joining=True))
    for core.now in range(0, FORGOTTEN + 600_000, 300_000):
        core.agreement.tick(core.now, core.log)
    assert sorted(core.agreement.peers) == ["B", "C"]


def test_a_seed_that_comes_up_late_at_the_first_start_keeps_its_membership() -> None:
    """Else the first view shrinks to those that were quick, and the next loss stops writes."""
    replica = Replica("A", "", StoredState(FIRST), ["A", "B", "C"], True, 2, 60_000_000, 0)
    begun: int | None = None
    actions = replica.start(0)
    for now in range(50_000, 4_000_000, 50_000):
        actions = replica.tick(now)
        for action in [one for one in actions if isinstance(one, Tell) and one.addr == "B"]:
            if isinstance(action.word, Ping):
                replica.heard("B", Pong(1, action.word.sent, False, FIRST), now)
        replica.heard("B", Ping(FIRST, 1, caught_up_epoch=1, reachable=("A", "C"), sent=now), now)
        stores = [one for one in actions if isinstance(one, Store)]
        if begun is None and any(isinstance(one.word, Prepare) for store in stores for one in store.tells):
            begun = now
    assert begun is not None and FIRST_START < begun < FIRST_START + 1_500_000
