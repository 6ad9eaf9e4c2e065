"""Faults of routes, pools, versions and xds in the installation file: each by its key."""

import pytest

from brackengate.installation.reading import BadFile, loads

HEAD = """
[installation]
name = "t"
[[listener]]
name = "api"
address = "127.0.0.1:0"
[class.read]
aim = "1s"
deadline = "1s"
repeats = "safe"
"""
GOOD = """
[upstreams]
source = "none"
[versions]
source = "file"
[[route]]
name = "r"
pool = "p"
[[pool.p.upstream]]
name = "u"
address = "127.0.0.1:1"
"""


def test_a_good_one_is_read():
    file = loads(HEAD + GOOD)
    assert file.route[0].pool == "p" and file.pool["p"].upstream[0].name == "u"


@pytest.mark.parametrize(
    ("change", "key", "word"),
    [
        (('source = "file"', 'source = "off"'), "route", 'is for versions.source = "file"'),
        (('source = "none"', 'source = "static"'), "upstreams.static", "is missing"),
        (('pool = "p"', 'pool = "x"'), "route[0].pool", "names no pool: 'x'"),
        (('pool = "p"', 'pool = "p"\nclass = ["write"]'), "route[0].class", "allowed: read"),
        (('pool = "p"', 'pool = "p"\nmethod = ["PUT"]'), "route[0].method", "allowed: GET, POST"),
        (('pool = "p"', "split = { p = -1 }"), "route[0].split.p", "out of bounds"),
        (("127.0.0.1:1", "name:1"), "pool.p.upstream[0].address", "numeric host"),
        (('name = "u"', 'name = "u"\nsince = -1'), "pool.p.upstream[0].since", "out of bounds"),
        (
            ("[[pool.p.upstream]]", "[pool.p]\nfrom_discovery = true\n[[pool.p.upstream]]"),
            "pool.p.upstream",
            "beside",
        ),
        (
            ('source = "file"', 'source = "file"\n[xds]\nservers = ["127.0.0.1:1"]'),
            "xds",
            'versions.source = "xds"',
        ),
        (('source = "file"', 'source = "file"\njitter = "1s"'), "versions.jitter", "0us to 400ms"),
        (('source = "file"', 'source = "xds"'), "xds.servers", "is missing"),
    ],
)
def test_each_fault_is_told_by_its_key(change, key, word):
    text = HEAD + GOOD.replace(*change)
    with pytest.raises(BadFile) as caught:
        loads(text)
    found = {fault.key: fault.what for fault in caught.value.faults}
    assert key in found and word in found[key], found
