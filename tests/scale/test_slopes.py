"""The arithmetic from what was measured to the target's size, and what is read off the kernel's words."""

from __future__ import annotations

import pytest

from benchmarks.scale.measures import mean_cpu
from benchmarks.scale.results import RoleLoad
from benchmarks.scale.site import Size, hollow_plans, proxy_ip
from benchmarks.scale.slopes import (
    KeyLoad,
    Line,
    Target,
    cores_for_calls,
    fit,
    percentile,
    proxy_core_share,
)
from benchmarks.scale.units import pieces, public_rows, take
from benchmarks.scale.usage import Wire, of_replica, parse_connections, since
from brackengate.control.recent import RecentEntries
from brackengate.control.rows import CommittedRows

SAID_BY_SS = """\
ESTAB 0      0      127.0.0.1:50001    127.40.1.1:19405 users:(("python",pid=11,fd=9))
     bbr bytes_sent:700 bytes_acked:701 bytes_received:50 segs_out:9 data_segs_out:7 data_segs_in:2
ESTAB 0      0      127.40.1.1:19405   127.0.0.1:50001  users:(("python",pid=10,fd=7))
     bbr bytes_sent:50 bytes_received:700 data_segs_out:2 data_segs_in:7
ESTAB 0      0      127.40.1.1:19405   127.0.0.1:50002  users:(("python",pid=10,fd=8))
     bbr bytes_sent:3000 bytes_received:40 data_segs_out:30 data_segs_in:4
ESTAB 0      0      127.0.0.1:50002    127.40.1.1:19405 users:(("python",pid=20,fd=8))
     bbr bytes_sent:40 bytes_received:3000 data_segs_out:4 data_segs_in:30
"""


def test_a_line_through_points_on_a_line_has_its_base_and_slope() -> None:
    line = fit([(30, 3 + 0.5 * 30), (100, 3 + 0.5 * 100), (1000, 3 + 0.5 * 1000)])
    assert (line.base, line.slope) == pytest.approx((3.0, 0.5))
    assert line.off < 1e-9
    assert line.at(970) == pytest.approx(488.0)


def test_a_line_says_how_far_its_worst_point_is_off() -> None:
    assert fit([(0, 0), (10, 10), (0, 4), (10, 6)]) == Line(2.0, pytest.approx(0.6), pytest.approx(0.2))


def test_one_size_makes_no_line() -> None:
    with pytest.raises(ValueError, match="two sizes"):
        fit([(30, 1.0), (30, 2.0)])


@pytest.mark.parametrize(("share", "value"), [(0.5, 50), (0.99, 99), (0.991, 100), (1.0, 100), (0.0, 1)])
def test_a_percentile_is_the_smallest_value_that_so_many_do_not_exceed(share: float, value: int) -> None:
    assert percentile(list(range(100, 0, -1)), share) == value


def test_no_values_have_no_percentile() -> None:
    with pytest.raises(ValueError, match="no values"):
        percentile([], 0.5)


def test_the_target_in_calls_keys_and_cores() -> None:
    target, keys = Target(), KeyLoad(keyed_share=0.1, window_s=60, kept_windows=2)
    assert target.calls_per_proxy == pytest.approx(113.4, abs=0.05)
    assert keys.claims_per_s(target) == pytest.approx(11_000)
    assert keys.live_keys(target) == pytest.approx(1_320_000)
    assert keys.chains(target, claims_per_chain=4_000, load=0.5) == 6  # 5.5 of them
    assert keys.chains(target, claims_per_chain=1e9) == 1
    assert cores_for_calls(target, cpu_ms_per_call=1.0) == pytest.approx(110)
    assert proxy_core_share(target, cpu_ms_per_call=1.0) == pytest.approx(0.1134, abs=1e-4)


def test_bytes_between_replicas_are_told_apart_from_those_of_followers_by_who_dialled() -> None:
    ends = parse_connections(SAID_BY_SS)
    assert [end.pid for end in ends] == [11, 10, 10, 20]
    core, followers = of_replica(10, {10, 11}, ends)
    assert (since({}, core), since({}, followers)) == (Wire(50, 700, 2, 7), Wire(3000, 40, 30, 4))
    core, followers = of_replica(11, {10, 11}, ends)
    assert (since({}, core), followers) == (Wire(700, 50, 7, 2), {})


def test_a_connection_that_closed_between_two_readings_takes_nothing_away() -> None:
    old = {("a", "b"): Wire(100, 10, 4, 1), ("c", "d"): Wire(900, 900, 9, 9)}
    new = {("a", "b"): Wire(150, 15, 6, 2), ("e", "f"): Wire(7, 0, 1, 0)}
    assert since(old, new) == Wire(57, 5, 3, 1)


def test_every_hollow_proxy_is_dealt_out_once_and_no_process_has_many_more_than_another() -> None:
    size = Size(1000, real_proxies=3)
    plans = hollow_plans(size, 1, ["a"])
    addresses = [ip for plan in plans for ip, _, _ in plan.proxies]
    assert sorted(addresses) == sorted({proxy_ip(n) for n in range(3, 1000)})
    assert len(plans) <= 40
    assert max(len(plan.proxies) for plan in plans) - min(len(plan.proxies) for plan in plans) <= 1


def test_a_role_that_nobody_has_costs_nothing() -> None:
    loads = [RoleLoad("middle", 0.2, 30.0), RoleLoad("middle", 0.4, 30.0)]
    assert mean_cpu(loads, "middle") == pytest.approx(0.3)
    assert mean_cpu(loads, "tail") == 0.0


def test_a_follower_that_takes_the_measured_copy_has_every_upstream_and_route() -> None:
    size = Size(600)  # more than one piece
    held, recent = public_rows(size), RecentEntries(1, 1)
    recent.reset(1)
    sent = pieces(CommittedRows.of((kind, name, 1, value) for kind, name, value in held), recent)
    assert len(sent) > 1
    table = take(sent)
    assert sorted(table.proxy_machines()) == sorted(proxy_ip(n) for n in range(600))
    assert len(list(table.routes())) == 2 * size.services
