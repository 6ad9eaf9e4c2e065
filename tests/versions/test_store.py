"""The version store, event by event: taken whole or turned down, held for its turn, returned, pinned."""

from __future__ import annotations

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from brackengate.installation.schema import Pool, Route, Upstream
from brackengate.snapshot.check import faults
from brackengate.snapshot.model import EMPTY, Snapshot, decode, digests, encode, make
from brackengate.versions.rollout import Rollout, Terms
from brackengate.versions.store import Apply, Candidate, Save, State, Store, Verdict

CLASSES = ("pregled", "takoj-kupi")
S = 1_000_000


def pool(*names: str, draining: tuple[str, ...] = (), **more) -> Pool:
    rows = [
        Upstream(
            name=n, address=f"127.0.0.1:{1000 + int(n[1:])}", state="draining" if n in draining else "serving"
        )
        for n in names
    ]
    return Pool(upstream=tuple(rows), **more)


def snap(to: str = "p", **pools: Pool) -> Snapshot:
    return make(pools or {"p": pool("u1", "u2")}, [Route(name="all", pool=to)])


def store(instance: str = "i", history: int = 8, backwards: bool = True, **terms) -> Store:
    return Store(CLASSES, Rollout(Terms(**terms), instance), history, backwards)


def offer(made: Store, now: int, snapshot: Snapshot, label: str = "", source: str = "xds"):
    return made.offer(now, Candidate(label or str(now), source, snapshot, now))


def applied(actions) -> list[Snapshot]:
    return [action.snapshot for action in actions if isinstance(action, Apply)]


def verdicts(actions) -> list[tuple[str, ...]]:
    return [action.reasons for action in actions if isinstance(action, Verdict)]


def test_a_good_version_a_broken_one_and_a_removal():
    made = store()
    first = snap(p=pool("u1"), q=pool("u2"))
    out = offer(made, 1, first, "1")
    assert applied(out) == [first] and verdicts(out) == [()]
    assert [a.version.label for a in out if isinstance(a, Save)] == ["1"]
    broken = make({"p": pool("u1")}, [Route(name="all", pool="nowhere"), Route(name="all", class_=("x",))])
    out = offer(made, 2, broken, "2")
    (reasons,) = verdicts(out)
    assert applied(out) == [] and made.in_use.label == "1" and made.active == first
    assert len(reasons) == 3  # all of them: the pool, the name that stands twice, the class
    assert any("'nowhere'" in why for why in reasons) and any("'x'" in why for why in reasons)
    third = snap(p=pool("u1"))
    out = offer(made, 3, third, "3")
    assert applied(out) == [third] and made.in_use.label == "3"
    assert [v.state for v in made.history] == [State.REPLACED, State.TURNED_DOWN, State.IN_USE]


def test_every_fault_of_a_snapshot_is_told():
    row = Upstream(name="u1", address="127.0.0.1:1")
    bad = make(
        {
            "p": Pool(upstream=(row, row, Upstream(name="u2", address="host:1"))),
            "q": Pool(upstream=(Upstream(name="u3", address="127.0.0.1:0"),)),
        },
        [
            Route(name="a", pool="p", split={"q": 1}),
            Route(name="b", split={"p": 0}),
            Route(name="c", path="/x", prefix="/y", pool="p"),
            Route(name="d", path="x", pool="p"),
            Route(name="e", method=("PUT",), pool="p"),
            Route(name="f", host=("a b",), pool="p"),
        ],
    )
    found = faults(bad, CLASSES)
    told = " ".join(what for _, what in found)
    for word in (
        "stands twice",
        "is also that of",
        "'host:1'",
        "127.0.0.1:0",
        "beside pool",
        "weights are 0",
    ):
        assert word in told
    for word in ("beside path", "begins with /", "'PUT'", "'a b'"):
        assert word in told
    assert [what for _, what in faults(EMPTY, CLASSES)] == ["is missing: without routes nothing is answered"]


def test_too_large_a_snapshot_is_not_looked_through():
    many = make({"p": pool("u1")}, [Route(name=str(i), pool="p") for i in range(10_001)])
    assert [key for key, _ in faults(many, CLASSES)] == [("route",)]


