"""Documents by their hash: those that clients register as they go, and a manifest of trusted ones.  Pure.

The automatic protocol: `extensions.persistedQuery` = {"version": 1, "sha256Hash": ...}; with the text it is
registered, without it is looked up, and `PersistedQueryNotFound` asks the client to send the text.
"""

from __future__ import annotations

import hashlib
import re
from collections import OrderedDict
from collections.abc import Collection, Mapping

from brackengate.graphql.errors import Refused

HASH = re.compile(r"[0-9a-f]{64}")
OVERHEAD = 200  # bytes an entry takes beside its text


class Store:
    """What clients registered, the latest used, in bytes by tenant: nobody's flood takes another's place.

    Tenants that are not named share one part, so that made-up names gain nothing.  The manifest is apart.
    """

    def __init__(
        self,
        manifest: Mapping[str, str] | None = None,
        only_trusted: bool = False,
        tenants: Collection[str] = (),
        max_bytes: int = 4 << 20,
    ) -> None:
        self._manifest, self._only_trusted = dict(manifest or {}), only_trusted
        self._tenants = frozenset(tenants)
        self._part = max_bytes // (len(self._tenants) + 1)
        self._kept: dict[str, OrderedDict[str, str]] = {}
        self._bytes: dict[str, int] = {}
        self.registered = self.found = self.missed = self.forgotten = 0

    def bytes(self) -> int:
        return sum(self._bytes.values())

    def document(self, tenant: str, sha256: str, text: str | None) -> str:
        """The text of a request that names a hash; `Refused` where it has none, or one that does not fit."""
        if not HASH.fullmatch(sha256):
            raise Refused("PERSISTED_QUERY_HASH_INVALID", "sha256Hash is not 64 hexadecimal digits")
        if text is None:
            return self._look_up(tenant, sha256)
        if digest(text) != sha256:
            raise Refused("PERSISTED_QUERY_HASH_MISMATCH", "sha256Hash is not that of the query")
        self.check_trusted(text, sha256)
        if sha256 not in self._manifest:
            self._register(self._bucket(tenant), sha256, text)
        return text

    def check_trusted(self, text: str, sha256: str = "") -> None:
        if self._only_trusted and (sha256 or digest(text)) not in self._manifest:
            raise Refused("DOCUMENT_NOT_TRUSTED", "only documents of the manifest are served", 403)

    def _look_up(self, tenant: str, sha256: str) -> str:
        trusted = self._manifest.get(sha256)
        if trusted is not None:
            self.found += 1
            return trusted
        mine = self._kept.get(self._bucket(tenant), OrderedDict[str, str]())
        text = mine.get(sha256)
        if text is None:
            self.missed += 1
            # The client's second try brings the text: this code and message are the protocol's own.
            raise Refused("PERSISTED_QUERY_NOT_FOUND", "PersistedQueryNotFound", 200)
        mine.move_to_end(sha256)
        self.found += 1
        return text

    def _register(self, bucket: str, sha256: str, text: str) -> None:
        size = len(text.encode()) + OVERHEAD
        if size > self._part:
            return
        mine = self._kept.setdefault(bucket, OrderedDict())
        if sha256 in mine:
            mine.move_to_end(sha256)
            return
        mine[sha256] = text
        self.registered += 1
        total = self._bytes.get(bucket, 0) + size
        while total > self._part:
            _, gone = mine.popitem(last=False)
            total -= len(gone.encode()) + OVERHEAD
            self.forgotten += 1
        self._bytes[bucket] = total

    def _bucket(self, tenant: str) -> str:
        return tenant if tenant in self._tenants else ""


def digest(text: str) -> str:
    try:
        return hashlib.sha256(text.encode()).hexdigest()
    except UnicodeEncodeError:
        raise Refused("GRAPHQL_PARSE_FAILED", "the document holds a lone surrogate") from None


def read_manifest(told: object) -> dict[str, str]:
    """A manifest: an object of hash to text, or {"operations": [{"id": ..., "body": ...}]}; ValueError."""
    if isinstance(told, dict) and isinstance(told.get("operations"), list):
        try:
            pairs = {row["id"]: row["body"] for row in told["operations"]}
        except (TypeError, KeyError):
            raise ValueError("an operation has no 'id' or no 'body'") from None
    elif isinstance(told, dict):
        pairs = told
    else:
        raise ValueError("expected an object of sha256 to document")
    for sha256, text in pairs.items():
        if not isinstance(sha256, str) or not HASH.fullmatch(sha256):
            raise ValueError(f"not a sha256 in hexadecimal: {sha256!r:.80}")
        if not isinstance(text, str) or hashlib.sha256(text.encode("utf-8", "replace")).hexdigest() != sha256:
            raise ValueError(f"the document under {sha256} has another hash")
    return pairs
