"""What of a document matters for its class: per operation its type and its root fields.  Pure.

No schema is known here, so whatever could apply does: type conditions are taken to hold, and a directive
counts only where every reader must read it in the same way.  A document that two readers could take
differently (two fragments or operations of one name) is refused.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from graphql import (
    BooleanValueNode,
    DirectiveNode,
    EnumValueNode,
    FieldNode,
    FragmentDefinitionNode,
    FragmentSpreadNode,
    GraphQLSyntaxError,
    InlineFragmentNode,
    IntValueNode,
    ListValueNode,
    ObjectValueNode,
    OperationDefinitionNode,
    SelectionSetNode,
    StringValueNode,
    ValueNode,
    VariableNode,
    parse,
)

from brackengate.graphql.errors import Refused


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on a document.  Parsing shares the loop with bids: see `benchmarks/graphql.py` for the time."""

    bytes: int = 16 << 10
    tokens: int = 1000
    depth: int = 16  # of selections, through fragments
    nesting: int = 64  # of brackets of any kind, before parsing: the parser calls itself
    aliases: int = 64
    root_fields: int = 32  # of one operation, through fragments
    directives: int = 64


@dataclass(frozen=True, slots=True)
class Variable:
    """A value that the request brings."""

    name: str


Value = Any  # None, bool, str, int, Variable, or a dict of these; what can be no key is None
Condition = tuple[bool, Value]  # whether the field is there if the value is true, and the value


@dataclass(frozen=True, slots=True)
class Root:
    """A root field that may be executed, on all of the conditions."""

    name: str
    conditions: tuple[Condition, ...]
    arguments: dict[str, Value]


@dataclass(frozen=True, slots=True)
class Operation:
    name: str
    type: str  # query, mutation, subscription
    roots: tuple[Root, ...]
    defaults: dict[str, Value]  # of its variables
    cost: int  # selections that may be executed, fragments counted where they are spread


@dataclass(frozen=True, slots=True)
class Analysis:
    operations: tuple[Operation, ...]
    weight: int  # bytes that it takes in memory, roughly


# Strings, block strings and comments hide brackets; the alternatives never overlap, so this is linear.
_LEXEMES = re.compile(
    r'"""(?:[^"\\]|\\"""|\\|"(?!""))*(?:"""|\Z)|"(?:[^"\\\n]|\\.)*"?|#[^\n\r]*|[{}()\[\]]', re.DOTALL
)
_DEEPER = {"{": 1, "(": 1, "[": 1, "}": -1, ")": -1, "]": -1}
MAX_COST = 1 << 30


def analyse(document: str, limits: Limits) -> Analysis:
    """Parse a document; `Refused` for what is over a limit, cannot be parsed or can be read in two ways."""
    try:
        size = len(document.encode())
    except UnicodeEncodeError:
        raise Refused("GRAPHQL_PARSE_FAILED", "the document holds a lone surrogate") from None
    if size > limits.bytes:
        raise Refused("TOO_MANY_BYTES", f"the document has {size} bytes; {limits.bytes} are allowed", 413)
    if "\0" in document:
        raise Refused("GRAPHQL_PARSE_FAILED", "the document holds a null character")
    _check_nesting(document, limits)
    try:
        tree = parse(
            document,
            no_location=True,
            max_tokens=limits.tokens,
            max_lexical_tokens=4 * limits.tokens,
            allow_empty_selection_sets=False,
        )
    except GraphQLSyntaxError as error:
        if ("token" in error.message and "limit" in error.message.lower()) or "more than" in error.message:
            raise Refused("TOO_MANY_TOKENS", f"the document has more than {limits.tokens} tokens") from None
        raise Refused("GRAPHQL_PARSE_FAILED", error.message) from None
    except RecursionError:
        raise Refused("TOO_DEEP", "the document is nested too deeply") from None
    return _Reader(limits, size).read(tree.definitions)


def _check_nesting(document: str, limits: Limits) -> None:
    depth = 0
    for found in _LEXEMES.finditer(document):
        depth += _DEEPER.get(found[0], 0)
        if depth > limits.nesting:
            raise Refused("TOO_DEEP", f"brackets are nested more than {limits.nesting} deep")