def test_order_alone_is_no_difference_and_the_form_is_kept():
    one = make({"a": pool("u1", "u2"), "b": pool("u3")}, [Route(name="r", pool="a")])
    other = make({"b": pool("u3"), "a": pool("u2", "u1")}, [Route(name="r", pool="a")])
    assert digests(one) == digests(other) and decode(encode(one)) == one
    moved = make({"a": pool("u1"), "b": pool("u3")}, [Route(name="r", pool="a")])
    assert digests(one)[0] != digests(moved)[0] and digests(one)[1] == digests(moved)[1]


def test_the_same_again_is_not_applied_again():
    made = store()
    offer(made, 1, snap(), "1")
    out = offer(made, 2, snap(), "2")
    assert applied(out) == [] and verdicts(out) == [()]
    assert made.in_use.label == "2" and len(made.history) == 1


def test_a_version_that_goes_backwards():
    for backwards in (True, False):
        made = store(backwards=backwards)
        offer(made, 1, snap(p=pool("u1"), q=pool("u2")), "7")
        out = offer(made, 2, snap(p=pool("u1")), "6")
        assert bool(applied(out)) is backwards
        assert made.counters["backwards"] == 1
        assert backwards or "older than 7" in verdicts(out)[0][0]


def test_upstreams_that_leave_do_not_wait_for_a_version_that_does():
    made = store(canary=0.0, jitter=400_000)
    offer(made, 0, snap(p=pool("u1", "u2"), q=pool("u3")), "1")
    # Routes change, and u2 drains: the routes wait for the jitter, u2 does not.
    new = snap("q", p=pool("u1", "u2", draining=("u2",)), q=pool("u3", "u4"))
    out = offer(made, 10, new, "2")
    (now,) = applied(out)
    assert now.routes[0].pool == "p"
    assert [r.state for r in now.pools["p"].upstream] == ["serving", "draining"]
    assert [r.name for r in now.pools["q"].upstream] == ["u3", "u4"]
    assert 10 < made.due() <= 400_010
    assert applied(made.tick(made.due())) == [new] and made.due() == 0


def test_a_pool_that_vanishes_drains_at_once_and_goes_within_the_cutoff():
    made = store(canary=0.01, canary_time=60 * S, jitter=400_000)
    before = snap(p=pool("u1"), q=pool("u2"))
    offer(made, 0, before, "1")
    out = offer(made, 5, snap(p=pool("u1")), "2")
    drained = applied(out)
    if drained and made.due():  # the jitter holds it
        assert drained[0].pools["q"].upstream[0].state == "draining"
        assert made.due() <= 5 + 400_000
        made.tick(made.due())
    assert set(made.active.pools) == {"p"}


def test_a_newer_version_stands_for_one_that_waits_and_upstreams_do_not_put_it_off():
    made = store(canary=0.0, jitter=400_000)
    offer(made, 0, snap(p=pool("u1"), q=pool("u3")), "1")
    offer(made, 0, snap("q", p=pool("u1"), q=pool("u3")), "2")
    due = made.due()
    for n in range(10):
        offer(made, n, snap("q", p=pool("u1"), q=pool("u3", f"u{10 + n}")), f"2.{n}")
    assert made.due() == due  # the same routes: it keeps its turn
    assert [r.name for r in made.active.pools["q"].upstream] == ["u19", "u3"]
    offer(made, 20, snap("p", p=pool("u1"), q=pool("u3")), "3")  # back to what is in use
    assert made.due() == 0 and made.in_use.label == "3"
    assert [v.state for v in made.history] == [State.IN_USE, State.REPLACED]


def canary_instance(shape: str, wanted: bool, **terms) -> str:
    for i in range(1000):
        if Rollout(Terms(**terms), f"i{i}").is_canary(shape) is wanted:
            return f"i{i}"
    raise AssertionError("no such instance")


