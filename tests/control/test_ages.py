"""Expired keys are deleted, however many there are, and the recent entries in memory are bounded."""

from __future__ import annotations

from brackengate.control.ages import MARKS_PER_WINDOW, KeyAges
from brackengate.control.log import RECENT_ENTRIES, RECENT_PUBLIC_ENTRIES, PublicChanges, ReplicaLog
from brackengate.control.replica import FIRST_INCARNATION, Replica, StoredState
from brackengate.control.rows import KEY_KIND, CommittedRows, CommittedState
from brackengate.protocol.messages import Claim, Entry, ReportUpstream

S = 1_000_000
WINDOW = 4 * S


def test_keys_expire_after_two_windows_and_not_before() -> None:
    state, ages = CommittedState(), KeyAges(WINDOW)
    gone: dict[str, int] = {}
    for now in range(0, 24 * S, S // 4):
        index = now // (S // 4)
        if now < 10 * S:
            state.set(index, (KEY_KIND, f"k{index}", ["g", "1"]))
            state.index = index
        ages.record(now, state.index)
        for key in ages.expired_keys(state.rows, now, 500):
            gone[key] = now
            state.set(index, (KEY_KIND, key, None))
    assert len(gone) == 40 and state.rows.count == 0
    lived = [now - int(key[1:]) * (S // 4) for key, now in gone.items()]
    assert min(lived) > 2 * WINDOW and max(lived) <= 2 * WINDOW + 2 * WINDOW // MARKS_PER_WINDOW
    assert len(ages.marks) < 3 * MARKS_PER_WINDOW


def test_a_key_that_was_claimed_again_has_the_age_of_its_last_claim() -> None:
    rows, ages = CommittedRows(), KeyAges(WINDOW)
    rows.set(KEY_KIND, "k", 1, ["g", "1"])
    ages.record(0, 1)
    rows.set(KEY_KIND, "k", 2, ["g", "2"])
    ages.record(WINDOW, 2)
    found = [ages.expired_keys(rows, now, 500) for now in range(2 * WINDOW, 3 * WINDOW, WINDOW // 200)]
    assert [key for keys in found for key in keys] == []


def single_member() -> Replica:
    """A replica that is the only member, with a disk that completes writes at once."""
    replica = Replica("a:1", "", StoredState(FIRST_INCARNATION), ["a:1"], True, 1, WINDOW, 0)
    replica.start(0)
    return replica


def test_the_head_deletes_expired_keys_under_constant_claims() -> None:
    """More claims a second than one step deletes, and an uncommitted entry at each step."""
    replica = single_member()
    now, oldest = 0, 0
    for n in range(0, 4_500):
        now += 5_000
        replica.submit_command(Claim(f"k{n}", "g", "1"), n, now)
        if n % 10 == 9:  # the disk always lags
            replica.on_stored(replica.chain.index - 1, replica.chain.generation)
        if n % 10 == 0:
            replica.tick(now)
        if n > 3_000:
            oldest = max(oldest, replica.chain.state.rows.count)
    expected = 2 * WINDOW * 200 // S
    assert expected - 200 < oldest < expected * 1.3


def test_claims_do_not_evict_the_public_entries_for_followers() -> None:
    """Only entries with public rows count towards the 2,000 entries kept for followers."""
    replica = single_member()
    replica.submit_command(ReportUpstream("10.0.0.1", {"id": "i"}), 1, 0)
    replica.on_stored(1, replica.chain.generation)
    seen = replica.chain.commit_index
    for n in range(3 * RECENT_PUBLIC_ENTRIES):
        replica.submit_command(Claim(f"k{n}", "g", "1"), n, 0)
        replica.on_stored(replica.chain.index, replica.chain.generation)
    assert replica.chain.changes_since(seen) == PublicChanges(3 * RECENT_PUBLIC_ENTRIES + 1, ())
    for n in range(RECENT_PUBLIC_ENTRIES):
        replica.submit_command(ReportUpstream("10.0.0.1", {"id": f"i{n}"}), n, 0)
        replica.on_stored(replica.chain.index, replica.chain.generation)
    changes = replica.chain.changes_since(seen)
    assert changes is not None and len(changes.rows) == RECENT_PUBLIC_ENTRIES
    replica.submit_command(ReportUpstream("10.0.0.1", {"id": "last"}), 1, 0)
    replica.on_stored(replica.chain.index, replica.chain.generation)
    assert replica.chain.changes_since(seen) is None  # it needs a copy
    assert replica.chain.changes_since(seen + 3 * RECENT_PUBLIC_ENTRIES + 1) is not None


def test_recent_entries_are_bounded_in_bytes() -> None:
    log = ReplicaLog(0)
    for n in range(1, 2_000):
        log.append(Entry(n, (("plant", f"p{n % 9}", [n, "", {"Name": "x" * 5_000}]),)))
        log.commit(n)
    assert log.recent.size <= log.recent.max_bytes and len(log.recent.encoded) < RECENT_ENTRIES
    assert log.recent_public.size <= log.recent_public.max_bytes
    assert log.recent.start > 1_000 and not log.has_entries_after(log.recent.start - 1)
    assert [one.index for batch in log.entries_after(1_990, 1_999) for one in batch] == list(
        range(1_991, 2_000)
    )
