"""Every decision of the balancer.  The types, events and actions are in brackengate/interface.py.

An ordinary call goes to an upstream with none of this copy's own calls in flight, else to the one with
fewest, the earliest assignment breaking ties; failed connections demote: `_order` and `_pick`.  `_may_send`
is the gate of the four rules, `_end` ends a call.  docs/design.md says when each exception acts.
brackengate/policy/ holds the decisions by concern; here they are put together and events come in."""

from __future__ import annotations

from typing import Any

from brackengate import interface as api
from brackengate.policy.arrivals import Arrivals
from brackengate.policy.lists import Lists
from brackengate.policy.outcomes import Outcomes
from brackengate.policy.state import LEARN, TURN, Attempt, Call, Upstream

__all__ = ["LEARN", "Attempt", "Balancer", "Call", "Upstream"]


class Balancer(Arrivals, Outcomes, Lists):
    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.handlers: dict[type, Any] = {
            api.Request: self._on_request,
            api.RequestBodyComplete: self._on_whole,
            api.AnswerStarted: self._on_answer,
            api.AttemptEnded: self._on_attempt,
            api.ProbeEnded: self._on_probe,
            api.TimerFired: self._on_timer,
            api.UpstreamList: self._on_list,
            api.Classes: lambda event: self._use(event.classes),
            api.ClassesChanged: lambda event: self._change_classes(event.changed, event.removed),
            api.RetryBudget: self._on_ration,
            api.UpstreamHealth: self._on_standing,
            api.ClientGone: lambda event: self._end(self.calls.get(event.request), None),
        }

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        self.now, self.actions = now, []
        self.handlers.get(type(event), lambda _: None)(event)  # a peer changes nothing
        return self.actions

    def avoided(self) -> int:
        """For the operators' figures: listed upstreams that lose to any sound one, or get nothing at all."""
        return sum(1 for up in self.upstreams.values() if up.demoted or not up.serving)

    def _on_timer(self, event: api.TimerFired) -> None:
        what, which = self.timers.pop(event.token, ("", ""))
        if what == "look" and which in self.waiting:
            call = self.waiting[which]
            self._hold(call)
            if call.asked and not call.done:  # those still out are silent, perhaps a whole zone: ask others
                call.out = 0
                self._ask(call)
            elif not call.done:
                self._place(call)
        elif what == "doubt" and which in self.calls:
            self._doubt(self.calls[which])
        elif what == "watch":
            self.actions.append(api.WatchList(True))
        elif which in self.upstreams:
            up = self.upstreams[which]
            if what == "join" and self.now >= up.joins:
                up.last = TURN if up.its_turn else self._random_place()
            elif what == "return" and self.now >= up.rest_until:
                up.demoted = False
            self._order(up)
