"""Names as operators and upstreams may choose them, on the wire of a simulated mesh.  Pure.

The scenario, the models' decisions and the records use plain names; only what is sent has these.
"""

from __future__ import annotations

import random
from typing import Literal

Names = Literal["plain", "any", "drawn"]

# Names that settings and headers can carry as they are.  No page rules out a letter or a length.
FORMS = ("{}", "{} lookup", "vožnja {}", "100% {}", "%~{}", "{}" + "x" * 220, "\N{SNOWMAN}{}" * 60)
ROUTE_FORMS = (*FORMS, " {} ", "{}\tand\r\nX-Injected: 1", "nul\0{}", '"{}"\\')


class WireNames:
    """The names on the wire of routes, services and upstreams, each drawn by the seed."""

    def __init__(self, names: Names, seed: int) -> None:
        """`names`: `plain`, as in the scenario; `any`; `drawn`: either, by the seed."""
        rng = random.Random(f"{seed}/names")
        self._seed, self._strange = seed, names == "any" or (names == "drawn" and rng.random() < 0.5)
        self._plain: dict[str, str] = {}  # by wire name

    def route(self, name: str) -> str:
        """The name of a route."""
        return self._wire("route", name, ROUTE_FORMS)

    def service(self, name: str) -> str:
        """The name of a service."""
        return self._wire("service", name, FORMS)

    def upstream(self, id_: str) -> str:
        """The id of an upstream."""
        return self._wire("upstream", id_, FORMS)

    def plain(self, wire: str) -> str:
        """The name of which this is the name on the wire; any other text as it is."""
        return self._plain.get(wire, wire)

    def _wire(self, kind: str, name: str, forms: tuple[str, ...]) -> str:
        if not self._strange:
            return name
        form = random.Random(f"{self._seed}/names/{kind}/{name}").choice(forms)
        wire = form.replace("{}", name)
        self._plain[wire] = name
        return wire


def from_header(value: str) -> str:
    """The text of a header field that was read as Latin-1 and holds UTF-8."""
    return value.encode("latin-1").decode("utf-8", "replace")
