"""From TOML to the typed form, or to all faults of the file at once."""

from __future__ import annotations

import difflib
import re
import tomllib
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar, get_args, get_origin, get_type_hints

import msgspec

from brackengate.installation import units
from brackengate.installation.schema import (
    SHORTHAND,
    Bounds,
    CellMap,
    File,
    Graphql,
    GraphqlField,
    Section,
    Upstream,
    UpstreamFile,
    Xds,
)
from brackengate.net.sockets import parse_address
from brackengate.snapshot.check import faults as snapshot_faults
from brackengate.snapshot.model import make

T = TypeVar("T", bound=Section)
Key = tuple[str | int, ...]
MAX_FILE = 1 << 20  # a pipe to an instance holds as much


@dataclass(frozen=True, slots=True)
class Fault:
    """One thing that is wrong; `line` is 0 where it is not in the file (missing, or from --set)."""

    key: str
    what: str
    line: int = 0


class BadFile(ValueError):
    """The file cannot be used.  Its text names every fault, one a line."""

    def __init__(self, path: str, faults: Sequence[Fault]) -> None:
        self.path, self.faults = path, tuple(faults)
        lines = [
            f"{path}{f':{f.line}' if f.line else ''}: {f.key + ': ' if f.key else ''}{f.what}" for f in faults
        ]
        super().__init__("\n".join(lines))


def load(path: str | Path, sets: Iterable[str] = ()) -> File:
    """Read and check a file; BadFile on any fault.  `sets`: `section.key=value`, each laid over it."""
    return loads(read_text(path), str(path), sets)


def whereabouts(path: str | Path, sets: Iterable[str] = ()) -> tuple[str, str]:
    """The installation's name and `fleet.runtime_dir`, also of a file that is otherwise at fault.

    Guards against a file that is being edited: a fleet that runs can be asked and stopped all the same.
    BadFile where these two can't be told.
    """
    name = str(path)
    table = _parse(read_text(path), name)
    for text in sets:
        try:
            override(table, text)
        except ValueError as error:
            raise BadFile(name, [Fault("--set", f"{text!r}: {error}")]) from None
    about, fleet = table.get("installation"), table.get("fleet", {})
    if not isinstance(about, dict) or not isinstance(fleet, dict):
        raise BadFile(name, [Fault("installation", "expected a table with the installation's name")])
    called, folder = about.get("name"), fleet.get("runtime_dir", "")
    if not isinstance(called, str) or not called or not isinstance(folder, str):
        raise BadFile(name, [Fault("installation.name", "is missing, or no string")])
    return called, folder


def read_as(
    kind: type[T],
    path: str | Path,
    more: Callable[[T], list[tuple[Key, str]]] = lambda told: [],
    sets: Iterable[str] = (),
) -> T:
    """Read a file of another form than the installation's; like `parse_as`."""
    return parse_as(kind, read_text(path), str(path), more, sets)


def parse_as(
    kind: type[T],
    text: str,
    name: str,
    more: Callable[[T], list[tuple[Key, str]]],
    sets: Iterable[str] = (),
) -> T:
    """From a file's text to a form; BadFile on any fault.

    `more`: what its form alone does not show.  `sets`: `section.key=value`, each laid over the file's.
    """
    table = _parse(text, name)
    faults: list[Fault] = []
    overridden: set[Key] = set()
    for text_of in sets:
        try:
            overridden.add(override(table, text_of))
        except ValueError as error:
            faults.append(Fault("--set", f"{text_of!r}: {error}"))
    lines = locate(text)
    found: list[tuple[Key, str]] = []
    told: T | None = _section(kind, table, (), found)
    if told is not None and not found:
        found = more(told)
    for key, what in found:
        line = 0 if key in overridden else _nearest(lines, key)
        faults.append(Fault(_dotted(key), what, line))
    if faults or told is None:
        raise BadFile(name, faults)
    return told


def load_upstreams(path: str | Path) -> UpstreamFile:
    """Read a watched file of upstreams; BadFile on any fault."""

    def rows(file: UpstreamFile) -> list[tuple[Key, str]]:
        found: list[tuple[Key, str]] = []
        check_rows(file.upstream, ("upstream",), found)
        return found

    return read_as(UpstreamFile, path, rows)


def load_cells(path: str | Path) -> CellMap:
    """Read a map of cells; BadFile on any fault of its form.  Its pools are checked where they are known."""
    return read_as(CellMap, path)


