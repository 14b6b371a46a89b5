"""The error of the simulator's protocol, and a lookup of codes that raises it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

T = TypeVar("T")


class WireError(ValueError):
    """Raised for data that the simulator's protocol does not allow."""


def lookup(table: Mapping[Any, T], code: object, what: str) -> T:
    """Return the value that a protocol code stands for.

    Raises:
        WireError: the code is unknown; the message holds the code and its kind, `what`.
    """
    if not isinstance(code, str | int) or code not in table:
        raise WireError(f"unknown {what} {code!r:.60}")
    return table[code]
