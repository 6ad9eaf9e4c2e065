"""A request that reaches its client's deadline is ended by its upstream or its client, not by a proxy."""

from __future__ import annotations

from pathlib import Path

from brackengate.emulator.mesh.play import play
from brackengate.emulator.mesh.scenario import parse_scenario

CALM = Path(__file__).parent.parent.parent / "examples" / "lab" / "mesh" / "calm.toml"


def test_no_request_is_given_up_before_its_clients_deadline() -> None:
    """The deadline header is rounded down to whole milliseconds: a timer set by it fires a little early."""
    longer_than_it_has = ("length=6s", "route.read.work=700ms", "route.read.deadline=501.7ms")
    made = play(parse_scenario(CALM.read_text(), str(CALM), longer_than_it_has), 1)
    assert made.rules == ()
    ended = [of[1] for _, what, of in made.world.records if what == "ended" and of[1] != 200]
    assert ended.count(504) > 50  # by the upstreams, at the deadline they were handed
    assert 502 not in ended
