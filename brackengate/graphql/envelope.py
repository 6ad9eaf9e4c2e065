"""The request around a document: JSON body or query string to parameters.  Pure, and strict.

GraphQL over HTTP (draft of the GraphQL foundation), sections 5 and 6.  What an upstream could read otherwise
is refused: a key that stands twice (after unescaping, at any depth), or a reserved key in other letter case,
which some JSON readers take for the same.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any, NoReturn
from urllib.parse import parse_qsl

from brackengate.graphql.errors import Refused

RESERVED = ("query", "operationName", "variables", "extensions")
_FOLDED = {name.casefold(): name for name in RESERVED}


@dataclass(frozen=True, slots=True)
class Params:
    """One operation as asked for.  `query` is None where only a hash is sent."""

    query: str | None
    operation_name: str | None = None
    variables: dict[str, Any] = field(default_factory=dict)
    extensions: dict[str, Any] = field(default_factory=dict)

    @property
    def sha256(self) -> str | None:
        """The hash of the automatic protocol; None where it is not used."""
        told = self.extensions.get("persistedQuery")
        if told is None:
            return None
        if (
            not isinstance(told, dict)
            or told.get("version") != 1
            or not isinstance(told.get("sha256Hash"), str)
        ):
            raise Refused("PERSISTED_QUERY_NOT_SUPPORTED", "persistedQuery takes version 1 and sha256Hash")
        sha256: str = told["sha256Hash"]
        return sha256

    def as_json(self, query: str) -> bytes:
        """A body with the text filled in."""
        told: dict[str, Any] = {"query": query}
        if self.operation_name is not None:
            told["operationName"] = self.operation_name
        if self.variables:
            told["variables"] = self.variables
        if self.extensions:
            told["extensions"] = self.extensions
        return json.dumps(told).encode()


@dataclass(frozen=True, slots=True)
class Envelope:
    items: tuple[Params, ...]
    batch: bool


def from_body(body: bytes, batch_most: int) -> Envelope:
    """A POST's JSON; `batch_most` 0: arrays are refused."""
    try:
        text = body.decode("utf-8")
    except UnicodeDecodeError as error:
        raise Refused("BAD_REQUEST", f"the body is not UTF-8: byte {error.start}") from None
    told = _json(text, "the body")
    if isinstance(told, list):
        if not batch_most:
            raise Refused("BATCHING_NOT_SUPPORTED", "arrays of operations are not taken here")
        if not 0 < len(told) <= batch_most:
            raise Refused("BATCH_TOO_LARGE", f"an array holds 1 to {batch_most} operations, not {len(told)}")
        return Envelope(tuple(_params(item) for item in told), True)
    return Envelope((_params(told),), False)


def from_query_string(raw: bytes) -> Envelope:
    """A GET's parameters; variables and extensions are JSON."""
    try:
        pairs = parse_qsl(
            raw.decode("ascii"), keep_blank_values=True, encoding="utf-8", errors="strict", max_num_fields=64
        )
    except (UnicodeDecodeError, ValueError):
        raise Refused("BAD_REQUEST", "the query string cannot be read") from None
    told: dict[str, Any] = {}
    for name, value in pairs:
        if name in told or (name not in RESERVED and name.casefold() in _FOLDED):
            raise Refused("BAD_REQUEST", f"the parameter {name!r:.40} stands twice, or in other letter case")
        told[name] = value
    for name in ("variables", "extensions"):
        if name in told:
            told[name] = _json(told[name], name) if told[name] else None
    return Envelope((_params({name: told[name] for name in RESERVED if name in told}),), False)


def names_parameters(raw: bytes) -> bool:
    """Whether a POST's query string holds what some readers take in place of the body's."""
    try:
        pairs = parse_qsl(raw.decode("latin-1"), keep_blank_values=True, max_num_fields=64)
    except ValueError:
        return True
    return any(name.casefold() in _FOLDED for name, _ in pairs)


def _json(text: str, what: str) -> Any:
    try:
        return json.loads(text, object_pairs_hook=_once, parse_constant=_no_constant)
    except (ValueError, RecursionError) as error:
        raise Refused("BAD_REQUEST", f"{what}: not JSON: {error}"[:200]) from None


def _once(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    made = dict(pairs)
    if len(made) < len(pairs):
        raise Refused("BAD_REQUEST", "a key stands twice in one object")
    return made


def _no_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is no JSON")


def _params(told: Any) -> Params:
    if not isinstance(told, dict):
        raise Refused("BAD_REQUEST", "expected a JSON object with a query")
    for name in told:
        if name not in RESERVED and name.casefold() in _FOLDED:
            right = _FOLDED[name.casefold()]
            raise Refused("BAD_REQUEST", f"the key {name!r:.40}: some take it for {right!r}; write that")
    query, operation = told.get("query"), told.get("operationName")
    variables, extensions = told.get("variables"), told.get("extensions")
    if query is not None and not isinstance(query, str):
        raise Refused("BAD_REQUEST", "query is not a string")
    if operation is not None and not isinstance(operation, str):
        raise Refused("BAD_REQUEST", "operationName is not a string")
    if variables is not None and not isinstance(variables, dict):
        raise Refused("BAD_REQUEST", "variables is not an object")
    if extensions is not None and not isinstance(extensions, dict):
        raise Refused("BAD_REQUEST", "extensions is not an object")
    params = Params(query, operation, variables or {}, extensions or {})
    if query is None and params.sha256 is None:
        raise Refused("BAD_REQUEST", "query is missing")
    return params
