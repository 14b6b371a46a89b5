"""Means with confidence intervals, and pairs of runs of one scenario and seed. No I/O.

Intervals are by the bootstrap (Efron 1979), percentile method, of a stated seed: the same results give the
same intervals. A difference is called clear where its interval does not hold 0.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

import numpy as np

from kelpfront.lab.experiments.measures import MEASURES
from kelpfront.lab.experiments.results import Result

RESAMPLES = 4_000
LEVEL = 0.95


@dataclass(frozen=True, slots=True)
class Estimate:
    """A mean with its interval; both ends are the mean where there are too few runs to say more."""

    mean: float
    low: float
    high: float
    runs: int

    @property
    def clear(self) -> bool:
        return self.runs > 1 and (self.low > 0.0 or self.high < 0.0)


def estimate(values: Sequence[float]) -> Estimate:
    from scipy.stats import bootstrap

    mean = float(np.mean(values))
    if len(values) < 2 or min(values) == max(values):
        return Estimate(mean, mean, mean, len(values))
    found: Any = bootstrap(
        (np.asarray(values),),
        np.mean,
        confidence_level=LEVEL,
        n_resamples=RESAMPLES,
        method="percentile",
        rng=np.random.default_rng(1),
    )
    return Estimate(
        mean, float(found.confidence_interval.low), float(found.confidence_interval.high), len(values)
    )


@dataclass(frozen=True, slots=True)
class Row:
    """One measure of one variant in one scenario, and against the baseline on the same seeds."""

    scenario: str
    variant: str
    measure: str
    own: Estimate
    against: Estimate | None  # None for the baseline itself, and where no pair was run

    @property
    def verdict(self) -> str:
        """better, worse, or "" where nothing is clear or neither is better."""
        more_is_better = MEASURES[self.measure][2]
        if self.against is None or not self.against.clear or more_is_better is None:
            return ""
        return "better" if (self.against.mean > 0) == more_is_better else "worse"


def compare(results: Iterable[Result], baseline: str) -> list[Row]:
    """All measures of all variants, in the order of the results."""
    by: dict[tuple[str, str], dict[int, dict[str, float]]] = {}
    for one in results:
        if not one.error:
            by.setdefault((one.scenario, one.variant), {})[one.seed] = one.measures
    rows = []
    for (scenario, variant), seeds in by.items():
        base = by.get((scenario, baseline), {})
        shared = sorted(set(seeds) & set(base))
        for name in MEASURES:
            own = estimate([seeds[seed][name] for seed in sorted(seeds)])
            against = None
            if variant != baseline and shared:
                against = estimate([seeds[seed][name] - base[seed][name] for seed in shared])
            rows.append(Row(scenario, variant, name, own, against))
    return rows