def read_text(path: str | Path) -> str:
    """A file's text; BadFile where there is none, it is too large or not UTF-8."""
    name = str(path)
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise BadFile(name, [Fault("", f"cannot be read: {error.strerror}")]) from None
    if len(raw) > MAX_FILE:
        raise BadFile(name, [Fault("", f"is too large: {len(raw)} bytes, {MAX_FILE} are allowed")])
    try:
        return raw.decode("utf-8")
    except UnicodeDecodeError as error:
        raise BadFile(name, [Fault("", f"is not UTF-8: byte {error.start}")]) from None


def _parse(text: str, name: str) -> dict[str, Any]:
    try:
        return tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        found = re.search(r"at line (\d+)", str(error))
        raise BadFile(name, [Fault("", f"is not TOML: {error}", int(found[1]) if found else 0)]) from None


def loads(text: str, name: str = "<text>", sets: Iterable[str] = ()) -> File:
    """Like `load`, from the file's text."""
    return parse_as(File, text, name, cross_checks, sets)


def override(table: dict[str, Any], text: str) -> Key:
    """Lay `section.key=value` over a table; the value is TOML, or else a string as it stands."""
    path, equals, value_text = text.partition("=")
    keys: list[str | int] = [int(k) if k.isdigit() else k.strip().strip('"') for k in path.strip().split(".")]
    if not equals or not all(k != "" for k in keys):
        raise ValueError("expected section.key=value")
    try:
        value = tomllib.loads(f"v = {value_text}")["v"]
    except tomllib.TOMLDecodeError:
        value = value_text
    place: Any = table
    for step, key in enumerate(keys):
        last = step == len(keys) - 1
        if isinstance(place, list):
            if not isinstance(key, int) or key >= len(place):
                raise ValueError(
                    f"{'.'.join(map(str, keys[:step]))} has {len(place)} entries, counted from 0"
                )
        elif isinstance(place, dict):
            key = keys[step] = str(key)
            if not last:
                place.setdefault(key, {})
        else:
            raise ValueError(f"{'.'.join(map(str, keys[:step]))} is not a table")
        if last:
            place[key] = value
        else:
            place = place[key]
    return tuple(keys)


# --- lines


_HEADER = re.compile(r"\s*(\[\[?)\s*([^\]]+?)\s*\]\]?\s*(?:#.*)?$")
_PAIR = re.compile(
    r"""\s*((?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*')(?:\s*\.\s*(?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*'))*)\s*="""
)
_PART = re.compile(r"""[A-Za-z0-9_-]+|"[^"]*"|'[^']*'""")


def locate(text: str) -> dict[Key, int]:
    """The line on which each table and key begins.  tomllib does not tell.

    Reads headers and keys only; what stands within inline tables or arrays gets its key's line.
    """
    lines: dict[Key, int] = {}
    counts: dict[Key, int] = {}
    prefix: Key = ()
    fence = ""
    for number, line in enumerate(text.splitlines(), 1):
        if fence:
            if fence in line:
                fence = ""
            continue
        header = _HEADER.match(line)
        if header:
            parts: Key = ()
            for part in _PART.findall(header[2]):
                parts = (*parts, part.strip("\"'"))
                if parts in counts and (header[1] == "[" or len(parts) < len(_PART.findall(header[2]))):
                    parts = (*parts, counts[parts] - 1)
            if header[1] == "[[":
                counts[parts] = counts.get(parts, 0) + 1
                parts = (*parts, counts[parts] - 1)
            prefix = parts
            lines.setdefault(prefix, number)
            continue
        pair = _PAIR.match(line)
        if pair:
            key = (*prefix, *(part.strip("\"'") for part in _PART.findall(pair[1])))
            lines.setdefault(key, number)
            rest = line[pair.end() :]
            for mark in ('"""', "'''"):
                if rest.count(mark) == 1:
                    fence = mark
    return lines


def _nearest(lines: dict[Key, int], key: Key) -> int:
    while key and key not in lines:
        key = key[:-1]
    return lines.get(key, 0)


def _dotted(key: Key) -> str:
    out = ""
    for part in key:
        out += f"[{part}]" if isinstance(part, int) else f"{'.' if out else ''}{part}"
    return out


# --- types


