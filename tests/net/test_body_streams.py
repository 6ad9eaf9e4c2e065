"""Body streams without sockets: what is held and released, who is paused, what may be retried."""

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
    budget, notified = ByteBudget(limit), list[str]()
    stream = Body(budget, length, lambda: notified.append("resume"))
    stream.on_end = lambda: notified.append("end")
    return stream, budget, notified


def drain(stream: Body) -> bytes:
    out = b""
    while (piece := stream.take()) is not None:
        out += piece
    return out


def test_pieces_come_out_in_order_and_are_held_for_another_attempt() -> None:
    stream, budget, notified = body()
    assert stream.feed(b"one") and stream.feed(b"two")
    assert stream.open(lambda: None)
    assert drain(stream) == b"onetwo" and not stream.fully_taken
    stream.end()
    assert stream.fully_taken and notified == ["end"]
    stream.close()
    assert stream.replayable and stream.open(lambda: None)
    assert drain(stream) == b"onetwo"
    assert budget.in_use == 6
    stream.truncate()
    assert budget.in_use == 0 and not stream.replayable
    assert notified == ["end"]  # complete before it was released


def test_two_attempts_do_not_read_it_at_once() -> None:
    stream, _, _ = body()
    stream.feed(b"x")
    assert stream.open(lambda: None)
    assert not stream.open(lambda: None)


def test_a_caller_is_paused_when_its_share_is_full_and_resumed_when_there_is_room() -> None:
    stream, budget, notified = body(limit=SHARE_DIVISOR * 4 * MIN_SHARE_BYTES)
    fed = 0
    while stream.feed(b"x" * MIN_SHARE_BYTES):
        fed += 1
        assert fed < 10
    assert stream.open(lambda: None)
    assert notified == []
    drain(stream)
    assert notified == ["resume"]
    assert budget.peak <= budget.limit


def test_sent_pieces_are_released_when_memory_is_short_and_then_no_retry_is_possible() -> None:
    stream, budget, _ = body(limit=1)  # no budget at all: each holds its minimum
    stream.open(lambda: None)
    for _ in range(20):
        stream.feed(b"x" * MIN_SHARE_BYTES)
        assert stream.take() is not None
    assert not stream.replayable
    assert budget.in_use <= 3 * MIN_SHARE_BYTES
    stream.close()
    assert not stream.open(lambda: None)


def test_a_reader_that_waits_is_woken_by_a_piece_and_by_the_end() -> None:
    stream, _, _ = body()
    woken: list[bool] = []
    stream.open(lambda: woken.append(stream.fully_taken))
    stream.feed(b"x")
    drain(stream)
    stream.end()
    assert woken == [False, True]


def test_a_truncated_body_ends_once_releases_all_and_ignores_the_rest() -> None:
    stream, budget, notified = body(limit=1)
    assert not stream.feed(b"x" * MIN_SHARE_BYTES)
    stream.truncate()
    stream.truncate()
    assert stream.feed(b"more") and budget.in_use == 0
    assert stream.take() is None and not stream.fully_taken
    stream.end()
    assert notified == ["end", "resume"]


def test_a_body_has_a_grace_period_and_then_a_minimum_rate() -> None:
    assert not too_slow(RATE_GRACE_S, 0) and too_slow(RATE_GRACE_S + 0.1, 0)
    assert not too_slow(60.0, 60 * 64_000)  # 64 kB a second is always fast enough
    assert too_slow(60.0, 60 * MIN_BODY_BYTES_PER_S // 2)


STEPS = st.one_of(
    st.tuples(st.just("feed"), st.integers(0, 5), st.integers(1, 70_000)),
    st.tuples(st.just("take"), st.integers(0, 5), st.just(0)),
    st.tuples(st.just("end"), st.integers(0, 5), st.just(0)),
    st.tuples(st.just("cut"), st.integers(0, 5), st.just(0)),
    st.tuples(st.just("again"), st.integers(0, 5), st.just(0)),
)


@given(st.lists(STEPS, max_size=80), st.integers(1, 2_000_000))
def test_in_any_sequence_the_budget_holds_and_no_byte_is_lost_or_duplicated(
    steps: list[tuple[str, int, int]], limit: int
) -> None:
    """A paused caller adds nothing before it is resumed."""
    budget, paused = ByteBudget(limit), set[int]()
    bodies = [Body(budget, None, lambda n=n: paused.discard(n)) for n in range(6)]  # type: ignore[misc]
    fed, taken = [b""] * 6, [b""] * 6
    for stream in bodies:
        stream.open(lambda: None)
    largest = 0
    for step, n, size in steps:
        stream = bodies[n]
        match step:
            case "feed" if n not in paused and not stream.complete and not stream.truncated:
                piece = bytes([len(fed[n]) % 251]) * size
                largest = max(largest, size)
                fed[n] += piece
                if not stream.feed(piece):
                    paused.add(n)
            case "take":
                taken[n] += stream.take() or b""
            case "end":
                stream.end()
            case "cut":
                stream.truncate()
            case "again":
                stream.close()
                if stream.open(lambda: None):
                    taken[n] = b""
                else:
                    stream.truncate()
        assert budget.in_use == sum(one._held_bytes for one in bodies) >= 0
        # The last piece may be in a transport, so each may exceed the limit by up to two pieces.
        assert budget.in_use <= limit + 6 * (MIN_SHARE_BYTES + 2 * largest)
    for n, stream in enumerate(bodies):
        assert fed[n].startswith(taken[n])
        if not stream.truncated:
            while (piece := stream.take()) is not None:
                taken[n] += piece
            assert taken[n] == fed[n]
            assert n not in paused
        stream.truncate()
    assert budget.in_use == 0
