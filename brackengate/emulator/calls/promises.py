"""Which promises of the call path a history broke, by what clients and upstreams saw alone.

Nothing of what is checked is imported here: a checker that shared its code would share its faults.
"""

from __future__ import annotations

from collections import defaultdict

from brackengate.emulator.calls.history import ATTEMPTS, CUTOFF, Ended, Observations, Run
from brackengate.emulator.loop import MS

PROMISES = (408, 421, 429, 503)  # that an attempt has not run and never will


def broken(seen: Observations) -> list[str]:
    """Every promise that was not kept, in words."""
    found = [f"an error nobody caught: {words}" for words in seen.errors]
    if seen.held:
        found.append(f"{seen.held} requests are held for ever")
    ran, keys = defaultdict[str, list[Run]](list), defaultdict[str, list[Run]](list)
    for one in seen.ran:
        ran[one.attempt].append(one)
        if one.key:
            keys[one.key].append(one)
    found += [f"key {key} ran {len(runs)} times" for key, runs in keys.items() if len(runs) > 1]
    for attempt, runs in ran.items():
        found += _of_runs(seen, attempt, runs)
    for attempt, ended in seen.ended.items():
        first = next((one for one in keys[seen.asked(attempt).key]), None)
        found += _of_answer(seen, attempt, ended, ran[attempt], first.attempt if first else attempt)
    return found


def _of_runs(seen: Observations, attempt: str, runs: list[Run]) -> list[str]:
    asks, found = seen.asked(attempt), list[str]()
    upstreams = {one.upstream for one in runs}
    if asks.half:
        found.append(f"{attempt} ran, and was never sent whole")
    if not asks.route.startswith("read") and len(runs) > 1:
        found.append(f"{attempt} on {asks.route} ran {len(runs)} times")
    crashed = any(fault.what == "replace" for fault in seen.history.faults)  # those don't count
    if len(upstreams) > ATTEMPTS and not crashed:
        found.append(f"{attempt} ran on {len(upstreams)} upstreams")
    faults = seen.history.faults
    cuts = any(fault.what == "cut" for fault in faults)  # they deliver late, whoever sends
    frozen = {fault.proxy for fault in faults if fault.what == "freeze"}
    ended = seen.ended.get(attempt)
    if not cuts and len(frozen) < 2 and ended is not None:  # one that stands still can't say that it gave up
        late = max(one.at for one in runs) - ended.at
        if late > 550 * MS:  # a shorter freeze is not noticed
            found.append(f"{attempt} ran {late // MS} ms after it was given up")
    return found


def _of_answer(seen: Observations, attempt: str, ended: Ended, runs: list[Run], first: str) -> list[str]:
    """`first`: whose run's answer it may have."""
    asks, heard, found = seen.asked(attempt), ended.heard, list[str]()
    if ended.status in PROMISES and runs:
        found.append(f"{attempt} is answered {ended.status}, and ran on {runs[0].upstream}")
    frozen = any(fault.what in ("freeze", "kill", "restart") for fault in seen.history.faults)
    held = ended.at - asks.at * MS - min(asks.deadline, CUTOFF) * MS
    if held > 240 * MS and not frozen and not asks.half and asks.leaves > asks.deadline + 250:
        found.append(f"{attempt} is held {held // MS} ms past its time")
    if heard is None:
        return [*found, f"{attempt}: bytes that are no answer"] if ended.why == "no answer" else found
    if heard.has_trailing_data:
        found.append(f"{attempt}: bytes behind its answer")
    done = seen.done.get(heard.fields.get("x-brackengate-server-seal", ""))
    if done is not None and (done.status != ended.status or done.attempt not in (attempt, first)):
        found.append(f"{attempt}: {ended.status} under the seal of {done.status} for {done.attempt}")
    if 200 <= ended.status < 300:
        if done is None or done.body != heard.body:
            found.append(f"{attempt}: a success that no upstream gave")
        if heard.fields.get("x-brackengate-attempt-id") != attempt:
            found.append(f"{attempt}: a success with another id")
    return found