TERMS = {"canary": 0.2, "canary_time": 30 * S, "least": 20, "more": 0.05}
OLD, NEW = snap(p=pool("u1"), q=pool("u2")), snap("q", p=pool("u1"), q=pool("u2"))
SHAPE = digests(NEW)[1]


def test_a_canary_goes_first_and_returns_by_its_own_counts():
    made = store(canary_instance(SHAPE, True, **TERMS), **TERMS)
    offer(made, 0, OLD, "1")
    for _ in range(100):
        assert made.answered(1, False) == []
    assert applied(offer(made, 2, NEW, "2")) == [NEW]
    assert not [a for a in made.history if a.label == "2" and a.state is not State.IN_USE]
    out = []
    asked = 0
    while not out:
        asked += 1
        out = made.answered(3 + asked, asked % 2 == 0)
    assert asked == 20 and applied(out) == [OLD] and made.in_use.label == "1"
    (reasons,) = verdicts(out)
    assert "10 of 20 answers failed, 0.0% of those before it" in reasons[0]
    # The same content again stays out, but its upstreams are followed.
    again = snap("q", p=pool("u1"), q=pool("u2", "u3"))
    out = offer(made, 100, again, "3")
    assert made.in_use.label == "1" and verdicts(out)[0]
    assert [r.name for r in applied(out)[0].pools["q"].upstream] == ["u2", "u3"]
    # And what differs in its routes gets its chance.
    better = make(OLD.pools, [Route(name="better", pool="q")])
    offer(made, 200, better, "4")
    assert made.in_use.label == "4" or made.due() > 0


def test_the_others_go_later_and_judge_for_themselves():
    made = store(canary_instance(SHAPE, False, **TERMS), **TERMS)
    offer(made, 0, OLD, "1")
    out = offer(made, 2, NEW, "2")
    assert applied(out) == [] and made.due() == 2 + 30 * S
    assert made.tick(made.due() - 1) == []
    assert applied(made.tick(2 + 30 * S)) == [NEW] and made.rollout.judging()
    assert [a for a in made.tick(made.due()) if isinstance(a, Save)]
    assert not made.rollout.judging()


def test_a_version_taken_back_before_its_turn_is_never_used():
    made = store(canary_instance(SHAPE, False, **TERMS), **TERMS)
    offer(made, 0, OLD, "1")
    offer(made, 2, NEW, "2")
    assert applied(offer(made, 10, OLD, "3")) == []
    assert made.due() == 0 and made.active == OLD


def test_a_return_does_not_bring_back_upstreams_that_have_left():
    made = store(canary_instance(SHAPE, True, **TERMS), **TERMS)
    offer(made, 0, OLD, "1")
    offer(made, 2, NEW, "2")
    offer(made, 3, snap("q", p=pool("u5"), q=pool("u2", draining=("u2",))), "3")
    out = []
    while not out:
        out = made.answered(4, True)
    (back,) = applied(out)
    assert back.routes == OLD.routes
    assert [r.name for r in back.pools["p"].upstream] == ["u5"]
    assert back.pools["q"].upstream[0].state == "draining"


def test_a_return_does_not_bring_back_a_pool_that_was_told_to_leave():
    made = store(canary=1.0, canary_time=30 * S, least=5)
    offer(made, 0, OLD, "1")
    for _ in range(20):
        made.answered(1, False)
    offer(made, 2, make({"p": pool("u1")}, [Route(name="worse", pool="p")]), "2")
    out = []
    while not out:
        out = made.answered(4, True)
    (back,) = applied(out)
    assert back.routes == OLD.routes and set(back.pools) == {"p", "q"}
    assert [r.state for r in back.pools["q"].upstream] == ["draining"]


def test_what_waits_for_its_turn_does_not_break_a_pin():
    made = store(canary=0.0, jitter=400_000)
    offer(made, 0, OLD, "1")
    made.tick(400_000)
    offer(made, 500_000, NEW, "2")
    assert made.due()
    made.rollback(500_001, "1")
    assert made.due() == 0 and made.tick(2_000_000) == [] and made.in_use.label == "1"
    made.release(3_000_000)
    assert made.in_use.label == "2"