def _section(kind: type[Any], value: Any, key: Key, faults: list[tuple[Key, str]]) -> Any:
    """Convert a table; on faults None, with each told by its key."""
    if isinstance(value, str) and kind.__name__ in SHORTHAND:
        value = {SHORTHAND[kind.__name__]: value}
    if not isinstance(value, dict):
        faults.append((key, f"expected a table, got {_name(value)}"))
        return None
    hints = get_type_hints(kind, include_extras=True)
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for name in value:
        if name not in fields:
            near = difflib.get_close_matches(str(name), fields, 1)
            hint = f"; did you mean {near[0]!r}?" if near else ""
            faults.append(((*key, name), f"is not a key of this table; allowed: {', '.join(fields)}{hint}"))
    made: dict[str, Any] = {}
    sound = True
    for name, field in fields.items():
        if name in value:
            count = len(faults)
            made[field.name] = _value(hints[field.name], value[name], (*key, name), faults)
            sound = sound and len(faults) == count
        elif field.required:
            faults.append(((*key, name), "is missing"))
            sound = False
    return kind(**made) if sound else None


def _value(kind: Any, value: Any, key: Key, faults: list[tuple[Key, str]]) -> Any:
    origin = get_origin(kind)
    if origin is Annotated:
        base, *notes = get_args(kind)
        count = len(faults)
        result = _value(base, value, key, faults)
        for note in notes:
            if isinstance(note, Bounds) and len(faults) == count and not note.least <= result <= note.most:
                least, most = (_with_unit(base, bound) for bound in (note.least, note.most))
                faults.append(
                    (key, f"{_with_unit(base, result)} is out of bounds; allowed: {least} to {most}")
                )
            elif isinstance(note, msgspec.Meta) and len(faults) == count:
                try:
                    msgspec.convert(result, Annotated[base, note])
                except msgspec.ValidationError as error:
                    faults.append((key, f"{result!r} is not allowed: {error}"))
        return result
    if isinstance(kind, type) and issubclass(kind, Section):
        return _section(kind, value, key, faults)
    if origin is tuple:
        if not isinstance(value, list):
            faults.append((key, f"expected an array, got {_name(value)}"))
            return ()
        return tuple(_value(get_args(kind)[0], item, (*key, i), faults) for i, item in enumerate(value))
    if origin is dict:
        if not isinstance(value, dict):
            faults.append((key, f"expected a table, got {_name(value)}"))
            return {}
        return {name: _value(get_args(kind)[1], item, (*key, name), faults) for name, item in value.items()}
    if origin is Literal:
        if value not in get_args(kind):
            faults.append((key, f"{value!r} is not allowed; allowed: {', '.join(get_args(kind))}"))
        return value
    try:
        if kind is units.Duration:
            return units.duration(value)
        if kind is units.Size:
            return units.size(value)
    except ValueError as error:
        faults.append((key, str(error)))
        return kind(0)
    if kind is float and type(value) is int:
        return float(value)
    if type(value) is not kind:  # a bool is no number here
        faults.append((key, f"expected {_WORDS[kind]}, got {_name(value)}"))
    return value


_WORDS = {str: "a string", int: "a whole number", float: "a number", bool: "true or false"}


def _name(value: Any) -> str:
    words = {dict: "a table", list: "an array", **_WORDS}
    return f"{words.get(type(value), type(value).__name__)}" + (
        "" if isinstance(value, dict | list) else f" ({value!r})"
    )


def _with_unit(kind: type[Any], value: float) -> str:
    return str(kind(value)) if kind in (units.Duration, units.Size) else f"{value:g}"


# --- checks across fields


