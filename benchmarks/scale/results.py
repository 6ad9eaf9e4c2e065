"""What one run found, as it is written to the results file."""

from __future__ import annotations

import msgspec

CALM_STALL_MS = 250.0


class RoleLoad(msgspec.Struct, frozen=True):
    """One process of a role over a span, a second where nothing else is said.

    For a replica "core" is what goes between replicas, and the rest what goes to followers and from them.
    Of the hollow proxies it is the mean of one proxy.  Messages are segments with data.
    """

    role: str
    cpu: float  # processor seconds a second
    peak_mb: float
    followers: int = 0
    messages_out: float = 0.0
    messages_in: float = 0.0
    bytes_out: float = 0.0
    bytes_in: float = 0.0
    core_messages_out: float = 0.0
    core_messages_in: float = 0.0
    core_bytes_out: float = 0.0
    core_bytes_in: float = 0.0
    commits: float = 0.0  # each a sync of the disk
    waited: float = 0.0  # of a replica: seconds ready to run without a core, over all threads


class Rest(msgspec.Struct, frozen=True):
    """Nothing is asked.  A run with a stall above some 250 ms, or with suspects, measured its own hollow
    processes too: their proxies are late because they share a loop."""

    roles: tuple[RoleLoad, ...]
    datagrams_in: float  # a second, to one hollow proxy
    longest_stall_ms: float  # of any hollow process
    suspected: int  # machines, at the end


class News(msgspec.Struct, frozen=True):
    """Orders one after the other, each of one route.  Milliseconds of each: from its sending until it was
    acknowledged, and from there until the last hollow proxy had it (below 0: before that)."""

    acknowledged_ms: tuple[float, ...]
    last_proxy_ms: tuple[float, ...]
    roles: tuple[RoleLoad, ...]  # over the whole span
    changes_per_s: float


class Claims(msgspec.Struct, frozen=True):
    at_once: int
    per_s: float
    p50_ms: float
    p99_ms: float
    refused: int
    unanswered: int
    roles: tuple[RoleLoad, ...]
    live_keys: int
    disk_mb: float
    memory_mb: float  # resident by now, of the head


class Start(msgspec.Struct, frozen=True):
    """All hollow proxies begin at once with nothing known.  `late`: that knew too little in time."""

    first_ms: float
    last_ms: float  # until each knew every upstream
    late: int
    replicas_cpu_s: tuple[float, ...]
    hollow_cpu_s: float  # of one
    bytes_each: float  # to one follower
    longest_stall_ms: float  # of any hollow process


class Suspicion(msgspec.Struct, frozen=True):
    """A hollow proxy ends without a word: until the first and the last of the others took it for silent."""

    first_ms: tuple[float, ...]
    last_ms: tuple[float, ...]
    late: int


class Run(msgspec.Struct, frozen=True):
    proxies: int
    replicas: int
    real_proxies: int
    hollow_processes: int
    repeat: int
    late_ms: float  # after which a hollow proxy suspects another
    epoch: int  # of the view at the end: 1 to begin with, and one more for each change of members
    sync_ms: tuple[float, float]  # of the replicas' disk before it: the median and the 99th in 100
    load_average: float  # of the machine, at its start: it is shared
    seconds: float
    start: Start
    restart: Start
    rest: Rest
    news: News
    single_claims: Claims
    most_claims: Claims
    suspicion: Suspicion

    @property
    def calm(self) -> bool:
        """Whether the hollow processes kept up at rest: else the run measured them."""
        return self.rest.suspected == 0 and self.rest.longest_stall_ms < CALM_STALL_MS


class Results(msgspec.Struct, frozen=True):
    commit: str
    machine: str
    command: str
    runs: tuple[Run, ...]
    failed: tuple[str, ...] = ()  # runs that did not come to their end, and why
