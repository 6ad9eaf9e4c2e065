"""A page on an experiment: which arm is better, by what test, with every outcome and its chart."""

from __future__ import annotations

import io
from collections.abc import Sequence
from html import escape
from pathlib import Path

from brackengate.emulator.experiment import OUTCOMES, Compared, Experiment, Run, compare, draw

STYLE = "body{font:14px sans-serif;max-width:70em;margin:2em auto}td,th{padding:2px 10px;text-align:right}"
LOWER = ("late", "refused", "failed", "nothing", "p99_ms", "attempts", "double", "broken")  # is better


def verdict(told: Experiment, rows: Sequence[Compared], outcome: str) -> list[str]:
    """A sentence for each arm at each combination of the factors."""
    first, found = next(iter(told.arm)), list[str]()
    for row in rows:
        if row.arm == first:
            continue
        where = ", ".join(f"{name} {value}" for name, value in zip(told.factor, row.at, strict=True))
        at = f" at {where}" if where else ""
        if not row.word:
            found.append(f"{row.arm}{at}: no difference to {first} shown (p {row.p:.2g}, {row.seeds} seeds)")
            continue
        better = (row.word == "lower") is (outcome in LOWER)
        found.append(
            f"{row.arm}{at}: {'better' if better else 'worse'} than {first} by {abs(row.difference):.4f}"
            f" (95 % {row.least:+.4f} to {row.most:+.4f}, p {row.p:.2g}, {row.seeds} seeds)"
        )
    return found


def write(told: Experiment, runs: Sequence[Run], folder: Path, to: Path) -> None:
    """One HTML file that needs nothing else.  OSError where it can't be written."""
    parts = [
        f"<!doctype html><meta charset=utf-8><title>{escape(told.scenario)}</title><style>{STYLE}</style>"
    ]
    parts.append(f"<h1>{escape(told.scenario)}</h1>")
    parts.append(f"<p>Arms: {escape(', '.join(told.arm))}; {told.seeds} seeds, the same for every arm.")
    parts.append(
        "Intervals: percentile bootstrap over seeds; test: Wilcoxon signed-rank on paired seeds.</p>"
    )
    for outcome in (told.outcome, *(one for one in OUTCOMES if one != told.outcome)):
        rows = list(compare(told, runs, folder, outcome))
        parts.append(f"<h2>{escape(outcome)}</h2><ul>")
        parts += [f"<li>{escape(words)}</li>" for words in verdict(told, rows, outcome)]
        parts.append("</ul><table><tr>")
        parts += [f"<th>{escape(name)}</th>" for name in (*told.factor, "arm", "seeds", "mean", "95 %")]
        parts.append("</tr>")
        for row in rows:
            cells = [*row.at, row.arm, str(row.seeds), f"{row.mean:.4f}", f"{row.low:.4f} to {row.high:.4f}"]
            parts.append("<tr>" + "".join(f"<td>{escape(cell)}</td>" for cell in cells) + "</tr>")
        parts.append("</table>")
        if outcome == told.outcome and rows:
            image = io.BytesIO()
            draw(told, rows, image)
            svg = image.getvalue().decode()
            parts.append(svg[svg.index("<svg") :])
    to.write_text("\n".join(parts), encoding="utf-8")
