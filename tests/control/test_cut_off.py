"""Members that are partitioned for up to twenty seconds: what they serve, the outcome of their orders, and
how they come back.  The simulated cluster checks at each step that nobody serves data older than a lease."""

from __future__ import annotations

from typing import Any

import pytest
from simulated_cluster import SimulatedCluster
from timeline import play

from brackengate.protocol.messages import Amend, Claim, CommandDone, HeldBy, Read

KINDS = ("cut", "mute", "deaf", "hold", "holdout", "holdin")


def row(at: int, **cells: str) -> str:
    return f"{at:<6}| " + " ".join(f"{cells.get(name, ''):15}" for name in "ABC")


def timeline(*rows: str) -> str:
    return "\n".join(["ms    | " + " ".join(f"{name:15}" for name in "ABC"), *rows])


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("lost", "ABC")  # the head, which coordinates views, the middle and the tail
def test_a_member_is_partitioned_for_twenty_seconds(kind: str, lost: str) -> None:
    one, two = (name for name in "ABC" if name != lost)
    cluster, answers = play(
        timeline(
            row(2000, A="claim k0 g0"),
            row(2999, **{lost: "order 5"}),
            row(3000, **{lost: kind}),
            row(3010, **{lost: "claim k1 g1"}),
            row(3700, **{lost: "away"}),
            row(4400, **{one: "order 6", two: "claim k2 g2"}),
            row(6000, **{one: "serves", two: "serves"}),
            row(22900, **{lost: "idle 19000"}),
            row(23000, **{lost: "heal"}),
            row(23000, **{lost: "away"}),
            row(29000, A="serves", B="serves", C="serves"),
            row(29000, A="has k0", B="has k0", C="has k0"),
            row(29000, A="has k2", B="has k2", C="has k2"),
            row(29000, **{lost: "read"}),
        )
    )
    assert {view.epoch for view in cluster.views().values()} == {3}  # one view without it, one with it again
    assert answers["order 6"] == answers["k2 g2"] == "ok"
    assert answers["read"] == "r6"
    assert answers["order 5"] in ("ok", "none", "silent")  # but never refused
    assert answers["k1 g1"] in ("none", "silent")  # not granted by the old side, and given up by the new one


@pytest.mark.parametrize(("resumes_ms", "heals_ms"), [(10_000, 20_000), (20_000, 20_000), (20_000, 10_000)])
@pytest.mark.parametrize("kind", ["cut", "hold"])
@pytest.mark.parametrize("lost", "ABC")
def test_a_member_is_paused_and_partitioned_at_once(
    kind: str, lost: str, resumes_ms: int, heals_ms: int
) -> None:
    one, two = (name for name in "ABC" if name != lost)
    _, answers = play(
        timeline(
            row(2000, A="claim k0 g0"),
            row(2999, **{lost: "order 5"}),
            row(3000, **{lost: kind}),
            row(3000, **{lost: f"freeze {resumes_ms}"}),
            row(4400, **{one: "order 6", two: "claim k0 g2"}),
            row(3000 + heals_ms, **{lost: "heal"}),
            row(29000, A="serves", B="serves", C="serves"),
            row(29000, **{lost: "read"}),
        )
    )
    assert answers["order 6"] == "ok" and answers["k0 g2"] == "held by g0" and answers["read"] == "r6"
    assert answers["order 5"] in ("ok", "none", "silent")


@pytest.mark.parametrize("kind", KINDS)
def test_the_partition_heals_in_the_middle_of_the_view_change(kind: str) -> None:
    """At moments from the loss of the first pings to the end of the change."""
    for heals_ms in range(3_400 + 12 * KINDS.index(kind), 3_800, 80):
        for lost in "ABC":
            other = "B" if lost != "B" else "C"
            _, answers = play(
                timeline(
                    row(2999, **{lost: "order 5"}),
                    row(3000, **{lost: kind}),
                    row(3200, **{other: "order 6"}),
                    row(heals_ms, **{lost: "heal"}),
                    row(7000, A="serves", B="serves", C="serves"),
                    row(7000, A="in", B="in", C="in"),
                    row(7000, **{lost: "read"}),
                ),
                seed=heals_ms,
            )
            assert (answers["order 5"], answers["order 6"], answers["read"]) == ("ok", "ok", "r6"), (
                lost,
                heals_ms,
            )


