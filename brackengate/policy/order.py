"""Which upstream comes first, and the gate: whether a call may go there at all."""

from __future__ import annotations

import heapq

from brackengate import interface as api
from brackengate.policy.cold import Cold
from brackengate.policy.state import NEVER_RAN, SQUEEZED, UNSENT, WARM_ENOUGH, Attempt, Call, Upstream


class Order(Cold):
    def _order(self, up: Upstream) -> None:
        """Idle first, then the fewest own calls for its size, then the earliest assignment."""
        if self.upstreams.get(up.id) is not up:
            return
        up.stamp = self.stamp = self.stamp + 1
        if not up.serving or self.now < max(up.rest_until, up.joins):
            return  # picks do not even look at it; a timer or the list brings it back
        if len(self.heap) > 4 * len(self.upstreams):  # outdated entries at the far end are never met
            self.heap = sorted(entry for entry in self.heap if entry[4].stamp == entry[3])
        busy = up.own > 0 or up.demoted
        count = (up.own + 1) / up.size if busy else 0.0
        heapq.heappush(self.heap, (busy, count, up.last, up.stamp, up))

    def _pick(self, call: Call, most: int, asking: bool = False) -> list[Upstream]:
        """The first `most` upstreams in that order which the gate lets this call go to.

        Exception while connects fail: those with a connection and no own call come alone, if there are any.
        """
        found, passed, linked = list[Upstream](), [], list[Upstream]()
        squeezed, any_linked = self.unconnected > SQUEEZED, False
        while self.heap and (squeezed or len(found) < most):
            entry = heapq.heappop(self.heap)
            up = entry[4]
            if up.stamp == entry[3]:  # else outdated: the upstream has moved in the order
                passed.append(entry)
                open_here = squeezed and up.own == 0 and self.now - up.linked < self.settings.idle_close
                if (open_here or up not in call.asked) and self._may_send(call, up, asking):
                    any_linked = any_linked or open_here
                    if up not in call.asked:
                        (linked if open_here else found).append(up)
        for entry in passed:
            heapq.heappush(self.heap, entry)
        return (linked if any_linked else found)[:most]

    def _may_send(self, call: Call, up: Upstream, asking: bool = False) -> bool:
        if not self._lets(call, up) or self.now < up.rest_until:
            return False
        if self.now >= up.cold_next:
            return True  # rule 4: a cold one in its turn, else only while it says it is idle
        idle = up.own == 0 and (asking or (up.load == 0 and up.heard == self.now))
        return idle and self._warmth(up) >= WARM_ENOUGH

    def _lets(self, call: Call, up: Upstream) -> bool:
        """What nothing lifts: rules 1 to 3."""
        if call.done or self.now >= call.answer_by or len(call.attempts) >= call.most or not up.serving:
            return False
        if not call.attempts and not call.earlier:
            return True
        return self._harmless(call, up) and not self._turned_away(call, up)

    def _harmless(self, call: Call, up: Upstream) -> bool:
        """Rule 2."""
        for attempt in call.attempts:
            if attempt.outcome not in NEVER_RAN and not self._drops(
                call, attempt.upstream.row, attempt.sent, up
            ):
                return False
        return all(self._drops(call, earlier.endpoint, earlier.sent_at, up) for earlier in call.earlier)

    def _turned_away(self, call: Call, up: Upstream) -> bool:
        """Where attempts that ended unsent are free: it did, and another serves that did not and may take it.

        Guards against spending them all on one that is full or out of reach.
        """
        if not self.settings.unsent_attempts_free:
            return False
        away = [a.upstream.id for a in call.attempts if a.outcome in UNSENT]
        return up.id in away and any(
            other.serving and other.id not in away and self._harmless(call, other)
            for other in self.upstreams.values()
        )

    def _drops(self, call: Call, one: api.Endpoint, sent: int, up: Upstream) -> bool:
        """Rule 2: whether what may have run at `one` does no harm here."""
        scope, other = call.cls.key_scope, up.row
        if call.cls.idempotency is api.Idempotency.REPEATABLE:
            return True
        late = self.now - sent + self.settings.resolution >= call.cls.key_memory
        if call.cls.idempotency is api.Idempotency.UNSAFE or late:
            return False
        if scope is api.KeyScope.ZONE:
            return one.zone == other.zone and bool(one.zone)
        return scope is not api.KeyScope.CELL or one.cell == other.cell >= 0

    def _count(self, attempt: Attempt, on: bool) -> None:
        """A body on its way, either way, is no work that its upstream has."""
        attempt.upstream.own += on - attempt.counts
        attempt.counts = on
