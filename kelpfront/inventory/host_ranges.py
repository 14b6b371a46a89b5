"""Expands the ranges in host names of Ansible inventories: `n[01:20]` stands for twenty hosts."""

from __future__ import annotations

import re

from kelpfront.inventory.entries import MAX_HOSTS

_RANGE = re.compile(r"\[(?P<first>[0-9]+|[a-z]|[A-Z]):(?P<last>[0-9]+|[a-z]|[A-Z])(?::(?P<step>[0-9]+))?\]")


class RangeError(ValueError):
    """Raised for a range that is malformed, contains no hosts, or contains too many."""


def expand_ranges(pattern: str) -> list[str]:
    """Return the host names of a pattern, every combination of its ranges. Raises RangeError."""
    names = [""]
    offset = 0
    for match in _RANGE.finditer(pattern):
        values = _values(match)
        if len(names) * len(values) > MAX_HOSTS:
            raise RangeError(f"more than {MAX_HOSTS} hosts")
        prefix = pattern[offset : match.start()]
        names = [name + prefix + value for name in names for value in values]
        offset = match.end()
    suffix = pattern[offset:]
    if "[" in suffix or "]" in suffix:
        raise RangeError("expected a range as [FIRST:LAST] or [FIRST:LAST:STEP]")
    return [name + suffix for name in names]


def _values(match: re.Match[str]) -> list[str]:
    first, last = match["first"], match["last"]
    step = _number(match["step"] or "1")
    is_numeric = first.isdigit()
    if is_numeric != last.isdigit() or step < 1:
        raise RangeError(
            f"{match[0]}: the ends of a range must both be numbers or both letters, and its step at least 1"
        )
    low = _number(first) if is_numeric else ord(first)
    high = _number(last) if is_numeric else ord(last)
    if high < low:
        raise RangeError(f"{match[0]}: the range ends before it begins")
    if high - low > MAX_HOSTS * step:
        raise RangeError(f"{match[0]}: more than {MAX_HOSTS} hosts")
    numbers = range(low, high + 1, step)
    if not is_numeric:
        return [chr(number) for number in numbers]
    width = len(first) if first.startswith("0") else 0
    return [str(number).zfill(width) for number in numbers]


def _number(digits: str) -> int:
    try:
        return int(digits)
    except ValueError as error:  # the text has more digits than int() converts
        raise RangeError(str(error)) from error
