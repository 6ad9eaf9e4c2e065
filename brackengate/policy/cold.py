"""Rule 4 and new upstreams: how fast all copies together turn to one that is cold, and where one enters."""

from __future__ import annotations

from brackengate.policy.state import LONG_LIST, LOOKS, NEVER_USED, TURN, WARM_ENOUGH, State, Upstream


class Cold(State):
    def _pace_cold(self, up: Upstream, low: float, high: float) -> None:
        """All copies together send a cold upstream the part of a warm one's calls that it is sure to bear."""
        cold = up.row.started_at + self.settings.cold_time - self.now  # how long it stays cold
        if up.row.started_at > 0 and cold > 0:
            # Wait until its warmth, rising evenly, adds up to one own turn: that turn it takes first of all.
            # Once warm, or half warm where it can be asked, it has a random place: else copies would herd.
            warmth, rise = self._warmth(up), (1 - self.settings.cold_share) / self.settings.cold_time
            turn = self.gap * self.sizes / up.size * 3 / self.settings.fall_multiple
            wait = ((warmth**2 + 2 * rise * turn * self.rng.uniform(low, high)) ** 0.5 - warmth) / rise
            up.cold_next = self.now + int(min(wait, cold))
            asked = max(0.0, (WARM_ENOUGH - warmth) / rise) if self.probe_most else cold
            up.joins, up.its_turn = self.now + int(min(wait, cold, asked)), wait < min(cold, asked)
            if up.joins > self.now:
                self._timer(up.joins - self.now, "join", up.id)

    def _warmth(self, up: Upstream) -> float:
        """The part of its capacity that an upstream is sure to have."""
        age = (self.now - up.row.started_at) / self.settings.cold_time
        return min(1.0, self.settings.cold_share + (1 - self.settings.cold_share) * max(0.0, age))

    def _random_place(self) -> float:
        """Next behind a random other: before them all, it would take the next call of every copy at once."""
        if len(self.drawn) > 2 * len(self.upstreams):  # half of it has gone
            self.drawn = list(self.upstreams.values())
        for _ in range(LOOKS if len(self.drawn) > LONG_LIST else 0):  # a walk for each row would be quadratic
            up = self.rng.choice(self.drawn)
            if up.last > TURN and self.upstreams.get(up.id) is up:
                return up.last + self.rng.random()
        places = [up.last for up in self.upstreams.values() if up.last > TURN]
        return (self.rng.choice(places) if places else NEVER_USED) + self.rng.random()
