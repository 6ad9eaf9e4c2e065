"""The operator adds a route whose Name holds a space; see claim.txt."""

from __future__ import annotations

import asyncio
import os
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from bench_mesh import CannotRun, Deployment, Machine, Record, call, route, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NAME = "fare lookup" if TROUBLE else "fare-lookup"
APPLY_TIME_S, MARGIN_S = 2.0, 2.0
REQUESTS = 30  # on each route; the rule counts from 20 on
LEAST_SHARE = 0.25  # of the rate at which the first routes are served


async def get(deployment: Deployment, side: Machine, target: str, attempt: str) -> int:
    headers = {"X-Brackengate-Attempt-Id": attempt, "X-Brackengate-Deadline-Ms": "1000"}
    try:
        status, _, _ = await call(deployment.outbound(side), "GET", target, headers=headers)
    except OSError as error:
        deployment.record(f"answer   {target} attempt {attempt} by {side.name}: broken off, {error!r}")
        return 0
    deployment.record(f"answer   {target} attempt {attempt} by {side.name}: {status}")
    return status


async def play(record: Record) -> int:
    deployment = Deployment(record)
    first, later = Counter[int](), Counter[int]()
    try:
        await deployment.start([route("open-fares", "/open/", "idempotent", "reservas", "1s", "400ms")])
        await asyncio.sleep(MARGIN_S)
        record(f"operator adds the route {NAME!r}")
        await deployment.amend([route(NAME, "/lookup/", "idempotent", "reservas", "1s", "400ms")])
        await asyncio.sleep(APPLY_TIME_S + MARGIN_S)
        address = deployment.core[0].ip, deployment.port("control")
        status, _, body = await call(address, "POST", "/v1/rpc?call=config.read", b"{}", json_body=True)
        record(f"operator config.read: {status}, the route is in it: {NAME.encode() in body}")
        for n in range(REQUESTS):
            side = deployment.sides[n % len(deployment.sides)]
            first[await get(deployment, side, f"/open/{n}", f"o-{n}")] += 1
            later[await get(deployment, side, f"/lookup/{n}", f"l-{n}")] += 1
    finally:
        await deployment.stop()
    record(f"end: first route {dict(first)}, added route {dict(later)}")
    if first[200] < REQUESTS * 0.9:
        raise CannotRun("the first route is not served either")
    if later[200] < LEAST_SHARE * first[200]:
        record(
            f"CONFIG: {later[200]} of {REQUESTS} requests on the added route are served, {first[200]} before"
        )
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(run_case(HERE, play))
