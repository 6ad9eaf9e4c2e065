"""The balancer: every decision.  Its types, events and actions are in brackengate/interface.py.

An ordinary request goes to an upstream with no request of this instance in flight, otherwise to the one with
the fewest; the earliest assignment breaks ties, and failures demote: `_update_order` and `_pick_upstreams`.
`_may_send` applies the four rules of where a request may go, `_end` ends a request.  docs/design.md states
when each exception applies.  brackengate/policy/ holds the decisions by concern; this class combines them
and dispatches events."""

from __future__ import annotations

from typing import Any

from brackengate import interface as api
from brackengate.policy.arrivals import Arrivals
from brackengate.policy.lists import Lists
from brackengate.policy.outcomes import Outcomes
from brackengate.policy.state import COLD_TURN_DUE, EWMA_WEIGHT, Attempt, TrackedRequest, Upstream

__all__ = ["EWMA_WEIGHT", "Attempt", "Balancer", "TrackedRequest", "Upstream"]


class Balancer(Arrivals, Outcomes, Lists):
    """Decides which upstream serves each request.  It does no I/O and reads no clock: see `handle`."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.handlers: dict[type, Any] = {
            api.Request: self._on_request,
            api.RequestBodyComplete: self._on_body_complete,
            api.AnswerStarted: self._on_answer_started,
            api.AttemptEnded: self._on_attempt_ended,
            api.ProbeEnded: self._on_probe_ended,
            api.TimerFired: self._on_timer,
            api.UpstreamList: self._on_upstream_list,
            api.Classes: lambda event: self._set_classes(event.classes),
            api.ClassesChanged: lambda event: self._change_classes(event.changed, event.removed),
            api.RetryBudget: self._on_retry_budget,
            api.UpstreamHealth: self._on_upstream_health,
            api.ClientGone: lambda event: self._end(self.requests.get(event.request), None),
        }

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Take one event at time `now` (microseconds) and return the actions that it calls for."""
        self.now, self.actions = now, []
        self.handlers.get(type(event), lambda _: None)(event)  # messages of other instances change nothing
        return self.actions

    def avoided(self) -> int:
        """For metrics: listed upstreams that come after all healthy ones or receive nothing at all."""
        return sum(1 for upstream in self.upstreams.values() if upstream.demoted or not upstream.serving)

    def _on_timer(self, event: api.TimerFired) -> None:
        kind, target = self.timers.pop(event.token, ("", ""))
        if kind == "recheck" and target in self.waiting:
            request = self.waiting[target]
            self._wait_for_upstream(request)
            if request.probed and not request.done:  # no answer yet, perhaps from a whole zone: probe others
                request.probes_pending = 0
                self._probe_more(request)
            elif not request.done:
                self._assign(request)
        elif kind == "suspect" and target in self.requests:
            self._probe_suspect(self.requests[target])
        elif kind == "watch":
            self.actions.append(api.WatchList(True))
        elif target in self.upstreams:
            upstream = self.upstreams[target]
            if kind == "eligible" and self.now >= upstream.eligible_at:
                upstream.last_assigned = (
                    COLD_TURN_DUE if upstream.takes_cold_turn else self._random_position()
                )
            elif kind == "readmit" and self.now >= upstream.ejected_until:
                upstream.demoted = False
            self._update_order(upstream)
