"""What an item of the operator's says, however it is written.  Pure.

Two items are equal where their JSON means the same value (key order, spacing, escapes, 1 and 1.0), their
times are equal (`1500ms` and `1.5s`), and their hosts are equal but for the case of letters.  Nothing else
is made equal: a value that is left out differs from its default, and the order of a list counts.  `Revision`
is left out, as it is what contents are compared under.

Digests are kept on disk: a change of what is equal here makes orders that were acknowledged before it
conflict when they are sent again.
"""

from __future__ import annotations

import base64
import hashlib
from typing import Any

import msgspec

from brackengate.installation.units import exact_duration
from brackengate.protocol.config_items import Item

DIGEST_BYTES = 12
DURATION_KEYS = {"route": ("Cutoff", "Setpoint"), "limits": ("HeaderWait", "IdleCutoff")}


def digest(kind: str, item: Item) -> str:
    """16 characters of base64, equal for equal contents."""
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
    """Numbers that are equal are written alike; the encoder sees to keys and strings."""
    if isinstance(value, float) and value.is_integer():
        return int(value)
    if isinstance(value, dict):
        return {key: _normalized(one) for key, one in value.items()}
    if isinstance(value, list):
        return [_normalized(one) for one in value]
    return value


def _normalized_duration(value: Any) -> Any:
    """A text that is no time stays as it is."""
    try:
        return {"us": exact_duration(value)}
    except ValueError:
        return value