def test_a_version_on_top_of_one_that_is_judged_returns_past_both():
    made = store(canary=1.0, canary_time=30 * S, least=5)
    offer(made, 0, OLD, "1")
    for _ in range(20):
        made.answered(1, False)
    offer(made, 2, NEW, "2")
    offer(made, 3, make(OLD.pools, [Route(name="third", pool="q")]), "3")
    assert made.in_use.label == "3"
    out = []
    while not out:
        out = made.answered(4, True)
    assert made.in_use.label == "1" and applied(out) == [OLD]


def test_a_failing_time_before_is_no_reason_to_return():
    made = store(canary_instance(SHAPE, True, **TERMS), **TERMS)
    offer(made, 0, OLD, "1")
    for n in range(200):
        made.answered(1, n % 2 == 0)
    offer(made, 2, NEW, "2")
    for n in range(200):
        assert made.answered(3, n % 2 == 0) == []
    assert made.in_use.label == "2"


def test_what_is_good_is_saved_only_once_it_is_known_to_be():
    made = store(canary_instance(SHAPE, True, **TERMS), **TERMS)
    offer(made, 0, OLD, "1")
    out = offer(made, 2, NEW, "2")
    assert not [a for a in out if isinstance(a, Save)]
    out = made.tick(2 + 30 * S)
    assert [a.version.label for a in out if isinstance(a, Save)] == ["2"]


def test_an_operator_goes_back_and_stays_there():
    made = store()
    first = snap(p=pool("u1"), q=pool("u2"))
    offer(made, 1, first, "1")
    offer(made, 2, snap(p=pool("u9")), "2")
    why, out = made.rollback(3, "1")
    assert why == "" and made.in_use.label == "1"
    (back,) = applied(out)
    # Its routes and pools; where the source has a word on upstreams, that word.
    assert [r.name for r in back.pools["p"].upstream] == ["u9"]
    assert [(r.name, r.state) for r in back.pools["q"].upstream] == [("u2", "serving")]
    # What comes now waits behind the pin, but for its upstreams.
    out = offer(made, 4, make({"p": pool("u8")}, [Route(name="new", pool="p")]), "3")
    assert made.in_use.label == "1" and [r.name for r in applied(out)[0].pools["p"].upstream] == ["u8"]
    assert made.due() == 0
    assert made.active.pools["q"].upstream[0].state == "serving"
    why, out = made.release(5)
    assert why == "" and made.in_use.label == "3" and made.active.routes[0].name == "new"
    assert made.release(6)[0] == "no version is pinned"


def test_release_without_news_goes_back_to_what_was_in_use():
    made = store()
    offer(made, 1, snap(p=pool("u1"), q=pool("u2")), "1")
    offer(made, 2, snap(p=pool("u1")), "2")
    made.rollback(3, "#1")
    why, out = made.release(4)
    assert why == "" and made.in_use.label == "2" and applied(out)


def test_what_can_not_be_gone_back_to_is_said():
    made = store()
    offer(made, 1, snap(), "1")
    offer(made, 2, make({}, []), "2")
    assert "no version 'x'" in made.rollback(3, "x")[0]
    assert "was turned down" in made.rollback(3, "2")[0]


def test_the_history_is_bounded_and_keeps_what_is_needed():
    made = store(history=4)
    for n in range(50):
        offer(made, n, snap(p=pool("u1", max_requests=n)), str(n))
    assert [v.label for v in made.history] == ["46", "47", "48", "49"]
    for n in range(50):
        offer(made, 100 + n, make({}, [Route(name=f"r{n}", pool="x")]), f"bad {n}")
    assert made.in_use in made.history and len(made.history) <= 4


def test_a_broken_version_that_is_sent_for_ever_stands_once():
    made = store()
    offer(made, 1, snap(), "1")
    for n in range(20):
        assert verdicts(offer(made, 2 + n, make({}, []), "2"))[0]
    assert len(made.history) == 2 and made.counters["turned_down"] == 20


