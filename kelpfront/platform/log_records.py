"""What the core has to log, as typed records: one event name, the rest as fields. Pure.

The core writes no log; the service takes the records and hands each to structlog.
"""

from __future__ import annotations

from typing import ClassVar

import msgspec


class LogRecord(msgspec.Struct, frozen=True):
    """One log line at level info; `event` is its name, the record's fields are the line's."""

    event: ClassVar[str]

    def fields(self) -> dict[str, str | float]:
        """Return the fields of the line."""
        return msgspec.structs.asdict(self)


class MachineEjected(LogRecord, frozen=True):
    """The scheduler ejected a machine.

    Attributes:
        machine: its id in hexadecimal digits.
        scope: name of the class for which it is ejected; empty for all classes.
        cause: the outcome that led to it.
    """

    event: ClassVar[str] = "machine ejected"
    machine: str
    scope: str
    cause: str
    ejection_ms: float


class LimitReached(LogRecord, frozen=True):
    """A bound was reached for the first time; the periodic counters go on counting."""

    event: ClassVar[str] = "limit reached"
    limit: str


class InvalidRequest(LogRecord, frozen=True):
    """A client sent a placement request that the protocol does not allow; the error names the field."""

    event: ClassVar[str] = "invalid placement request"
    error: str


class EndpointEventsMissing(LogRecord, frozen=True):
    """Events before `index` were left out, or the numbers went back; the complete list is requested."""

    event: ClassVar[str] = "endpoint events missing"
    index: int


class LogRecords:
    """The records that the service has not logged yet."""

    def __init__(self) -> None:
        self._records: list[LogRecord] = []

    def __len__(self) -> int:
        return len(self._records)

    def add(self, record: LogRecord) -> None:
        """Append a record."""
        self._records.append(record)

    def drain(self) -> list[LogRecord]:
        """Return all records, which are then gone from here."""
        records = self._records
        self._records = []
        return records
