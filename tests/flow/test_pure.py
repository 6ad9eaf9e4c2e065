"""Records, messages, the cache and the talkers, in simulated time; read back by three decoders."""

from __future__ import annotations

import contextlib
import json
import tracemalloc
from collections import Counter
from typing import Any

import netflow
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brackengate.flow import ipfix, netflow9
from brackengate.flow.cache import Cache, Flow, Limits
from brackengate.flow.decode import Reader, Unreadable, split
from brackengate.flow.records import EndReason, Kind, Record, Talker, packed, string
from brackengate.talkers import Talkers
from standins.collector import Session, Store, number

PEN = 32_473


def record(**more: Any) -> Record:
    base: dict[str, Any] = {
        "kind": Kind.CLIENT, "flow_id": 7, "source": "127.0.0.9", "source_port": 40_000,
        "destination": "127.0.0.1", "destination_port": 8000, "octets_in": 100, "reads": 2, "octets_out": 300,
        "writes": 1, "start_ms": 1_700_000_000_000, "end_ms": 1_700_000_001_000, "reason": EndReason.ENDED,
        "class_name": "ponudba", "tenant": "zadruga-drava", "requests": 2, "refusals": 1, "worst_us": 41_000,
    }  # fmt: skip
    return Record(**{**base, **more})


def collected(encoder: Any, records: list[Any], now_s: int = 1_700_000_002) -> Store:
    store, session = Store(), Session()
    for message in encoder.templates(now_s):
        store.take(session, message)
    for message, _ in encoder.records(records, now_s):
        assert len(message) <= 1400
        store.take(session, message)
    return store


WORDS = st.text(max_size=300)
U64 = st.integers(0, (1 << 64) - 1)
ADDRESS = st.one_of(
    st.ip_addresses(v=4).map(str),
    st.ip_addresses(v=6).map(str),
    st.ip_addresses(v=4).map(lambda address: f"::ffff:{address}"),
)
RECORDS = st.builds(
    Record, kind=st.sampled_from(Kind), flow_id=U64, source=ADDRESS, source_port=st.integers(0, 65_535),
    destination=ADDRESS, destination_port=st.integers(0, 65_535), octets_in=U64, reads=U64, octets_out=U64,
    writes=U64, start_ms=st.integers(0, 1 << 45), end_ms=st.integers(0, 1 << 45),
    reason=st.sampled_from(EndReason), class_name=WORDS, tenant=WORDS, requests=st.integers(0, 1 << 33),
    refusals=st.integers(0, 1 << 33), worst_us=st.integers(0, 1 << 33),
)  # fmt: skip


def same_address(told: bytes, text: str) -> bool:
    _, raw = packed(text)
    return told.endswith(raw) and (len(told) == len(raw) or told == bytes(10) + b"\xff\xff" + raw)


@settings(max_examples=150, deadline=None)
@given(records=st.lists(RECORDS, max_size=40, unique_by=lambda record: (record.flow_id, record.octets_in)))
def test_ipfix_is_read_back_equal_by_a_decoder_that_shares_nothing(records: list[Record]) -> None:
    store = collected(ipfix.Encoder(3, PEN), records)
    assert store.counts["records"] == len(records) and not store.counts["lost"]
    rest = list(store.records)
    for one in records:
        found = next(v for v in rest if number(v[0, 148]) == one.flow_id and number(v[0, 1]) == one.octets_in)
        rest.remove(found)
        assert number(found[0, 2]) == one.reads and number(found[29_305, 1]) == one.octets_out
        assert number(found[29_305, 2]) == one.writes and number(found[0, 136]) == one.reason
        assert number(found[0, 152]) == one.start_ms and number(found[0, 153]) == one.end_ms
        assert found[PEN, 1] == string(one.class_name)[1:] and found[PEN, 2] == string(one.tenant)[1:]
        assert number(found[PEN, 3]) == min(
            one.requests, (1 << 32) - 1
        )  # the most that fits, not a remainder
        source = found.get((0, 8)) or found[0, 27]
        assert same_address(source, one.source)


@settings(max_examples=100, deadline=None)
@given(records=st.lists(RECORDS, max_size=30))
def test_netflow9_is_read_back_equal_too(records: list[Record]) -> None:
    store = collected(netflow9.Encoder(3, PEN, started_ms=0), records)
    assert store.counts["records"] == len(records) and not store.counts["lost"]
    told = Counter((number(v[0, 148]), number(v[0, 1]), number(v[0, 24])) for v in store.records)
    assert told == Counter((r.flow_id, r.octets_in, r.writes) for r in records)


