"""The order of upstreams: idle first, then fewest own requests in flight, then the earliest assignment."""

from balancer_harness import READ, BalancerHarness, endpoints, probes, sends

from brackengate import interface as api
from brackengate.balancer import Balancer

OK, CONNECT_FAILED = api.Outcome.OK, api.Outcome.CONNECT_FAILED


def test_idle_upstreams_come_before_busy_ones_and_each_once():
    harness = BalancerHarness(endpoints(4))
    assert {harness.send_request()[1] for _ in range(4)} == {"u0", "u1", "u2", "u3"}


def test_new_upstreams_of_a_long_list_get_random_positions():
    """As in a short list, but by sampling; also when most of the sampled upstreams have been removed."""
    balancer = Balancer(api.Settings(classes=(READ,)), 3)
    many = tuple(api.Endpoint(f"u{i}") for i in range(2000))
    balancer.handle(1, api.UpstreamList(api.ListKind.FULL, many))
    for number, up in enumerate(balancer.upstreams.values()):
        up.last_assigned = float(number)
    new = tuple(api.Endpoint(f"n{i}") for i in range(400))
    scans = 0

    class ScanCounter(dict):
        def values(self):
            nonlocal scans
            scans += 1
            return super().values()

    balancer.upstreams = ScanCounter(balancer.upstreams)
    balancer.handle(2, api.UpstreamList(api.ListKind.CHANGES, new))
    assert scans < 10  # not one for each new endpoint
    positions = sorted(balancer.upstreams[row.upstream].last_assigned for row in new)
    assert positions[0] >= 0 and positions[-1] < 2001
    for quarter in range(4):  # evenly over all upstreams
        assert 60 <= sum(500 * quarter <= position < 500 * (quarter + 1) for position in positions) <= 140
    kept = (*many[:20], *new[:5])
    balancer.handle(3, api.UpstreamList(api.ListKind.FULL, kept))
    balancer.handle(4, api.UpstreamList(api.ListKind.CHANGES, (api.Endpoint("late"),)))
    assert len(balancer.sample_pool) <= 2 * len(balancer.upstreams) + 1  # removed upstreams are not kept
    assert balancer.upstreams["late"].last_assigned < 2001


def test_among_idle_upstreams_the_earliest_assigned_is_chosen():
    harness = BalancerHarness(endpoints(3))
    order = []
    for _ in range(6):
        name, upstream = harness.send_request()
        order.append(upstream)
        harness.end_attempt(name, upstream, OK)
    assert order[:3] == order[3:]
    assert len(set(order)) == 3


def test_without_idle_upstreams_the_fewest_own_requests_decide():
    harness = BalancerHarness(endpoints(3))
    requests = [harness.send_request() for _ in range(6)]
    harness.end_attempt(*requests[4], OK)
    assert harness.send_request()[1] == requests[4][1]


def test_equal_counts_go_to_the_earliest_assigned():
    harness = BalancerHarness(endpoints(3))
    first = [harness.send_request()[1] for _ in range(3)]
    assert [harness.send_request()[1] for _ in range(3)] == first


def test_counts_are_relative_to_weight():
    harness = BalancerHarness((api.Endpoint("big", weight=3.0), api.Endpoint("small", weight=1.0)), tier=1)
    taken = [harness.send_request()[1] for _ in range(40)]
    assert taken.count("big") == 30


def test_the_order_of_unused_upstreams_depends_on_the_seed_alone():
    orders = []
    for seed in (1, 2, 3, 1):
        harness = BalancerHarness(endpoints(8), seed=seed)
        orders.append(tuple(harness.send_request()[1] for _ in range(8)))
    assert orders[0] == orders[3]
    assert len(set(orders)) == 3


def test_an_upstream_that_failed_once_waits_until_all_others_are_busy():
    harness = BalancerHarness(endpoints(3))
    name, failing = harness.send_request()
    retry = sends(harness.end_attempt(name, failing, CONNECT_FAILED))
    harness.end_attempt(name, retry[0].upstream, OK, attempt=1)
    assert failing not in [harness.send_request()[1] for _ in range(2)]
    assert harness.send_request()[1] == failing


def test_a_success_resets_the_failure_count():
    harness = BalancerHarness(endpoints(1))
    for _ in range(3):
        name, failing = harness.send_request()
        assert sends(harness.end_attempt(name, failing, CONNECT_FAILED))[0].upstream == failing
        harness.end_attempt(name, failing, OK, attempt=1)
        assert harness.balancer.upstreams[failing].consecutive_failures == 0


