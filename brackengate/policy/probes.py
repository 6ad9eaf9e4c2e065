"""Asking upstreams: a few before a call is sent, and one after an attempt that is out for long."""

from __future__ import annotations

from brackengate import interface as api
from brackengate.policy.failures import Failures
from brackengate.policy.overload import Overload
from brackengate.policy.sends import Sends
from brackengate.policy.state import MISSED, NONE_HELD, PROBE_WIDTH, TURN, UNREACHED, Attempt, Call, Upstream


class Probes(Sends, Failures, Overload):
    def _place(self, call: Call) -> None:
        """Send the call by the rule; where own counts are all zero, ask a few first."""
        call.asked, call.seen, call.out = [], [], 0
        first = self._pick(call, 1, asking=self.probe_most > 0)
        stay = self._lately_idle(call) if first and first[0].last > TURN else []
        first = stay or first
        if first and (stay or not self._tied(first[0])):
            self._send(call, first[0])
            return
        if not first:
            self._stranded(call)
            return
        self._hold(call)
        if not call.done:
            self._ask(call)

    def _lately_idle(self, call: Call) -> list[Upstream]:
        """Exception among ties, where answers carry reports: stay with the upstream that answered last if few
        waited there.  Copies that see little of the traffic so settle apart, and off what fails or stalls.
        Where it can ask, only a fresh word saves a probe; where it is blind, old word still beats none.
        """
        up, self.idle = self.idle, None
        if up is None or up.own or up.demoted or self.now - up.heard > self.word_lasts:
            return []  # an own call is there: the ordinary rule decides
        return [up] if not call.attempts and self._may_send(call, up) else []

    def _tied(self, up: Upstream) -> bool:
        return self.probe_most > 0 and up.own == 0 and not up.demoted

    def _ask(self, call: Call) -> None:
        room = min(PROBE_WIDTH - call.out, self.probe_most - len(call.asked))
        for up in filter(self._tied, self._pick(call, room, asking=True)):
            call.asked.append(up)
            call.out += 1
            if not up.askers and not up.doubts:
                self.actions.append(api.Probe(up.id))
            up.askers.append(call)
        if call.out < (2 if len(call.asked) >= self.probe_most else 1):  # one may stay silent
            self._settle(call)

    def _settle(self, call: Call) -> None:
        """No upstream said it was idle: go to the least loaded of those that answered."""
        best = [up for up in call.seen if self._may_send(call, up)] or self._pick(call, 1)
        call.asked = []
        best = best or self._pick(call, 1)
        up = min(best, key=lambda up: (up.own, up.demoted, up.load), default=None)
        if up is None:
            self._stranded(call)
        elif self._hopeless(call, up.load if up in call.seen else 0.0):
            self._end_unserved(call)
        else:
            self._send(call, up)

    def _on_probe(self, event: api.ProbeEnded) -> None:
        up = self.upstreams.get(event.upstream)
        self._release(event.upstream, up)
        if up is None:
            return
        askers, up.askers, doubts, up.doubts = up.askers, [], up.doubts, []
        if event.outcome is api.Outcome.OK:
            said, up.heard = event.load or api.LoadReport(), self.now
            some = (said.waiting or 0.0) + (said.utilization or 0.0)
            up.load = some if said.in_flight is None else said.in_flight
        elif event.outcome in UNREACHED or event.outcome is api.Outcome.TIMEOUT:
            self._failed(up)
        for call, attempt in doubts:
            self._judge(call, attempt, event.load)
        for call in askers:
            if up not in call.asked or call.id not in self.waiting:
                continue
            call.out = max(0, call.out - 1)
            if event.outcome is api.Outcome.OK:
                call.seen.append(up)
            if call.seen and call.seen[-1] is up and up.load == up.own == 0 and self._may_send(call, up):
                self._send(call, up)
            else:
                self._ask(call)

    def _doubt(self, call: Call) -> None:
        """Exception: ask an upstream after an attempt that has been out for long.

        Its count in flight says whether it holds anything at all.  Guards against what goes silent: a request
        never taken up, a lost answer, a flow that a box in between forgot.  It would wait until its deadline.
        """
        attempt, again = call.attempts[-1], call.cls.idempotency is not api.Idempotency.UNSAFE
        up = attempt.upstream
        if (
            attempt.outcome is None
            and not call.done
            and again
            and up.serving
            and self.probe_most
            and self.settings.cancel
        ):
            if not up.askers and not up.doubts:
                self.actions.append(api.Probe(up.id))
            up.doubts.append((call, attempt))

    def _judge(self, call: Call, attempt: Attempt, said: api.LoadReport | None) -> None:
        """Give up what is not there, to send it again.

        Harm: where reports lag by more than that, what still runs is sent twice; retries' ration bounds that.
        """
        if attempt.outcome is not None or call.done:
            return
        missing = said is not None and said.in_flight is not None and said.in_flight < NONE_HELD
        attempt.missed = attempt.missed + 1 if missing else 0
        if attempt.missed < MISSED:
            self._timer(self.recheck if missing else self._patience(call), "doubt", call.id)
        elif self.retries >= 1:
            self.silent = 1.0
            self._failed(attempt.upstream, 0)
            self.actions.append(api.CancelAttempt(call.id, call.attempts.index(attempt)))
