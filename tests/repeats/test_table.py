"""The table of keyed requests: event by event, in floods, and against a simple model."""

from __future__ import annotations

import tracemalloc
from dataclasses import dataclass, field

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from brackengate.interface import EarlierAttempt, Endpoint
from brackengate.repeats.table import (
    OVERHEAD,
    Answer,
    Bounds,
    Identity,
    Join,
    Lead,
    Pass,
    Replay,
    Table,
    Turned,
)

S = 1_000_000
WINDOW = 4 * S
SECRET = bytes(32)
ANSWER = Answer(b"done", b"text/plain")
HERE = EarlierAttempt(Endpoint("u0", zone="a"), 0)


def who(key: bytes = b"k", tenant: str = "t", client: str = "c", cls: str = "bid") -> Identity:
    return Identity(tenant, client, cls, key)


def table(**bounds: int) -> Table:
    return Table(Bounds(**bounds), SECRET, ("t", "u"))


def arrive(made: Table, now: int, identity: Identity, request: str = "r", digest: bytes = b"d") -> object:
    return made.arrive(now, identity, digest, request, WINDOW)


def test_a_repeat_joins_while_the_first_runs_and_is_answered_after() -> None:
    made = table()
    assert arrive(made, 0, who(), "r1") == Lead()
    assert arrive(made, 1, who(), "r2") == Join("r1")
    made.answered(2, who(), "r1", ANSWER)
    assert arrive(made, 3, who(), "r3") == Replay(ANSWER)
    assert arrive(made, 2 + 9 * S, who(), "r4") == Replay(ANSWER)
    assert arrive(made, 2 + 10 * S, who(), "r5") == Lead()  # forgotten in time
    assert made.counters["replayed"] == 2 and made.counters["expired"] == 1


@pytest.mark.parametrize(
    "other",
    [who(tenant="u"), who(client="d"), who(cls="ask"), who(b"K"), who(b"k "), who(b"")],
    ids=["tenant", "client", "class", "case", "space", "empty"],
)
def test_whatever_differs_in_the_identity_is_another_request(other: Identity) -> None:
    made = table()
    arrive(made, 0, who(), "r1")
    made.answered(1, who(), "r1", ANSWER)
    assert arrive(made, 2, other, "r2") == Lead()


def test_the_same_key_with_another_body_is_a_mismatch_in_every_state() -> None:
    made = table()
    arrive(made, 0, who(), "r1", b"one")
    assert arrive(made, 1, who(), "r2", b"two") is Turned.MISMATCH
    made.answered(2, who(), "r1", ANSWER)
    assert arrive(made, 3, who(), "r3", b"two") is Turned.MISMATCH
    assert arrive(made, 4, who(), "r4", b"one") == Replay(ANSWER)


def test_digests_part_method_path_and_body_and_differ_by_secret() -> None:
    made = table()
    told = {
        made.digest(b"POST", b"/a", b"bc"),
        made.digest(b"POST", b"/ab", b"c"),
        made.digest(b"POS", b"T/a", b"bc"),
        made.digest(b"POST", b"/a", b"b"),
        Table(Bounds(), b"x" * 32).digest(b"POST", b"/a", b"bc"),
    }
    assert len(told) == 5


def test_what_was_refused_is_forgotten_at_once() -> None:
    made = table()
    arrive(made, 0, who(), "r1")
    made.never_ran(1, who(), "r1")
    assert len(made) == 0 and made.size() == 0
    assert arrive(made, 2, who(), "r2") == Lead()


def test_what_may_have_run_goes_back_to_where_it_ran_and_later_nowhere() -> None:
    made = table()
    arrive(made, 0, who(), "r1")
    made.may_have_run(S, who(), "r1", (HERE,))
    assert arrive(made, 2 * S, who(), "r2") == Lead((HERE,))
    made.never_ran(3 * S, who(), "r2")  # refused this time; the first may still have run
    assert arrive(made, 5 * S, who(), "r3") is Turned.UNKNOWN
    assert arrive(made, 20 * S, who(), "r4") == Lead()


