"""Checks which promises of the request path a history broke, from what clients and upstreams observed alone.

Nothing of the checked code is imported here: a checker that shared its code would share its faults.
"""

from __future__ import annotations

from collections import defaultdict

from brackengate.emulator.calls.history import (
    CUTOFF_MS,
    MAX_ATTEMPTS,
    AttemptResult,
    Execution,
    Observations,
)
from brackengate.emulator.loop import MS

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)  # promise that an attempt has not run and never will


def broken_promises(seen: Observations) -> list[str]:
    """A description of each broken promise; empty: all were kept."""
    found = [f"an error nobody caught: {error}" for error in seen.errors]
    if seen.pending_requests:
        found.append(f"{seen.pending_requests} requests are held for ever")
    by_attempt, by_key = defaultdict[str, list[Execution]](list), defaultdict[str, list[Execution]](list)
    for execution in seen.executions:
        by_attempt[execution.attempt].append(execution)
        if execution.key:
            by_key[execution.key].append(execution)
    found += [
        f"key {key} ran {len(executions)} times" for key, executions in by_key.items() if len(executions) > 1
    ]
    for attempt_id, executions in by_attempt.items():
        found += _check_executions(seen, attempt_id, executions)
    for attempt_id, result in seen.results.items():
        first = next((one for one in by_key[seen.attempt_of(attempt_id).key]), None)
        found += _check_result(
            seen, attempt_id, result, by_attempt[attempt_id], first.attempt if first else attempt_id
        )
    return found


def _check_executions(seen: Observations, attempt_id: str, executions: list[Execution]) -> list[str]:
    """Whether an attempt ran too often, on too many upstreams, incomplete or too late."""
    attempt, found = seen.attempt_of(attempt_id), list[str]()
    upstreams = {one.upstream for one in executions}
    if attempt.half:
        found.append(f"{attempt_id} ran, and was never sent whole")
    if not attempt.route.startswith("read") and len(executions) > 1:
        found.append(f"{attempt_id} on {attempt.route} ran {len(executions)} times")
    # An execution on an upstream that was then replaced does not count toward the limit.
    replaced = any(fault.what == "replace" for fault in seen.history.faults)
    if len(upstreams) > MAX_ATTEMPTS and not replaced:
        found.append(f"{attempt_id} ran on {len(upstreams)} upstreams")
    faults = seen.history.faults
    partitioned = any(fault.what == "cut" for fault in faults)  # delivers late, whoever sends
    paused = {fault.proxy for fault in faults if fault.what == "freeze"}
    result = seen.results.get(attempt_id)
    # A paused proxy can't notify the next one that it gave up.
    if not partitioned and len(paused) < 2 and result is not None:
        late = max(one.at for one in executions) - result.at
        if late > 550 * MS:  # a shorter pause is not noticed
            found.append(f"{attempt_id} ran {late // MS} ms after it was given up")
    return found


def _check_result(
    seen: Observations, attempt_id: str, result: AttemptResult, executions: list[Execution], executed_as: str
) -> list[str]:
    """Whether a client's answer is late, mixed up with another one or contradicts what has run.

    `executed_as`: the id of the attempt whose answer it may also have; the first one with the same key.
    """
    attempt, answer, found = seen.attempt_of(attempt_id), result.answer, list[str]()
    if result.status in NOT_EXECUTED_STATUSES and executions:
        found.append(f"{attempt_id} is answered {result.status}, and ran on {executions[0].upstream}")
    paused = any(fault.what in ("freeze", "kill", "restart") for fault in seen.history.faults)
    held = result.at - attempt.at * MS - min(attempt.deadline, CUTOFF_MS) * MS
    if held > 240 * MS and not paused and not attempt.half and attempt.leaves > attempt.deadline + 250:
        found.append(f"{attempt_id} is held {held // MS} ms past its time")
    if answer is None:
        return [*found, f"{attempt_id}: bytes that are no answer"] if result.reason == "no answer" else found
    if answer.has_trailing_data:
        found.append(f"{attempt_id}: bytes behind its answer")
    sealed = seen.sealed_answers.get(answer.fields.get("x-brackengate-server-seal", ""))
    if sealed is not None and (
        sealed.status != result.status or sealed.attempt not in (attempt_id, executed_as)
    ):
        found.append(f"{attempt_id}: {result.status} under the seal of {sealed.status} for {sealed.attempt}")
    if 200 <= result.status < 300:
        if sealed is None or sealed.body != answer.body:
            found.append(f"{attempt_id}: a success that no upstream gave")
        if answer.fields.get("x-brackengate-attempt-id") != attempt_id:
            found.append(f"{attempt_id}: a success with another id")
    return found
