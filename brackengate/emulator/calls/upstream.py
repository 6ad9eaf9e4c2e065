"""An application upstream that follows a history's behaviours and records the requests that it executes."""

from __future__ import annotations

from collections import deque
from functools import partial
from typing import TYPE_CHECKING

from brackengate.emulator.calls.history import (
    APPLICATION_PORT,
    EXECUTED_BEHAVIOURS,
    Behaviour,
    Execution,
    SealedAnswer,
    machine_ip,
)
from brackengate.emulator.loop import MS
from brackengate.emulator.mesh.talk import HttpMessage, MessageReader, encode_message
from brackengate.emulator.network import End
from brackengate.emulator.process import Process

if TYPE_CHECKING:
    from brackengate.emulator.calls.simulation import Simulation


class ScriptedUpstream:
    """One incarnation of the upstream beside a proxy; each request takes the next behaviour of its list."""

    def __init__(
        self, simulation: Simulation, number: int, id_: str, behaviours: tuple[Behaviour, ...]
    ) -> None:
        self._simulation, self.ip, self.id = simulation, machine_ip(number), id_
        self._behaviours, self._seal_count = deque(behaviours), 0
        self.process = Process(simulation.loop, simulation.network, self.ip, self.id)
        self.listen()

    def listen(self) -> None:
        """Accept connections, unless this incarnation has been replaced."""
        if not self.process.alive:
            return
        self._listener = self.process.listener((self.ip, APPLICATION_PORT))
        self._listener.taken = self._on_connection

    def refuse(self) -> None:
        """Refuse new connections until `listen` is called."""
        self._listener.close()

    def _on_connection(self, end: End) -> None:
        self._simulation.observations.connections += 1
        self.process.holds(end)
        reader, repeats = MessageReader(), list[bytes]()

        def on_data(data: bytes) -> None:
            for request in reader.feed(data):
                if repeats:
                    end.write(repeats.pop())  # arrives in place of the answer to this request
                self._on_request(end, request, repeats)

        end.listen(on_data, lambda broken: None)

    def _on_request(self, end: End, request: HttpMessage, repeats: list[bytes]) -> None:
        fields = request.fields
        attempt_id = fields["x-brackengate-attempt-id"]
        behaviour = self._behaviours.popleft() if self._behaviours else Behaviour()
        if fields["x-brackengate-target-instance"] != self.id:
            behaviour = Behaviour("misdirected")
        if behaviour.what in EXECUTED_BEHAVIOURS:
            key = fields.get("x-brackengate-operation-key", "")
            self._simulation.observations.executions.append(
                Execution(self._simulation.loop.now, self.id, attempt_id, key)
            )
        self._simulation.loop.after(
            behaviour.after * MS, partial(self._perform, behaviour.what, end, attempt_id, repeats)
        )

    def _perform(self, what: str, end: End, attempt_id: str, repeats: list[bytes]) -> None:
        """Answer as a behaviour says; `repeats`: answers to send again before that to the next request."""
        sealed_answer, not_executed = self._sealed_answer, {"X-Brackengate-Not-Executed": "1"}
        match what:
            case "reset" | "reset-unread":
                end.reset()
            case "closed" | "closed-unread":
                end.close()
            case "silent":
                pass
            case "garbage":
                end.write(b"\x00what\r\n\r\n")
            case "failed" | "overdue" | "bare-503" | "bare-429":
                status = {"failed": 500, "overdue": 504, "bare-503": 503, "bare-429": 429}[what]
                end.write(sealed_answer(attempt_id, status))
            case "full" | "misdirected":
                end.write(self._unsealed_answer(attempt_id, 503 if what == "full" else 421, not_executed))
            case "full-twice":
                repeats.append(self._unsealed_answer(attempt_id, 503, not_executed))
                end.write(repeats[-1])
            case "other-refusal":
                end.write(self._unsealed_answer("t999", 503, not_executed))
            case "other" | "other-failure":
                end.write(sealed_answer("t999", 200 if what == "other" else 500))
            case "no-id":
                end.write(sealed_answer(attempt_id, 200, with_attempt_id=False))
            case "no-seal":
                end.write(self._unsealed_answer(attempt_id, 200, {}))
            case "half" | "half-closed" | "long-broken":
                data = sealed_answer(attempt_id, 200, size=200_000 if what == "long-broken" else 90)
                end.write(data[: len(data) * 2 // 3])
                self._simulation.loop.after(5 * MS, end.close if what == "half-closed" else end.reset)
            case "pieces":
                data = sealed_answer(attempt_id, 200)
                end.write(data[: len(data) // 2])
                self._simulation.loop.after(20 * MS, partial(end.write, data[len(data) // 2 :]))
            case "last":
                end.write(sealed_answer(attempt_id, 200, close=True))
                end.close()
            case "twice-now":
                end.write(sealed_answer(attempt_id, 200) + sealed_answer(attempt_id, 200))
            case "twice-soon" | "twice-later" | "twice-next":
                data = sealed_answer(attempt_id, 200)
                end.write(data)
                if what == "twice-next":
                    repeats.append(data)
                else:
                    wait_ms = 2 if what == "twice-soon" else 60
                    self._simulation.loop.after(wait_ms * MS, partial(end.write, data))
            case "brief":
                end.write(sealed_answer(attempt_id, 200, idle_timeout_s=1))
            case _:  # served, slow, long
                end.write(sealed_answer(attempt_id, 200, size=100_000 if what == "long" else 40))

    def _sealed_answer(
        self,
        attempt_id: str,
        status: int,
        size: int = 40,
        with_attempt_id: bool = True,
        close: bool = False,
        idle_timeout_s: int = 10,
    ) -> bytes:
        """An answer with a new seal, which is recorded; `size`: bytes of its body."""
        self._seal_count += 1
        seal = f"{self.id}.{self._seal_count}"
        body = f"{attempt_id}|{seal}|".encode().ljust(size, b"x")
        self._simulation.observations.sealed_answers[seal] = SealedAnswer(attempt_id, status, body)
        fields = {"X-Brackengate-Server-Seal": seal, "Keep-Alive": f"timeout={idle_timeout_s}"}
        if with_attempt_id:
            fields["X-Brackengate-Attempt-Id"] = attempt_id
        if close:
            fields["Connection"] = "close"
        return encode_message(f"HTTP/1.1 {status} Said", fields, body)

    def _unsealed_answer(self, attempt_id: str, status: int, fields: dict[str, str]) -> bytes:
        return encode_message(f"HTTP/1.1 {status} Said", {"X-Brackengate-Attempt-Id": attempt_id, **fields})
