"""The records in the agent's state, attempts of tasks and how they ended, and their encoding as rows."""

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
    """How a task ended. Stored as JSON under the names of the fields."""

    cause: GoneCause
    ran: bool
    exit_code: int | None = None
    cpu_s: float | None = None
    message: str = ""


@dataclass(slots=True)
class TaskRecord:
    """One recorded attempt.

    Attributes:
        request: the offer, with its placer.
        boot_id: the host's boot in which the intent to start was recorded.
        since: when the intent was recorded, in milliseconds of the cluster's clock.
        started_attempt: the attempt that started the process, and whose folder the process uses; `request` is
            of a later attempt if that superseded it.
        end: how the attempt ended, or None.
        end_seq: the sequence number of the message that reported the end.
        end_acknowledged: whether the placer has acknowledged that message.
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
        """The key of the recorded attempt."""
        return TaskKey(self.request.offer.task, self.request.offer.attempt)

    def report(self) -> TaskReport:
        """Return the report of an ended task for its placer."""
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
    """The state as read at startup.

    Attributes:
        records: all recorded attempts.
        metadata: named values of the agent.
        quarantine: the folder that a damaged state was moved to, or None.
        damage: a description of the damage.
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
    """Decode a row with the columns of `state_database.SELECT_TASKS`.

    Raises msgspec.DecodeError, TypeError or ValueError if the row is damaged.
    """
    placer, incarnation, offer, boot_id, since, started_attempt, end, end_seq, acknowledged = row
    request = OfferRequest(placer, incarnation, decode_offer(offer))
    decoded_end = None if end is None else msgspec.json.decode(end, type=TaskEnd)
    return TaskRecord(request, boot_id, since, started_attempt, decoded_end, end_seq, bool(acknowledged))
