"""Parses and formats durations and sizes as people write them: `700 ms`, `5s`, `1.5 h`, `64 KiB`.

A number without a unit is rejected, except a duration of 0, so that nobody has to guess whether `5` means
seconds or milliseconds.
"""

from __future__ import annotations

import math
import re

_QUANTITY = re.compile(r"\s*(?P<number>[0-9]+(?:\.[0-9]+)?)\s*(?P<unit>[A-Za-z]+)\s*")
_MS_OF_UNIT = {"us": 0.001, "ms": 1.0, "s": 1_000.0, "m": 60_000.0, "min": 60_000.0, "h": 3_600_000.0}
_FORMATTED_UNITS = ("h", "m", "s")
_SMALLEST_DURATION_MS = 0.001
_BYTES_OF_UNIT = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}

DURATION_FORM = "a number and a unit: " + ", ".join(_MS_OF_UNIT)
SIZE_FORM = "a whole number and a unit: " + ", ".join(_BYTES_OF_UNIT)


def parse_duration(text: str) -> float:
    """Return the milliseconds of a duration such as `700 ms`.

    Raises:
        ValueError: the text is not a duration; the message says what is allowed.
    """
    if text.strip() == "0":
        return 0.0
    match = _QUANTITY.fullmatch(text)
    if match is None or match["unit"] not in _MS_OF_UNIT:
        raise ValueError(f"{text!r} is not a duration: {DURATION_FORM}")
    return float(match["number"]) * _MS_OF_UNIT[match["unit"]]


def format_duration(ms: float) -> str:
    """Return the shortest exact text of a duration in milliseconds; `parse_duration` reads it back.

    Raises:
        ValueError: the duration is negative or not finite.
    """
    if not math.isfinite(ms) or ms < 0:
        raise ValueError(f"{ms!r} ms is not a duration")
    for unit in _FORMATTED_UNITS:
        unit_ms = _MS_OF_UNIT[unit]
        if ms >= unit_ms and ms % unit_ms == 0:
            return f"{ms / unit_ms:.0f}{unit}"
    if 0 < ms < _SMALLEST_DURATION_MS:
        ms = _SMALLEST_DURATION_MS
    return f"{ms:.15g}ms"


def parse_size(text: str) -> int:
    """Return the bytes of a size such as `64 KiB`.

    Raises:
        ValueError: the text is not a size; the message says what is allowed.
    """
    match = _QUANTITY.fullmatch(text)
    if match is None or match["unit"] not in _BYTES_OF_UNIT or "." in match["number"]:
        raise ValueError(f"{text!r} is not a size: {SIZE_FORM}")
    return int(match["number"]) * _BYTES_OF_UNIT[match["unit"]]


def format_size(size: int) -> str:
    """Return the shortest exact text of a size in bytes; `parse_size` reads it back."""
    for unit, unit_bytes in reversed(_BYTES_OF_UNIT.items()):
        if size >= unit_bytes and size % unit_bytes == 0:
            return f"{size // unit_bytes} {unit}"
    return f"{size} B"