def test_an_answer_over_the_size_is_not_kept_but_that_it_ran_is() -> None:
    made = table(max_answer=3)
    arrive(made, 0, who(), "r1")
    made.answered(1, who(), "r1", ANSWER)
    assert arrive(made, 2, who(), "r2") is Turned.UNKNOWN
    assert made.counters["answers_not_kept"] == 1


def test_too_many_that_wait_are_told_so() -> None:
    made = table(waiters=2)
    arrive(made, 0, who(), "r1")
    assert isinstance(arrive(made, 1, who(), "r2"), Join) and isinstance(arrive(made, 1, who(), "r3"), Join)
    assert arrive(made, 2, who(), "r4") is Turned.BUSY
    made.left(who(), "r2")
    assert isinstance(arrive(made, 3, who(), "r5"), Join)


def test_one_that_joined_leads_on() -> None:
    made = table()
    arrive(made, 0, who(), "r1")
    arrive(made, 1, who(), "r2")
    assert made.led_by(who(), "r1", "r2")
    assert not made.led_by(who(), "r1", "r3")
    made.answered(2, who(), "r1", Answer(b"late", b""))  # the old leader's word counts no more
    assert arrive(made, 3, who(), "r4") == Join("r2")


def test_a_flood_forgets_the_oldest_finished_of_its_own_tenant_and_none_that_runs() -> None:
    made = table(bytes=30_000)
    arrive(made, 0, who(b"mine", "u"), "mine")
    made.answered(0, who(b"mine", "u"), "mine", ANSWER)
    arrive(made, 0, who(b"running"), "running")
    for number in range(1000):
        key = who(b"%d" % number)
        arrive(made, number, key, f"f{number}")
        made.answered(number, key, f"f{number}", ANSWER)
        assert made.size() <= 30_000
    assert arrive(made, 1001, who(b"mine", "u"), "again") == Replay(ANSWER)
    assert arrive(made, 1001, who(b"running"), "again") == Join("running")
    assert arrive(made, 1001, who(b"999"), "again") == Replay(ANSWER)
    assert arrive(made, 1001, who(b"0"), "again") == Lead()
    assert made.counters["forgotten"] > 900


def test_where_all_room_runs_a_request_passes_untracked() -> None:
    made = table(bytes=3 * 4 * (OVERHEAD + 20))
    told = [arrive(made, 0, who(b"%d" % i), f"r{i}") for i in range(8)]
    assert told[0] == Lead() and told[-1] == Pass()
    assert isinstance(arrive(made, 1, who(b"0"), "again"), Join)
    assert made.counters["untracked"] > 0


def test_a_key_of_ten_kilobytes_is_not_tracked() -> None:
    made = table()
    assert arrive(made, 0, who(b"x" * 10_000)) == Pass()
    assert len(made) == 0


def test_made_up_tenants_share_one_part() -> None:
    made = table(bytes=30_000)
    for number in range(500):
        key = who(b"k", f"made-up-{number}")
        arrive(made, number, key, f"r{number}")
        made.answered(number, key, f"r{number}", ANSWER)
    assert made.size() <= 10_000


def test_an_hours_flood_of_new_keys_stays_under_the_bound() -> None:
    """New keys for an hour of simulated time; the process's own memory is measured too."""
    made = table(bytes=400_000)
    tracemalloc.start()
    base = tracemalloc.get_traced_memory()[0]
    most = 0
    for number in range(90_000):  # 25 a second
        now = number * 40_000
        key = who(b"%d" % number)
        arrive(made, now, key, "r")
        made.answered(now + 10, key, "r", ANSWER)
        most = max(most, made.size())
    grown = tracemalloc.get_traced_memory()[0] - base
    tracemalloc.stop()
    assert most <= 400_000
    assert grown <= 400_000  # what is counted for an entry is not less than what it takes


# --- against a model


@dataclass
class Model:
    """What is owed for one key: the digest, the answer or where it may have run, and since when."""

    digest: bytes
    running: str = ""
    answer: Answer | None = None
    maybe: bool = False
    since: int = 0
    joined: set[str] = field(default_factory=set)


