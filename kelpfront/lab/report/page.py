"""One HTML page with tables and pictures in it: no other file, no script, nothing from a network."""

from __future__ import annotations

import base64
import json
from collections.abc import Sequence
from html import escape
from pathlib import Path
from typing import Any

from kelpfront.lab.experiments.compare import Estimate, Row, compare
from kelpfront.lab.experiments.measures import MEASURES
from kelpfront.lab.experiments.results import Result, Results
from kelpfront.lab.report import plots

SHOWN = ("worth", "placed", "in_aim", "refused", "failed", "lost", "answer_p50_ms", "answer_p99_ms", "uneven")
ERRORS_MOST = 20
STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; color: #1a1a1a; }
body { max-width: 1280px; margin: 2em auto; padding: 0 1em; }
h1 { font-size: 1.5em; } h2 { font-size: 1.2em; margin-top: 2em; }
table { border-collapse: collapse; margin: 1em 0; font-size: 13px; }
th, td { padding: 3px 10px; text-align: right; border-bottom: 1px solid #ddd; white-space: nowrap; }
th:first-child, td:first-child { text-align: left; }
.better { color: #00664b; font-weight: 600; } .worse { color: #a33c00; font-weight: 600; }
img { max-width: 100%; } .note { color: #555; }
"""


class ReportError(RuntimeError):
    """Results of which no report can be made."""


def _number(value: float) -> str:
    if value != value:
        return "not told"
    if value == int(value) and abs(value) < 1e6:
        return str(int(value))
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"


def _estimate(its: Estimate, sign: bool = False) -> str:
    mark = "+" if sign and its.mean > 0 else ""
    if its.low == its.high:
        return f"{mark}{_number(its.mean)}"
    return f"{mark}{_number(its.mean)} [{_number(its.low)}, {_number(its.high)}]"


def _table(rows: Sequence[Row], scenario: str) -> str:
    its = [row for row in rows if row.scenario == scenario]
    variants = list(dict.fromkeys(row.variant for row in its))
    by = {(row.variant, row.measure): row for row in its}
    lines = ["<table><tr><th>measure</th>", *(f"<th>{escape(name)}</th>" for name in variants), "</tr>"]
    for name, (about, unit, _) in MEASURES.items():
        lines.append(f"<tr><td>{escape(about)}{f', {unit}' if unit else ''}</td>")
        for variant in variants:
            row = by[variant, name]
            text = escape(_estimate(row.own))
            if row.against is not None:
                text += (
                    f'<br><span class="{row.verdict or "note"}">{escape(_estimate(row.against, True))}</span>'
                )
            lines.append(f"<td>{text}</td>")
        lines.append("</tr>")
    return "".join([*lines, "</table>"])


def _image(data: bytes, about: str) -> str:
    return f'<p><img alt="{escape(about)}" src="data:image/png;base64,{base64.b64encode(data).decode()}"></p>'


def make(results: Results, folder: Path, seed: int | None = None, beside: str = "") -> list[Path]:
    """Writes report.html and the pictures that are in it as PNG; returns their paths.

    `seed` chooses which day is drawn second by second, the first if None; `beside` the variant that is drawn
    next to the baseline, the first other one if empty.
    """
    plan = json.loads(results.meta("plan") or "{}")
    wanted = set(json.loads(results.meta("runs") or "[]"))
    runs = list(results.all(wanted))
    good = [run for run in runs if not run.error]
    if not good:
        raise ReportError(f"{results.path}: no run in it has ended")
    baseline = plan["baseline"]
    names = list(dict.fromkeys(its["name"] for its in json.loads(results.meta("variants"))))
    good.sort(key=lambda run: names.index(run.variant))
    rows = compare(good, baseline)
    others = [name for name in names if name != baseline]
    if beside and beside not in others:
        raise ReportError(f"--beside: {beside!r} is not one of {', '.join(others)}")
    folder.mkdir(parents=True, exist_ok=True)
    written: list[Path] = []

    def keep(name: str, data: bytes) -> bytes:
        path = folder / name
        path.write_bytes(data)
        written.append(path)
        return data

    parts = [
        f"<h1>{escape(plan['name'])}</h1><p>{escape(plan['about'])}</p>",
        f"<p>{len(good)} of {len(wanted)} runs in virtual time with simulated machines. Each cell: the mean "
        f"with its 95 % interval; below it the difference to <b>{escape(baseline)}</b> on the same seeds, "
        "coloured where it is clear (green better, red worse).</p>",
        _image(keep("summary.png", plots.png(plots.summary(rows, SHOWN))), "means and intervals"),
    ]
    for scenario in dict.fromkeys(row.scenario for row in rows):
        parts += [f"<h2>{escape(scenario)}</h2>", _table(rows, scenario)]
        drawn = _drawn(good, scenario, seed, [baseline, beside or next(iter(others), "")])
        if drawn:
            title = f"{scenario}, seed {drawn[0].seed}"
            figure = plots.day(title, [(run.variant, run.series) for run in drawn])
            parts.append(_image(keep(f"{scenario}.png", plots.png(figure)), title))
    broke = [run for run in runs if run.error]
    if broke:
        parts.append("<h2>Runs that broke off</h2><ul>")
        parts += [
            f"<li>{escape(run.scenario)}, {escape(run.variant)}, seed {run.seed}: {escape(run.error)}</li>"
            for run in broke[:ERRORS_MOST]
        ]
        parts.append("</ul>")
    page = folder / "report.html"
    head = f'<!doctype html><html lang="en"><head><meta charset="utf-8"><title>{escape(plan["name"])}</title>'
    page.write_text(
        f"{head}<style>{STYLE}</style></head><body>{''.join(parts)}</body></html>", encoding="utf-8"
    )
    return [page, *written]


def _drawn(runs: Sequence[Result], scenario: str, seed: int | None, variants: Sequence[str]) -> list[Result]:
    """The runs of one seed that have series, in the order of the variants."""
    its = [run for run in runs if run.scenario == scenario and run.series]
    seeds = sorted({run.seed for run in its if seed is None or run.seed == seed})
    if not seeds:
        return []
    found: dict[str, Any] = {run.variant: run for run in its if run.seed == seeds[0]}
    return [found[name] for name in variants if name in found]
