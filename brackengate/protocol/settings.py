"""The settings file of one process: read, checked, and turned into what the roles use."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any

import msgspec

from brackengate.installation.units import duration
from brackengate.net.sockets import Address, parse_address

SETTINGS_VARIABLE = "BRACKENGATE_NODE_FILE"


class InvalidSettings(Exception):
    """One line: the file, the key and what is allowed."""


class DurationUs(int):
    """Whole microseconds, written in the file as a number with its unit."""


class HostPort(tuple[str, int]):
    """An address, written in the file as host:port."""


class Listen(msgspec.Struct, rename="pascal", frozen=True):
    inbound: HostPort | None = None
    outbound: HostPort | None = None
    readiness: HostPort | None = None
    control: HostPort | None = None


class Limits(msgspec.Struct, rename="pascal", frozen=True):
    memory_mb: int = 256
    file_limit: int = 1024
    disk_mb: int = 0


class Tolerance(msgspec.Struct, rename="pascal", frozen=True):
    """What may be lost at the same time with nothing acknowledged gone."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


def _seconds(seconds: float) -> DurationUs:
    return DurationUs(round(seconds * 1e6))


class Bounds(msgspec.Struct, rename="pascal", frozen=True):
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
    """Fields that are not known are left alone: others may be added to the file at any time."""

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
        """Where lighthouses hear each other and the pilots; the same on all machines."""
        return self.internal_ports[0]

    @property
    def min_replicas(self) -> int:
        """Disks that hold a write before it is acknowledged."""
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
    """Read the file's text; `InvalidSettings` names the key and what is allowed."""
    try:
        table = tomllib.loads(text)
        return msgspec.convert(table, Settings, dec_hook=_decode_value)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, ValueError) as error:
        raise InvalidSettings(f"{source}: {error}") from None


def load(path: str) -> Settings:
    """`InvalidSettings` also where it can't be read."""
    try:
        text = Path(path).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidSettings(f"{path}: {error}") from None
    return parse(text, path)


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
    """What a role can't do without; an exception group of `InvalidSettings` names all that is missing."""
    missing: list[InvalidSettings] = []
    for key in needed:
        held: Any = settings
        for part in key.split("."):
            held = getattr(held, re.sub(r"(?<!^)(?=[A-Z])", "_", part).lower())
        if not held:
            missing.append(InvalidSettings(f"{source}: {key} is missing; this role needs it"))
    if settings.internal_ports[0] < 1 or settings.internal_ports[1] < settings.internal_ports[0]:
        missing.append(InvalidSettings(f"{source}: InternalPorts must be two ports, the lower one first"))
    if missing:
        raise ExceptionGroup("settings", missing)


def required_address(address: HostPort | None, key: str) -> Address:
    """An address that a role cannot do without."""
    if address is None:
        raise InvalidSettings(f"Listen.{key} is missing; this role needs it")
    return address[0], address[1]
