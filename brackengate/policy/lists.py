"""The list of upstreams: who is there, who is new and who has gone."""

from __future__ import annotations

from brackengate import interface as api
from brackengate.policy.probes import Probes
from brackengate.policy.state import ASK_BACKOFF, Upstream


class Lists(Probes):
    def _on_list(self, event: api.UpstreamList) -> None:
        self.closing = event.final
        self.asks_failed = self.asks_failed + 1 if event.kind is api.ListKind.BROKEN else 0
        if event.kind in (api.ListKind.BROKEN, api.ListKind.CACHED) and self.settings.list_on_request:
            wait = self.settings.list_max_age * min(0.5, ASK_BACKOFF * 2 ** min(self.asks_failed, 10))
            self._timer(int(wait * self.rng.uniform(0.1, 1.0)), "watch", "")  # not all copies at once
        rows = list(event.endpoints)
        if event.kind in (api.ListKind.FULL, api.ListKind.CACHED):
            named = {row.upstream for row in rows}
            for gone in [up for up in self.upstreams.values() if up.id not in named]:
                self._forget(gone)
            self.rng.shuffle(rows)  # never-used upstreams come in a random order at each copy
        for row in rows:
            self._learn(row)
        self.sizes = sum(up.size for up in self.upstreams.values())
        for call in [call for call in self.waiting.values() if self.closing or not call.asked]:
            self._place(call)

    def _learn(self, row: api.Endpoint) -> None:
        up = self.upstreams.get(row.upstream)
        if row.state is api.Lifecycle.GONE:
            return self._forget(up) if up is not None else None
        fresh = up is None or up.row.started_at != row.started_at
        if up is None:
            up = self.upstreams[row.upstream] = Upstream(row.upstream, self._random_place(), row)
            self.drawn.append(up)
        up.row, up.size = row, max(row.weight, 1e-3)
        up.serving = row.state is api.Lifecycle.SERVING
        if fresh:  # every copy learns of it at once: each enters at a random time of its own
            self._pace_cold(up, 0.0, 1.0)
        self._order(up)
        self._release(up.id, up)

    def _forget(self, up: Upstream) -> None:
        up.serving, up.stamp = False, -1
        self.upstreams.pop(up.id, None)
        self._release(up.id, up)
