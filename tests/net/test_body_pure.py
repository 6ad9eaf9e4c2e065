"""Bodies as streams, without sockets: what is held, what is let go, who waits, what may go again."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from brackengate.http.body import (
    MIN_BODY_BYTES_PER_S,
    MIN_SHARE_BYTES,
    RATE_GRACE_S,
    SHARE_DIVISOR,
    Body,
    ByteBudget,
    too_slow,
)


def body(limit: int = 1 << 20, length: int | None = None) -> tuple[Body, ByteBudget, list[str]]:
    budget, told = ByteBudget(limit), list[str]()
    made = Body(budget, length, lambda: told.append("resume"))
    made.on_end = lambda: told.append("end")
    return made, budget, told


def drain(made: Body) -> bytes:
    out = b""
    while (piece := made.take()) is not None:
        out += piece
    return out


def test_pieces_come_out_in_order_and_are_held_for_another_attempt() -> None:
    made, budget, told = body()
    assert made.feed(b"one") and made.feed(b"two")
    assert made.open(lambda: None)
    assert drain(made) == b"onetwo" and not made.fully_taken
    made.end()
    assert made.fully_taken and told == ["end"]
    made.close()
    assert made.replayable and made.open(lambda: None)
    assert drain(made) == b"onetwo"
    assert budget.in_use == 6
    made.truncate()
    assert budget.in_use == 0 and not made.replayable
    assert told == ["end"]  # whole before it was let go


def test_two_attempts_do_not_read_it_at_once() -> None:
    made, _, _ = body()
    made.feed(b"x")
    assert made.open(lambda: None)
    assert not made.open(lambda: None)


def test_a_caller_waits_when_its_share_is_full_and_goes_on_when_there_is_room() -> None:
    made, budget, told = body(limit=SHARE_DIVISOR * 4 * MIN_SHARE_BYTES)
    fed = 0
    while made.feed(b"x" * MIN_SHARE_BYTES):
        fed += 1
        assert fed < 10
    assert made.open(lambda: None)
    assert told == []
    drain(made)
    assert told == ["resume"]
    assert budget.peak <= budget.limit


def test_what_was_sent_is_let_go_for_want_of_room_and_then_no_attempt_can_follow() -> None:
    made, budget, _ = body(limit=1)  # no room at all: each holds its floor
    made.open(lambda: None)
    for _ in range(20):
        made.feed(b"x" * MIN_SHARE_BYTES)
        assert made.take() is not None
    assert not made.replayable
    assert budget.in_use <= 3 * MIN_SHARE_BYTES
    made.close()
    assert not made.open(lambda: None)


def test_a_reader_that_waits_is_woken_by_a_piece_and_by_the_end() -> None:
    made, _, _ = body()
    woken: list[bool] = []
    made.open(lambda: woken.append(made.fully_taken))
    made.feed(b"x")
    drain(made)
    made.end()
    assert woken == [False, True]


def test_one_that_is_cut_ends_once_frees_all_and_swallows_the_rest() -> None:
    made, budget, told = body(limit=1)
    assert not made.feed(b"x" * MIN_SHARE_BYTES)
    made.truncate()
    made.truncate()
    assert made.feed(b"more") and budget.in_use == 0
    assert made.take() is None and not made.fully_taken
    made.end()
    assert told == ["end", "resume"]


def test_a_body_has_a_head_start_and_then_its_rate() -> None:
    assert not too_slow(RATE_GRACE_S, 0) and too_slow(RATE_GRACE_S + 0.1, 0)
    assert not too_slow(60.0, 60 * 64_000)  # 64 kB a second is fast enough for ever
    assert too_slow(60.0, 60 * MIN_BODY_BYTES_PER_S // 2)


STEPS = st.one_of(
    st.tuples(st.just("feed"), st.integers(0, 5), st.integers(1, 70_000)),
    st.tuples(st.just("take"), st.integers(0, 5), st.just(0)),
    st.tuples(st.just("end"), st.integers(0, 5), st.just(0)),
    st.tuples(st.just("cut"), st.integers(0, 5), st.just(0)),
    st.tuples(st.just("again"), st.integers(0, 5), st.just(0)),
)


@given(st.lists(STEPS, max_size=80), st.integers(1, 2_000_000))
def test_in_any_history_the_bound_holds_and_no_byte_is_lost_or_doubled(
    steps: list[tuple[str, int, int]], limit: int
) -> None:
    """Callers keep to their word: one that was told to wait feeds nothing more before it is told to go on."""
    budget, waits = ByteBudget(limit), set[int]()
    bodies = [Body(budget, None, lambda n=n: waits.discard(n)) for n in range(6)]  # type: ignore[misc]
    fed, taken = [b""] * 6, [b""] * 6
    for made in bodies:
        made.open(lambda: None)
    largest = 0
    for step, n, size in steps:
        made = bodies[n]
        match step:
            case "feed" if n not in waits and not made.complete and not made.truncated:
                piece = bytes([len(fed[n]) % 251]) * size
                largest = max(largest, size)
                fed[n] += piece
                if not made.feed(piece):
                    waits.add(n)
            case "take":
                taken[n] += made.take() or b""
            case "end":
                made.end()
            case "cut":
                made.truncate()
            case "again":
                made.close()
                if made.open(lambda: None):
                    taken[n] = b""
                else:
                    made.truncate()
        assert budget.in_use == sum(one._held_bytes for one in bodies) >= 0
        # What was taken last may be in a transport, so up to two pieces are over the bound for each.
        assert budget.in_use <= limit + 6 * (MIN_SHARE_BYTES + 2 * largest)
    for n, made in enumerate(bodies):
        assert fed[n].startswith(taken[n])
        if not made.truncated:
            while (piece := made.take()) is not None:
                taken[n] += piece
            assert taken[n] == fed[n]
            assert n not in waits
        made.truncate()
    assert budget.in_use == 0
