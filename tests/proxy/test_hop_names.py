"""Names and numbers of the configuration, which operators choose freely, on their way to another proxy."""

from __future__ import annotations

import logging
from typing import Any

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from peers import Caller, run
from proxy_pair import Mesh, Upstream, answers, request_head

from brackengate.http.rules import FIELD_VALUE_PATTERN
from brackengate.proxy.hop_headers import HOP, HopInfo, parse_hop_info, target_instance_line
from brackengate.proxy.hop_names import MAX_ENCODED_LENGTH, decode_name, encode_name, name_after_hop

STRANGE_NAMES = (
    "fare lookup",
    " at the ends ",
    "-",
    "100%",
    "%2D",
    "%~0",
    "tab\tand\r\nX-Injected: 1",
    "nul\0",
    "vožnja",
    "\N{SNOWMAN}" * 90,
    "x" * 201,
    "y" * 5_000,
)
names = st.text(st.characters(exclude_categories=["Cs"]))
whole_numbers = st.integers(-(10**25), 10**25)


@given(names, names, whole_numbers, whole_numbers, st.booleans(), st.booleans())
@example("i-1", "fare lookup", 0, 0, False, False)
@example("i-1", "x" * 201, 0, 0, True, False)
@example("i-1", "r", 10**9, 0, True, False)
@example("i-1", "r", 0, -(10**9), True, True)
def test_whatever_a_sender_puts_into_the_hop_header_is_read_by_the_receiver(
    instance: str, route: str, priority: int, target_latency_ms: int, keyed: bool, client_retry: bool
) -> None:
    """Guards against `review/3`: a route was acknowledged, and the receiver could not read its name."""
    sent = HopInfo(instance, keyed, 1, False, target_latency_ms, client_retry, route, max(0, priority))
    name, _, value = sent.header_line().removesuffix(b"\r\n").partition(b": ")
    assert name == HOP and FIELD_VALUE_PATTERN.fullmatch(value) and len(value) < 2 * MAX_ENCODED_LENGTH + 100
    received = parse_hop_info({HOP.lower(): value})
    assert received is not None
    assert received.instance == name_after_hop(instance) and received.route == name_after_hop(route)
    assert (received.keyed, received.client_retry) == (keyed, client_retry)
    if max(abs(priority), abs(target_latency_ms)) < 10**18:
        assert (received.priority, received.target_latency_ms) == (max(0, priority), target_latency_ms)


@given(st.lists(names, unique=True, min_size=2, max_size=6))
@example(list(STRANGE_NAMES))
@example(["", "-", "%2D", "%", "%25"])
@example(["x" * 201, name_after_hop("x" * 201)])
def test_different_names_stay_different(some: list[str]) -> None:
    assert len({name_after_hop(name) for name in some}) == len(some)


@given(names)
def test_short_names_arrive_as_they_are_and_an_encoded_one_needs_no_second_look(name: str) -> None:
    encoded = encode_name(name)
    assert len(encoded) <= MAX_ENCODED_LENGTH
    if not encoded.startswith(b"%~"):
        assert decode_name(encoded) == name
    assert decode_name(encoded) == name_after_hop(name)


def test_plain_names_are_sent_as_the_release_before_sent_them() -> None:
    line = HopInfo("i-1", True, 2, True, -40, True, "r-1", 2).header_line()
    assert line == b"X-Brackengate-Hop: r 2 -40 1 2 i-1 r-1\r\n"
    assert HopInfo("i-1", False).header_line() == b"X-Brackengate-Hop: s 0 0 0 0 i-1 -\r\n"


@pytest.mark.parametrize("kind", ["idempotent", "keyed"])
@pytest.mark.parametrize("name", STRANGE_NAMES)
def test_a_route_with_a_strange_name_is_served(name: str, kind: str) -> None:
    assert served(name, kind, {}, service="p", upstream_id="i-1") == 200


@pytest.mark.parametrize(
    "settings",
    [
        {"Priority": 10**9},
        {"Priority": 10**20},
        {"Cutoff": "99999999999s", "Setpoint": "1ms"},
        {"Cutoff": "99999999999s"},
    ],
    ids=str,
)
def test_a_route_with_large_numbers_is_served(settings: dict[str, Any]) -> None:
    assert served("r", "keyed", settings, service="p", upstream_id="i-1") == 200


@pytest.mark.parametrize("name", [name for name in STRANGE_NAMES if name.isprintable()])
def test_services_and_upstreams_with_strange_names_serve(name: str) -> None:
    assert served("r", "idempotent", {}, service=name, upstream_id=name) == 200


@pytest.mark.parametrize("id_", ["\r\nX-Injected: 1", "nul\0", " blank "])
def test_an_id_that_no_header_can_carry_is_left_out_towards_the_upstream(id_: str) -> None:
    assert served("r", "idempotent", {}, service="p", upstream_id=id_) == 200
    assert target_instance_line(id_) == b"" != target_instance_line("i-1")


def served(name: str, kind: str, settings: dict[str, Any], service: str, upstream_id: str) -> int:
    """The status of a request on such a route, over both hops."""

    statuses: list[int] = []

    async def play() -> None:
        upstream = await Upstream(answers(3)).start()
        mesh = Mesh(upstream, service=service, upstream_id=upstream_id)
        mesh.add_route(name, kind, "strange", **settings)
        caller = await mesh.caller()
        caller.writer.write(request_head("strange", key="k" if kind == "keyed" else ""))
        status, _, _ = await caller.read()
        assert len(upstream.ran) == (status == 200)
        assert all("x-injected" not in one.headers for one in upstream.ran)
        statuses.append(status)

    run(play())
    return statuses[0]


def test_a_request_with_an_unreadable_hop_header_is_known_not_to_have_run(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """So its sender may try elsewhere, and answers 503 in place of 502; the log names the cause once."""

    async def play() -> None:
        mesh = Mesh(await Upstream(answers(3)).start())
        head = request_head("read", b"Content-Length: 0\r\nX-Brackengate-Hop: s 1 2\r\n")
        for _ in range(2):
            caller = await Caller.to(mesh.inbound)
            caller.writer.write(head)
            status, headers, _ = await caller.read()
            assert (status, headers["x-brackengate-hop"]) == (400, "away")
            assert headers["x-brackengate-attempt-id"] == "t1"

    with caplog.at_level(logging.WARNING, "brackengate.gate"):
        run(play())
    ours = [record.getMessage() for record in caplog.records if record.name == "brackengate.gate"]
    assert len(ours) == 1 and "unreadable hop header" in ours[0]