def cross_checks(file: File) -> list[tuple[Key, str]]:
    """What no single field can tell."""
    faults: list[tuple[Key, str]] = []
    count = file.fleet.instances
    if not file.listener:
        faults.append((("listener",), "names no listener; at least one [[listener]] is needed"))
    taken: dict[str, str] = {}
    names: set[str] = set()
    for i, listener in enumerate(file.listener):
        key: Key = ("listener", i)
        if listener.name in names:
            faults.append(((*key, "name"), f"{listener.name!r} stands twice"))
        names.add(listener.name)
        if bool(listener.address) == bool(listener.addresses):
            faults.append((key, "needs either address (one for all instances) or addresses (one for each)"))
        if listener.addresses and len(listener.addresses) != count:
            faults.append(
                ((*key, "addresses"), f"has {len(listener.addresses)} entries; fleet.instances is {count}")
            )
        for text in (*listener.addresses, *((listener.address,) if listener.address else ())):
            where = (*key, "address" if listener.address else "addresses")
            _address(text, where, faults)
            if text in taken and not text.endswith(":0"):
                faults.append((where, f"{text} is taken by listener {taken[text]!r}"))
            taken[text] = listener.name
    if not file.class_:
        faults.append((("class",), "names no class; at least one [class.NAME] is needed"))
    for name, cls in file.class_.items():
        key = ("class", name)
        if not re.fullmatch(r"[!-~]{1,128}", name):
            faults.append((key, "a class's name has 1 to 128 visible ASCII characters"))
        if cls.aim > cls.deadline:
            faults.append(((*key, "aim"), f"{cls.aim} is more than the deadline, {cls.deadline}"))
        if cls.repeats == "keyed" and not cls.key_memory:
            faults.append(((*key, "key_memory"), "is missing: how long do upstreams drop repeats of a key?"))
        if cls.repeats != "keyed" and cls.key_memory:
            faults.append(((*key, "key_memory"), f'is for repeats = "keyed", not {cls.repeats!r}'))
    if sum(tenant.fraction for tenant in file.tenant.values()) > 1.0001:
        faults.append((("tenant",), "the fractions of all tenants add up to more than 1"))
    up = file.upstreams
    if up.source == "static" and not up.static:
        faults.append((("upstreams", "static"), 'is missing: source = "static" needs [[upstreams.static]]'))
    if up.source == "file" and not up.file:
        faults.append((("upstreams", "file"), 'is missing: source = "file" needs a path'))
    if up.source == "discovery":
        if up.discovery:
            _address(up.discovery, ("upstreams", "discovery"), faults)
        else:
            faults.append((("upstreams", "discovery"), 'is missing: source = "discovery" needs host:port'))
    check_rows(up.static, ("upstreams", "static"), faults)
    _check_versions(file, faults)
    fleet = file.fleet
    if fleet.balancers and fleet.balancers < fleet.first_number + count:
        faults.append(
            (("fleet", "balancers"), f"{fleet.balancers} is less than first_number and instances together")
        )
    if fleet.restart_wait > fleet.restart_wait_most:
        faults.append(
            (("fleet", "restart_wait"), f"is more than restart_wait_most, {fleet.restart_wait_most}")
        )
    if file.limits.sockets // count < 64:
        faults.append(
            (("limits", "sockets"), f"leaves {file.limits.sockets // count} an instance; 64 at least")
        )
    if file.limits.memory // count < 32_000_000:
        faults.append(
            (("limits", "memory"), f"leaves {file.limits.memory // count} B an instance; 32MB at least")
        )
    if file.graphql != Graphql():
        _check_graphql(file, faults)
    for text in (*((file.flow.collector,) if file.flow.collector else ()), *file.flow.collectors):
        _address(text, ("flow", "collector" if text == file.flow.collector else "collectors"), faults)
    if file.flow.transport == "tcp" and file.flow.protocol == "netflow9":
        faults.append((("flow", "transport"), "NetFlow v9 goes by udp; tcp is for ipfix"))
    queues = file.queues
    if not queues.limit_least <= queues.limit_start <= queues.limit_most:
        faults.append((("queues", "limit_start"), "is not within limit_least and limit_most"))
    for name, least in (("clients", 16), ("waiting", 1)):
        if getattr(queues, name) // count < least:
            faults.append((("queues", name), f"leaves less than {least} for each of {count} instances"))
    if queues.memory // count < 100_000:
        faults.append((("queues", "memory"), f"leaves less than 100KB for each of {count} instances"))
    if queues.mode == "on" and queues.reserve and not file.limits.max_retry_after:
        faults.append(
            (("queues", "reserve"), "keeps places that limits.max_retry_after = 0 lets nobody know of")
        )
    if file.repeats.client != "off":
        for name, cls in file.class_.items():
            if cls.repeats == "keyed" and cls.key_memory >= file.repeats.keep:
                told = f"{file.repeats.keep} is not longer than upstreams remember {name}, {cls.key_memory}"
                faults.append((("repeats", "keep"), told))
        if file.repeats.memory // count // (len(file.tenant) + 1) < 16_000:
            told = f"leaves under 16KB for each of {count} instances' {len(file.tenant)} tenants and the rest"
            faults.append((("repeats", "memory"), told))
    return faults