def test_repeated_failures_eject_it_and_the_request_waits_then_ends_in_time():
    harness = BalancerHarness(endpoints(1))
    name, failing = harness.send_request()
    harness.end_attempt(name, failing, CONNECT_FAILED)
    assert not sends(harness.end_attempt(name, failing, CONNECT_FAILED, attempt=1))
    assert not sends(harness.advance(600_000))
    ends = [a for a in harness.log if isinstance(a, api.Refuse | api.Fail)]
    assert [a.request for a in ends] == [name]


def test_an_ejection_ends_and_the_waiting_request_is_sent():
    harness = BalancerHarness(endpoints(1), connect_timeout=10_000)
    name, failing = harness.send_request()
    harness.end_attempt(name, failing, CONNECT_FAILED)
    harness.end_attempt(name, failing, CONNECT_FAILED, attempt=1)
    assert [s.request for s in sends(harness.advance(400_000))] == [name]


def test_resets_count_as_failures_and_errors_do_not():
    harness = BalancerHarness(endpoints(2))
    name, failing = harness.send_request("buy")
    harness.end_attempt(name, failing, api.Outcome.RESET)
    assert harness.balancer.upstreams[failing].demoted
    name, other = harness.send_request("buy")
    harness.end_attempt(name, other, api.Outcome.ERROR)
    assert not harness.balancer.upstreams[other].demoted


# --- exception among idle upstreams: the one that answered last is kept ---------------------------

IDLE_REPORT, BUSY_REPORT = api.LoadReport(1, 0, 0.4), api.LoadReport(4, 3, 1.0)


def test_the_upstream_that_answered_last_is_kept_if_few_requests_waited_there():
    harness = BalancerHarness(endpoints(6))
    name, upstream = harness.send_request()
    harness.end_attempt(name, upstream, OK, load=IDLE_REPORT)
    assert harness.send_request()[1] == upstream
    assert harness.send_request()[1] != upstream  # has an own request in flight now: the ordinary order


def test_one_that_was_busy_failed_or_reported_too_long_ago_is_not_kept():
    for outcome, load, pause in [
        (OK, BUSY_REPORT, 0),
        (api.Outcome.ERROR, IDLE_REPORT, 0),
        (OK, None, 0),
        (OK, IDLE_REPORT, 6_000_000),
    ]:
        harness = BalancerHarness(endpoints(6), cold_time=5_000_000)
        name, upstream = harness.send_request("buy")
        harness.end_attempt(name, upstream, outcome, load=load)
        harness.now += pause
        assert harness.send_request()[1] != upstream


def test_where_probes_are_possible_only_a_recent_report_saves_one():
    for pause, sends_probe in [(100_000, False), (600_000, True)]:
        harness = BalancerHarness(endpoints(6), probes=True)
        name, actions = harness.start_request()
        probed = probes(actions)[0]
        harness.handle(api.ProbeEnded(probed, OK, 900, api.LoadReport(0, 0, 0)))
        harness.end_attempt(name, probed, OK, load=IDLE_REPORT)
        harness.now += pause
        assert bool(probes(harness.start_request()[1])) is sends_probe


def test_a_draining_upstream_is_not_kept():
    harness = BalancerHarness(endpoints(6))
    name, upstream = harness.send_request()
    harness.end_attempt(name, upstream, OK, load=IDLE_REPORT)
    harness.update_list(api.Endpoint(upstream, state=api.Lifecycle.DRAINING))
    assert harness.send_request()[1] != upstream


# --- exception while connections fail: open connections are preferred -----------------------------


def test_while_connections_fail_requests_prefer_an_open_connection():
    """Upstreams accepted few connections; an attempt at another one cost a connect timeout."""
    harness = BalancerHarness(endpoints(8))
    name, known = harness.send_request()
    harness.end_attempt(name, known, OK)
    name, full = harness.send_request()
    assert full != known  # the ordinary order
    assert [s.upstream for s in sends(harness.end_attempt(name, full, CONNECT_FAILED))] == [known]
    harness.end_attempt(name, known, OK, attempt=1)
    assert harness.send_request()[1] == known
    assert harness.send_request()[1] != known  # has an own request in flight now: the ordinary order


