"""Routes, services and upstreams with names of any letters and lengths, in whole simulated runs."""

from __future__ import annotations

import pytest
from test_mesh_lab import assert_no_violations, run_scenario

from brackengate.emulator.mesh.names import FORMS, ROUTE_FORMS, WireNames, from_header

MAX_DIFFERENCE = 0.02  # of the worth, by chance: other names are other draws of the balancer


@pytest.mark.parametrize("scenario", ["calm.toml", "leaving.toml", "moved-while-claimed.toml"])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_mesh_with_any_names_serves_and_breaks_no_rule(scenario: str, seed: int) -> None:
    """Guards against `review/3`: what was acknowledged under such a name was answered 502."""
    plain, strange = (run_scenario(scenario, f'names="{names}"', seed=seed) for names in ("plain", "any"))
    assert_no_violations(strange)
    assert strange.worth > plain.worth - MAX_DIFFERENCE


def test_half_of_the_seeds_draw_any_names_and_different_names_stay_different() -> None:
    drawn = [WireNames("drawn", seed).route("r") != "r" for seed in range(200)]
    assert 60 < sum(drawn) < 140
    names = WireNames("any", 1)
    wires = [names.service(f"s{n}") for n in range(100)] + [names.route(f"r{n}") for n in range(100)]
    assert len(set(wires)) == 200
    assert [names.plain(wire) for wire in wires] == [f"s{n}" for n in range(100)] + [
        f"r{n}" for n in range(100)
    ]
    assert names.plain("unknown") == "unknown"


def test_plain_names_stay_as_they_are() -> None:
    names = WireNames("plain", 1)
    assert (names.route("r"), names.service("s"), names.upstream("i1")) == ("r", "s", "i1")


def test_every_form_is_drawn_and_a_header_carries_services_and_upstreams() -> None:
    names = WireNames("any", 1)
    assert {names.route(f"r{n}").replace(f"r{n}", "{}") for n in range(300)} == set(ROUTE_FORMS)
    for n in range(100):
        wire = names.upstream(f"i{n}")
        assert wire.replace(f"i{n}", "{}") in FORMS and from_header(wire.encode().decode("latin-1")) == wire
