"""Host names with ranges, as Ansible's inventories have them: `n[01:20]` names twenty hosts."""

from __future__ import annotations

import re

from kelpfront.inventory.entries import MAX_HOSTS

_RANGE = re.compile(r"\[(?P<first>[0-9]+|[a-z]|[A-Z]):(?P<last>[0-9]+|[a-z]|[A-Z])(?::(?P<step>[0-9]+))?\]")


class RangeError(ValueError):
    """Raised for a range that names no hosts, or too many."""


def expand_ranges(pattern: str) -> list[str]:
    """Return the names that a pattern stands for; several ranges in it multiply. Raises RangeError."""
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
        raise RangeError("a range is FIRST:LAST or FIRST:LAST:STEP in brackets")
    return [name + suffix for name in names]


def _values(match: re.Match[str]) -> list[str]:
    first, last = match["first"], match["last"]
    step = _number(match["step"] or "1")
    is_numeric = first.isdigit()
    if is_numeric != last.isdigit() or step < 1:
        raise RangeError(f"{match[0]}: both ends of a range are numbers, or letters")
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
    except ValueError as error:  # more digits than Python converts
        raise RangeError(str(error)) from error
