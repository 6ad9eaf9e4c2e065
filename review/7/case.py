"""A core machine is cut off and joins again; a proxy that was cut off too then follows it.

The proxy never gets an order that was acknowledged meanwhile, and takes itself for current without it.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from links import CutMesh, Link, Links
from mesh2 import BROKEN, HELD, NOT_RUN, Machine, Record, Upstream, main, plant, route, trouble

CORE_CUT_S = 2.5
LONGEST_CUT_S = 5.5  # of the proxy
CONTACT_S, APPLY_S = 3.0, 2.0
REQUESTS = 20


class ZonedMesh(CutMesh):
    """Each core machine is in a zone of its own; all proxies are in that of the first one."""

    def write_settings(self, machine: Machine, first: bool) -> None:
        super().write_settings(machine, first)
        number = machine.ip.rpartition(".")[2]
        if number in ("2", "3"):
            path = machine.folder / "local.toml"
            path.write_text(path.read_text().replace('Zone = "z1"', f'Zone = "z{number}"'))


async def case(record: Record) -> int:
    mesh = ZonedMesh(record, ["bids", *["lots"] * 5])
    links = Links(mesh.port(5))
    proxy, back = mesh.pilots[0], mesh.lighthouses[0]
    core = {one.ip for one in mesh.lighthouses}
    try:
        for machine in mesh.lighthouses:
            await Link(links, machine.ip).start()
        await mesh.start()
        for number, machine in enumerate(mesh.pilots):
            await Upstream(machine, f"i-{machine.plant}-{number}").start()
        hosts = [route("r-one", "h.example", "/one/", "idempotent", "lots", "800ms", 1)]
        hosts += [route("r-moved", "h.example", "/moved/", "idempotent", "lots", "800ms", 1)]
        change = {"Apply": {"Plants": [plant("bids", 1), plant("lots", 1)], "Hosts": hosts}}
        if await mesh.amend(change) != 200 or not all([await mesh.ready(one) for one in mesh.pilots]):
            return NOT_RUN
        await asyncio.sleep(6.0)

        began = time.monotonic()
        if trouble():
            record.line(f"{back.ip} is cut off from the other core machines, and {proxy.ip} from all of them")
            links.cut([({back.ip}, core - {back.ip}), ({proxy.ip}, core)])
        await asyncio.sleep(1.5)
        hosts = [route("r-new", "h.example", "/new/", "idempotent", "lots", "800ms", 2)]
        hosts += [route("r-moved", "h.example", "/moved/", "idempotent", "bids", "800ms", 2)]
        if await mesh.amend({"Apply": {"Hosts": hosts}}, at=1) != 200:
            return NOT_RUN
        acked_at = time.monotonic()
        await asyncio.sleep(began + CORE_CUT_S - time.monotonic())
        if trouble():
            record.line(f"{back.ip} is not cut off any more")
            links.cut([({proxy.ip}, core)])
        await asyncio.sleep(0.6)
        # The proxy tries all core machines in turn; its cut heals while it tries the one that was cut off.
        while trouble():
            dialled, at = links.dialled.get(proxy.ip, ("", 0.0))
            if dialled == back.ip and time.monotonic() - at < 0.2:
                break
            if time.monotonic() > began + LONGEST_CUT_S:
                record.line("the proxy did not try it in time")
                return NOT_RUN
            await asyncio.sleep(0.02)
        record.line("nothing is cut any more")
        links.cut([])

        await asyncio.sleep(max(CONTACT_S, acked_at + APPLY_S - time.monotonic()) + 1.0)
        wrong = 0
        for number in range(REQUESTS):
            status, _, _ = await mesh.request(proxy, "h.example", f"/new/{number}", f"n{number}", 800)
            wrong += status == 404
            status, fields, _ = await mesh.request(proxy, "h.example", f"/moved/{number}", f"m{number}", 800)
            wrong += status == 200 and "i-lots" in fields.get("x-brackengate-server-seal", "")
            await asyncio.sleep(0.2)
        record.line(f"requests handled as only an older version allows: {wrong} of {2 * REQUESTS}")
        return BROKEN if wrong else HELD
    finally:
        await mesh.stop()


main(case, Path(__file__).parent)
