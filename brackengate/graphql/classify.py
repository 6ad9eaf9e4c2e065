"""Document, operation name and variables -> class, key, cost.  Pure; never milder than what may run.

Strictness: unsafe over keyed over safe; among keyed ones the narrower scope, then the shorter memory.  A
mutation field that the table does not name is unsafe.  A keyed operation with no key is unsafe.
"""

from __future__ import annotations

import hashlib
import json
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from brackengate.graphql.analysis import Analysis, Limits, Operation, Root, analyse, may_run, resolve
from brackengate.graphql.errors import Refused
from brackengate.interface import Idempotency, KeyScope, RequestClass

SCOPES = {KeyScope.ALL: 0, KeyScope.ZONE: 1, KeyScope.CELL: 2}
RANKS = {Idempotency.REPEATABLE: 0, Idempotency.KEYED: 1, Idempotency.UNSAFE: 2}
MAX_KEY = 256


@dataclass(frozen=True, slots=True)
class FieldRule:
    """What the table says of one root field; `key`: where its key stands, as `input.kljuc`."""

    class_name: str
    key: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Table:
    """The `graphql` section, as far as classes go.

    `query`: for queries whose fields the table does not name; safe.  `unnamed`: for mutations that are unsafe
    for want of a name or key; unsafe.
    """

    classes: Mapping[str, RequestClass]
    query: str
    unnamed: str
    queries: Mapping[str, FieldRule]
    mutations: Mapping[str, FieldRule]


@dataclass(frozen=True, slots=True)
class Verdict:
    class_name: str
    key: str  # empty: none
    cost: int
    type: str
    operation: str
    why: tuple[str, ...]


def strictness(cls: RequestClass) -> tuple[int, int, int]:
    """Comparable: the greater, the less may be done again."""
    return RANKS[cls.idempotency], SCOPES[cls.key_scope], -cls.key_memory


class Classifier:
    """Keeps analyses by the document's text, the latest used, bounded in bytes."""

    def __init__(self, table: Table, limits: Limits, cache_bytes: int = 4 << 20) -> None:
        self.table, self.limits = table, limits
        self._cache_bytes = cache_bytes
        self._kept: OrderedDict[str, Analysis] = OrderedDict()
        self.weight = self.hits = self.misses = 0

    def analyse(self, document: str) -> Analysis:
        found = self._kept.get(document)
        if found is not None:
            self.hits += 1
            self._kept.move_to_end(document)
            return found
        self.misses += 1
        made = analyse(document, self.limits)
        if made.weight <= self._cache_bytes // 4:
            self._kept[document] = made
            self.weight += made.weight
            while self.weight > self._cache_bytes:
                _, gone = self._kept.popitem(last=False)
                self.weight -= gone.weight
        return made

    def classify(
        self,
        document: str,
        operation_name: str | None = None,
        variables: Mapping[str, Any] | None = None,
        header_key: str = "",
        tenant: str = "",
    ) -> Verdict:
        """The class of what would run; `Refused` where that cannot be told, or is not served."""
        analysis = self.analyse(document)
        operation = choose(analysis, operation_name)
        if operation.type == "subscription":
            raise Refused("SUBSCRIPTION_NOT_SUPPORTED", "subscriptions are not served here")
        given = dict(variables or {})
        if operation.type == "query":
            return self._query(operation, given)
        return self._mutation(operation, given, header_key, tenant)

    def _query(self, operation: Operation, variables: dict[str, Any]) -> Verdict:
        table, why = self.table, list[str]()
        classes: list[RequestClass] = []
        for root in operation.roots:
            if may_run(root, operation, variables):
                rule = table.queries.get(root.name)
                classes.append(table.classes[rule.class_name if rule else table.query])
                if rule is not None:
                    why.append(f"query.{root.name}: {rule.class_name}")
        strictest = max(classes, key=strictness, default=table.classes[table.query])
        why = why or [f"a query: {strictest.name}"]
        if strictest.idempotency is Idempotency.KEYED:  # a query has no key
            strictest = table.classes[table.unnamed]
            why.append(f"keyed, and queries have no key: {strictest.name}")
        return Verdict(strictest.name, "", operation.cost, "query", operation.name, tuple(why))

    def _mutation(
        self, operation: Operation, variables: dict[str, Any], header_key: str, tenant: str
    ) -> Verdict:
        table, why = self.table, list[str]()
        unnamed = table.classes[table.unnamed]
        strictest: RequestClass | None = None
        keyed: list[tuple[Root, FieldRule]] = []
        for root in operation.roots:
            if root.name == "__typename":
                continue
            if not may_run(root, operation, variables):
                why.append(f"mutation.{root.name}: taken out by a directive")
                continue
            rule = table.mutations.get(root.name)
            cls = table.classes[rule.class_name] if rule else unnamed
            why.append(
                f"mutation.{root.name}: {cls.name}" + ("" if rule else " (the table does not name it)")
            )
            if rule is not None and cls.idempotency is Idempotency.KEYED:
                keyed.append((root, rule))
            strictest = cls if strictest is None else max(strictest, cls, key=strictness)
        if strictest is None:
            why.append(f"no field that the table could name: {unnamed.name}")
            strictest = unnamed
        key = ""
        if strictest.idempotency is Idempotency.KEYED:
            key = self._key(operation, variables, keyed, header_key, tenant, why)
            if not key:
                why.append(f"keyed, and no key was found: {unnamed.name}")
                strictest = unnamed
        return Verdict(strictest.name, key, operation.cost, "mutation", operation.name, tuple(why))

    def _key(
        self,
        operation: Operation,
        variables: dict[str, Any],
        keyed: list[tuple[Root, FieldRule]],
        header_key: str,
        tenant: str,
        why: list[str],
    ) -> str:
        """The header's, for all of the operation; else that of the one declared input field.

        With several keyed fields there is one key only if the header gives it: upstream sees one a request.
        """
        if header_key:
            why.append("key from Idempotency-Key")
            return header_key
        if len(keyed) != 1 or not keyed[0][1].key:
            return ""
        root, rule = keyed[0]
        first, *rest = rule.key
        value = resolve(root.arguments.get(first), operation, variables)
        for name in rest:
            value = resolve(value.get(name), operation, variables) if isinstance(value, dict) else None
        if isinstance(value, bool) or not isinstance(value, str | int):
            return ""
        text = str(value)
        if not 0 < len(text) <= MAX_KEY:
            return ""
        why.append(f"key from {root.name}({'.'.join(rule.key)})")
        told = json.dumps([tenant, root.name, text]).encode()
        return hashlib.sha256(told).hexdigest()[:40]


def choose(analysis: Analysis, name: str | None) -> Operation:
    """The operation that runs (GraphQL specification, section 6.1, GetOperation).

    An empty name is none to some readers and a name to others, so it will do only where it does not matter.
    """
    operations = analysis.operations
    if name is None or (name == "" and len(operations) == 1 and not operations[0].name):
        if len(operations) > 1:
            raise Refused("OPERATION_NAME_MISSING", "the document has several operations; name one")
        return operations[0]
    for operation in operations:
        if name and operation.name == name:
            return operation
    raise Refused("OPERATION_NOT_FOUND", f"the document has no operation {name!r}")
