"""The error of the simulator's wire, and the look-up of the wire's codes that raises it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

T = TypeVar("T")


class WireError(ValueError):
    """A frame that the wire's description does not allow."""


def lookup(table: Mapping[Any, T], code: object, what: str) -> T:
    """Return what a code of the wire stands for.

    Raises:
        WireError: the code is unknown; the message names it and what it should be.
    """
    if not isinstance(code, str | int) or code not in table:
        raise WireError(f"unknown {what} {code!r:.60}")
    return table[code]
