"""The platform's configuration: RELAY_* environment variables and the JSON file that they name."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from brackengate.interface import Settings
from brackengate.net.discovery import InvalidEndpointList, parse_endpoint_list
from brackengate.net.sockets import Address, parse_address
from brackengate.platform import wire


class BadConfig(ValueError):
    """The configuration is missing or invalid."""


@dataclass(frozen=True, slots=True)
class Config:
    """Configuration of the balancer process."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory_mb: int
    known: Any  # the upstream list to start with, as the discovery service sends it
    settings: Settings
    admin: Address | None = None  # where operators connect; older configurations have none
    listen_fd: int | None = None  # an inherited listening socket


def load_config(environ: dict[str, str]) -> Config:
    """Read the configuration file; name and addresses in the environment take precedence over it."""
    admin_name = "RELAY_ADMIN" if environ.get("RELAY_ADMIN") else "admin"
    descriptor = environ.get("RELAY_LISTEN_FD") or ""
    if descriptor and not (descriptor.isascii() and descriptor.isdigit()):
        raise BadConfig(f"RELAY_LISTEN_FD is not the number of a descriptor: {descriptor[:80]!r}")
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise BadConfig("RELAY_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except OSError as error:
        raise BadConfig(f"cannot read {path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise BadConfig(f"{path} is not JSON: {error}") from None
    if not isinstance(document, dict):
        raise BadConfig(f"{path} does not hold an object")
    try:
        if not isinstance(document["settings"], dict) or not document["settings"].get("Classes"):
            raise BadConfig(f"{path}: 'settings' names no classes")
        known = document.get("known") or {"index": 0, "snapshot": True, "endpoints": []}
        parse_endpoint_list(known)
        admin = environ.get("RELAY_ADMIN") or document.get("admin")
        return Config(
            name=environ.get("RELAY_NAME") or str(document.get("name", "")),
            listen=parse_address(environ.get("RELAY_LISTEN") or str(document["listen"])),
            discovery=parse_address(environ.get("RELAY_DISCOVERY") or str(document["discovery"])),
            seed=int(str(document.get("seed") or "0"), 16),
            sockets=int((document.get("limits") or {}).get("sockets") or 1024),
            memory_mb=int((document.get("limits") or {}).get("memory_mb") or 2048),
            known=known,
            settings=wire.settings(json.dumps(document["settings"])),
            admin=_admin(str(admin), admin_name) if admin else None,
            listen_fd=int(descriptor) if descriptor else None,
        )
    except KeyError as error:
        raise BadConfig(f"{path}: {error} is missing") from None
    except InvalidEndpointList as error:
        raise BadConfig(f"{path}: 'known': {error}") from None
    except wire.WireError as error:
        reason = str(error).partition(": ")[2]
        raise BadConfig(f"{path}: settings: {reason}") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise BadConfig(f"{path}: {error}") from None


def _admin(text: str, name: str) -> Address:
    try:
        return parse_address(text)
    except ValueError as error:
        raise ValueError(f"{name}: {error}") from None
