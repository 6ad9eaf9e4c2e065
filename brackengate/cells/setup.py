"""From the installation file to what cells need to know of it."""

from __future__ import annotations

from brackengate.cells.check import change_faults, term_faults
from brackengate.cells.owners import Owners, Terms
from brackengate.installation.schema import File
from brackengate.snapshot.model import Snapshot


def terms(file: File) -> Terms:
    """Deadlines and memories are the longest of any class: a tenant moves with all of them."""
    changing = [cls for cls in file.class_.values() if cls.repeats != "safe"]
    return Terms(
        lease=int(file.cells.lease),
        skew=int(file.cells.skew),
        deadline=max((int(cls.deadline) for cls in changing), default=0),
        memory=max((int(cls.key_memory) for cls in changing if cls.repeats == "keyed"), default=0),
    )


def change(now: int, old: Snapshot, new: Snapshot, told: Terms) -> list[str]:
    """Why a version must not follow on another for its cells."""
    if new.cells is None:
        return [] if old.cells is None else ["cells: a map is in use; without one anybody could own a tenant"]
    found = term_faults(new.cells, told)
    if old.cells is not None and new.cells != old.cells:
        before = Owners.of(old.cells)
        found += change_faults(before, Owners.of(new.cells, before), now, told)
    return found
