"""The settings file of one process: reading, validation, and the values that the roles use."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any

import msgspec

from brackengate.http.rules import FIELD_VALUE_PATTERN
from brackengate.installation.units import duration
from brackengate.net.sockets import Address, parse_address

SETTINGS_VARIABLE = "BRACKENGATE_NODE_FILE"  # environment variable with the path of the file


class InvalidSettings(Exception):
    """A setting is missing or invalid.  One line: the file, the key and what is allowed."""


class DurationUs(int):
    """Whole microseconds; in the file, a number with its unit."""


class HostPort(tuple[str, int]):
    """An address; in the file, `host:port`."""


class Listen(msgspec.Struct, rename="pascal", frozen=True):
    """The addresses to listen at."""

    inbound: HostPort | None = None
    outbound: HostPort | None = None
    readiness: HostPort | None = None
    control: HostPort | None = None


class Limits(msgspec.Struct, rename="pascal", frozen=True):
    """Resource limits of the process."""

    memory_mb: int = 256
    file_limit: int = 1024
    disk_mb: int = 0


class Tolerance(msgspec.Struct, rename="pascal", frozen=True):
    """How many failures at the same time may lose nothing that was acknowledged."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


def _seconds(seconds: float) -> DurationUs:
    return DurationUs(round(seconds * 1e6))


class Bounds(msgspec.Struct, rename="pascal", frozen=True):
    """Time limits and retry limits."""

    contact: DurationUs = _seconds(3)
    ack: DurationUs = _seconds(4)
    settling: DurationUs = _seconds(4)
    drain: DurationUs = _seconds(2)
    grace: DurationUs = _seconds(6)
    apply_time: DurationUs = msgspec.field(name="Apply_time", default=_seconds(2))
    retry_ratio: float = 0.2
    retry_window: DurationUs = _seconds(10)
    retry_slack: float = 10.0
    dedupe_window: DurationUs = _seconds(60)
    reuse_delay: DurationUs = _seconds(2)


class Settings(msgspec.Struct, rename="pascal", frozen=True):
    """All settings of a process.  Unknown keys are ignored: others may be added to the file at any time."""

    ip: str
    node: str = ""
    zone: str = ""
    region: str = ""
    internal_ports: tuple[int, int] = (0, 0)
    seeds: tuple[HostPort, ...] = ()
    initial_start: bool = False
    counted: bool = False
    data_dir: str = ""
    feedback: DurationUs = _seconds(1.5)
    application: HostPort | None = None
    plant: str = ""
    listen: Listen = Listen()
    limits: Limits = Limits()
    tolerance: Tolerance = Tolerance()
    bounds: Bounds = Bounds()

    @property
    def control_plane_port(self) -> int:
        """Port at which control replicas accept each other and proxies; the same on all machines."""
        return self.internal_ports[0]

    @property
    def min_replicas(self) -> int:
        """The number of disks that must hold a write before it is acknowledged."""
        return self.tolerance.machines + 1


def _decode_value(kind: type, value: Any) -> Any:
    if kind is DurationUs:
        return DurationUs(duration(value))
    if kind is HostPort:
        if not isinstance(value, str):
            raise ValueError("expected an address as host:port")
        return HostPort(parse_address(value))
    raise NotImplementedError(kind)


def parse(text: str, source: str = "settings") -> Settings:
    """Parses the text of a settings file; `InvalidSettings` names the key and what is allowed."""
    try:
        table = tomllib.loads(text)
        return msgspec.convert(table, Settings, dec_hook=_decode_value)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, ValueError) as error:
        raise InvalidSettings(f"{source}: {error}") from None


def load(path: str) -> Settings:
    """Reads and parses a settings file; `InvalidSettings` also if it can't be read."""
    try:
        text = Path(path).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidSettings(f"{path}: {error}") from None
    return parse(text, path)


# Keys without which a role cannot run.
PROXY_KEYS = (
    "Listen.Inbound",
    "Listen.Outbound",
    "Listen.Readiness",
    "Listen.Control",
    "Application",
    "Plant",
)
CONTROL_REPLICA_KEYS = ("Listen.Control", "DataDir")


def check_required(settings: Settings, needed: tuple[str, ...], source: str) -> None:
    """Checks that a role has the keys it needs; a group of `InvalidSettings` names all that are missing."""
    missing: list[InvalidSettings] = []
    for key in needed:
        value: Any = settings
        for part in key.split("."):  # the field of `DataDir` is `data_dir`
            value = getattr(value, re.sub(r"(?<!^)(?=[A-Z])", "_", part).lower())
        if not value:
            missing.append(InvalidSettings(f"{source}: {key} is missing; this role needs it"))
    if FIELD_VALUE_PATTERN.fullmatch(settings.plant.encode()) is None:  # upstreams get it in a header
        missing.append(InvalidSettings(f"{source}: Plant must have no control characters"))
    if settings.internal_ports[0] < 1 or settings.internal_ports[1] < settings.internal_ports[0]:
        missing.append(InvalidSettings(f"{source}: InternalPorts must be two ports, the lower one first"))
    if missing:
        raise ExceptionGroup("settings", missing)


def required_address(address: HostPort | None, key: str) -> Address:
    """The address of a listener that a role needs; `InvalidSettings` if it is not set."""
    if address is None:
        raise InvalidSettings(f"Listen.{key} is missing; this role needs it")
    return address[0], address[1]
