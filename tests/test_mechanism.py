"""The ordinary pick: idle first, then fewest own calls, then the earliest assignment."""

from world import SAFE, World, probes, rows, sends

from brackengate import interface as api
from brackengate.brain import Balancer

OK, BROKE = api.Outcome.OK, api.Outcome.CONNECT_FAILED


def test_idle_upstreams_come_before_busy_ones_and_each_once():
    world = World(rows(4))
    assert {world.sent()[1] for _ in range(4)} == {"u0", "u1", "u2", "u3"}


def test_a_new_upstream_of_a_long_list_comes_behind_a_random_other():
    """As with a short one; drawn and not looked for, and also when most of those drawn from have gone."""
    balancer = Balancer(api.Settings(classes=(SAFE,)), 3)
    many = tuple(api.Endpoint(f"u{i}") for i in range(2000))
    balancer.handle(1, api.UpstreamList(api.ListKind.FULL, many))
    for number, up in enumerate(balancer.upstreams.values()):
        up.last_assigned = float(number)
    new = tuple(api.Endpoint(f"n{i}") for i in range(400))
    walks = 0

    class Counted(dict):
        def values(self):
            nonlocal walks
            walks += 1
            return super().values()

    balancer.upstreams = Counted(balancer.upstreams)
    balancer.handle(2, api.UpstreamList(api.ListKind.CHANGES, new))
    assert walks < 10  # one for all rows, not one for each
    places = sorted(balancer.upstreams[row.upstream].last_assigned for row in new)
    assert places[0] >= 0 and places[-1] < 2001
    for quarter in range(4):  # evenly over all that are there
        assert 60 <= sum(500 * quarter <= place < 500 * (quarter + 1) for place in places) <= 140
    kept = (*many[:20], *new[:5])
    balancer.handle(3, api.UpstreamList(api.ListKind.FULL, kept))
    balancer.handle(4, api.UpstreamList(api.ListKind.CHANGES, (api.Endpoint("late"),)))
    assert len(balancer.sample_pool) <= 2 * len(balancer.upstreams) + 1  # what has gone is not kept
    assert balancer.upstreams["late"].last_assigned < 2001


def test_among_idle_the_earliest_assigned_wins():
    world = World(rows(3))
    order = []
    for _ in range(6):
        name, upstream = world.sent()
        order.append(upstream)
        world.ended(name, upstream, OK)
    assert order[:3] == order[3:]
    assert len(set(order)) == 3


def test_with_none_idle_the_fewest_own_calls_win():
    world = World(rows(3))
    calls = [world.sent() for _ in range(6)]
    world.ended(*calls[4], OK)
    assert world.sent()[1] == calls[4][1]


def test_equal_counts_go_to_the_earliest_assigned():
    world = World(rows(3))
    first = [world.sent()[1] for _ in range(3)]
    assert [world.sent()[1] for _ in range(3)] == first


def test_counts_are_relative_to_size():
    world = World((api.Endpoint("big", weight=3.0), api.Endpoint("small", weight=1.0)), tier=1)
    taken = [world.sent()[1] for _ in range(40)]
    assert taken.count("big") == 30


def test_never_used_order_differs_between_copies_and_repeats_for_a_seed():
    orders = []
    for seed in (1, 2, 3, 1):
        world = World(rows(8), seed=seed)
        orders.append(tuple(world.sent()[1] for _ in range(8)))
    assert orders[0] == orders[3]
    assert len(set(orders)) == 3


def test_an_upstream_that_failed_once_waits_until_all_others_are_busy():
    world = World(rows(3))
    name, bad = world.sent()
    retry = sends(world.ended(name, bad, BROKE))
    world.ended(name, retry[0].upstream, OK, attempt=1)
    assert bad not in [world.sent()[1] for _ in range(2)]
    assert world.sent()[1] == bad


def test_a_success_clears_the_tally():
    world = World(rows(1))
    for _ in range(3):
        name, bad = world.sent()
        assert sends(world.ended(name, bad, BROKE))[0].upstream == bad
        world.ended(name, bad, OK, attempt=1)
        assert world.balancer.upstreams[bad].consecutive_failures == 0


def test_repeated_failures_rest_it_and_the_call_waits_then_ends_in_time():
    world = World(rows(1))
    name, bad = world.sent()
    world.ended(name, bad, BROKE)
    assert not sends(world.ended(name, bad, BROKE, attempt=1))
    assert not sends(world.wait(600_000))
    ends = [a for a in world.log if isinstance(a, api.Refuse | api.Fail)]
    assert [a.request for a in ends] == [name]


def test_a_rest_ends_and_the_waiting_call_goes_out():
    world = World(rows(1), connect_timeout=10_000)
    name, bad = world.sent()
    world.ended(name, bad, BROKE)
    world.ended(name, bad, BROKE, attempt=1)
    assert [s.request for s in sends(world.wait(400_000))] == [name]


def test_resets_count_and_errors_do_not():
    world = World(rows(2))
    name, bad = world.sent("buy")
    world.ended(name, bad, api.Outcome.RESET)
    assert world.balancer.upstreams[bad].demoted
    name, other = world.sent("buy")
    world.ended(name, other, api.Outcome.ERROR)
    assert not world.balancer.upstreams[other].demoted


# --- the exception among ties: staying with the upstream that answered last ------------------------

CALM, CROWDED = api.LoadReport(1, 0, 0.4), api.LoadReport(4, 3, 1.0)


def test_a_copy_stays_with_the_upstream_that_answered_last_if_few_waited_there():
    world = World(rows(6))
    name, upstream = world.sent()
    world.ended(name, upstream, OK, load=CALM)
    assert world.sent()[1] == upstream
    assert world.sent()[1] != upstream  # busy with an own call now: the ordinary rule


