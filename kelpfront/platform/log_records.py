"""Typed records of the core's log lines: an event name and fields. Pure.

The core does not write to the log; the service drains the records and passes each to structlog.
"""

from __future__ import annotations

from typing import ClassVar

import msgspec


class LogRecord(msgspec.Struct, frozen=True):
    """One log line at level info: `event` is its event name, and the record's fields are its fields."""

    event: ClassVar[str]

    def fields(self) -> dict[str, str | float]:
        """Return the fields of the line."""
        return msgspec.structs.asdict(self)


class MachineEjected(LogRecord, frozen=True):
    """The scheduler ejected a machine.

    Attributes:
        machine: its id in hexadecimal digits.
        scope: the name of the class for which it is ejected; empty for all classes.
        cause: the outcome that led to the ejection.
    """

    event: ClassVar[str] = "machine ejected"
    machine: str
    scope: str
    cause: str
    ejection_ms: float


class LimitReached(LogRecord, frozen=True):
    """A limit was reached for the first time; later times only appear in the periodic counters."""

    event: ClassVar[str] = "limit reached"
    limit: str


class InvalidRequest(LogRecord, frozen=True):
    """A client sent a placement request that violates the protocol; the error names the field."""

    event: ClassVar[str] = "invalid placement request"
    error: str


class EndpointEventsMissing(LogRecord, frozen=True):
    """Events before `index` are missing, or the index decreased; the complete list is requested."""

    event: ClassVar[str] = "endpoint events missing"
    index: int


class OffersPaused(LogRecord, frozen=True):
    """No offers are made, because the coordinator has not answered for so long that machines may drain.

    Attributes:
        since_answer_ms: time since the coordinator's last answer; 0 if there was none.
    """

    event: ClassVar[str] = "offers paused"
    since_answer_ms: float


class OffersResumed(LogRecord, frozen=True):
    """Offers are made again, because the coordinator has answered."""

    event: ClassVar[str] = "offers resumed"
    paused_ms: float


class LogRecords:
    """Records that the service has not logged yet."""

    def __init__(self) -> None:
        self._records: list[LogRecord] = []

    def __len__(self) -> int:
        return len(self._records)

    def add(self, record: LogRecord) -> None:
        """Append a record."""
        self._records.append(record)

    def drain(self) -> list[LogRecord]:
        """Remove and return all records, in order."""
        records = self._records
        self._records = []
        return records
