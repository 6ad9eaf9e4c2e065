"""The order in which upstreams are chosen, and the rules by which a request may go to one at all."""

from __future__ import annotations

import heapq

from brackengate import interface as api
from brackengate.policy.cold import Cold
from brackengate.policy.state import (
    MAX_CONNECT_FAILURE_RATE,
    MIN_PROBED_WARMTH,
    NEVER_RAN,
    UNSENT,
    Attempt,
    TrackedRequest,
    Upstream,
)


class Order(Cold):
    """Keeps the order of the upstreams and picks from it by the rules."""

    def _update_order(self, upstream: Upstream) -> None:
        """Enter it in the order: idle first, then fewest own in flight by weight, then first assigned."""
        if self.upstreams.get(upstream.id) is not upstream:
            return
        upstream.order_version = self.order_version = self.order_version + 1
        if not upstream.serving or self.now < max(upstream.ejected_until, upstream.eligible_at):
            return  # not in the order at all until a timer or the list brings it back
        if len(self.heap) > 4 * len(self.upstreams):  # outdated entries at the far end are never popped
            self.heap = sorted(entry for entry in self.heap if entry[4].order_version == entry[3])
        busy = upstream.own_in_flight > 0 or upstream.demoted
        count = (upstream.own_in_flight + 1) / upstream.weight if busy else 0.0
        heapq.heappush(self.heap, (busy, count, upstream.last_assigned, upstream.order_version, upstream))

    def _pick_upstreams(self, request: TrackedRequest, count: int, probing: bool = False) -> list[Upstream]:
        """The first `count` upstreams in the order that this request may be sent to.

        Exception while connections fail: only upstreams with an open connection and no own request in
        flight are returned, if there are any.
        """
        found, popped, connected = list[Upstream](), [], list[Upstream]()
        connects_fail, any_connected = self.connect_failure_rate > MAX_CONNECT_FAILURE_RATE, False
        while self.heap and (connects_fail or len(found) < count):
            entry = heapq.heappop(self.heap)
            upstream = entry[4]
            if upstream.order_version == entry[3]:  # otherwise outdated: its place in the order has changed
                popped.append(entry)
                has_connection = (
                    connects_fail
                    and upstream.own_in_flight == 0
                    and self.now - upstream.connected_at < self.settings.idle_close
                )
                if (has_connection or upstream not in request.probed) and self._may_send(
                    request, upstream, probing
                ):
                    any_connected = any_connected or has_connection
                    if upstream not in request.probed:
                        (connected if has_connection else found).append(upstream)
        for entry in popped:
            heapq.heappush(self.heap, entry)
        return (connected if any_connected else found)[:count]

    def _may_send(self, request: TrackedRequest, upstream: Upstream, probing: bool = False) -> bool:
        """Whether rules 1 to 4 allow it and the upstream is not ejected; `probing`: a probe is sent first."""
        if not self._is_allowed(request, upstream) or self.now < upstream.ejected_until:
            return False
        if self.now >= upstream.next_cold_send_at:
            return True  # rule 4: a cold one in its turn, otherwise only while it reports that it is idle
        idle = upstream.own_in_flight == 0 and (
            probing or (upstream.reported_load == 0 and upstream.reported_at == self.now)
        )
        return idle and self._warmth(upstream) >= MIN_PROBED_WARMTH

    def _is_allowed(self, request: TrackedRequest, upstream: Upstream) -> bool:
        """Rules 1 to 3, which have no exception."""
        if (
            request.done
            or self.now >= request.answer_by
            or len(request.attempts) >= request.max_attempts
            or not upstream.serving
        ):
            return False
        if not request.attempts and not request.earlier:
            return True
        return self._is_safe_repeat(request, upstream) and not self._has_untried_alternative(
            request, upstream
        )

    def _is_safe_repeat(self, request: TrackedRequest, upstream: Upstream) -> bool:
        """Rule 2: whether no attempt that may have run could take effect a second time here."""
        for attempt in request.attempts:
            if attempt.outcome not in NEVER_RAN and not self._discards_repeat(
                request, attempt.upstream.endpoint, attempt.sent_at, upstream
            ):
                return False
        return all(
            self._discards_repeat(request, earlier.endpoint, earlier.sent_at, upstream)
            for earlier in request.earlier
        )

    def _has_untried_alternative(self, request: TrackedRequest, upstream: Upstream) -> bool:
        """Whether an attempt here ended unsent, while another upstream serves where none did.

        Only where such attempts are free: they must not all go to one that is full or unreachable.
        """
        if not self.settings.unsent_attempts_free:
            return False
        unsent_at = [a.upstream.id for a in request.attempts if a.outcome in UNSENT]
        return upstream.id in unsent_at and any(
            other.serving and other.id not in unsent_at and self._is_safe_repeat(request, other)
            for other in self.upstreams.values()
        )

    def _discards_repeat(
        self, request: TrackedRequest, earlier: api.Endpoint, sent_at: int, upstream: Upstream
    ) -> bool:
        """Rule 2: whether a repeat of what may have run at `earlier` has no second effect at `upstream`."""
        scope, endpoint = request.request_class.key_scope, upstream.endpoint
        if request.request_class.idempotency is api.Idempotency.REPEATABLE:
            return True
        late = self.now - sent_at + self.settings.resolution >= request.request_class.key_memory
        if request.request_class.idempotency is api.Idempotency.UNSAFE or late:
            return False
        if scope is api.KeyScope.ZONE:
            return earlier.zone == endpoint.zone and bool(earlier.zone)
        return scope is not api.KeyScope.CELL or earlier.cell == endpoint.cell >= 0

    def _count_in_flight(self, attempt: Attempt, counted: bool) -> None:
        """Count the attempt in flight or not: a body in transfer, in either direction, is no work."""
        attempt.upstream.own_in_flight += counted - attempt.counted
        attempt.counted = counted
