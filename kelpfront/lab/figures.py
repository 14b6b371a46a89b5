"""Figures of measurements, by HdrHistogram."""

from __future__ import annotations

from collections.abc import Sequence

MOST_US = 60 * 60 * 1000 * 1000


def latencies(values: Sequence[float]) -> dict[str, float]:
    """p50, p99 and the most of some milliseconds; three digits of each count."""
    from hdrh.histogram import HdrHistogram

    histogram = HdrHistogram(1, MOST_US, 3)
    for value in values:
        histogram.record_value(max(1, round(value * 1000)))
    found = {"p50": histogram.get_value_at_percentile(50), "p99": histogram.get_value_at_percentile(99)}
    return {
        **{name: round(value / 1000, 3) for name, value in found.items()},
        "max": round(max(values, default=0.0), 3),
    }
