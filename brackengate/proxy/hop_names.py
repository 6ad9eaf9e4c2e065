"""Names of upstreams, routes and services in the hop header.  Pure.

The operator and the upstreams choose names, and no letter or length is ruled out; a header field holds
visible characters and has to stay short.  So a name is percent-encoded, and one that is too long for that is
represented by its digest.  The receiver compares names by `name_after_hop`, which gives what arrives.
"""

from __future__ import annotations

import hashlib
import string
from functools import lru_cache
from urllib.parse import quote, unquote_to_bytes

MAX_ENCODED_LENGTH = 200  # of a name in the header; two of them leave room in a head of 16 KiB
CACHED_NAMES = 2_048  # the routes and upstreams that a proxy sends to
NO_NAME = b"-"
DIGEST_MARK = "%~"  # begins no encoded name; a name that begins so is represented by its digest, too
DIGEST_BYTES = 16
_UNRESERVED = "".join(set(string.punctuation) - {"%"})  # sent as they are, with letters and digits


@lru_cache(CACHED_NAMES)
def encode_name(name: str) -> bytes:
    """The name as visible ASCII characters, `MAX_ENCODED_LENGTH` at most; `NO_NAME` for an empty one."""
    encoded = quote(name, _UNRESERVED).encode()
    if len(encoded) > MAX_ENCODED_LENGTH or name.startswith(DIGEST_MARK):
        digest = hashlib.blake2b(name.encode(), digest_size=DIGEST_BYTES)
        return (DIGEST_MARK + digest.hexdigest()).encode()
    if encoded == NO_NAME:
        return b"%2D"
    return encoded or NO_NAME


@lru_cache(CACHED_NAMES)
def decode_name(encoded: bytes) -> str:
    """The name, or `DIGEST_MARK` and its digest where only that was sent; empty for `NO_NAME`."""
    if encoded == NO_NAME:
        return ""
    if encoded.startswith(DIGEST_MARK.encode()):
        return encoded.decode("ascii", "replace")
    return unquote_to_bytes(encoded).decode("utf-8", "replace")


def name_after_hop(name: str) -> str:
    """What the receiver of a hop header reads where its sender has put this name."""
    return decode_name(encode_name(name))