KEYS = st.integers(0, 4)


class TableAgainstModel(RuleBasedStateMachine):
    """The table may forget what is finished; whatever it answers must be what the model knows."""

    @initialize(small=st.booleans())
    def begin(self, small: bool) -> None:
        self.made = Table(
            Bounds(bytes=3 * (3 * (OVERHEAD + 80) if small else 100_000), waiters=3), SECRET, ("t", "u")
        )
        self.model: dict[Identity, Model] = {}
        self.now, self.count = S, 0

    def identity(self, key: int, tenant: bool) -> Identity:
        return who(b"%d" % key, "t" if tenant else "u")

    @rule(key=KEYS, tenant=st.booleans(), body=st.booleans())
    def request(self, key: int, tenant: bool, body: bool) -> None:
        identity, digest = self.identity(key, tenant), b"one" if body else b"two"
        self.count += 1
        name = f"r{self.count}"
        known = self.model.get(identity)
        told = self.made.arrive(self.now, identity, digest, name, WINDOW)
        match told:
            case Lead(earlier):
                assert known is None or not known.running  # never two of one key at once
                if earlier:
                    assert known is not None and known.maybe and known.digest == digest
                self.model[identity] = Model(digest, running=name, maybe=bool(earlier))
            case Pass():
                assert known is None or not known.running
            case Join(leader):
                assert known is not None and known.running == leader and known.digest == digest
                known.joined.add(name)
            case Replay(answer):
                assert known is not None and known.answer == answer and known.digest == digest
                assert self.now - known.since < self.made.bounds.keep
            case Turned.MISMATCH:
                assert known is not None and known.digest != digest
            case Turned.BUSY:
                assert known is not None and known.running and len(known.joined) >= 3
            case Turned.UNKNOWN:
                assert known is not None and not known.running and (known.maybe or known.answer)

    def running(self) -> list[tuple[Identity, Model]]:
        return [(identity, known) for identity, known in self.model.items() if known.running]

    @rule(pick=st.integers(0, 100), how=st.sampled_from(["answer", "maybe", "refused", "lead on"]))
    def end(self, pick: int, how: str) -> None:
        if not self.running():
            return
        identity, known = self.running()[pick % len(self.running())]
        name = known.running
        if how == "answer":
            answer = Answer(f"answer of {identity.key!r} {identity.tenant}".encode(), b"")
            self.made.answered(self.now, identity, name, answer)
            self.model[identity] = Model(known.digest, answer=answer, since=self.now)
        elif how == "maybe":
            self.made.may_have_run(self.now, identity, name, (EarlierAttempt(Endpoint("u"), self.now),))
            self.model[identity] = Model(known.digest, maybe=True, since=self.now)
        elif how == "refused":
            self.made.never_ran(self.now, identity, name)
            if known.maybe:
                self.model[identity] = Model(known.digest, maybe=True, since=self.now)
            else:
                del self.model[identity]
        elif known.joined:
            heir = known.joined.pop()
            assert self.made.led_by(identity, name, heir)
            known.running = heir

    @rule(pick=st.integers(0, 100))
    def leave(self, pick: int) -> None:
        waiting = [(identity, known) for identity, known in self.running() if known.joined]
        if waiting:
            identity, known = waiting[pick % len(waiting)]
            self.made.left(identity, known.joined.pop())

    @rule(seconds=st.sampled_from([0.01, 1, 5, 11]))
    def wait(self, seconds: float) -> None:
        self.now += int(seconds * S)

    @invariant()
    def bounded_and_nothing_that_runs_is_forgotten(self) -> None:
        assert self.made.size() <= self.made.bounds.bytes
        assert self.made.size() == sum(entry.weight for entry in self.made._entries.values())
        for identity, known in self.running():
            entry = self.made._entries[identity]
            assert entry.leader == known.running and entry.waiters == len(known.joined)


TableAgainstModel.TestCase.settings = settings(max_examples=80, stateful_step_count=60, deadline=None)
test_against_a_model = TableAgainstModel.TestCase