def test_it_leaves_one_that_was_crowded_failed_or_spoke_too_long_ago():
    for outcome, load, pause in [
        (OK, CROWDED, 0),
        (api.Outcome.ERROR, CALM, 0),
        (OK, None, 0),
        (OK, CALM, 6_000_000),
    ]:
        world = World(rows(6), cold_time=5_000_000)
        name, upstream = world.sent("buy")
        world.ended(name, upstream, outcome, load=load)
        world.now += pause
        assert world.sent()[1] != upstream


def test_where_it_can_ask_only_a_fresh_word_saves_a_probe():
    for pause, asks in [(100_000, False), (600_000, True)]:
        world = World(rows(6), probes=True)
        name, actions = world.call()
        asked = probes(actions)[0]
        world.tell(api.ProbeEnded(asked, OK, 900, api.LoadReport(0, 0, 0)))
        world.ended(name, asked, OK, load=CALM)
        world.now += pause
        assert bool(probes(world.call()[1])) is asks


def test_it_does_not_stay_with_a_draining_upstream():
    world = World(rows(6))
    name, upstream = world.sent()
    world.ended(name, upstream, OK, load=CALM)
    world.list(api.Endpoint(upstream, state=api.Lifecycle.DRAINING))
    assert world.sent()[1] != upstream


# --- the exception while connects fail: keeping to open connections ----------------------------------


def test_while_connects_fail_calls_keep_to_an_upstream_with_an_open_connection():
    """Upstreams took few connections; tries at the others cost a connect time-out and an attempt each."""
    world = World(rows(8))
    name, known = world.sent()
    world.ended(name, known, OK)
    name, full = world.sent()
    assert full != known  # the ordinary order
    assert [s.upstream for s in sends(world.ended(name, full, BROKE))] == [known]
    world.ended(name, known, OK, attempt=1)
    assert world.sent()[1] == known
    assert world.sent()[1] != known  # busy with an own call now: the ordinary rule


def test_it_ends_when_attempts_get_through_or_the_connection_was_idle_too_long():
    for oks, pause in [(20, 0), (1, 6_000_000)]:
        world = World(rows(8), idle_close=5_000_000)
        name, known = world.sent()
        world.ended(name, known, OK)
        name, full = world.sent()
        world.ended(name, full, BROKE)
        for attempt in range(oks):
            world.ended(name, known, OK, attempt=1)
            if attempt + 1 < oks:
                name, known = world.sent()
                world.ended(name, known, OK)
        world.now += pause
        assert world.sent()[1] != known


# --- cold and new upstreams in the order ----------------------------------------------------------------


def warmed_up(seed: int, upstreams: int = 40) -> World:
    world = World(rows(upstreams), seed=seed, cold_time=10_000_000, cold_share=0.3)
    for _ in range(20):
        world.ended(*world.sent(), OK)
        world.wait(500_000)
    return world


def test_with_more_upstreams_than_calls_a_cold_one_still_gets_its_turns():
    """Its turn was lost behind others: a fleet that grew left its new half idle."""
    taken = 0
    for seed in range(60):
        world = warmed_up(seed)
        world.list(api.Endpoint("cold", started_at=world.now))
        for _ in range(20):
            name, upstream = world.sent()
            taken += upstream == "cold"
            world.ended(name, upstream, OK)
            world.wait(500_000)
    assert 5 <= taken <= 60 * 20 // 40  # the share of a warm one is 30


def test_a_new_upstream_is_not_first_at_every_copy():
    """New upstreams stood before all others, so every copy sent them its next call."""
    taken = [0, 0, 0, 0]
    for seed in range(60):
        world = warmed_up(seed)
        world.list(*(api.Endpoint(f"new{i}") for i in range(40)))  # told of late: warm already
        for call in range(20):
            name, upstream = world.sent()
            taken[call // 5] += upstream.startswith("new")
            world.ended(name, upstream, OK)
    assert max(taken) <= 0.7 * 60 * 5, taken  # half of the fleet is new
    assert sum(taken) >= 0.2 * 60 * 20, taken


def test_a_restarted_upstream_is_not_stayed_with_while_it_is_cold():
    world = World(rows(6), cold_time=20_000_000)
    name, upstream = world.sent()
    world.ended(name, upstream, OK, load=CALM)
    world.list(api.Endpoint(upstream, started_at=world.now))
    assert world.sent()[1] != upstream


def test_the_order_does_not_grow_with_calls():
    world = World(rows(5))
    for _ in range(500):
        world.ended(*world.sent(), OK)
    assert len(world.balancer.heap) <= 21


def test_nothing_is_kept_of_tenants_that_the_settings_do_not_name():
    """Callers may name ever new ones: an entry for each would fill the memory of a long day."""
    world = World(rows(2), tenants=(api.Tenant("known", 1.0, 5.0),))
    for number in range(100):
        world.call(tenant=f"t{number}")
    world.call(tenant="known")
    assert set(world.balancer.quota_balances) == {"known"}


def test_an_upstream_that_errs_at_once_rests_but_not_for_want_of_time():
    """It looks idle and has no call in flight: it would draw every call, and lose it."""
    world = World(rows(2), marks_retry=True)
    for _ in range(4):
        name, upstream = world.sent("buy")
        world.now += 100_000
        world.ended(name, upstream, OK)
    for left in (50_000, 1_000_000):  # the first had too little time to tell
        for _ in range(4):
            name, upstream = world.sent("buy", left=left)
            world.now += 2_000
            world.ended(name, upstream, api.Outcome.ERROR if upstream == "u0" else OK)
        assert world.balancer.upstreams["u0"].demoted is (left == 1_000_000)
    for _ in range(4):
        name, upstream = world.sent("buy")
        assert upstream == "u1"
        world.ended(name, upstream, OK)
