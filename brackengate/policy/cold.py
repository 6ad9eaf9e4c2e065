"""Cold upstreams (rule 4): how much all instances together send to one, and its position in the order."""

from __future__ import annotations

from brackengate.policy.state import (
    COLD_TURN_DUE,
    MAX_SAMPLES,
    MIN_PROBED_WARMTH,
    MIN_SAMPLED_LIST,
    NEVER_ASSIGNED,
    State,
    Upstream,
)


class Cold(State):
    """Paces what cold upstreams receive and positions new ones in the order."""

    def _pace_cold_upstream(self, upstream: Upstream, low: float, high: float) -> None:
        """Set when a cold upstream may be sent its next request.

        All instances together send it the share of a warm one's requests that it is sure to sustain.
        `low` and `high` bound the random factor on this instance's interval.
        """
        cold_left = upstream.endpoint.started_at + self.settings.cold_time - self.now
        if upstream.endpoint.started_at > 0 and cold_left > 0:
            # Wait until its warmth, rising linearly, adds up to one turn of this instance; it takes that turn
            # first of all.  Once warm, or half warm where it can be probed, its position is random: otherwise
            # all instances would send to it at once.
            warmth, rise = self._warmth(upstream), (1 - self.settings.cold_share) / self.settings.cold_time
            turn = (
                self.mean_send_interval
                * self.total_weight
                / upstream.weight
                * 3
                / self.settings.fall_multiple
            )
            wait = ((warmth**2 + 2 * rise * turn * self.rng.uniform(low, high)) ** 0.5 - warmth) / rise
            upstream.next_cold_send_at = self.now + int(min(wait, cold_left))
            probed = max(0.0, (MIN_PROBED_WARMTH - warmth) / rise) if self.max_probes else cold_left
            upstream.eligible_at, upstream.takes_cold_turn = (
                self.now + int(min(wait, cold_left, probed)),
                wait < min(cold_left, probed),
            )
            if upstream.eligible_at > self.now:
                self._start_timer(upstream.eligible_at - self.now, "eligible", upstream.id)

    def _warmth(self, upstream: Upstream) -> float:
        """The share of its capacity that an upstream is sure to have."""
        age = (self.now - upstream.endpoint.started_at) / self.settings.cold_time
        return min(1.0, self.settings.cold_share + (1 - self.settings.cold_share) * max(0.0, age))

    def _random_position(self) -> float:
        """A position right behind a random other upstream.

        One before them all would be given the next request of every instance at once.
        """
        if len(self.sample_pool) > 2 * len(self.upstreams):  # half of it has been removed
            self.sample_pool = list(self.upstreams.values())
        # A scan of the list for each new endpoint would take quadratic time.
        for _ in range(MAX_SAMPLES if len(self.sample_pool) > MIN_SAMPLED_LIST else 0):
            upstream = self.rng.choice(self.sample_pool)
            if upstream.last_assigned > COLD_TURN_DUE and self.upstreams.get(upstream.id) is upstream:
                return upstream.last_assigned + self.rng.random()
        positions = [u.last_assigned for u in self.upstreams.values() if u.last_assigned > COLD_TURN_DUE]
        return (self.rng.choice(positions) if positions else NEVER_ASSIGNED) + self.rng.random()