@pytest.mark.parametrize("v6", [False, True])
def test_the_registrys_decoder_agrees(v6: bool) -> None:
    """`netflow` from PyPI, for both versions.  It reads no fields of variable length,
    and takes reverse elements for forward ones, so both counts are the same here."""
    source = "2001:db8::9" if v6 else "127.0.0.9"
    destination = "2001:db8::1" if v6 else "127.0.0.1"
    one = record(source=source, destination=destination, octets_in=(1 << 40) + 5, octets_out=(1 << 40) + 5)
    for encoder in (
        netflow9.Encoder(3, PEN, started_ms=1_699_999_999_000),
        ipfix.Encoder(3, PEN, strings=False),
    ):
        templates: dict[str, Any] = {"netflow": {}, "ipfix": {}}
        for message in encoder.templates(1_700_000_002):
            netflow.parse_packet(message, templates)
        (message, count) = encoder.records([one], 1_700_000_002)[0]
        packet = netflow.parse_packet(message, templates)
        assert count == len(packet.flows) == 1
        data = packet.flows[0].data
        text = json.dumps({str(key): str(value) for key, value in data.items()})
        assert str((1 << 40) + 5) in text and "40000" in text and "8000" in text


def test_our_own_reader_agrees_and_counts_what_it_cannot_read() -> None:
    for encoder in (ipfix.Encoder(3, PEN), netflow9.Encoder(3, PEN, started_ms=1_699_999_999_000)):
        reader = Reader()
        (message, _) = encoder.records([record()], 1_700_000_002)[0]
        assert reader.message(message) == [] and reader.counts["without a template"] == 1
        for template in encoder.templates(1_700_000_002):
            reader.message(template)
        (row,) = reader.message(message)
        assert (row["source"], row["octets"], row["octetsBack"]) == ("127.0.0.9", 100, 300)
        assert row["start"] == 1_700_000_000_000 and row["end"] == 1_700_000_001_000
        statistics = encoder.statistics(1_700_000_002, 5, 6, 7, (1, 2, 3))
        (row,) = reader.message(statistics)
        assert (row["exportedMessages"], row["exportedFlows"], row["exportedOctets"]) == (5, 6, 7)


@given(st.binary(max_size=200), st.sampled_from([b"", b"\0\x0a", b"\0\x09"]))
def test_no_datagram_breaks_the_reader(data: bytes, version: bytes) -> None:
    reader = Reader()
    for template in ipfix.Encoder(3, PEN).templates(1):
        reader.message(template)
    with contextlib.suppress(Unreadable):
        reader.message(version + data)


def test_a_file_is_split_into_its_messages() -> None:
    encoder = ipfix.Encoder(3, PEN)
    messages = encoder.templates(1) + [m for m, _ in encoder.records([record()] * 50, 2)]
    assert split(b"".join(messages)) == (messages, b"")
    assert split(b"".join(messages) + messages[0][:9]) == (messages, messages[0][:9])
    with pytest.raises(Unreadable):
        split(b"GET / HTTP/1.1")


def test_ipfix_counts_records_and_netflow9_packets_and_both_wrap() -> None:
    encoder = ipfix.Encoder(3, PEN)
    encoder.sequence = (1 << 32) - 2
    told = encoder.records([record()] * 30, 1)
    assert [number(m[8:12]) for m, _ in told][:2] == [(1 << 32) - 2, told[0][1] - 2]
    other = netflow9.Encoder(3, PEN)
    other.sequence = (1 << 32) - 1
    assert [number(m[12:16]) for m, _ in other.records([record()] * 40, 1)][:2] == [(1 << 32) - 1, 0]


def test_talkers_and_mapped_addresses() -> None:
    store = collected(
        ipfix.Encoder(3, PEN),
        [Talker("127.0.0.9", 900, 3, False), Talker("::1", 5, 0, False), Talker("zadruga-drava", 7, 1, True)],
    )
    assert [number(v[PEN, 3]) for v in store.talkers] == [900, 5, 7]
    store = collected(ipfix.Encoder(3, PEN), [record(source="::ffff:127.0.0.9")])
    assert store.records[0][0, 8] == bytes([127, 0, 0, 9])


# --- the cache


def sums(cache: Cache) -> dict[int, tuple[int, int, int, int]]:
    found: dict[int, tuple[int, int, int, int]] = {}
    for r in cache.waiting:
        was = found.get(r.flow_id, (0, 0, 0, 0))
        found[r.flow_id] = (
            was[0] + r.octets_in, was[1] + r.reads, was[2] + r.octets_out, was[3] + r.writes,
        )  # fmt: skip
    return found


def test_a_kept_connection_is_reported_while_it_lives_and_its_parts_add_up() -> None:
    cache = Cache(Limits(active=60_000, idle=15_000))
    flow = cache.open(0, Kind.CLIENT, ("127.0.0.9", 5), ("127.0.0.1", 80))
    for second in range(200):
        flow.received(10)
        flow.sent(20)
        cache.tick(second * 1000)
    cache.close(200_000, flow)
    reasons = [r.reason for r in cache.waiting]
    assert reasons == [EndReason.ACTIVE] * 3 + [EndReason.ENDED]
    assert sums(cache)[flow.flow_id] == (2000, 200, 4000, 200)


