"""Old keys go, however many there are; and what is kept for those who were away is bounded."""

from __future__ import annotations

from brackengate.control.ages import MARKS, KeyAges
from brackengate.control.log import RECENT, RECENT_PUBLIC, PublicChanges, ReplicaLog
from brackengate.control.replica import FIRST, Replica, StoredState
from brackengate.control.rows import KEY, CommittedRows, State
from brackengate.protocol.messages import Claim, Entry, ReportUpstream

S = 1_000_000
WINDOW = 4 * S


def test_keys_go_after_two_windows_and_not_before() -> None:
    state, ages = State(), KeyAges(WINDOW)
    gone: dict[str, int] = {}
    for now in range(0, 24 * S, S // 4):
        index = now // (S // 4)
        if now < 10 * S:
            state.set(index, (KEY, f"k{index}", ["g", "1"]))
            state.index = index
        ages.mark(now, state.index)
        for key in ages.too_old(state.rows, now, 500):
            gone[key] = now
            state.set(index, (KEY, key, None))
    assert len(gone) == 40 and state.rows.count == 0
    lived = [now - int(key[1:]) * (S // 4) for key, now in gone.items()]
    assert min(lived) > 2 * WINDOW and max(lived) <= 2 * WINDOW + 2 * WINDOW // MARKS
    assert len(ages.marks) < 3 * MARKS


def test_a_key_that_was_claimed_anew_is_as_young_as_its_last_claim() -> None:
    rows, ages = CommittedRows(), KeyAges(WINDOW)
    rows.set(KEY, "k", 1, ["g", "1"])
    ages.mark(0, 1)
    rows.set(KEY, "k", 2, ["g", "2"])
    ages.mark(WINDOW, 2)
    found = [ages.too_old(rows, now, 500) for now in range(2 * WINDOW, 3 * WINDOW, WINDOW // 200)]
    assert [key for keys in found for key in keys] == []


def alone() -> Replica:
    """The only member, with a disk that takes all at once."""
    replica = Replica("a:1", "", StoredState(FIRST), ["a:1"], True, 1, WINDOW, 0)
    replica.start(0)
    return replica


def test_the_head_frees_old_keys_while_claims_never_pause() -> None:
    """More a second than a step takes, and an entry that is not committed yet at each step."""
    replica = alone()
    now, oldest = 0, 0
    for n in range(0, 4_500):
        now += 5_000
        replica.ask(Claim(f"k{n}", "g", "1"), n, now)
        if n % 10 == 9:  # the disk is always behind
            replica.stored(replica.chain.index - 1, replica.chain.generation)
        if n % 10 == 0:
            replica.tick(now)
        if n > 3_000:
            oldest = max(oldest, replica.chain.state.rows.count)
    expected = 2 * WINDOW * 200 // S
    assert expected - 200 < oldest < expected * 1.3


def test_claims_do_not_push_out_what_followers_have_to_hear() -> None:
    """The suspect of the 2,000 entries: only entries with public rows are kept for followers."""
    replica = alone()
    replica.ask(ReportUpstream("10.0.0.1", {"id": "i"}), 1, 0)
    replica.stored(1, replica.chain.generation)
    seen = replica.chain.commit_index
    for n in range(3 * RECENT_PUBLIC):
        replica.ask(Claim(f"k{n}", "g", "1"), n, 0)
        replica.stored(replica.chain.index, replica.chain.generation)
    assert replica.chain.changes_since(seen) == PublicChanges(3 * RECENT_PUBLIC + 1, ())
    for n in range(RECENT_PUBLIC):
        replica.ask(ReportUpstream("10.0.0.1", {"id": f"i{n}"}), n, 0)
        replica.stored(replica.chain.index, replica.chain.generation)
    changes = replica.chain.changes_since(seen)
    assert changes is not None and len(changes.rows) == RECENT_PUBLIC
    replica.ask(ReportUpstream("10.0.0.1", {"id": "last"}), 1, 0)
    replica.stored(replica.chain.index, replica.chain.generation)
    assert replica.chain.changes_since(seen) is None  # it takes a copy
    assert replica.chain.changes_since(seen + 3 * RECENT_PUBLIC + 1) is not None


def test_what_is_kept_for_those_who_were_away_is_bounded_in_bytes() -> None:
    log = ReplicaLog(0)
    for n in range(1, 2_000):
        log.take(Entry(n, (("plant", f"p{n % 9}", [n, "", {"Name": "x" * 5_000}]),)))
        log.commit(n)
    assert log.recent.size <= log.recent.most_bytes and len(log.recent.held) < RECENT
    assert log.recent_public.size <= log.recent_public.most_bytes
    assert log.recent.start > 1_000 and not log.covers(log.recent.start - 1)
    assert [one.index for batch in log.after(1_990, 1_999) for one in batch] == list(range(1_991, 2_000))
