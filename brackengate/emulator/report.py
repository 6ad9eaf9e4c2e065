"""What became of a run: figures, and a chart of it over time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any

from brackengate.emulator.checks import Record

BUCKET = 500_000  # of the chart
ENDS = ("in aim", "late", "refused", "failed", "nothing")
COLORS = {
    "in aim": "#2a7f62",
    "late": "#e0b040",
    "refused": "#5b8dbf",
    "failed": "#c0504d",
    "nothing": "#555555",
}


@dataclass(slots=True)
class Outcome:
    """Of one class."""

    ends: Counter[str] = field(default_factory=Counter)
    took: list[int] = field(default_factory=list)  # of what was served

    @property
    def items(self) -> int:
        return sum(self.ends.values())

    def share(self) -> float:
        """Answered within the aim."""
        return self.ends["in aim"] / self.items if self.items else 0.0

    def quantile(self, part: float) -> int:
        took = sorted(self.took)
        return took[min(len(took) - 1, int(part * len(took)))] if took else 0


@dataclass(slots=True)
class Summary:
    classes: dict[str, Outcome] = field(default_factory=dict)
    over_time: dict[str, Counter[int]] = field(default_factory=lambda: {end: Counter() for end in ENDS})
    faults: list[tuple[int, str]] = field(default_factory=list)
    attempts: int = 0
    items: int = 0


def _end(status: str, took: int, aim: int) -> str:
    if status == "200":
        return "in aim" if took <= aim else "late"
    if status in ("503", "refused connection"):
        return "refused"
    return "nothing" if status == "nothing" else "failed"


def summarise(records: Sequence[Record], aims: dict[str, int]) -> Summary:
    told = Summary({name: Outcome() for name in aims})
    for when, what, of in records:
        if what == "ended":
            name, status, took = str(of[1]), str(of[2]), int(str(of[3]))
            end, outcome = _end(status, took, aims[name]), told.classes[name]
            outcome.ends[end] += 1
            if status == "200":
                outcome.took.append(took)
            told.over_time[end][(when - took) // BUCKET] += 1
        elif what == "asked":
            told.items += 1
        elif what == "sent":
            told.attempts += 1
        elif what == "fault":
            told.faults.append((when, f"{of[0]} {of[1]}" if of[1] != "all" else str(of[0])))
    return told


def canvas(salt: str, width: float) -> tuple[Any, Any]:
    """A figure and its axes.  ImportError where matplotlib (the extra `lab`) is not installed."""
    import matplotlib
    from matplotlib.figure import Figure

    matplotlib.rcParams["svg.hashsalt"] = salt  # the same run gives the same file
    figure = Figure(figsize=(width, 4), layout="constrained")
    return figure, figure.add_subplot()


def save(figure: Any, to: Path | IO[bytes]) -> None:
    """As SVG or PNG, by the path's ending; to an open file as SVG."""
    if isinstance(to, Path) and to.suffix == ".png":
        figure.savefig(to)
    else:
        figure.savefig(to, format="svg", metadata={"Date": None})


def draw(told: Summary, title: str, path: Path) -> None:
    """What became of the items, by when they were asked, as SVG or PNG by the path's ending.

    ImportError where matplotlib (the extra `lab`) is not installed.
    """
    buckets = range(1 + max((bucket for counts in told.over_time.values() for bucket in counts), default=0))
    figure, axes = canvas(title, 9)
    per_s = 1e6 / BUCKET
    rows = [[told.over_time[end][bucket] * per_s for bucket in buckets] for end in ENDS]
    axes.stackplot(
        [bucket * BUCKET / 1e6 for bucket in buckets], rows, labels=ENDS, colors=[COLORS[end] for end in ENDS]
    )
    for when, name in told.faults:
        axes.axvline(when / 1e6, color="black", linewidth=0.8, linestyle=":")
        axes.annotate(
            name, (when / 1e6, 1.0), xycoords=("data", "axes fraction"), rotation=90, va="top", size=7
        )
    axes.set(title=title, xlabel="seconds", ylabel="items a second, by when they were asked")
    axes.legend(loc="lower left", ncols=len(ENDS), fontsize=7)
    save(figure, path)