class _Reader:
    def __init__(self, limits: Limits, size: int) -> None:
        self._limits, self._size = limits, size
        self._fragments: dict[str, FragmentDefinitionNode] = {}
        self._measured: dict[str, tuple[int, int]] = {}  # of fragments: cost and depth
        self._aliases = self._directives = 0

    def read(self, definitions: Iterable[Any]) -> Analysis:
        operations: list[OperationDefinitionNode] = []
        for node in definitions:
            if isinstance(node, OperationDefinitionNode):
                operations.append(node)
            elif isinstance(node, FragmentDefinitionNode):
                if node.name.value in self._fragments:
                    raise Refused("AMBIGUOUS_DOCUMENT", f"two fragments are called {node.name.value}")
                self._fragments[node.name.value] = node
            else:
                raise Refused("GRAPHQL_VALIDATION_FAILED", "the document defines types")
        if not operations:
            raise Refused("GRAPHQL_VALIDATION_FAILED", "the document holds no operation")
        names = [node.name.value if node.name else "" for node in operations]
        if len(set(names)) < len(names):
            raise Refused("AMBIGUOUS_DOCUMENT", "two operations have the same name")
        for fragment in self._fragments.values():
            self._count_directives(fragment.directives)
        for name in self._fragments:  # also those that nothing spreads: cycles are refused anywhere
            self._measure_fragment(name, ())
        made = tuple(self._operation(node) for node in operations)
        if self._aliases > self._limits.aliases:
            allowed = self._limits.aliases
            raise Refused(
                "TOO_MANY_ALIASES", f"the document has {self._aliases} aliases; {allowed} are allowed"
            )
        if self._directives > self._limits.directives:
            allowed = self._limits.directives
            told = f"the document has {self._directives} directives; {allowed} are allowed"
            raise Refused("TOO_MANY_DIRECTIVES", told)
        weight = 2 * self._size + 400 * sum(1 + len(op.roots) for op in made)
        return Analysis(made, weight)

    def _operation(self, node: OperationDefinitionNode) -> Operation:
        self._count_directives(node.directives)
        cost, depth = self._measure(node.selection_set, ())
        if depth > self._limits.depth:
            told = f"selections are {depth} deep, through fragments; {self._limits.depth} are allowed"
            raise Refused("TOO_DEEP", told)
        roots: list[Root] = []
        self._roots(node.selection_set, (), roots)
        defaults: dict[str, Value] = {}
        for variable in node.variable_definitions or ():
            name = variable.variable.name.value
            if name in defaults:
                raise Refused("AMBIGUOUS_DOCUMENT", f"two variables are called ${name}")
            defaults[name] = _value(variable.default_value) if variable.default_value else _ABSENT
        name = node.name.value if node.name else ""
        return Operation(name, node.operation.value, tuple(roots), defaults, cost)

    def _measure(self, selections: SelectionSetNode | None, within: tuple[str, ...]) -> tuple[int, int]:
        """Cost and depth of a selection set; each fragment is measured once."""
        cost = depth = 0
        for node in selections.selections if selections else ():
            self._count_directives(node.directives)
            if isinstance(node, FragmentSpreadNode):
                inner, below = self._measure_fragment(node.name.value, within)
            elif isinstance(node, FieldNode):
                self._aliases += node.alias is not None
                inner, below = self._measure(node.selection_set, within)
                inner, below = inner + 1, below + 1
            else:
                assert isinstance(node, InlineFragmentNode)
                inner, below = self._measure(node.selection_set, within)
            cost, depth = min(MAX_COST, cost + inner), max(depth, below)
        return cost, depth

    def _measure_fragment(self, name: str, within: tuple[str, ...]) -> tuple[int, int]:
        if name in within:
            raise Refused("FRAGMENT_CYCLE", f"the fragment {name} spreads itself")
        fragment = self._fragments.get(name)
        if fragment is None:
            raise Refused("GRAPHQL_VALIDATION_FAILED", f"there is no fragment {name}")
        found = self._measured.get(name)
        if found is None:
            found = self._measured[name] = self._measure(fragment.selection_set, (*within, name))
        return found

    def _count_directives(self, directives: Iterable[DirectiveNode] | None) -> None:
        self._directives += len(tuple(directives or ()))

    def _roots(self, selections: SelectionSetNode, outer: tuple[Condition, ...], roots: list[Root]) -> None:
        """Every root field that may be executed.  Fragments have no cycles here; the limit ends the rest."""
        for node in selections.selections:
            conditions = (*outer, *_conditions(node.directives or ()))
            if isinstance(node, FieldNode):
                arguments = {a.name.value: _value(a.value) for a in node.arguments or ()}
                roots.append(Root(node.name.value, conditions, arguments))
                if len(roots) > self._limits.root_fields:
                    allowed = self._limits.root_fields
                    raise Refused("TOO_MANY_ROOT_FIELDS", f"an operation has over {allowed} root fields")
            elif isinstance(node, FragmentSpreadNode):
                self._roots(self._fragments[node.name.value].selection_set, conditions, roots)
            else:
                assert isinstance(node, InlineFragmentNode)
                self._roots(node.selection_set, conditions, roots)


class _Absent:
    """A variable with no default."""


_ABSENT = _Absent()


def _conditions(directives: Iterable[DirectiveNode]) -> list[Condition]:
    """@skip and @include, where each stands once and has its one argument; else as if it were not there."""
    found: list[Condition] = []
    nodes = list(directives)
    for name, wanted in (("include", True), ("skip", False)):
        mine = [node for node in nodes if node.name.value == name]
        arguments = list(mine[0].arguments or ()) if len(mine) == 1 else []
        if len(arguments) == 1 and arguments[0].name.value == "if":
            found.append((wanted, _value(arguments[0].value)))
    return found


def _value(node: ValueNode) -> Value:
    match node:
        case VariableNode():
            return Variable(node.name.value)
        case BooleanValueNode():
            return node.value
        case StringValueNode():
            return node.value
        case IntValueNode():
            return int(node.value) if len(node.value) <= 18 else None
        case EnumValueNode() | ListValueNode():
            return None
        case ObjectValueNode():
            fields = {field.name.value: _value(field.value) for field in node.fields}
            return fields if len(fields) == len(node.fields) else None
        case _:
            return None


def resolve(value: Value, operation: Operation, variables: dict[str, Any]) -> Value:
    """A value with its variable filled in; None where there is none."""
    if not isinstance(value, Variable):
        return value
    if value.name not in operation.defaults:
        return None  # not declared: no reader gives it a value
    if value.name in variables:
        return variables[value.name]
    default = operation.defaults[value.name]
    return None if isinstance(default, _Absent) else default


def may_run(root: Root, operation: Operation, variables: dict[str, Any]) -> bool:
    """False only where a condition surely takes the field out: a boolean, and the wrong one."""
    for wanted, value in root.conditions:
        told = resolve(value, operation, variables)
        if isinstance(told, bool) and told is not wanted:
            return False
    return True
