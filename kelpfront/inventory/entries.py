"""Types and constants that the CSV and YAML readers share: columns, values with positions, host entries.

The readers create entries from a file, and `builder` validates them.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

REQUIRED_COLUMNS = ("kind", "rack", "room")
OPTIONAL_COLUMNS = ("cores", "memory", "address", "port")

MAX_HOSTS = 100_000  # per file; bounds the hosts that a mistyped range can expand to


@dataclass(frozen=True, slots=True)
class SourceValue:
    """A value and its position in the file, counted from 1."""

    text: str
    line: int
    column: int


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One host as written in the file: its name, and its values by column."""

    host: SourceValue
    values: Mapping[str, SourceValue]

    def given(self, column: str) -> SourceValue | None:
        """Return the value of a column, or None if it is absent or empty."""
        value = self.values.get(column)
        return value if value is not None and value.text else None


def position_after(text: str) -> SourceValue:
    """Return an empty value at the position just after the end of a text."""
    last_line = text.rsplit("\n", 1)[-1]
    return SourceValue("", text.count("\n") + 1, len(last_line) + 1)
