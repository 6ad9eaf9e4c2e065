"""The installation file: what is read, and every way in which it can be wrong."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from brackengate import interface as api
from brackengate.installation import settings as derived
from brackengate.installation import units
from brackengate.installation.reading import BadFile, load, loads

GOOD = """\
[installation]
name = "maribor"

[fleet]
instances = 3
runtime_dir = "run"

[[listener]]
name = "api"
address = "127.0.0.1:8000"

[[listener]]
name = "zone-b"
addresses = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"]

[class.pregled]
aim = "410ms"
deadline = "1s"
repeats = "safe"

[class.ponudba]
aim = "410ms"
deadline = "1s"
repeats = "keyed"
key_memory = "4s"
worth = 8

[class.takoj-kupi]
aim = "0.41s"
deadline = "1000ms"
worth = 8

[tenant.drava]
fraction = 0.25
quota_per_s = 30

[upstreams]
source = "static"
[[upstreams.static]]
name = "s1"
address = "127.0.0.1:9001"
zone = "tezno"

[limits]
sockets = 3000
memory = "300MB"
"""


def faults(text: str, *sets: str) -> list[str]:
    with pytest.raises(BadFile) as caught:
        loads(text, "f.toml", sets)
    return str(caught.value).splitlines()


def test_a_good_file_becomes_the_modules_settings() -> None:
    file = loads(GOOD)
    told = derived.settings(file)
    assert [c.name for c in told.classes] == ["pregled", "ponudba", "takoj-kupi"]
    keyed = told.classes[1]
    assert (keyed.idempotency, keyed.key_scope, keyed.key_memory, keyed.target_latency, keyed.value) == (
        api.Idempotency.KEYED,
        api.KeyScope.ZONE,
        4_000_000,
        410_000,
        8.0,
    )
    assert told.classes[2].idempotency is api.Idempotency.UNSAFE  # the default is the most careful
    assert told.classes[2].target_latency == 410_000 and told.classes[2].deadline == 1_000_000
    assert told.balancers == 3
    assert told.tenants == (api.Tenant("drava", 0.25, 30.0),)
    assert derived.share(file) == derived.Share(1000, 100)
    assert derived.longest(file) == 1_000_000
    assert derived.stop_within(file) == 2_200_000


def test_every_fault_is_told_at_once_with_its_line_and_what_is_allowed() -> None:
    text = GOOD.replace('aim = "410ms"', "aim = 410", 1).replace("worth = 8", 'worth = "dear"', 1)
    text = text.replace('source = "static"', 'source = "statik"').replace("instances = 3", "instances = 0")
    text = text.replace('zone = "tezno"', 'zome = "tezno"')
    told = faults(text)
    lines = text.splitlines()

    def at(fragment: str) -> str:
        return f"f.toml:{lines.index(fragment) + 1}: "

    assert any(f.startswith(at("aim = 410") + "class.pregled.aim: ") and '"410ms"' in f for f in told)
    assert any(f.startswith(at('worth = "dear"') + "class.ponudba.worth: ") for f in told)
    assert any(
        f.startswith(at('zome = "tezno"') + "upstreams.static[0].zome") and "'zone'" in f for f in told
    )
    assert any("upstreams.source" in f and "static, file, discovery" in f for f in told)
    assert any("fleet.instances" in f and "1 to 256" in f for f in told)
    assert len(told) == 5


@pytest.mark.parametrize(
    ("old", "new", "key", "word"),
    [
        ('name = "maribor"', "", "installation.name", "missing"),
        ('name = "maribor"', 'name = ""', "installation.name", "length"),
        ('name = "maribor"', "name = 3", "installation.name", "a string"),
        ('[installation]\nname = "maribor"', "", "installation", "missing"),
        ('runtime_dir = "run"', "watchdog = true", "fleet.watchdog", "duration"),
        ('runtime_dir = "run"', "pin_cores = 1", "fleet.pin_cores", "true or false"),
        ('runtime_dir = "run"', 'settle = "2 weeks"', "fleet.settle", "duration"),
        ('runtime_dir = "run"', 'settle = "20min"', "fleet.settle", "0us to 10min"),
        ('runtime_dir = "run"', 'settle = "-1s"', "fleet.settle", "duration"),
        ('runtime_dir = "run"', "balancers = 2", "fleet.balancers", "instances"),
        ('runtime_dir = "run"', 'restart_wait = "40s"', "fleet.restart_wait", "restart_wait_most"),
        ('address = "127.0.0.1:8000"', 'address = "localhost:8000"', "listener[0].address", "no name"),
        ('address = "127.0.0.1:8000"', 'address = "8000"', "listener[0].address", "host:port"),
        ('address = "127.0.0.1:8000"', "", "listener[0]", "address"),
        ('address = "127.0.0.1:8000"', 'address = "127.0.0.1:2"', "listener[1].addresses", "taken"),
        ('"127.0.0.1:1", ', "", "listener[1].addresses", "instances is 3"),
        ('name = "zone-b"', 'name = "api"', "listener[1].name", "twice"),
        ('deadline = "1s"', 'deadline = "1ms"', "class.pregled.aim", "deadline"),
        ('key_memory = "4s"', "", "class.ponudba.key_memory", "missing"),
        ('repeats = "safe"', 'key_memory = "4s"', "class.pregled.key_memory", "keyed"),
        ("fraction = 0.25", "fraction = 1.25", "tenant.drava.fraction", "0 to 1"),
        ("fraction = 0.25", "fraction = nan", "tenant.drava.fraction", "bounds"),
        ('source = "static"', 'source = "file"', "upstreams.file", "missing"),
        ('source = "static"', 'source = "discovery"', "upstreams.discovery", "missing"),
        ('address = "127.0.0.1:9001"', 'address = "127.0.0.1:99999"', "upstreams.static[0].address", "host"),
        ("sockets = 3000", "sockets = 180", "limits.sockets", "64 at least"),
        ('memory = "300MB"', 'memory = "90MB"', "limits.memory", "32MB at least"),
        ('memory = "300MB"', "memory = 300", "limits.memory", "192MB"),
        ("[limits]", "[limit]", "limit", "limits"),
        ("[limits]", "[limits", "", "TOML"),
    ],
)
def test_each_section_refuses_what_it_cannot_use(old: str, new: str, key: str, word: str) -> None:
    assert old in GOOD
    told = faults(GOOD.replace(old, new, 1))
    assert any((f": {key}: " in f or not key) and word in f for f in told), told


def test_a_set_overrides_any_key_and_its_fault_names_no_line() -> None:
    file = loads(
        GOOD, "f", ["fleet.instances=1", 'class.pregled.aim="300ms"', "listener.1.addresses=['127.0.0.1:0']"]
    )
    assert file.fleet.instances == 1 and file.class_["pregled"].aim == 300_000
    assert loads(GOOD, "f", ["fleet.settle=3s"]).fleet.settle == 3_000_000  # a string needs no quotes
    assert faults(GOOD, "fleet.settle=3")[0].startswith("f.toml: fleet.settle: ")
    assert "counted from 0" in faults(GOOD, "listener.9.name=x")[0]
    assert "section.key=value" in faults(GOOD, "fleet")[0]
    assert "not a table" in faults(GOOD, "installation.name.x=1")[0]


def test_what_cannot_be_read_is_one_clear_fault(tmp_path: Path) -> None:
    with pytest.raises(BadFile, match="cannot be read: No such file"):
        load(tmp_path / "none.toml")
    with pytest.raises(BadFile, match="cannot be read"):
        load(tmp_path)
    bad = tmp_path / "bad.toml"
    bad.write_bytes(b"\xff")
    with pytest.raises(BadFile, match="not UTF-8"):
        load(bad)


def test_what_a_reload_can_take_and_what_needs_a_restart() -> None:
    old = loads(GOOD)
    assert derived.needs_restart(old, old) == []
    assert (
        derived.needs_restart(old, loads(GOOD, "", ["upstreams.static.0.weight=2.0", "log.level=debug"]))
        == []
    )
    assert derived.needs_restart(old, loads(GOOD, "", ["fleet.settle=3s", "fleet.together=2"])) == []
    new = loads(GOOD, "", ["class.pregled.aim=1s", "limits.sockets=4000", "fleet.watchdog=1s"])
    assert derived.needs_restart(old, new) == ["class", "limits", "fleet.watchdog"]


@given(st.integers(0, 10**15))
def test_a_duration_is_read_as_it_is_written(microseconds: int) -> None:
    value = units.Duration(microseconds)
    assert units.duration(str(value)) == value


@given(st.integers(0, 10**15))
def test_a_size_is_read_as_it_is_written(count: int) -> None:
    assert units.size(str(units.Size(count))) == count


JSONISH = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3),
    max_leaves=8,
)


@given(
    section=st.sampled_from(["installation", "fleet", "listener", "class", "tenant", "upstreams", "limits"]),
    value=JSONISH,
)
def test_no_value_of_a_section_breaks_the_reader(section: str, value: object) -> None:
    """Whatever stands there: the file's typed form, or faults; never another exception."""
    import tomllib

    from brackengate.installation import reading

    table = tomllib.loads(GOOD)
    table[section] = value
    found: list[tuple[reading.Key, str]] = []
    file = reading._section(reading.File, table, (), found)
    if file is not None and not found:
        reading.cross_checks(file)
    else:
        assert found
