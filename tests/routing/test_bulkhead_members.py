"""Pure parts of the pools: what a pool takes no more of, upstreams' ages, and portions of a long list."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from brackengate.installation.schema import Upstream
from brackengate.interface import EarlierAttempt, Endpoint, Idempotency, Lifecycle
from brackengate.routing.bulkhead import Bulkhead, Reason
from brackengate.routing.earlier import goes_to, with_pool, without_pool
from brackengate.routing.members import KEPT, SLICE, Ages, Telling
from brackengate.snapshot.diff import Rows


def row(name: str, address: str = "", state: str = "serving") -> Upstream:
    return Upstream(name=name, address=address or f"127.0.0.1:{1000 + int(name[1:])}", state=state)


def test_a_full_pool_refuses_and_has_room_again():
    bulkhead = Bulkhead(2, 2_000_000)
    assert [bulkhead.ask(1, False) for _ in range(3)] == [None, None, Reason.FULL]
    bulkhead.left(50_000)
    assert bulkhead.ask(1, False) is None
    assert bulkhead.refused == {Reason.FULL: 1} and bulkhead.held == 2


def test_advice_is_within_what_callers_follow():
    bulkhead = Bulkhead(1, 300_000)
    assert bulkhead.retry_after(Reason.EMPTY) == 300_000
    assert bulkhead.retry_after(Reason.FULL) == 10_000
    for _ in range(200):
        bulkhead.ask(1, False)
        bulkhead.left(200_000)
    assert 190_000 < bulkhead.retry_after(Reason.FULL) <= 200_000
    assert Bulkhead(1, 0).retry_after(Reason.FULL) == 0


def test_pools_that_are_empty_or_gone_take_nothing():
    bulkhead = Bulkhead(0, 1)
    assert bulkhead.ask(0, False) is Reason.EMPTY
    assert bulkhead.ask(3, True) is Reason.GONE
    assert bulkhead.held == 0


def test_what_was_there_first_is_warm_and_what_comes_is_new():
    ages = Ages()
    ages.see(100, [row("u1")], first=True)
    ages.see(200, [row("u2")])
    assert ages.row(row("u1"))[0].started_at == 0
    assert ages.row(row("u2"))[0].started_at == 200
    # The same process in another pool or under another name is as old as it is.
    ages.see(300, [row("u9", "127.0.0.1:1002")])
    assert ages.row(row("u9", "127.0.0.1:1002"))[0].started_at == 200
    # The same name at a new address is another process.
    ages.see(400, [row("u1", "127.0.0.1:7777")])
    assert ages.row(row("u1", "127.0.0.1:7777"))[0].started_at == 400


def test_an_address_that_comes_back_soon_keeps_its_age_and_later_is_new():
    ages = Ages()
    ages.see(100, [row("u1"), row("u2")])
    ages.left(200, [row("u1")])
    ages.see(300, [row("u1")])
    assert ages.row(row("u1"))[0].started_at == 100
    ages.left(400, [row("u1")])
    ages.left(400 + KEPT, [])
    assert len(ages) == 1
    ages.see(500 + KEPT, [row("u1")])
    assert ages.row(row("u1"))[0].started_at == 500 + KEPT


def test_a_source_that_tells_the_start_is_believed():
    ages = Ages()
    told = Upstream(name="u1", address="127.0.0.1:1", since=77)
    ages.see(500, [told])
    assert ages.row(told)[0].started_at == 77


def test_those_that_leave_are_told_before_thousands_that_come():
    telling = Telling(Ages())
    assert telling.take(Rows(added=(row("u1"), row("u2")))) == []
    assert len(telling.slice()) == 2
    many = tuple(row(f"u{i}") for i in range(10, 1010))
    drained = row("u2", state="draining")
    urgent = telling.take(Rows(added=many, changed=(drained,), removed=(row("u1"),)))
    assert [(r.upstream, r.state) for r, _ in urgent] == [
        ("u1", Lifecycle.GONE),
        ("u2", Lifecycle.DRAINING),
    ]
    assert len(telling.slice()) == SLICE
    assert telling.known() == 1001


steps = st.lists(
    st.one_of(
        st.tuples(st.just("slice"), st.integers(1, 3)),
        st.dictionaries(st.integers(0, 5), st.sampled_from(("serving", "draining")), max_size=6),
    ),
    max_size=30,
)


@given(steps)
def test_in_the_end_the_module_has_been_told_the_latest_list(script):
    """However lists and slices take turns: no word is lost, and none comes in the wrong order."""
    ages, latest = Ages(), {}
    telling, module = Telling(ages), {}

    def told(listed):
        for endpoint, _ in listed:
            if endpoint.state is Lifecycle.GONE:
                del module[endpoint.upstream]  # it must have been told of it before
            else:
                module[endpoint.upstream] = endpoint.state.value

    for step in script:
        if isinstance(step, tuple):
            told(telling.slice(step[1]))
            continue
        new = {f"u{n}": row(f"u{n}", state=state) for n, state in step.items()}
        rows = Rows(
            tuple(r for n, r in new.items() if n not in latest),
            tuple(r for n, r in new.items() if n in latest and r != latest[n]),
            tuple(r for n, r in latest.items() if n not in new),
        )
        ages.see(1, new.values())
        told(telling.take(rows))
        latest = new
        leaving = {n for n, r in latest.items() if r.state == "draining"}
        assert all(module[n] == "draining" for n in leaving if n in module)
        assert telling.known() == len(latest)
    while not telling.done():
        told(telling.slice())
    assert module == {name: r.state for name, r in latest.items()}


def test_what_may_have_run_goes_to_its_own_pool_or_nowhere():
    word = EarlierAttempt(Endpoint("u1", zone="a"), 5)
    ran_in_p, ran_in_q = with_pool(word, "p"), with_pool(word, "q")
    assert without_pool(ran_in_p) == word
    for kind in (Idempotency.KEYED, Idempotency.UNSAFE):
        assert goes_to("p", (), kind, {"p"}) == "p"
        assert goes_to("p", (ran_in_p,), kind, {"p", "q"}) == "p"
        assert goes_to("p", (ran_in_q,), kind, {"p", "q"}) == "q"
        assert goes_to("p", (ran_in_q,), kind, {"p"}) == ""
        assert goes_to("p", (ran_in_p, ran_in_q), kind, {"p", "q"}) == ""
        assert (
            goes_to("p", (EarlierAttempt.at_unknown_upstream(5),), kind, {"p"}) == ""
        )  # it is not known where
    assert goes_to("p", (ran_in_q,), Idempotency.REPEATABLE, {"p"}) == "p"
