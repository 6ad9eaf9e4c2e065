"""Who is watched by whom, when a machine is taken for silent, and what a storm of further tries may cost."""

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
    """Pilots on links that can be cut; the core takes what they notice, if it hears them.

    `play` draws a timeline, one column a pilot: the letters of those that it takes for silent, `x` for a
    pilot without power.
    """

    def __init__(self, names: str) -> None:
        self.now = 0
        self.detectors = {name: FailureDetector(name, 0) for name in names}
        self.dead: set[str] = set()
        self.cut: set[str] = set()  # from all others and the core
        self.deaf: set[tuple[str, str]] = set()  # nothing from the first comes to the second
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


class Watching(TestCase):
    """One column a pilot: whom it takes for silent."""

    def test_a_machine_without_power_is_known_to_all_in_half_a_second_and_so_is_its_return(self) -> None:
        fleet = Fleet("abcdef")
        self.assertThat(fleet.play(1000), Equals([". . . . . ."]))
        fleet.dead.add("c")
        self.assertThat(fleet.play(1550)[-1], Equals("c c x c c c"))
        self.assertThat({detector.gone for detector in fleet.detectors.values()}, Equals({frozenset()}))
        fleet.play(1900)  # not at once: one that is only slow keeps what it is at work on
        gone = {name for name, detector in fleet.detectors.items() if detector.gone == {"c"}}
        self.assertThat(gone, Equals(set("abdef")))
        fleet.dead.clear()
        self.assertThat(fleet.play(2700)[-1], Equals(". . . . . ."))

    def test_one_that_is_cut_off_is_silent_to_the_others_and_tells_nobody_anything(self) -> None:
        fleet = Fleet("abcdef")
        fleet.play(1000)
        fleet.cut.add("a")
        self.assertThat(fleet.play(1600)[-1], Equals(". a a a a a"))
        fleet.cut.clear()
        self.assertThat(fleet.play(2600)[-1], Equals(". . . . . ."))

    def test_a_pair_that_is_cut_apart_does_no_harm_to_anybody_else(self) -> None:
        fleet = Fleet("abcdef")
        fleet.play(1000)
        watcher = watchers_of("a", "abcdef")[0]
        fleet.deaf = {("a", watcher), (watcher, "a")}
        row = fleet.play(2500)[-1].split()
        silent = {name: took for name, took in zip("abcdef", row, strict=True) if took != "."}
        self.assertThat(silent, Equals({watcher: "a", "a": watcher}))  # nothing of either comes to the other

    def test_a_pilot_that_stood_still_does_not_take_the_others_for_silent(self) -> None:
        fleet = Fleet("abcdef")
        fleet.play(1000)
        fleet.now += 5 * S  # all stood still: no signs were sent, and nobody is at fault
        self.assertThat(fleet.play(7000), Equals([". . . . . ."]))
        self.assertThat(set(fleet.suspects.values()), Equals({()}) if fleet.suspects else Equals(set()))

    def test_what_one_sends_and_watches_does_not_grow_with_the_fleet(self) -> None:
        for many in (20, 400):
            fleet = [f"10.0.{n // 200}.{n % 200}" for n in range(many)]
            by_watcher: dict[str, int] = {}
            for one in fleet:
                for watcher in watchers_of(one, fleet):
                    by_watcher[watcher] = by_watcher.get(watcher, 0) + 1
            self.assertThat(len(watchers_of(fleet[0], fleet)), Equals(3))
            self.assertThat(max(by_watcher.values()), LessThan(15))

    def test_a_region_that_starts_costs_each_proxy_a_ranking_for_each_tick_and_not_for_each_change(
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

    def test_a_machine_that_stays_dead_costs_its_watcher_one_ranking(self) -> None:
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
        """Whose watchers are ranked from here on."""
        ranked: list[str] = []

        def counted(machine: str, proxies: Iterable[str]) -> tuple[str, ...]:
            ranked.append(machine)
            return watchers_of(machine, proxies)

        self.patch(failure_detector, "watchers_of", counted)
        return ranked


class Budgets(TestCase):
    def test_over_all_pilots_and_their_lives_every_window_keeps_to_ratio_and_slack(self) -> None:
        """Every attempt breaks, for every request, at pilots that come, go and start again."""
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
