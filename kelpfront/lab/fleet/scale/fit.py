"""Straight lines through measured points, and whether the points lie on one. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any

import numpy as np

STRAIGHT = 0.1  # of the figure's range: a point farther off the line says that it is none
FLAT = 0.1  # of the figure's mean: a range below it is noise about a level, not a slope


@dataclass(frozen=True, slots=True)
class Fit:
    """figure = intercept + slope * size. `se` is the slope's standard error, None with two points.

    `residual_most` is the largest distance of a size's mean from the line, as a share of the means' range.
    """

    intercept: float
    slope: float
    se: float | None
    r2: float
    residuals: list[float]
    residual_most: float
    straight: bool
    points: list[tuple[float, float]]

    def json(self) -> dict[str, Any]:
        return asdict(self)


def fit(points: Sequence[tuple[float, float]]) -> Fit:
    """By least squares; ValueError with fewer than two sizes."""
    sizes = np.array([size for size, _ in points], dtype=float)
    figures = np.array([figure for _, figure in points], dtype=float)
    if len(set(sizes.tolist())) < 2:
        raise ValueError("two sizes at least are wanted")
    matrix = np.column_stack([np.ones_like(sizes), sizes])
    (intercept, slope), *_ = np.linalg.lstsq(matrix, figures, rcond=None)
    residuals = figures - matrix @ np.array([intercept, slope])
    left = float(residuals @ residuals)
    about_mean = float(((figures - figures.mean()) ** 2).sum())
    free = len(points) - 2
    se = float(np.sqrt(left / free / ((sizes - sizes.mean()) ** 2).sum())) if free else None
    means = np.array([figures[sizes == size].mean() for size in np.unique(sizes)])
    off = means - (intercept + slope * np.unique(sizes))
    extent = float(means.max() - means.min())
    most = float(np.abs(off).max()) / extent if extent else 0.0
    flat = extent <= FLAT * abs(float(figures.mean()))
    return Fit(
        intercept=float(intercept),
        slope=float(slope),
        se=se,
        r2=1.0 - left / about_mean if about_mean else 1.0,
        residuals=[float(value) for value in residuals],
        residual_most=most,
        straight=flat or most <= STRAIGHT,
        points=[(float(size), float(figure)) for size, figure in points],
    )
