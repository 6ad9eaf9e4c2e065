"""Where an instance hears of its upstreams: the installation file itself, a watched file, or discovery.

All end in `Node.listed`.  Discovery proper is `brackengate.net.discovery`.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable

from brackengate import files
from brackengate.installation.reading import BadFile, load_upstreams
from brackengate.installation.schema import Upstream
from brackengate.installation.settings import listed
from brackengate.interface import ListKind
from brackengate.net.discovery import UpstreamListSink

log = logging.getLogger(__name__)


class StaticSource:
    """Rows by hand.

    Nothing tells when such an upstream started.  What was listed from the start counts as warm; what is
    added later, or comes back, as just started: an operator adds an upstream when it is new, and taking a
    warm one for cold costs some seconds of its share, the other way round its life.
    """

    def __init__(self, node: UpstreamListSink) -> None:
        self._node = node
        self._since: dict[str, int] = {}
        self._version = 0

    def put(self, rows: Iterable[Upstream]) -> None:
        """The whole list from now on."""
        rows, first = list(rows), self._version == 0
        now = 0 if first else self._node.clock.now()
        self._since = {row.name: self._since.get(row.name, now) for row in rows}
        self._version += 1
        made = [listed(row, self._since[row.name]) for row in rows]
        self._node.update_upstreams(ListKind.FULL, made, self._version)

    def watch(self, on: bool) -> None:
        """Nothing to ask: the list is pushed."""

    def close(self) -> None:
        pass


class FileSource(StaticSource):
    """A file that some other program keeps, looked at by its time, size and number.

    A bad one is told once and changes nothing.  Guards against a file half written: it is either no TOML, or
    a shorter list that is soon followed by another change; writers should write beside it and rename.
    """

    def __init__(self, node: UpstreamListSink, path: str, every_s: float) -> None:
        super().__init__(node)
        self.path, self._every_s = path, every_s
        self.turned_down = 0
        self._seen: tuple[int, ...] = ()
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self._look()

    def follow(self, path: str, every_s: float) -> None:
        """Another file, or another pace, from now on."""
        if path != self.path:
            self.path, self._seen = path, ()
        self._every_s = every_s
        self.close()
        self._look()

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _look(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(self._every_s, self._look)
        seen = files.mark(self.path)
        if seen == self._seen:
            return
        self._seen = seen
        try:
            self.put(load_upstreams(self.path).upstream)
        except BadFile as error:
            self.turned_down += 1
            log.error("the list of upstreams stays as it is: %s", error)
            return
        log.info("upstreams read from %s", self.path)
