"""Failure detection: who watches whom and when a machine counts as silent; and the shared retry budget."""

from __future__ import annotations

import random
from collections.abc import Iterable

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from brackengate import interface as api
from brackengate.balancer import Balancer
from brackengate.proxy import failure_detector
from brackengate.proxy.budget import proxy_retry_budget
from brackengate.proxy.failure_detector import PROBE_INTERVAL_US, FailureDetector, watchers_of

MS, S = 1_000, 1_000_000


class Fleet:
    """Failure detectors on links that can be cut; the control plane gets the suspects if it is reachable.

    `play` draws a timeline with one column for each proxy: the letters of the machines that it takes for
    silent, or `x` for a proxy without power.
    """

    def __init__(self, names: str) -> None:
        self.now = 0
        self.detectors = {name: FailureDetector(name, 0) for name in names}
        self.dead: set[str] = set()
        self.cut: set[str] = set()  # from all others and the control plane
        self.deaf: set[tuple[str, str]] = set()  # nothing from the first reaches the second
        self.suspects: dict[str, tuple[str, ...]] = {}
        self._update_detectors()

    def _update_detectors(self) -> None:
        for name, detector in self.detectors.items():
            if name not in self.cut:
                detector.update(
                    self.detectors, {one for ones in self.suspects.values() for one in ones}, self.now
                )

    def reaches(self, one: str, two: str) -> bool:
        return not ({one, two} & (self.dead | self.cut)) and (one, two) not in self.deaf

    def tick(self) -> None:
        self.now += PROBE_INTERVAL_US
        for name, detector in self.detectors.items():
            if name in self.dead:
                continue
            datagrams = detector.tick(self.now)
            for other in datagrams.keepalives:
                if self.reaches(name, other):
                    self.detectors[other].receive_keepalive(name, self.now)
            for other in datagrams.probes:
                if self.reaches(name, other) and self.reaches(other, name):
                    detector.receive_probe_reply(other, self.now)
            if name not in self.cut and self.suspects.get(name, ()) != detector.suspects:
                self.suspects[name] = detector.suspects
                self._update_detectors()

    def play(self, until_ms: int) -> list[str]:
        seen: list[str] = []
        while self.now < until_ms * MS:
            self.tick()
            row = " ".join(
                "x" if name in self.dead else "".join(sorted(detector.silent)) or "."
                for name, detector in self.detectors.items()
            )
            if not seen or seen[-1] != row:
                seen.append(row)
        return seen


