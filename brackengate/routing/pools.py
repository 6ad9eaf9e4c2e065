"""The pools behind the door: a node, connections and a decision module each.  Decides nothing.

Which pool a request goes to was decided when it came (`Chosen`), and stays so, whatever comes into use.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from brackengate.balancer import Balancer
from brackengate.cells.owners import Go, Owners, Terms, Turned, Why
from brackengate.installation.schema import Pool as PoolSettings
from brackengate.interface import Idempotency, ListKind, Outcome, Request, Settings
from brackengate.net.environment import Environment
from brackengate.net.node import STATUS_BAD_GATEWAY, STATUS_UNAVAILABLE, Caller, Clock, Message, Node, Reply
from brackengate.net.observer import FlowWatch, Observer
from brackengate.net.sockets import NestedSocketBudget, SocketBudget
from brackengate.net.upstream import Pool as Connections
from brackengate.routing.bulkhead import WORDS, Bulkhead
from brackengate.routing.earlier import goes_to, with_pool, without_pool
from brackengate.routing.members import Ages, Telling
from brackengate.routing.table import RouteTable, Traits
from brackengate.snapshot.diff import Rows, compare
from brackengate.snapshot.model import EMPTY, Snapshot

log = logging.getLogger(__name__)

REMEMBERED = 1024  # ids
LOOK_S = 0.05  # between looks at whether a pool that leaves still holds something
BAD = 400
ELSEWHERE = b"it may have run in a pool that is gone, and its key is known nowhere else\n"


@dataclass(frozen=True, slots=True)
class Chosen:
    """Where a request goes: this generation of a pool, by this version's table."""

    pool: PoolRun
    table: RouteTable
    epoch: int = 0  # of the map of cells that it was chosen by; 0: there are none


@dataclass(frozen=True, slots=True)
class CellTerms:
    """By what requests are told apart, what is promised, and what is known of the map's source."""

    by: str  # "tenant" or "entity"
    terms: Terms
    confirmed: Callable[[], int]  # when the newest map was last seen to be so
    newest: Callable[[], int]  # its epoch


class _PoolObserver:
    """For one pool's node: what it tells goes straight on, but whether it serves is a matter of all pools."""

    __slots__ = (
        "attempt_began",
        "attempt_ended",
        "attempt_written",
        "request_ended",
        "request_started",
        "serving_changed",
    )

    def __init__(self, inner: Observer, serving: Callable[[], None]) -> None:
        self.request_started: Callable[[Request, int], None] = inner.request_started
        self.request_ended: Callable[[Request, int, int, int], None] = inner.request_ended
        self.attempt_began: Callable[[Request, int, str, int], None] = inner.attempt_began
        self.attempt_written: Callable[[Request, int, str], None] = inner.attempt_written
        self.attempt_ended: Callable[[Request, int, str, Outcome, int], None] = inner.attempt_ended
        self.serving_changed: Callable[[bool], None] = lambda now: serving()


