"""Pictures of results, by matplotlib, without a screen."""

from __future__ import annotations

import io
from collections.abc import Sequence
from typing import Any

import matplotlib as mpl

mpl.use("Agg")
import matplotlib.pyplot as plt
import numpy as np
from matplotlib.figure import Figure
from matplotlib.lines import Line2D
from matplotlib.ticker import NullFormatter, ScalarFormatter

from kelpfront.degradation import Level
from kelpfront.lab.experiments.compare import Row
from kelpfront.lab.experiments.measures import MEASURES

# Colours that are told apart with any eyes (Okabe and Ito), each with one meaning over all plots.
BLUE, ORANGE, GREEN, RED, PURPLE, GREY = "#0072B2", "#E69F00", "#009E73", "#D55E00", "#CC79A7", "#888888"
COUNT_COLOURS = {"Placed": GREEN, "Refused": ORANGE, "Rejected": GREY, "Failed": RED}
SERIES_COLOURS = (BLUE, ORANGE, GREEN, RED, PURPLE, GREY)
REASONS_MOST = 6
FAULTS_MOST = 40
WIDTH = 6.4  # inches of one column


def png(figure: Figure) -> bytes:
    data = io.BytesIO()
    figure.savefig(data, format="png", dpi=110)
    plt.close(figure)
    return data.getvalue()


