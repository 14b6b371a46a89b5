"""The slopes as a picture: a column a series, a row a figure, points and the line through them."""

from __future__ import annotations

from typing import Any

import matplotlib as mpl

mpl.use("Agg")
import matplotlib.pyplot as plt

from kelpfront.lab.report.plots import BLUE, GREY, RED, png

ROWS = (
    ("placer", "cpu_share"),
    ("placer", "bytes_s"),
    ("placer", "rss_mb"),
    ("workers", "tests_a_worker_s"),
    ("list", "bytes_out_s"),
)


def plot(slopes: list[dict[str, Any]]) -> bytes:
    """A PNG; a line in red is one on which the points do not lie."""
    sweeps = list(dict.fromkeys(one["sweep"] for one in slopes))
    figure, panels = plt.subplots(
        len(ROWS), len(sweeps), figsize=(2.9 * len(sweeps), 2.3 * len(ROWS)), squeeze=False
    )
    found = {(one["of"], one["figure"], one["sweep"]): one for one in slopes}
    for row, (of, name) in enumerate(ROWS):
        for column, sweep in enumerate(sweeps):
            panel = panels[row][column]
            one = found.get((of, name, sweep))
            if one is None:
                panel.set_visible(False)
                continue
            xs, ys = zip(*one["points"], strict=True)
            panel.plot(xs, ys, "o", color=BLUE, markersize=4)
            ends = [min(xs), max(xs)]
            line = [one["intercept"] + one["slope"] * x for x in ends]
            panel.plot(ends, line, color=GREY if one["straight"] else RED, linewidth=1)
            panel.set_ylim(0, 1.15 * max(max(ys), 1e-9))
            panel.set_xlabel(sweep if one["size"] in sweep else one["size"], fontsize=8)
            panel.tick_params(labelsize=7)
            panel.set_title(f"{of}: {name}, {one['unit']}", fontsize=8)
    figure.tight_layout()
    return png(figure)
