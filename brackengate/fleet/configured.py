"""What an instance has in place of a single node where routes and pools come in versions."""

from __future__ import annotations

import logging
import random
from typing import Any

from brackengate.cells import setup as cells
from brackengate.cells.keeper import Keeper, Maps
from brackengate.fleet import control
from brackengate.installation import settings as derived
from brackengate.installation.reading import BadFile, Fault
from brackengate.installation.schema import File
from brackengate.net.environment import Environment
from brackengate.net.node import Clock
from brackengate.net.observer import Observer
from brackengate.net.sockets import SocketBudget
from brackengate.routing import setup as routing
from brackengate.routing.feed import Feed
from brackengate.routing.pools import CellTerms, Pools
from brackengate.snapshot.model import Snapshot, builtins, make
from brackengate.versions.carrier import Versions
from brackengate.versions.rollout import Rollout, RolloutSettings
from brackengate.versions.store import State, Store, Version

log = logging.getLogger("brackengate")


def xds_setup() -> Any:
    """The package of xDS.  BadFile where its libraries are not installed: they are an extra."""
    try:
        from brackengate.xds import setup
    except ImportError as error:
        what = f'"xds" needs grpcio and xds-protos (pip install "brackengate[xds]"): {error}'
        raise BadFile("the installation file", [Fault("versions.source", what)]) from None
    return setup


class Configured:
    """Pools, the version store and its source."""

    def __init__(
        self,
        file: File,
        slot: int,
        clock: Clock,
        budget: SocketBudget,
        observer: Observer,
        ground: Environment | None = None,
        maps: Maps | None = None,
    ) -> None:
        """`maps`: the source of maps of cells, in place of the file that `cells.file` names."""
        ground = ground or Environment.for_this_machine()
        told, self._source = file.versions, file.versions.source
        name = f"{file.installation.name}-{file.fleet.first_number + slot}"
        rollout_settings = RolloutSettings(
            jitter_us=int(told.jitter),
            canary_share=told.canary,
            canary_time_us=int(told.canary_time),
            min_answers=told.canary_least,
            max_failure_increase=told.canary_more,
        )
        self._terms = cells.terms(file)
        self._keeper: Maps | None = None
        store = Store(
            tuple(file.class_),
            Rollout(rollout_settings, name),
            told.history,
            told.backwards == "accept",
            lambda now, old, new: cells.change(now, old, new, self._terms),
        )
        self.pools = Pools(
            derived.settings(file), clock, budget, observer, None, told.new_pools == "warm", ground
        )
        self.versions = Versions(
            store,
            self.pools,
            clock,
            file.installation.name,
            slot,
            told.folder,
            int(told.save_every),
            ground.loop,
        )
        self.pools.on_answer = self.versions.record_answer
        self.route_of = routing.route_of(file, self.pools)
        self.feed = Feed(clock, self._listed)
        self._clock = clock
        self._base: Snapshot = routing.snapshot(file)
        if file.cells.file:
            every_s = file.cells.check_every / 1e6
            keeper: Maps = maps or Keeper(file.cells.file, every_s, clock)
            keeper.changed, self._keeper = self._cells_read, keeper
            self.pools.cells = CellTerms(
                file.cells.by, self._terms, lambda: keeper.confirmed, lambda: keeper.epoch
            )
        self._files, self._list_version = 0, 0
        self._client: Any = None
        if self._source == "xds":
            rng = random.Random(ground.rng.getrandbits(64))
            self._client = xds_setup().client(file, slot, clock, self.versions.offer, rng)
            self.versions.on_verdict = self._verdict

    def start(self, file: File) -> None:
        """Begin: with what was last good where the source may be out of reach, with the file itself else."""
        if self._keeper is not None:
            self._keeper.start()
        if self._source == "file":
            self.read(file)
            return
        log.info("routes and pools: %s", self.versions.recover())
        self._client.start()

    def read(self, file: File) -> None:
        """The file, at the start and on each reload: where nothing changed, nothing is done."""
        if self._source == "file":
            self._base = routing.snapshot(file)
            self._files += 1
            self._offer()

    def _listed(self, version: int) -> None:
        self._list_version = version
        if self._files:
            self._offer()

    def _offer(self) -> None:
        label = f"file {self._files}" + (f" list {self._list_version}" if self._list_version else "")
        if self._keeper is not None:
            if self._keeper.told is None:
                return  # without a map nobody may be sent anywhere
            self._base = make(self._base.pools, self._base.routes, self._keeper.told)
            label += f" cells {self._keeper.epoch}"
        snapshot = self.feed.lay(self._base)
        self.versions.offer(label, "file", snapshot, self._clock.now())

    def _cells_read(self) -> None:
        """A map that was not there before."""
        if self._files:
            self._offer()

    def _verdict(self, version: Version, reasons: tuple[str, ...]) -> None:
        """What was taken is acknowledged already; that a version was left again is told late."""
        if version.state is State.REVERTED and version.source.startswith("xds"):
            self._client.returned(reasons)

    async def close(self) -> None:
        if self._keeper is not None:
            self._keeper.close()
        if self._client is not None:
            await self._client.close()
        await self.versions.close()
        self.pools.close()

    # --- for operators

    def why_not_ready(self) -> str:
        """What is still to come before anything can be served; empty where nothing is."""
        if self.pools.table is None:
            if self._keeper is not None and self._keeper.told is None:
                return f"no map of cells: {self._keeper.why}"
            if self._client is None:
                return "no version was taken"
            told = self._client.status()
            waits = ", ".join(told["waits_for"])
            return f"no routes yet: {told['why'] or 'connected'}; waits for {waits or 'the first version'}"
        return "" if self.pools.can_serve() else "no pool has an upstream that serves"

    def ask(self, request: control.Request) -> dict[str, Any]:
        """`config` commands: an answer, with "error" where it can't be done."""
        versions = self.versions
        match request:
            case control.Rollback(name):
                why = versions.rollback(name)
                return {"error": why} if why else {"text": f"in use and pinned: {versions.in_use()}"}
            case control.Release():
                why = versions.release()
                return {"error": why} if why else {"text": f"in use: {versions.in_use()}"}
            case control.Difference(one, other):
                return versions.difference(one, other)
            case control.Show(name):
                version = versions.store.find(name) if name else versions.store.in_use
                if version is None:
                    return {"error": f"no version {name!r} is held" if name else "no version is in use"}
                in_use = version is versions.store.in_use
                snapshot = versions.store.active if in_use else version.snapshot
                told = {"label": version.label, "digest": version.digest, "state": version.state.value}
                return told | builtins(snapshot)
        return {"error": "not a request about versions"}

    def status(self) -> dict[str, Any]:
        told: dict[str, Any] = {
            "versions": self.versions.status(),
            "pools": self.pools.status(),
            "not_ready": self.why_not_ready(),
        }
        if self._client is not None:
            told["xds"] = self._client.status()
        if self._keeper is not None:
            told["cells"] = self._keeper.status()
        return told
