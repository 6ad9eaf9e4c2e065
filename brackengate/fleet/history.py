"""The supervisor's state file: the generation, and for each slot its restarts and how its last process ended.

Only history is kept there: a supervisor that finds none, or one that it can't read, starts without.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from brackengate.fleet import keeper

NAME = "state.json"


def read(folder: Path) -> dict[str, Any]:
    try:
        history = json.loads((folder / NAME).read_text())
    except (OSError, ValueError):
        return {}
    return history if isinstance(history, dict) else {}


def generation(history: dict[str, Any]) -> int:
    return int(history.get("generation", 0))


def restore(history: dict[str, Any], slots: dict[int, keeper.Slot]) -> None:
    """Give the slots what the file says of them."""
    for text, kept in (history.get("slots") or {}).items():
        slot = slots.get(int(text)) if text.isdigit() else None
        if slot is not None and isinstance(kept, dict):
            slot.last_exit = str(kept.get("last_exit", ""))
            slot.restarts = int(kept.get("restarts", 0))


def write(folder: Path, generation: int, slots: dict[int, keeper.Slot]) -> None:
    """Beside, then in place.  OSError where the disk does not take it."""
    rows = {
        str(slot.number): {"last_exit": slot.last_exit, "restarts": slot.restarts} for slot in slots.values()
    }
    path = folder / NAME
    path.with_suffix(".new").write_text(json.dumps({"generation": generation, "slots": rows}))
    path.with_suffix(".new").rename(path)
