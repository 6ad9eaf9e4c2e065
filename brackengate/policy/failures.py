"""What counts as a failure of an upstream, and how it demotes and rests."""

from __future__ import annotations

from brackengate import interface as api
from brackengate.policy.order import Order
from brackengate.policy.state import ABRUPT, MAX_FAILS, REST_CONNECTS, Attempt, Call, Upstream


class Failures(Order):
    def _abrupt(self, call: Call, attempt: Attempt) -> bool:
        """It had time enough; an upstream that errs at once looks idle and would draw every call."""
        mean = self.mean_time.get(call.cls.name, 0.0) if attempt.outcome is api.Outcome.ERROR else 0.0
        return self.now - attempt.sent < ABRUPT * mean < mean < call.answer_by - self.now

    def _failed(self, up: Upstream, counts: int = 1) -> None:
        """A failure demotes; MAX_FAILS in a row make it rest."""
        up.fails += counts
        up.demoted = True
        rest = REST_CONNECTS * self.settings.connect_timeout
        if up.fails >= MAX_FAILS:
            up.rest_until = self.now + rest
        self._timer(rest, "return", up.id)
        self._order(up)

    def _on_standing(self, event: api.UpstreamHealth) -> None:
        """Others' word on it: as many failures as make it rest, or none of those that it had."""
        up = self.upstreams.get(event.upstream)
        if up is None:
            return
        if not event.healthy:
            return self._failed(up, MAX_FAILS)
        up.fails, up.demoted, up.rest_until = 0, False, self.now
        self._order(up)

    def _release(self, upstream: str, up: Upstream | None) -> None:
        """Rule 5: close idle connections to a leaving upstream, on the notice and at each later outcome."""
        if self.settings.release_within > 0 and (up is None or not up.serving):
            self.actions.append(api.Release(upstream))
