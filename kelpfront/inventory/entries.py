"""What both formats of inventories have in common: the columns, and values with their positions.

The readers make entries from a file; whether an entry describes a host is left to `builder`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

REQUIRED_COLUMNS = ("kind", "rack", "room")
OPTIONAL_COLUMNS = ("cores", "memory", "address", "port")

MAX_HOSTS = 100_000  # of one file; bounds what a mistaken range can make


@dataclass(frozen=True, slots=True)
class SourceValue:
    """A value and its position in the file, counted from 1."""

    text: str
    line: int
    column: int


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One host as a file has it: its name, and its values by column."""

    host: SourceValue
    values: Mapping[str, SourceValue]

    def given(self, column: str) -> SourceValue | None:
        """Return the value of a column; None where it is absent or empty."""
        value = self.values.get(column)
        return value if value is not None and value.text else None


def position_after(text: str) -> SourceValue:
    """Return the position just behind the end of a text, with an empty value."""
    last_line = text.rsplit("\n", 1)[-1]
    return SourceValue("", text.count("\n") + 1, len(last_line) + 1)
