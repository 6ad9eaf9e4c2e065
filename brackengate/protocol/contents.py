"""Digests of the operator's configuration items that do not depend on how an item is written.  No I/O.

Two items are equal if their JSON has the same value (regardless of key order, spacing, escapes, and 1 or
1.0), their durations are equal (`1500ms` and `1.5s`), and their hosts are equal but for the case of letters.
Nothing else is normalized: an omitted value differs from its default, and the order of a list counts.
`Revision` is excluded, since contents are compared per version.

Digests are stored on disk: if this normalization is changed, a configuration change that was acknowledged
before conflicts when it is sent again.
"""

from __future__ import annotations

import base64
import hashlib
from typing import Any

import msgspec

from brackengate.installation.units import exact_duration
from brackengate.protocol.config_items import Item

DIGEST_BYTES = 12
# By kind of item, the keys whose values are durations.
DURATION_KEYS = {"route": ("Cutoff", "Setpoint"), "limits": ("HeaderWait", "IdleCutoff")}


def digest(kind: str, item: Item) -> str:
    """Digest of an item's content: 16 characters of base64, equal for equal contents."""
    data = msgspec.json.encode(_content(kind, item), order="sorted")
    hashed = hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()
    return base64.urlsafe_b64encode(hashed).decode()


def _content(kind: str, item: Item) -> list[Any]:
    if item.body is None:
        return ["dropped"]
    body = {key: _normalized(value) for key, value in item.body.items() if key != "Revision"}
    for key in DURATION_KEYS.get(kind, ()):
        if key in body:
            body[key] = _normalized_duration(body[key])
    return ["set", item.host.lower(), body]


def _normalized(value: Any) -> Any:
    """Writes equal numbers alike; the encoder normalizes keys and strings."""
    if isinstance(value, float) and value.is_integer():
        return int(value)
    if isinstance(value, dict):
        return {key: _normalized(one) for key, one in value.items()}
    if isinstance(value, list):
        return [_normalized(one) for one in value]
    return value


def _normalized_duration(value: Any) -> Any:
    """A value that is not a duration stays unchanged."""
    try:
        return {"us": exact_duration(value)}
    except ValueError:
        return value
