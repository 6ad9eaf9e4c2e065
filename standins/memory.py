"""What the strežniki of one strojnica remember together."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class KeyMemory:
    """What the strežniki of one strojnica remember together: keyed requests of the last seconds."""

    seconds: float = 4.0
    answers: dict[str, tuple[float, bytes]] = field(default_factory=dict)

    def recall(self, key: str, now: float) -> bytes | None:
        found = self.answers.get(key)
        return found[1] if found is not None and now - found[0] < self.seconds else None

    def remember(self, key: str, body: bytes, now: float) -> None:
        self.answers[key] = (now, body)
        while self.answers:
            first = next(iter(self.answers))
            if now - self.answers[first][0] < self.seconds:
                break
            del self.answers[first]
