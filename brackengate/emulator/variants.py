"""Decision modules that differ from the one in use in a single place, for arms of an experiment.

What README's "What remains" leaves open is tried here first; a winner goes into the module itself.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable

from brackengate import interface as api
from brackengate.balancer import LEARN, Attempt, Balancer, Call, Upstream
from brackengate.interface import Settings

SLOW_FROM, SLOWEST = (
    1.5,
    4.0,
)  # of its peers' time: from here on an idle one counts as busy; no more is believed
DEAR = 0.5  # of the dearest worth: from here on a call is dear
DEVIATIONS = 1.0  # by which an estimate may be wrong before a call is refused for it


class Weighted(Balancer):
    """Calls in flight are weighed by what their upstream takes, against its peers."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._ratio: dict[str, float] = {}

    def _learn_time(self, call: Call, attempt: Attempt) -> None:
        mean = self.mean_time.get(call.cls.name, 0.0)
        super()._learn_time(call, attempt)
        if attempt.outcome in (api.Outcome.OK, api.Outcome.TIMEOUT) and mean > 0:
            name, before = attempt.upstream.id, self._ratio.get(attempt.upstream.id, 1.0)
            seen = min(SLOWEST, (self.now - attempt.sent) / mean)
            self._ratio[name] = before + LEARN * (seen - before)

    def _forget(self, up: Upstream) -> None:
        self._ratio.pop(up.id, None)
        super()._forget(up)

    def _order(self, up: Upstream) -> None:
        super()._order(up)
        ratio = max(1.0, self._ratio.get(up.id, 1.0))
        if ratio > SLOW_FROM and up.serving and self.now >= max(up.rest_until, up.joins):
            up.stamp = self.stamp = self.stamp + 1
            heapq.heappush(self.heap, (True, ratio * (up.own + 1) / up.size, up.last, up.stamp, up))


class Reserving(Balancer):
    """A cheap call is held until an upstream is idle, as long as it has the time for that."""

    def _send(self, call: Call, up: Upstream) -> None:
        cheap = call.worth < DEAR * self.top_worth
        busy = up.own > 0 or (up.load > 0 and self.now - up.heard <= self.recheck)
        spare = call.aim_by - self.now - 2 * self.mean_time.get(call.cls.name, 0.0)
        if cheap and busy and spare > self.recheck and not call.attempts:
            call.asked, call.seen, call.out = [], [], 0
            self._hold(call)
        else:
            super()._send(call, up)


class Spread(Balancer):
    """A call is refused for want of time only where the estimate leaves no room for its own error."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._off = 0.0

    def _learn_time(self, call: Call, attempt: Attempt) -> None:
        if attempt.outcome in (api.Outcome.OK, api.Outcome.TIMEOUT) and attempt.ahead >= 0:
            expected = self.best_time * call.hint + self.queue_time * attempt.ahead
            self._off += LEARN * (abs(self.now - attempt.sent - expected) - self._off)
        super()._learn_time(call, attempt)

    def _hopeless(self, call: Call, ahead: float) -> bool:
        if self.settings.tier == 0:
            expected = self.best_time * call.hint + self.queue_time * ahead - DEVIATIONS * self._off
            if expected <= self._part(call) * (call.aim_by - self.now):
                return False
        return super()._hopeless(call, ahead)


MODULES: dict[str, Callable[[Settings, int], Balancer]] = {
    "brain": Balancer,
    "weighted": Weighted,
    "reserving": Reserving,
    "spread": Spread,
}