def test_the_minority_of_five_serves_nothing_and_its_orders_wait_for_the_heal() -> None:
    cluster, answers = play(
        """
        ms    | A          B          C          D          E
        2999  | order 5
        3000  | hold CDE   hold CDE
        3100  | order 6    claim k1 g1
        3700  | away       away
        5000  |                       order 7    serves     serves
        7000  | heal
        12000 | serves     serves     serves     serves     serves
        12000 | read
        """,
        seeds=5,
    )
    assert answers["order 7"] == "ok" and answers["read"] == "r7"
    assert answers["order 6"] == answers["k1 g1"] == "ok"  # submitted again to the head of the new view
    assert {len(view.members) for view in cluster.views().values()} == {5}


def test_neither_half_of_six_serves_or_accepts_writes_in_a_partition() -> None:
    cluster, answers = play(
        """
        ms    | A          B          C          D          E          F
        2000  | claim k0 g0
        3000  | cut DEF    cut DEF    cut DEF
        3700  | away       away       away       away       away       away
        4000  | order 6                          claim k0 g1
        30000 | idle 26000 idle 26000 idle 26000 idle 26000 idle 26000 idle 26000
        30000 | heal
        33000 | serves     serves     serves     serves     serves     serves
        33000 | order 7                          claim k0 g2
        """,
        seeds=6,
    )
    assert (answers["order 6"], answers["k0 g1"]) == ("none", "none")
    assert (answers["order 7"], answers["k0 g2"]) == ("ok", "held by g0")
    assert {len(view.members) for view in cluster.views().values()} == {6}


@pytest.mark.parametrize("seed", range(6))
def test_random_partitions_grant_nothing_twice_and_read_nothing_stale(seed: int) -> None:
    """Held, lost and one-way links, pauses, and orders throughout, through any member."""
    cluster = SimulatedCluster([f"10.0.0.{n}:80" for n in range(3 + seed % 3)], seed, seeds=6)
    hosts, rng = list(cluster.hosts.values()), cluster.rng
    confirmed, granted, version = [0], dict[str, str](), [0]

    def client() -> None:
        version[0] += 1
        number, key, gate = version[0], f"k{rng.randrange(60)}", f"g{version[0]}"
        body = f'{{"Apply":{{"Plants":[{{"Name":"p","Revision":"r{number}"}}]}}}}'

        def ordered(result: Any) -> None:
            assert result is None or isinstance(result, CommandDone)
            if result is not None:
                confirmed[0] = max(confirmed[0], number)

        def claimed(result: Any) -> None:
            if result is not None:
                holder = result.owner if isinstance(result, HeldBy) else gate
                assert granted.setdefault(key, holder) == holder

        min_version = confirmed[0]

        def read(result: Any) -> None:
            if result is not None and min_version:
                assert int(result.content["Plants"][0]["Revision"][1:]) >= min_version

        rng.choice(hosts).ask(Amend(body), ordered)
        rng.choice(hosts).ask(Claim(key, gate, "1"), claimed)
        rng.choice(hosts).ask(Read(), read)
        if cluster.now < 22_000_000:
            cluster.later(rng.randrange(200_000), client)

    def fault() -> None:
        host, duration = rng.choice(hosts), rng.randrange(100_000, 3_000_000)
        others = rng.sample([one for one in hosts if one is not host], rng.randrange(1, len(hosts)))
        out_of, into = [(host.name, one.name) for one in others], [(one.name, host.name) for one in others]
        pairs = rng.choice((out_of, into, [*out_of, *into]))
        rng.choice((cluster.cut, cluster.hold))(pairs)
        if rng.random() < 0.4:
            host.frozen_until = cluster.now + rng.randrange(duration)
        cluster.later(duration, cluster.heal)
        if cluster.now < 18_000_000:
            cluster.later(duration + rng.randrange(3_000_000), fault)

    cluster.later(1_500_000, client)
    cluster.later(2_500_000, fault)
    cluster.run(32_000_000)
    assert len({view.epoch for view in cluster.views().values()}) == 1
    assert all(host.replica is not None and host.replica.serves(cluster.now) for host in hosts)
    assert confirmed[0] > 50 and len(granted) > 40