def test_an_idle_one_is_told_once_and_again_when_it_goes_on() -> None:
    cache = Cache(Limits(active=60_000, idle=15_000))
    flow = cache.open(0, Kind.CLIENT, ("127.0.0.9", 5), ("127.0.0.1", 80))
    flow.received(10)
    for second in range(120):
        cache.tick(second * 1000)
    assert [r.reason for r in cache.waiting] == [EndReason.IDLE]
    flow.received(5)
    for second in range(120, 150):
        cache.tick(second * 1000)
    assert [r.octets_in for r in cache.waiting] == [10, 5]


def test_a_clock_that_steps_back_loses_nothing_and_ends_before_no_start() -> None:
    cache = Cache(Limits())
    flow = cache.open(10_000_000, Kind.CLIENT, ("127.0.0.9", 5), ("127.0.0.1", 80))
    flow.received(10)
    cache.tick(9_000_000)
    flow.received(5)
    cache.close(8_000_000, flow)
    assert sum(r.octets_in for r in cache.waiting) == 15
    assert all(r.end_ms >= r.start_ms for r in cache.waiting)


def test_beyond_its_bound_connections_are_merged_by_address_and_counted_exactly() -> None:
    cache = Cache(Limits(most=64, waiting=10_000))
    flows = [cache.open(0, Kind.CLIENT, (f"127.0.{i % 40}.1", i), ("127.0.0.1", 80)) for i in range(1000)]
    assert len(cache) <= 64 + 5 and cache.merged == 1000 - 64
    for flow in flows:
        flow.received(3)
    for flow in flows:
        cache.close(1, flow)
    assert len(cache) == 0 and cache.closed == 1000
    assert sum(r.octets_in for r in cache.waiting) == 3000


def test_records_that_nobody_takes_are_dropped_and_counted_exactly() -> None:
    cache = Cache(Limits(waiting=10))
    for number_ in range(100):
        flow = cache.open(0, Kind.CLIENT, ("127.0.0.9", number_), ("127.0.0.1", 80))
        flow.received(7)
        flow.sent(1)
        cache.close(1, flow)
    assert len(cache.waiting) == 10
    assert cache.dropped == [90, 180, 90 * 8]


def test_a_hundred_thousand_live_flows_in_bounded_memory() -> None:
    tracemalloc.start()
    base = tracemalloc.get_traced_memory()[0]
    cache = Cache(Limits(most=100_000))
    flows = [cache.open(0, Kind.CLIENT, ("127.0.0.9", i % 65_536), ("127.0.0.1", 80)) for i in range(100_000)]
    each = (tracemalloc.get_traced_memory()[0] - base) / len(flows)
    tracemalloc.stop()
    assert each < 1000, f"{each:.0f} bytes a flow"


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["open", "in", "out", "close", "tick"]),
        st.integers(0, 20),
        st.integers(-5_000, 90_000),
    ),
    max_size=80,
)


@settings(max_examples=200, deadline=None)
@given(steps=STEPS, most=st.integers(1, 8))
def test_whatever_happens_what_is_told_adds_up_to_what_was_done(
    steps: list[tuple[str, int, int]], most: int
) -> None:
    cache, now = Cache(Limits(most=most, waiting=20)), 0
    live: list[Flow] = []
    octets = 0
    for what, pick, more in steps:
        now += more
        if what == "open":
            live.append(cache.open(now, Kind.CLIENT, (f"127.0.0.{pick}", pick), ("127.0.0.1", 80)))
        elif what == "tick":
            cache.tick(now, 3)
        elif live:
            flow = live[pick % len(live)]
            if what == "in":
                flow.received(pick)
                octets += pick
            elif what == "out":
                flow.sent(pick)
                octets += pick
            else:
                live.remove(flow)
                cache.close(now, flow)
    for flow in live:
        cache.close(now, flow)
    told = sum(r.octets_in + r.octets_out for r in cache.waiting) + cache.dropped[2]
    assert told == octets and len(cache) == 0 and cache.opened == cache.closed


# --- talkers


@settings(max_examples=150, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 60), st.integers(1, 5)), max_size=400), st.integers(1, 20))
def test_counts_are_never_too_low_and_too_high_by_their_error_at_most(
    adds: list[tuple[int, int]], size: int
) -> None:
    made, true = Talkers(size), Counter[str]()
    for key, weight in adds:
        made.add(str(key), weight)
        true[str(key)] += weight
    rows = {key: (count, error) for key, count, error in made.top(size)}
    for key, (count, error) in rows.items():
        assert count - error <= true[key] <= count
    for key, count in true.items():
        if count > made.total / size:
            assert key in rows