def test_the_preference_ends_when_attempts_succeed_or_the_connection_was_idle_too_long():
    for successes, pause in [(20, 0), (1, 6_000_000)]:
        harness = BalancerHarness(endpoints(8), idle_close=5_000_000)
        name, known = harness.send_request()
        harness.end_attempt(name, known, OK)
        name, full = harness.send_request()
        harness.end_attempt(name, full, CONNECT_FAILED)
        for attempt in range(successes):
            harness.end_attempt(name, known, OK, attempt=1)
            if attempt + 1 < successes:
                name, known = harness.send_request()
                harness.end_attempt(name, known, OK)
        harness.now += pause
        assert harness.send_request()[1] != known


# --- cold and new upstreams in the order ----------------------------------------------------------


def harness_with_history(seed: int, upstreams: int = 40) -> BalancerHarness:
    harness = BalancerHarness(endpoints(upstreams), seed=seed, cold_time=10_000_000, cold_share=0.3)
    for _ in range(20):
        harness.end_attempt(*harness.send_request(), OK)
        harness.advance(500_000)
    return harness


def test_with_more_upstreams_than_requests_a_cold_one_still_gets_its_turns():
    """Guards against a turn lost behind other upstreams, which left the new half of a grown fleet idle."""
    taken = 0
    for seed in range(60):
        harness = harness_with_history(seed)
        harness.update_list(api.Endpoint("cold", started_at=harness.now))
        for _ in range(20):
            name, upstream = harness.send_request()
            taken += upstream == "cold"
            harness.end_attempt(name, upstream, OK)
            harness.advance(500_000)
    assert 5 <= taken <= 60 * 20 // 40  # the share of a warm one is 30


def test_new_upstreams_are_not_first_at_every_instance():
    """Guards against new upstreams ahead of all others, which received the next request of every instance."""
    taken_per_quarter = [0, 0, 0, 0]
    for seed in range(60):
        harness = harness_with_history(seed)
        harness.update_list(*(api.Endpoint(f"new{i}") for i in range(40)))  # listed late: warm already
        for number in range(20):
            name, upstream = harness.send_request()
            taken_per_quarter[number // 5] += upstream.startswith("new")
            harness.end_attempt(name, upstream, OK)
    assert max(taken_per_quarter) <= 0.7 * 60 * 5, taken_per_quarter  # half of the fleet is new
    assert sum(taken_per_quarter) >= 0.2 * 60 * 20, taken_per_quarter


def test_a_restarted_upstream_is_not_kept_while_it_is_cold():
    harness = BalancerHarness(endpoints(6), cold_time=20_000_000)
    name, upstream = harness.send_request()
    harness.end_attempt(name, upstream, OK, load=IDLE_REPORT)
    harness.update_list(api.Endpoint(upstream, started_at=harness.now))
    assert harness.send_request()[1] != upstream


def test_the_order_does_not_grow_with_requests():
    harness = BalancerHarness(endpoints(5))
    for _ in range(500):
        harness.end_attempt(*harness.send_request(), OK)
    assert len(harness.balancer.heap) <= 21


def test_nothing_is_kept_of_tenants_that_the_settings_do_not_name():
    """Clients may send any number of names: with an entry for each, memory would grow without limit."""
    harness = BalancerHarness(endpoints(2), tenants=(api.Tenant("known", 1.0, 5.0),))
    for number in range(100):
        harness.start_request(tenant=f"t{number}")
    harness.start_request(tenant="known")
    assert set(harness.balancer.quota_balances) == {"known"}


def test_an_upstream_that_errs_at_once_is_demoted_unless_time_was_short():
    """It looks idle and has no request in flight: it would attract every request and fail it."""
    harness = BalancerHarness(endpoints(2), marks_retry=True)
    for _ in range(4):
        name, upstream = harness.send_request("buy")
        harness.now += 100_000
        harness.end_attempt(name, upstream, OK)
    for time_left in (50_000, 1_000_000):  # the first had too little time to show a fault
        for _ in range(4):
            name, upstream = harness.send_request("buy", time_left=time_left)
            harness.now += 2_000
            harness.end_attempt(name, upstream, api.Outcome.ERROR if upstream == "u0" else OK)
        assert harness.balancer.upstreams["u0"].demoted is (time_left == 1_000_000)
    for _ in range(4):
        name, upstream = harness.send_request("buy")
        assert upstream == "u1"
        harness.end_attempt(name, upstream, OK)
