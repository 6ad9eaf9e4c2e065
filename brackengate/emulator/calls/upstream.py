"""An application upstream that does what a history says with each request, and notes what it ran."""

from __future__ import annotations

from collections import deque
from functools import partial
from typing import TYPE_CHECKING

from brackengate.emulator.calls.history import APPLICATION, RUNS, Answer, Behaviour, Run, ip_of
from brackengate.emulator.loop import MS
from brackengate.emulator.mesh.talk import HttpMessage, MessageReader, encode_message
from brackengate.emulator.network import End
from brackengate.emulator.process import Process

if TYPE_CHECKING:
    from brackengate.emulator.calls.simulation import Simulation


class ScriptedUpstream:
    """One life beside a proxy, which runs what the history says."""

    def __init__(self, simulation: Simulation, number: int, id_: str, acts: tuple[Behaviour, ...]) -> None:
        self._simulation, self.ip, self.id = simulation, ip_of(number), id_
        self._acts, self._seals = deque(acts), 0
        self.process = Process(simulation.loop, simulation.net, self.ip, self.id)
        self.listen()

    def listen(self) -> None:
        if not self.process.alive:
            return  # replaced meanwhile
        self._listener = self.process.listener((self.ip, APPLICATION))
        self._listener.taken = self._taken

    def refuse(self) -> None:
        self._listener.close()

    def _taken(self, end: End) -> None:
        self._simulation.seen.connections += 1
        self.process.holds(end)
        reader, owed = MessageReader(), list[bytes]()

        def hears(data: bytes) -> None:
            for heard in reader.feed(data):
                if owed:
                    end.write(owed.pop())  # in the place of the next answer
                self._asked(end, heard, owed)

        end.listen(hears, lambda broken: None)

    def _asked(self, end: End, heard: HttpMessage, owed: list[bytes]) -> None:
        fields = heard.fields
        attempt = fields["x-brackengate-attempt-id"]
        act = self._acts.popleft() if self._acts else Behaviour()
        if fields["x-brackengate-target-instance"] != self.id:
            act = Behaviour("misdirected")
        if act.what in RUNS:
            key = fields.get("x-brackengate-operation-key", "")
            self._simulation.seen.ran.append(Run(self._simulation.loop.now, self.id, attempt, key))
        self._simulation.loop.after(act.after * MS, partial(self._does, act.what, end, attempt, owed))

    def _does(self, what: str, end: End, attempt: str, owed: list[bytes]) -> None:
        says, unrun = self._says, {"X-Brackengate-Not-Executed": "1"}
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
                end.write(says(attempt, status))
            case "full" | "misdirected":
                end.write(self._bare(attempt, 503 if what == "full" else 421, unrun))
            case "full-twice":
                owed.append(self._bare(attempt, 503, unrun))
                end.write(owed[-1])
            case "other-refusal":
                end.write(self._bare("t999", 503, unrun))
            case "other" | "other-failure":
                end.write(says("t999", 200 if what == "other" else 500))
            case "no-id":
                end.write(says(attempt, 200, name=False))
            case "no-seal":
                end.write(self._bare(attempt, 200, {}))
            case "half" | "half-closed" | "long-broken":
                data = says(attempt, 200, size=200_000 if what == "long-broken" else 90)
                end.write(data[: len(data) * 2 // 3])
                self._simulation.loop.after(5 * MS, end.close if what == "half-closed" else end.reset)
            case "pieces":
                data = says(attempt, 200)
                end.write(data[: len(data) // 2])
                self._simulation.loop.after(20 * MS, partial(end.write, data[len(data) // 2 :]))
            case "last":
                end.write(says(attempt, 200, close=True))
                end.close()
            case "twice-now":
                end.write(says(attempt, 200) + says(attempt, 200))
            case "twice-soon" | "twice-later" | "twice-next":
                data = says(attempt, 200)
                end.write(data)
                if what == "twice-next":
                    owed.append(data)
                else:
                    wait = 2 if what == "twice-soon" else 60
                    self._simulation.loop.after(wait * MS, partial(end.write, data))
            case "brief":
                end.write(says(attempt, 200, idle=1))
            case _:  # served, slow
                end.write(says(attempt, 200, size=100_000 if what == "long" else 40))

    def _says(
        self,
        attempt: str,
        status: int,
        size: int = 40,
        name: bool = True,
        close: bool = False,
        idle: int = 10,
    ) -> bytes:
        """An answer of its own, under a seal that it notes."""
        self._seals += 1
        seal = f"{self.id}.{self._seals}"
        body = f"{attempt}|{seal}|".encode().ljust(size, b"x")
        self._simulation.seen.done[seal] = Answer(attempt, status, body)
        fields = {"X-Brackengate-Server-Seal": seal, "Keep-Alive": f"timeout={idle}"}
        if name:
            fields["X-Brackengate-Attempt-Id"] = attempt
        if close:
            fields["Connection"] = "close"
        return encode_message(f"HTTP/1.1 {status} Said", fields, body)

    def _bare(self, attempt: str, status: int, fields: dict[str, str]) -> bytes:
        return encode_message(f"HTTP/1.1 {status} Said", {"X-Brackengate-Attempt-Id": attempt, **fields})