class Anything(RuleBasedStateMachine):
    """Whatever comes in whatever order: what is in use has no faults and upstreams as last told."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.made = store("i3", canary=0.5, canary_time=1000, least=3, more=0.1, jitter=100)
        self.told: Snapshot | None = None
        self.applied: Snapshot | None = None
        self.gone: set[str] = set()  # pools that were told to leave

    def act(self, actions) -> None:
        for action in actions:
            if isinstance(action, Apply):
                self.applied = action.snapshot

    @rule(
        routes=st.sampled_from(("p", "q", "x")),
        ups=st.dictionaries(
            st.sampled_from("pq"),
            st.dictionaries(st.sampled_from(("u1", "u2", "u3")), st.booleans(), max_size=3),
            max_size=2,
        ),
        caps=st.integers(0, 2),
    )
    def push(self, routes, ups, caps):
        self.now += 1
        pools = {
            name: pool(*rows, draining=tuple(n for n, drains in rows.items() if drains), max_requests=caps)
            for name, rows in ups.items()
        }
        new = make(pools, [Route(name="all", pool=routes)])
        if not faults(new, CLASSES):
            self.gone |= set(self.told.pools if self.told else ()) - set(new.pools)
            self.told = new
        self.act(offer(self.made, self.now, new))

    @rule(bad=st.booleans())
    def answer(self, bad):
        self.act(self.made.answered(self.now, bad))

    @rule(step=st.integers(1, 1500))
    def wait(self, step):
        due = self.made.due()
        self.now = max(self.now, min(self.now + step, due) if due else self.now + step)
        self.act(self.made.tick(self.now))

    @rule(number=st.integers(1, 9))
    def back(self, number):
        self.act(self.made.rollback(self.now, f"#{number}")[1])

    @rule()
    def release(self):
        self.act(self.made.release(self.now)[1])

    @precondition(lambda self: self.applied is not None)
    @invariant()
    def holds(self):
        assert self.applied == self.made.active
        assert not faults(self.made.active, CLASSES)
        assert self.told is not None
        for name, one in self.made.active.pools.items():
            if name in self.told.pools:
                assert one.upstream == self.told.pools[name].upstream
        assert self.made.pinned is None or self.made.in_use is self.made.pinned
        left = {name for name in self.gone if name not in self.told.pools}
        if self.made.pinned is None:
            for name in left & set(self.made.active.pools):
                assert all(r.state == "draining" for r in self.made.active.pools[name].upstream)
        assert self.made.in_use.state is State.IN_USE
        assert sum(v.state is State.IN_USE for v in self.made.history) == 1


TestAnything = Anything.TestCase
TestAnything.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)


def test_twenty_instances_and_one_bad_version():
    """What a bad version costs a fleet, where it is taken back when the first canary returns.

    Each instance answers 100 requests a second, and all that come under the bad version fail.  The control
    service takes it back 200 ms after the first word.
    """
    terms = Terms(canary=0.1, canary_time=30 * S, least=20, more=0.05)
    fleet = [Store(CLASSES, Rollout(terms, f"fleet-{i}")) for i in range(20)]
    for one in fleet:
        offer(one, 0, OLD, "1")
    returned_at, failed, now, back = 0, 0, 10 * S, False
    for one in fleet:
        offer(one, now, NEW, "2")
    while now < 100 * S:
        now += 10_000
        if returned_at and not back and now >= returned_at + 200_000:
            back = True
            for one in fleet:
                offer(one, now, OLD, "3")
        for one in fleet:
            if one.due() and now >= one.due():
                one.tick(now)
            bad = one.active.routes[0].pool == "q"
            failed += bad
            if [a for a in one.answered(now, bad) if isinstance(a, Verdict)]:
                returned_at = returned_at or now
    canaries = sum(one.rollout.is_canary(SHAPE) for one in fleet)
    assert canaries >= 1 and returned_at
    assert failed == 20 * canaries  # of 180,000: the least that a version is judged by, at each canary
    assert all(one.active == OLD for one in fleet)


def test_json_of_a_snapshot_is_what_people_write():
    told = msgspec.json.decode(encode(OLD))
    assert set(told) == {"pools", "routes"} and told["routes"][0]["pool"] == "p"
