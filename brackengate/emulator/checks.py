"""The four rules and a bound on what is kept, checked on a run's records alone.

Nothing of what is checked is imported here: a checker that shared its code would share its faults.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

SLACK = 50_000  # on sockets each limit of the rules is that much longer too
GRACE = 500_000  # after a balancer was told that an upstream drains or is gone
WINDOW = 1_000_000  # of the work that a cold upstream is sent
MOST_TOLD = 5  # breaches of one rule that are told in words

Record = tuple[int, str, tuple[object, ...]]


@dataclass(slots=True)
class Broken:
    """One rule, and how often and where it was broken."""

    rule: str
    count: int = 0
    words: list[str] = field(default_factory=list)

    def at(self, when: int, what: str) -> None:
        self.count += 1
        if len(self.words) < MOST_TOLD:
            self.words.append(f"{when / 1e6:.3f} s: {what}")


def one_answer(records: Iterable[Record]) -> Broken:
    """Each request taken has one final answer in time, unless its balancer dies or its client goes."""
    broken = Broken("one final answer")
    owed: dict[object, tuple[object, int]] = {}
    over: set[object] = set()
    left: set[object] = set()
    last = 0
    for when, what, of in records:
        last = when
        if what == "taken":
            owed[of[1]] = (of[0], int(str(of[2])))
        elif what == "answered":
            request = of[1]
            if request in left:
                owed.pop(request, None)  # its connection was broken meanwhile
            elif request in over:
                broken.at(when, f"{request} is answered a second time")
            elif request not in owed:
                broken.at(when, f"{request} is answered and was not taken")
            elif when > owed.pop(request)[1] + SLACK:
                broken.at(when, f"{request} is answered after its time")
            over.add(request)
        elif what == "gone":
            left.add(of[1])
            if of[1] in owed and when > owed.pop(of[1])[1] + SLACK:
                broken.at(when, f"{of[1]} had no answer in its time")
        elif what == "dropped":
            broken.at(when, f"{of[0]} closes the connection of {of[1]} with no answer")
            owed.pop(of[1], None)
        elif what in ("killed", "left"):
            for request in [one for one, (by, _) in owed.items() if by == of[0]]:
                del owed[request]
                if what == "left":
                    broken.at(when, f"{of[0]} left and had not answered {request}")
                over.add(request)
    for request, (by, deadline) in owed.items():
        if deadline + SLACK < last:
            broken.at(last, f"{request} has no answer from {by}")
    return broken


def no_effect_twice(records: Iterable[Record]) -> Broken:
    """A keyed or unsafe request runs once, and one that ran, or runs later, is never refused.

    A client's own retry after a failure or a broken connection is another request: those promise nothing.
    """
    broken = Broken("no effect twice")
    kinds: dict[object, object] = {}
    ran: dict[object, object] = {}
    refused: set[object] = set()
    for when, what, of in records:
        if what == "asked":
            kinds[of[0]] = of[2]
        elif what == "ran" and kinds.get(of[2]) != "safe":
            upstream, request, kind = of[0], of[1], kinds.get(of[2])
            if request in ran:
                broken.at(when, f"{request} ({kind}) runs at {upstream}, and ran at {ran[request]}")
            if request in refused:
                broken.at(when, f"{request} ({kind}) runs at {upstream}, and was refused")
            ran[request] = upstream
        elif what == "answered" and of[2] == "503":
            refused.add(of[1])
            if of[1] in ran:
                broken.at(when, f"{of[1]} is refused, and ran at {ran[of[1]]}")
    return broken


def drains_kept(records: Iterable[Record]) -> Broken:
    """Nothing new goes to an upstream later than GRACE after this balancer was told that it leaves."""
    broken = Broken("drains kept")
    leaving: dict[tuple[object, object], int] = {}
    for when, what, of in records:
        if what == "told":
            pair = (of[0], of[1])
            if of[2] == "serving":
                leaving.pop(pair, None)
            else:
                leaving.setdefault(pair, when)
        elif what == "begins":  # a new process has been told nothing yet
            for pair in [pair for pair in leaving if pair[0] == of[0]]:
                del leaving[pair]
        elif what == "sent":
            since = leaving.get((of[0], of[2]))
            if since is not None and when > since + GRACE + SLACK:
                broken.at(when, f"{of[0]} sends {of[1]} to {of[2]}, told {(when - since) / 1e6:.3f} s ago")
    return broken


def no_cold_pushed_over(records: Iterable[Record], multiple: float) -> Broken:
    """Within any second all balancers send a cold upstream at most so many times what it can do then."""
    broken = Broken("no cold upstream pushed over")
    cold: dict[object, tuple[int, int, int, float]] = {}
    sent: dict[object, deque[tuple[int, int]]] = {}
    for when, what, of in records:
        if what == "started":
            cold[of[0]] = (when, int(str(of[1])), int(str(of[2])), float(str(of[3])))
            sent[of[0]] = deque()
        elif what == "arrived" and of[0] in cold:
            began, slots, lasts, share = cold[of[0]]
            if when - began >= lasts:
                del cold[of[0]]
                continue
            window = sent[of[0]]
            window.append((when, int(str(of[1]))))
            while window[0][0] < when - WINDOW:
                window.popleft()
            can = slots * (share + (1 - share) * (when - began) / lasts) * WINDOW
            work = sum(one for _, one in window)
            if multiple and work > multiple * can and len(window) > 1:
                broken.at(when, f"{of[0]} is sent {work / can:.1f} times what it can do")
    return broken


def bounded(records: Iterable[Record]) -> Broken:
    """When all is answered, a balancer keeps nothing of it, and of the rest no more than is allowed."""
    broken = Broken("bounded state")
    for when, what, of in records:
        if what == "holds" and int(str(of[2])) > int(str(of[3])):
            broken.at(when, f"{of[0]} keeps {of[2]} {of[1]}; {of[3]} are allowed")
    return broken


def no_crash(records: Iterable[Record]) -> Broken:
    """No coroutine of a balancer ends with an exception."""
    broken = Broken("no crash")
    for when, what, of in records:
        if what == "crashed":
            broken.at(when, str(of[0]))
    return broken


def verdict(records: Sequence[Record], multiple: float) -> list[Broken]:
    """Every rule, broken or not."""
    return [
        one_answer(records),
        no_effect_twice(records),
        drains_kept(records),
        no_cold_pushed_over(records, multiple),
        bounded(records),
        no_crash(records),
    ]