def summary(rows: Sequence[Row], names: Sequence[str]) -> Figure:
    """Means with intervals: a panel a measure, a line a scenario, a colour a variant."""
    scenarios = list(dict.fromkeys(row.scenario for row in rows))
    variants = list(dict.fromkeys(row.variant for row in rows))
    by = {(row.scenario, row.variant, row.measure): row.own for row in rows}
    columns = 3
    lines = -(-len(names) // columns)
    height = 0.9 + 0.22 * len(variants) * len(scenarios)
    figure, axes = plt.subplots(
        lines, columns, figsize=(4.6 * columns, lines * height + 0.6), squeeze=False, layout="constrained"
    )
    for number, axis in enumerate(axes.flat):
        if number >= len(names):
            axis.set_visible(False)
            continue
        name = names[number]
        about, unit, more_is_better = MEASURES[name]
        for place, scenario in enumerate(scenarios):
            for order, variant in enumerate(variants):
                found = by.get((scenario, variant, name))
                if found is None or found.mean != found.mean:
                    continue
                y = place + (order + 1) / (len(variants) + 1) - 0.5
                colour = SERIES_COLOURS[order % len(SERIES_COLOURS)]
                axis.plot([found.low, found.high], [y, y], color=colour, linewidth=2)
                axis.plot([found.mean], [y], "o", color=colour, markersize=4)
        arrow = {True: " (more is better)", False: " (less is better)", None: ""}[more_is_better]
        axis.set_title(f"{about}{arrow}", fontsize=8)
        axis.set_xlabel(unit, fontsize=8)
        axis.set_yticks(range(len(scenarios)), scenarios if number % columns == 0 else [""] * len(scenarios))
        axis.set_ylim(len(scenarios) - 0.5, -0.5)
        axis.tick_params(labelsize=8)
        axis.grid(axis="x", alpha=0.3)
    handles = [
        Line2D([], [], marker="o", color=SERIES_COLOURS[order % len(SERIES_COLOURS)], label=variant)
        for order, variant in enumerate(variants)
    ]
    figure.legend(handles=handles, loc="outside lower center", ncols=min(6, len(variants)), fontsize=8)
    return figure


def day(title: str, columns: Sequence[tuple[str, dict[str, Any]]]) -> Figure:
    """One day under one variant or several, side by side, second by second."""
    figure, axes = plt.subplots(
        6,
        len(columns),
        figsize=(WIDTH * len(columns), 13),
        squeeze=False,
        sharex="col",
        sharey="row",
        layout="constrained",
        height_ratios=[3, 2, 2, 1.4, 3, 1],
    )
    reasons = _reasons([its for _, its in columns])
    for number, (variant, its) in enumerate(columns):
        column = axes[:, number]
        _answers(column[0], its)
        _refusals(column[1], its, reasons)
        _waits(column[2], its)
        _levels(column[3], its)
        image = _heat(column[4], its)
        _rules(column[5], its)
        column[0].set_title(variant, fontsize=10)
        column[5].set_xlabel("seconds of the day", fontsize=8)
        for axis in column:
            axis.tick_params(labelsize=7)
            axis.set_xlim(0, its["seconds"])
            for begin, lasts, _ in its["faults"][:FAULTS_MOST]:
                axis.axvspan(begin, begin + lasts, color="black", alpha=0.035, linewidth=0)
    labels = (
        "answers a second",
        "not placed,\nby reason",
        "time to the\nanswer, ms",
        "level of\neach placer",
        "machines' load",
        "rules",
    )
    for axis, label in zip(axes[:, 0], labels, strict=True):
        axis.set_ylabel(label, fontsize=8)
    axes[0, -1].legend(loc="upper right", fontsize=7)
    if reasons:
        axes[1, -1].legend(loc="upper right", fontsize=7)
    axes[2, -1].legend(loc="upper right", fontsize=7)
    if image is not None:
        bar = figure.colorbar(image, ax=axes[4, :], pad=0.01)
        bar.set_label("cores asked for, over its own", fontsize=7)
        bar.ax.tick_params(labelsize=7)
    figure.suptitle(f"{title}; shaded: while something is wrong", fontsize=10)
    return figure


def _reasons(all_series: Sequence[dict[str, Any]]) -> list[str]:
    """The most frequent ones; what is left is shown together."""
    totals: dict[str, int] = {}
    for its in all_series:
        for name, counts in its["reasons"].items():
            totals[name] = totals.get(name, 0) + sum(counts)
    return sorted(totals, key=lambda name: -totals[name])[:REASONS_MOST]


def _answers(axis: Any, its: dict[str, Any]) -> None:
    seconds = np.arange(its["seconds"])
    names = [name for name in COUNT_COLOURS if any(its["counts"][name])] or ["Placed"]
    axis.stackplot(
        seconds,
        [its["counts"][name] for name in names],
        labels=[name.lower() for name in names],
        colors=[COUNT_COLOURS[name] for name in names],
        step="post",
    )


def _refusals(axis: Any, its: dict[str, Any], reasons: Sequence[str]) -> None:
    seconds = np.arange(its["seconds"])
    shown = [its["reasons"].get(name, [0] * its["seconds"]) for name in reasons]
    others = [name for name in its["reasons"] if name not in reasons]
    labels = [name.lower().replace("_", " ") for name in reasons]
    if others:
        shown.append([sum(values) for values in zip(*(its["reasons"][name] for name in others), strict=True)])
        labels.append("others")
    if not any(map(any, shown)):
        axis.text(0.5, 0.5, "all placed", transform=axis.transAxes, ha="center", va="center", fontsize=8)
    if shown:
        axis.stackplot(
            seconds, shown, labels=labels, colors=[*SERIES_COLOURS, "#444444"][: len(shown)], step="post"
        )


def _waits(axis: Any, its: dict[str, Any]) -> None:
    seconds = np.arange(its["seconds"])
    for name, label, colour in (("wait_p99", "p99", RED), ("wait_p50", "median", BLUE)):
        values = np.array([np.nan if value is None else max(value, 1.0) for value in its[name]], dtype=float)
        axis.plot(seconds, values, label=label, color=colour, linewidth=1)
    axis.set_yscale("log")
    axis.yaxis.set_major_formatter(ScalarFormatter())
    axis.yaxis.set_minor_formatter(NullFormatter())


def _levels(axis: Any, its: dict[str, Any]) -> None:
    words = [level.api_name for level in Level]
    for number, placer in enumerate(its["placers"]):
        values = [np.nan if row[number] is None else words.index(row[number]) for row in its["levels"]]
        colour = SERIES_COLOURS[number % len(SERIES_COLOURS)]
        axis.step(its["load_at"], values, where="post", color=colour, linewidth=1, label=placer)
    axis.set_yticks(range(len(words)), words)
    axis.set_ylim(-0.4, len(words) - 0.6)


def _heat(axis: Any, its: dict[str, Any]) -> Any:
    if not its["load"]:
        return None
    values = np.array([[np.nan if one is None else one for one in row] for row in its["load"]]).T
    edges = [*its["load_at"], its["load_at"][-1] + 1.0]
    axis.set_facecolor("#dddddd")  # a machine that is down
    image = axis.pcolormesh(
        edges, np.arange(len(its["machines"]) + 1), values, cmap="viridis", vmin=0.0, vmax=2.0, shading="flat"
    )
    axis.set_ylim(0, len(its["machines"]))
    return image


def _rules(axis: Any, its: dict[str, Any]) -> None:
    axis.set_yticks([])
    if not its["violations"]:
        axis.text(0.5, 0.5, "none broken", transform=axis.transAxes, ha="center", va="center", fontsize=8)
        return
    for at, rule in its["violations"]:
        axis.axvline(at, color=RED, linewidth=1)
        axis.text(at, 0.5, rule, rotation=90, fontsize=6, va="center")