class PoolRun:
    """One generation of a pool: a change of its settings makes another, and this one leaves."""

    def __init__(
        self,
        name: str,
        generation: int,
        told: PoolSettings,
        base: Settings,
        clock: Clock,
        budget: SocketBudget,
        ages: Ages,
        ground: Environment,
    ) -> None:
        self.name, self.generation = name, generation
        self._loop = ground.loop
        settings = pool_settings(base, told)
        self.settings = settings
        self.budget = NestedSocketBudget(budget, told.max_connections or budget.limit)
        connect_s, idle_s = settings.connect_timeout / 1e6, settings.idle_close / 1e6
        self.connections = Connections(self._loop, self.budget, connect_s, idle_s, network=ground.network)
        self.module = Balancer(settings, ground.rng.getrandbits(64))
        self.node = Node(self._loop, clock, settings, self.module, self.connections)
        self.bulkhead = Bulkhead(told.max_requests, settings.max_retry_after)
        self.telling = Telling(ages)
        self.retired_at = 0
        self._telling = False
        self._lists = 0

    def caps(self, told: PoolSettings) -> None:
        """Bounds that change while it runs; what is over a lower one goes as it ends."""
        self.bulkhead.most = told.max_requests
        self.budget.limit = told.max_connections or self.budget.parent_limit

    def tell(self, rows: Rows) -> None:
        """Those that leave now; the rest a slice each turn of the loop, the first of them now."""
        if urgent := self.telling.take(rows):
            self._list(urgent)
        if not self._telling:
            self._next()

    def _list(self, listed: list[Any]) -> None:
        self._lists += 1
        self.node.update_upstreams(ListKind.CHANGES, listed, self._lists)

    def _next(self) -> None:
        self._telling = False
        if self.retired_at:
            return
        if some := self.telling.slice():
            self._list(some)
        if not self.telling.done():
            self._telling = True
            self._loop.call_soon(self._next)

    def retire(self, at: int) -> None:
        self.retired_at = at
        self.node.retire()

    def close(self) -> None:
        self.connections.close()
        self.budget.close()

    def status(self) -> dict[str, Any]:
        return {
            "pool": self.name,
            "generation": self.generation,
            "upstreams": self.telling.known(),
            "serving": self.node.serving_count(),
            "held": self.bulkhead.held,
            "max_requests": self.bulkhead.most,
            "connections": self.budget.in_use,
            "max_connections": self.budget.limit,
            "connections_refused": self.budget.refused,
            "mean_ms": round(self.bulkhead.mean / 1000, 1),
            "leaving": bool(self.retired_at),
            "refused": {reason.value: count for reason, count in self.bulkhead.refused.items()},
        }


def pool_settings(base: Settings, told: PoolSettings) -> Settings:
    """The installation's settings with what a pool says itself."""
    return replace(
        base,
        max_attempts=told.max_attempts or base.max_attempts,
        connect_timeout=int(told.connect_timeout) or base.connect_timeout,
        idle_close=int(told.idle_close) or base.idle_close,
        cold_share=told.cold_share or base.cold_share,
        cold_time=int(told.cold_time) or base.cold_time,
    )


