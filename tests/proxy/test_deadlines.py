"""Who ends a request that runs into its client's deadline: its upstream or its client, and no proxy."""

from __future__ import annotations

from pathlib import Path

from brackengate.emulator.mesh.play import play
from brackengate.emulator.mesh.scenario import changed

CALM = Path(__file__).parent.parent.parent / "examples" / "lab" / "mesh" / "calm.toml"


def test_no_request_is_given_up_before_its_clients_deadline() -> None:
    """It is told in whole milliseconds, rounded down: a count by that ends a little before it."""
    longer_than_it_has = ("length=6s", "route.read.work=700ms", "route.read.deadline=501.7ms")
    made = play(changed(CALM.read_text(), str(CALM), longer_than_it_has), 1)
    assert made.rules == ()
    ended = [of[1] for _, what, of in made.world.records if what == "ended" and of[1] != 200]
    assert ended.count(504) > 50  # by the upstreams, at the time that they were handed
    assert 502 not in ended