class FailureDetection(TestCase):
    """Timelines have one column for each proxy: the machines that it takes for silent."""

    def test_dead_machine_is_silent_to_all_within_half_a_second_and_so_is_its_return(self) -> None:
        fleet = Fleet("abcdef")
        self.assertThat(fleet.play(1000), Equals([". . . . . ."]))
        fleet.dead.add("c")
        self.assertThat(fleet.play(1550)[-1], Equals("c c x c c c"))
        self.assertThat({detector.gone for detector in fleet.detectors.values()}, Equals({frozenset()}))
        fleet.play(1900)  # not at once: a machine that is only slow keeps its requests
        gone = {name for name, detector in fleet.detectors.items() if detector.gone == {"c"}}
        self.assertThat(gone, Equals(set("abdef")))
        fleet.dead.clear()
        self.assertThat(fleet.play(2700)[-1], Equals(". . . . . ."))

    def test_partitioned_machine_is_silent_to_the_others_and_reports_nothing(self) -> None:
        fleet = Fleet("abcdef")
        fleet.play(1000)
        fleet.cut.add("a")
        self.assertThat(fleet.play(1600)[-1], Equals(". a a a a a"))
        fleet.cut.clear()
        self.assertThat(fleet.play(2600)[-1], Equals(". . . . . ."))

    def test_partition_of_one_pair_affects_nobody_else(self) -> None:
        fleet = Fleet("abcdef")
        fleet.play(1000)
        watcher = watchers_of("a", "abcdef")[0]
        fleet.deaf = {("a", watcher), (watcher, "a")}
        row = fleet.play(2500)[-1].split()
        silent = {name: took for name, took in zip("abcdef", row, strict=True) if took != "."}
        self.assertThat(silent, Equals({watcher: "a", "a": watcher}))  # keepalives of neither arrive

    def test_resumed_proxy_does_not_suspect_the_others(self) -> None:
        fleet = Fleet("abcdef")
        fleet.play(1000)
        fleet.now += 5 * S  # all were paused: no keepalives were sent, by no fault of theirs
        self.assertThat(fleet.play(7000), Equals([". . . . . ."]))
        self.assertThat(set(fleet.suspects.values()), Equals({()}) if fleet.suspects else Equals(set()))

    def test_cost_of_a_proxy_does_not_grow_with_the_fleet(self) -> None:
        for many in (20, 400):
            fleet = [f"10.0.{n // 200}.{n % 200}" for n in range(many)]
            by_watcher: dict[str, int] = {}
            for one in fleet:
                for watcher in watchers_of(one, fleet):
                    by_watcher[watcher] = by_watcher.get(watcher, 0) + 1
            self.assertThat(len(watchers_of(fleet[0], fleet)), Equals(3))
            self.assertThat(max(by_watcher.values()), LessThan(15))

    def test_watchers_are_ranked_once_a_tick_and_not_for_each_change(
        self,
    ) -> None:
        rankings = self._count_rankings()
        fleet = [f"10.0.{n // 200}.{n % 200}" for n in range(400)]
        detector = FailureDetector(fleet[0], 0)
        for size in range(1, len(fleet) + 1):
            detector.update(fleet[:size], (), size * MS)
            if size % 100 == 0:
                detector.tick(size * MS)
        self.assertThat(len(rankings), LessThan(5))
        self.assertThat(detector.tick(S).keepalives, Equals(watchers_of(fleet[0], fleet)))

    def test_dead_machine_costs_its_watcher_one_ranking(self) -> None:
        fleet = [f"10.0.{n // 200}.{n % 200}" for n in range(400)]
        dead = next(one for one in fleet[1:] if fleet[0] in watchers_of(one, fleet))
        detector = FailureDetector(fleet[0], 0)
        detector.update(fleet, (), 0)
        detector.receive_keepalive(dead, 0)
        detector.tick(0)
        rankings = self._count_rankings()
        for now in range(100 * MS, 20 * S, 100 * MS):
            detector.tick(now)
        self.assertThat(detector.suspects, Equals((dead,)))
        self.assertThat(rankings, Equals([dead]))
        detector.update([one for one in fleet if one != dead], (), 20 * S)
        detector.tick(20 * S + 100 * MS)
        self.assertThat(detector.suspects, Equals(()))

    def _count_rankings(self) -> list[str]:
        """Record the machines whose watchers are ranked from here on."""
        ranked: list[str] = []

        def counted(machine: str, proxies: Iterable[str]) -> tuple[str, ...]:
            ranked.append(machine)
            return watchers_of(machine, proxies)

        self.patch(failure_detector, "watchers_of", counted)
        return ranked


class RetryBudgets(TestCase):
    def test_every_window_keeps_to_ratio_and_slack_over_all_proxies_and_restarts(self) -> None:
        """Every attempt of every request is reset, at proxies that start, stop and restart."""
        ratio, slack, window, seed = 0.2, 20.0, 10 * S, 7
        rng, now, spent, asked = random.Random(seed), 0, list[int](), list[int]()
        once = api.RequestClass("read", S, S, api.Idempotency.REPEATABLE, max_attempts=3)

        def proxy() -> Balancer:
            made = Balancer(
                api.Settings(
                    (once,),
                    wait_for_upstream=False,
                    unsent_attempts_free=True,
                    retry_start=0.0,
                    max_attempts=8,
                ),
                seed,
            )
            rows = tuple(api.Endpoint(f"u{n}") for n in range(4))
            made.handle(now, api.UpstreamList(api.ListKind.FULL, rows))
            made.handle(now, proxy_retry_budget(ratio, slack, 8))
            return made

        fleet = [proxy() for _ in range(8)]
        for n in range(6000):
            now += rng.randrange(20_000)
            at = rng.randrange(8)
            if rng.random() < 0.01:
                fleet[at] = proxy()
            asked.append(now)
            actions = fleet[at].handle(now, api.Request(str(n), "read", now + S))
            for attempt in range(9):
                sent = [one for one in actions if isinstance(one, api.Send)]
                if not sent:
                    break
                if attempt:
                    spent.append(now)
                ended = api.AttemptEnded(str(n), attempt, sent[0].upstream, api.Outcome.RESET, 10)
                actions = fleet[at].handle(now, ended)
        self.assertThat(len(spent), GreaterThan(300))
        for start in range(0, now, S // 2):
            again = sum(1 for at in spent if start <= at < start + window)
            requests = sum(1 for at in asked if start <= at < start + window)
            self.assertThat(again, LessThan(0.5 * (ratio * requests + slack)))
