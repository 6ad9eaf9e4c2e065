"""The upstream list: which upstreams there are, which are new and which were removed."""

from __future__ import annotations

from brackengate import interface as api
from brackengate.policy.probes import Probes
from brackengate.policy.state import LIST_BACKOFF_SHARE, Upstream


class Lists(Probes):
    """Keeps the upstreams in line with the upstream list."""

    def _on_upstream_list(self, event: api.UpstreamList) -> None:
        self.closing = event.final
        self.list_failures = self.list_failures + 1 if event.kind is api.ListKind.BROKEN else 0
        if event.kind in (api.ListKind.BROKEN, api.ListKind.CACHED) and self.settings.list_on_request:
            wait = self.settings.list_max_age * min(
                0.5, LIST_BACKOFF_SHARE * 2 ** min(self.list_failures, 10)
            )
            # The random factor keeps the instances from fetching at the same time.
            self._start_timer(int(wait * self.rng.uniform(0.1, 1.0)), "watch", "")
        endpoints = list(event.endpoints)
        if event.kind in (api.ListKind.FULL, api.ListKind.CACHED):
            listed = {endpoint.upstream for endpoint in endpoints}
            for removed in [upstream for upstream in self.upstreams.values() if upstream.id not in listed]:
                self._remove(removed)
            self.rng.shuffle(endpoints)  # unused upstreams come in another order at each instance
        for endpoint in endpoints:
            self._add_or_update(endpoint)
        self.total_weight = sum(upstream.weight for upstream in self.upstreams.values())
        for request in [request for request in self.waiting.values() if self.closing or not request.probed]:
            self._assign(request)

    def _add_or_update(self, endpoint: api.Endpoint) -> None:
        """Take over one endpoint of a list; one that is gone is removed."""
        upstream = self.upstreams.get(endpoint.upstream)
        if endpoint.state is api.Lifecycle.GONE:
            return self._remove(upstream) if upstream is not None else None
        restarted = upstream is None or upstream.endpoint.started_at != endpoint.started_at
        if upstream is None:
            upstream = self.upstreams[endpoint.upstream] = Upstream(
                endpoint.upstream, self._random_position(), endpoint
            )
            self.sample_pool.append(upstream)
        upstream.endpoint, upstream.weight = endpoint, max(endpoint.weight, 1e-3)
        upstream.serving = endpoint.state is api.Lifecycle.SERVING
        if restarted:  # all instances learn of it at once: each starts to use it at a random time
            self._pace_cold_upstream(upstream, 0.0, 1.0)
        self._update_order(upstream)
        self._release_connections(upstream.id, upstream)

    def _remove(self, upstream: Upstream) -> None:
        upstream.serving, upstream.order_version = False, -1
        self.upstreams.pop(upstream.id, None)
        self._release_connections(upstream.id, upstream)