def _check_versions(file: File, faults: list[tuple[Key, str]]) -> None:
    """Routes, pools and where their versions come from."""
    source, up = file.versions.source, file.upstreams
    if source != "xds" and file.xds != Xds():
        faults.append((("xds",), 'is for versions.source = "xds"'))
    if source != "file" and (file.route or file.pool):
        key = "route" if file.route else "pool"
        faults.append(((key,), 'is for versions.source = "file"; without it there is one list of upstreams'))
    if file.cells.file and source != "file":
        faults.append((("cells", "file"), 'needs versions.source = "file": cells name its pools'))
    if file.cells.file and 3 * file.cells.check_every > file.cells.lease:
        what = f"three of it must fit into cells.lease, {file.cells.lease}: a look may come late"
        faults.append((("cells", "check_every"), what))
    if source == "off":
        if up.source == "none":
            faults.append((("upstreams", "source"), '"none" is for where versions.source is not "off"'))
        return
    if up.on_request:
        faults.append((("upstreams", "on_request"), "a list that the module asks for is not for pools"))
    if source == "xds":
        if not file.xds.servers:
            faults.append((("xds", "servers"), 'is missing: the control services, as ["127.0.0.1:18000"]'))
        for i, text in enumerate(file.xds.servers):
            _address(text, ("xds", "servers", i), faults)
        if up.source != "none":
            faults.append((("upstreams", "source"), '"none" is needed with versions.source = "xds"'))
        if file.xds.backoff > file.xds.backoff_most:
            faults.append((("xds", "backoff"), f"is more than backoff_most, {file.xds.backoff_most}"))
        return
    faults += snapshot_faults(make(file.pool, file.route), file.class_)
    for name, pool in file.pool.items():
        key_of: Key = ("pool", name)
        if pool.from_discovery and pool.upstream:
            faults.append(((*key_of, "upstream"), "stands beside from_discovery; one of the two is allowed"))
        if pool.from_discovery and up.source == "none":
            faults.append(((*key_of, "from_discovery"), "needs an upstreams.source"))
        if pool.kind and not pool.from_discovery:
            faults.append(((*key_of, "kind"), "is for pools with from_discovery"))
    if up.source != "none" and not any(pool.from_discovery for pool in file.pool.values()):
        faults.append((("upstreams", "source"), "no pool has from_discovery, so these have no use"))


def _check_graphql(file: File, faults: list[tuple[Key, str]]) -> None:
    told = file.graphql
    if not told.path:
        faults.append(
            (("graphql", "path"), 'is missing, as in path = "/graphql"; without it nothing is served')
        )
    if told.path in ("/api", "/ready"):
        faults.append((("graphql", "path"), f"{told.path} is the platform's"))
    for name, repeats, what in (
        ("query_class", "safe", "for queries"),
        ("unnamed_class", "unsafe", "for mutations that the table does not name"),
    ):
        chosen = getattr(told, name)
        cls = file.class_.get(chosen)
        if cls is None or cls.repeats != repeats:
            allowed = (
                ", ".join(n for n, c in file.class_.items() if c.repeats == repeats) or "none is there yet"
            )
            faults.append((("graphql", name), f'{what} needs a class with repeats = "{repeats}": {allowed}'))
    for kind, fields in (("query", told.query), ("mutation", told.mutation)):
        for name, rule in fields.items():
            _check_field(file, kind, name, rule, faults)
    if told.only_trusted and not told.manifest:
        faults.append((("graphql", "manifest"), "is missing: only_trusted serves what the manifest names"))
    if told.manifest and not told.persisted:
        faults.append((("graphql", "persisted"), "is false, so the manifest has no use"))


def _check_field(file: File, kind: str, name: str, rule: GraphqlField, faults: list[tuple[Key, str]]) -> None:
    key: Key = ("graphql", kind, name)
    cls = file.class_.get(rule.class_)
    if not re.fullmatch(r"[A-Za-z_][A-Za-z0-9_]*", name):
        faults.append((key, "is no name of a GraphQL field"))
    if cls is None:
        faults.append((key, f"names no class: {rule.class_!r}; allowed: {', '.join(file.class_)}"))
    elif rule.key and (cls.repeats != "keyed" or kind == "query"):
        faults.append(((*key, "key"), 'is for mutations of a class with repeats = "keyed"'))
    if rule.key and not re.fullmatch(r"[A-Za-z_]\w*(\.[A-Za-z_]\w*)*", rule.key):
        faults.append(((*key, "key"), 'is the path to an input field, as in "input.kljuc"'))


def check_rows(rows: Sequence[Upstream], key: Key, faults: list[tuple[Key, str]]) -> None:
    """Names that stand twice and addresses that can't be."""
    seen: set[str] = set()
    for i, row in enumerate(rows):
        if row.name in seen:
            faults.append(((*key, i, "name"), f"{row.name!r} stands twice"))
        seen.add(row.name)
        _address(row.address, (*key, i, "address"), faults)


def _address(text: str, key: Key, faults: list[tuple[Key, str]]) -> None:
    try:
        host, _ = parse_address(text)
    except ValueError:
        faults.append((key, f"expected host:port with a numeric host, got {text!r}"))
        return
    if not re.fullmatch(r"[0-9.]+|[0-9A-Fa-f:.]+", host):
        faults.append((key, f"the host is an address and no name (there is no look-up): {host!r}"))
