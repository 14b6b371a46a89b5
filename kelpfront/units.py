"""Durations and sizes as people write them: `700 ms`, `5s`, `1.5 h`, `64 KiB`.

A number without a unit is not taken: whether `5` means seconds or milliseconds is the mistake that these
readers are there to prevent.
"""

from __future__ import annotations

import math
import re

_QUANTITY = re.compile(r"\s*(?P<number>[0-9]+(?:\.[0-9]+)?)\s*(?P<unit>[A-Za-z]+)\s*")
_DURATIONS_MS = {"us": 0.001, "ms": 1.0, "s": 1_000.0, "m": 60_000.0, "min": 60_000.0, "h": 3_600_000.0}
_SIZES = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}

DURATION_FORM = "a number and a unit: " + ", ".join(_DURATIONS_MS)
SIZE_FORM = "a whole number and a unit: " + ", ".join(_SIZES)


def parse_duration(text: str) -> float:
    """Milliseconds of a duration such as `700 ms`; ValueError says what is allowed."""
    if text.strip() == "0":
        return 0.0
    match = _QUANTITY.fullmatch(text)
    if match is None or match["unit"] not in _DURATIONS_MS:
        raise ValueError(f"{text!r} is not a duration: {DURATION_FORM}")
    return float(match["number"]) * _DURATIONS_MS[match["unit"]]


def format_duration(ms: float) -> str:
    """The shortest exact form of a duration in milliseconds that `parse_duration` reads back."""
    if not math.isfinite(ms) or ms < 0:
        raise ValueError(f"{ms!r} ms is not a duration")
    for unit, scale in (("h", 3_600_000.0), ("m", 60_000.0), ("s", 1_000.0)):
        if ms >= scale and ms % scale == 0:
            return f"{ms / scale:.0f}{unit}"
    return f"{ms:.15g}ms" if ms >= 0.001 or ms == 0 else "0.001ms"


def parse_size(text: str) -> int:
    """Bytes of a size such as `64 KiB`; ValueError says what is allowed."""
    match = _QUANTITY.fullmatch(text)
    if match is None or match["unit"] not in _SIZES or "." in match["number"]:
        raise ValueError(f"{text!r} is not a size: {SIZE_FORM}")
    return int(match["number"]) * _SIZES[match["unit"]]


def format_size(size: int) -> str:
    """The shortest exact form of a size in bytes that `parse_size` reads back."""
    for unit, scale in reversed(_SIZES.items()):
        if size >= scale and size % scale == 0:
            return f"{size // scale} {unit}"
    return f"{size} B"
