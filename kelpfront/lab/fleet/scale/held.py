"""Whether hollow placers may stand for real ones: what list and workers see of either. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

HELD_WITHIN = 0.1  # of what all real ones come to
SEEN = (
    ("workers", "tests_s"),
    ("workers", "messages_in_s"),
    ("workers", "messages_out_s"),
    ("workers", "bytes_in_s"),
    ("workers", "bytes_out_s"),
    ("workers", "connections"),
    ("list", "asks_s"),
    ("list", "bytes_in_s"),
    ("list", "bytes_out_s"),
)


def seen(point: dict[str, Any], of: str, figure: str) -> float:
    """One figure of the workers, or of all regions' lists together."""
    part = point[of]
    return float(sum(one[figure] for one in part) if isinstance(part, list) else part[figure])


def held_against_real(points: Sequence[dict[str, Any]]) -> dict[str, Any]:
    """Each point against the one with the most real placers; `held` where all differ by less than a tenth."""
    most = max(points, key=lambda point: int(point["sizes"]["real"]))
    rows = []
    for of, figure in SEEN:
        real = seen(most, of, figure)
        values = {str(point["sizes"]["real"]): seen(point, of, figure) for point in points}
        differs = max(abs(value - real) for value in values.values()) / real if real else 0.0
        rows.append(
            {
                "of": of,
                "figure": figure,
                "by_real": values,
                "differs": round(differs, 4),
                "held": differs < HELD_WITHIN,
            }
        )
    return {"within": HELD_WITHIN, "held": all(row["held"] for row in rows), "rows": rows}
