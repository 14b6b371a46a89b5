"""What the agent's state holds: attempts of tasks, how they ended, and the rows that they are stored as."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from kelpfront.machine.messages import GoneCause, OfferRequest, TaskReport, decode_offer, encode


class TaskKey(NamedTuple):
    """One attempt of a task."""

    task: str
    attempt: int


class TaskEnd(msgspec.Struct, frozen=True, omit_defaults=True):
    """How a task ended. Stored as JSON: its fields' names are those of the file."""

    cause: GoneCause
    ran: bool
    exit_code: int | None = None
    cpu_s: float | None = None
    message: str = ""


@dataclass(slots=True)
class TaskRecord:
    """One attempt on record.

    Attributes:
        request: the offer, and whose it is.
        boot_id: the host's boot in which the start was intended.
        since: when it was intended, in milliseconds of the cluster's clock.
        started_attempt: the attempt that started the process, in whose folder it is; a later attempt may have
            superseded it.
        end: how it ended, if it did.
        end_seq: the number of the message that reported its end.
        end_acknowledged: whether its placer has received that.
    """

    request: OfferRequest
    boot_id: str
    since: float
    started_attempt: int
    end: TaskEnd | None = None
    end_seq: int = 0
    end_acknowledged: bool = False

    @property
    def key(self) -> TaskKey:
        """The attempt that the record is of."""
        return TaskKey(self.request.offer.task, self.request.offer.attempt)

    def report(self) -> TaskReport:
        """Return the report of an ended task to its placer."""
        assert self.end is not None
        return TaskReport(
            self.request.offer,
            self.request.incarnation,
            "ended",
            self.end.cause,
            self.end.exit_code,
            self.end.ran,
            self.end.cpu_s,
            self.end.message,
        )


@dataclass(slots=True)
class StoredState:
    """What was found at start.

    Attributes:
        records: all attempts on record.
        metadata: values of the agent itself, by name.
        quarantine: where a damaged state was moved, if it was.
        damage: what was wrong with it.
    """

    records: list[TaskRecord] = field(default_factory=list)
    metadata: dict[str, str] = field(default_factory=dict)
    quarantine: Path | None = None
    damage: str = ""


def encode_row(record: TaskRecord) -> tuple[Any, ...]:
    """Return the columns of a record, in the table's order."""
    request = record.request
    return (
        *record.key,
        request.placer,
        request.incarnation,
        encode(request.offer),
        record.boot_id,
        record.since,
        record.started_attempt,
        None if record.end is None else msgspec.json.encode(record.end).decode(),
        record.end_seq,
        record.end_acknowledged,
    )


def decode_row(row: Any) -> TaskRecord:
    """Read the columns that `state_database.SELECT_TASKS` names.

    Raises msgspec.DecodeError, TypeError or ValueError where the row is damaged.
    """
    placer, incarnation, offer, boot_id, since, started_attempt, end, end_seq, acknowledged = row
    request = OfferRequest(placer, incarnation, decode_offer(offer))
    decoded_end = None if end is None else msgspec.json.decode(end, type=TaskEnd)
    return TaskRecord(request, boot_id, since, started_attempt, decoded_end, end_seq, bool(acknowledged))