class Pools:
    """What stands behind all stages, in place of a single node."""

    def __init__(
        self,
        base: Settings,
        clock: Clock,
        budget: SocketBudget,
        observer: Observer | None = None,
        answered: Callable[[int], None] | None = None,
        new_pools_warm: bool = True,
        ground: Environment | None = None,
    ) -> None:
        """`answered`: hears of each answer's status, for whoever judges a version.

        `new_pools_warm`: of a new pool's upstreams what nothing is known of counts as warm, else as just
        started; a decision module whose upstreams are all cold, and that has no pace of calls to go by, uses
        none of them for a while.
        """
        self._base, self.clock, self._budget = base, clock, budget
        self._observer, self.on_answer, self._warm = observer, answered, new_pools_warm
        self._ground = ground or Environment.for_this_machine()
        self._loop = self._ground.loop
        self.classes = {cls.name: cls for cls in base.classes}
        self.snapshot: Snapshot = EMPTY
        self.table: RouteTable | None = None
        self.owners: Owners | None = None  # cells, where there are some
        self.cells: CellTerms | None = None
        self.runs: dict[str, PoolRun] = {}
        self.leaving: list[PoolRun] = []
        self._ages = Ages()
        self._held: dict[str, _Held] = {}
        self._recent: dict[str, None] = {}
        self._generation = 0
        self._serves = False
        self._looking: asyncio.TimerHandle | None = None
        self._flows: FlowWatch | None = None
        self.counters = {"versions": 0, "pools_made": 0, "pools_gone": 0, "no_route": 0}
        self.counters |= {f"turned_{why.name.lower()}": 0 for why in Why}

    # --- Core

    def can_serve(self) -> bool:
        return any(run.node.can_serve() for run in self.runs.values())

    def serving_count(self) -> int:
        """Upstreams that serve, over all pools."""
        return sum(run.node.serving_count() for run in self.runs.values())

    def pending_count(self) -> int:
        return len(self._held)

    def known(self, request: str) -> bool:
        return request in self._held or request in self._recent or self._still_out(request)

    def started(self, request: str) -> bool:
        held = self._held.get(request)
        return held is not None and held.run.node.started(request)

    def submit(self, request: Request, message: Message, caller: Caller) -> None:
        chosen, name = message.route, request.request
        if not isinstance(chosen, Chosen):
            caller.answer(Reply(STATUS_UNAVAILABLE, b"refused: no pool was chosen\n", b"text/plain"))
            return
        if name in self._held:  # one that waited at the door while another took its id
            caller.answer(Reply(BAD, b"X-Txn has been used\n", b"text/plain"))
            return
        run = chosen.pool
        if chosen.epoch:
            message.head += b"X-Cell-Epoch: %d\r\n" % chosen.epoch
        if request.earlier:
            kind = self.classes[request.class_name].idempotency
            pool = goes_to(run.name, request.earlier, kind, self.runs)
            if not pool:
                self._told(STATUS_BAD_GATEWAY, chosen)
                caller.answer(
                    Reply(STATUS_BAD_GATEWAY, ELSEWHERE, b"text/plain", possible_executions=request.earlier)
                )
                return
            run = run if pool == run.name else self.runs[pool]
            request.earlier = tuple(without_pool(one) for one in request.earlier)
        reason = run.bulkhead.ask(run.telling.known(), bool(run.retired_at))
        if reason is not None:
            after = run.bulkhead.retry_after(reason)
            self._told(STATUS_UNAVAILABLE, chosen)
            caller.answer(Reply(STATUS_UNAVAILABLE, WORDS[reason], b"text/plain", after))
            return
        held = self._held[name] = _Held(self, run, name, caller, self.clock.now(), chosen)
        run.node.submit(request, message, held)

    def client_disconnected(self, request: str, caller: Caller) -> None:
        held = self._held.get(request)
        if held is not None and held.caller is caller:
            self._forget(held)
            held.run.node.client_disconnected(request, held)

    def _forget(self, held: _Held) -> None:
        if self._held.get(held.name) is held:
            del self._held[held.name]
            held.run.bulkhead.left(self.clock.now() - held.began)
            self._recent[held.name] = None
            if len(self._recent) > REMEMBERED:
                del self._recent[next(iter(self._recent))]

    def _still_out(self, request: str) -> bool:
        """Answered, and an attempt of it still runs: its id would be taken for the other's."""
        return any(run.node.in_flight(request) for run in (*self.runs.values(), *self.leaving))

    def _told(self, status: int, chosen: Chosen) -> None:
        """What began under an earlier version says nothing of this one."""
        if self.on_answer is not None and chosen.table is self.table:
            self.on_answer(status)

    # --- routes

    def choose(self, traits: Traits) -> Chosen | Turned | None:
        """By the table in use, and the cell; None where no route fits, or there is no table yet."""
        if self.table is not None:
            name, epoch = self.table.pool(traits), 0
            if name and self.owners is not None and self.cells is not None:
                told = self._cell(traits, self.owners, self.cells)
                if isinstance(told, Turned):
                    self.counters[f"turned_{told.why.name.lower()}"] += 1
                    return told
                name, epoch = self.owners.pool(told.cell, name), self.owners.epoch
            run = self.runs.get(name)
            if run is not None:
                return Chosen(run, self.table, epoch)
        self.counters["no_route"] += 1
        return None

    def _cell(self, traits: Traits, owners: Owners, terms: CellTerms) -> Go | Turned:
        cls = self.classes.get(traits.class_name)
        kind = cls.idempotency if cls is not None else Idempotency.UNSAFE
        who = traits.entity if terms.by == "entity" else traits.tenant
        # What was confirmed is the newest map; one that is in use and not that one is confirmed no more.
        confirmed = terms.confirmed() if owners.epoch == terms.newest() else 0
        return owners.decide(who, kind, self.clock.now(), confirmed, terms.terms)

    # --- versions

    def apply(self, snapshot: Snapshot, version: str) -> None:
        """Go over to a snapshot in one step, which must have no faults.

        In this order: what leaves is told, new pools are made and have their first upstreams, the table
        changes, and pools that are no longer there leave.
        """
        now, first = self.clock.now(), self.table is None
        told = compare(self.snapshot, snapshot)
        for name in told.added:
            self._ages.see(now, snapshot.pools[name].upstream, first or self._warm)
        for rows in told.rows.values():
            self._ages.see(now, (*rows.added, *rows.changed))
        renewed = set(told.rebuilt)
        for name, rows in told.rows.items():
            if name not in renewed:
                self.runs[name].tell(rows)
        for name in told.caps:
            if name not in renewed:
                self.runs[name].caps(snapshot.pools[name])
        old = [self.runs.pop(name) for name in (*told.removed, *told.rebuilt)]
        for name in (*told.added, *told.rebuilt):
            self._make(name, snapshot.pools[name])
        before, self.snapshot = self.snapshot, snapshot
        if snapshot.cells is not before.cells:
            self.owners = Owners.of(snapshot.cells, self.owners) if snapshot.cells is not None else None
        if told.routes or told.added or old or told.caps or self.table is None:
            # Another for other pools too: by its table it is told which answers are of the present version.
            self.table = RouteTable(snapshot.routes, version)
        for run in old:
            log.info(
                "pool %s (generation %d): leaves, with %d held",
                run.name,
                run.generation,
                run.node.pending_count(),
            )
            self.leaving.append(run)
            run.retire(now)
        self._forget_ages(before, told.removed, told.rows)
        self.counters["versions"] += 1
        self._look()
        self._serving_changed()

    def _make(self, name: str, told: PoolSettings) -> None:
        self._generation += 1
        self.counters["pools_made"] += 1
        run = PoolRun(
            name, self._generation, told, self._base, self.clock, self._budget, self._ages, self._ground
        )
        run.connections.flows = self._flows
        if self._observer is not None:
            run.node.observer = _PoolObserver(self._observer, self._serving_changed)
        self.runs[name] = run
        run.tell(Rows(added=told.upstream))

    def _forget_ages(self, before: Snapshot, removed: tuple[str, ...], changed: dict[str, Rows]) -> None:
        left = [row for name in removed for row in before.pools[name].upstream]
        for name, rows in changed.items():
            left += rows.removed
            if rows.changed:
                names = {row.name for row in rows.changed}
                left += [row for row in before.pools[name].upstream if row.name in names]
        if left:
            there = {row.address for pool in self.snapshot.pools.values() for row in pool.upstream}
            self._ages.left(self.clock.now(), [row for row in left if row.address not in there])

    def _serving_changed(self) -> None:
        now = self.can_serve()
        if now is not self._serves:
            self._serves = now
            if self._observer is not None:
                self._observer.serving_changed(now)

    def _look(self) -> None:
        """Close pools that have left and hold nothing any more."""
        if self._looking is not None:
            self._looking.cancel()
            self._looking = None
        for run in [run for run in self.leaving if run.node.unfinished_count() == 0]:
            self.leaving.remove(run)
            run.close()
            self.counters["pools_gone"] += 1
            log.info("pool %s (generation %d): gone", run.name, run.generation)
        if self.leaving:
            self._looking = self._loop.call_later(LOOK_S, self._look)

    # --- the rest

    def watch_flows(self, flows: FlowWatch) -> None:
        self._flows = flows
        for run in self.runs.values():
            run.connections.flows = flows

    def close(self) -> None:
        if self._looking is not None:
            self._looking.cancel()
        for run in (*self.runs.values(), *self.leaving):
            run.close()

    def status(self) -> dict[str, Any]:
        return {
            **self.counters,
            "ages": len(self._ages),
            "pools": [run.status() for run in (*self.runs.values(), *self.leaving)],
        }


class _Held:
    """One request at a pool, and the caller that its node sees."""

    __slots__ = ("_chosen", "_pools", "began", "caller", "name", "run")

    def __init__(
        self, pools: Pools, run: PoolRun, name: str, caller: Caller, began: int, chosen: Chosen
    ) -> None:
        self._pools, self.run, self.name, self.caller, self.began = pools, run, name, caller, began
        self._chosen = chosen

    def answer(self, reply: Reply) -> None:
        self._pools._forget(self)
        if reply.possible_executions:
            reply.possible_executions = [with_pool(one, self.run.name) for one in reply.possible_executions]
        self.caller.answer(reply)
        self._pools._told(reply.status, self._chosen)
