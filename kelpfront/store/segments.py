"""Which files form a log, in which order they are read, and which can be removed. No I/O.

A log consists of segments `log-N`, where N is the sequence number of the first record in the file, and of
snapshots `snapshot-S`, which hold the state after all records up to S. A file that is being written has the
suffix `.part` and does not count until it is renamed. Bytes within a file are the matter of `records`.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from kelpfront.store.errors import LogCorruptedError
from kelpfront.store.records import DamageKind, FileScan, LogRecord

SEQUENCE_DIGITS = 20  # of a 64-bit number, so that names sort as their numbers do
PARTIAL_SUFFIX = ".part"
_FILE_NAME = re.compile(rf"(log|snapshot)-([0-9]{{{SEQUENCE_DIGITS}}})")


def segment_name(first_sequence: int) -> str:
    """Return the file name of the segment that begins with this record."""
    return f"log-{first_sequence:0{SEQUENCE_DIGITS}}"


def snapshot_name(last_sequence: int) -> str:
    """Return the file name of the snapshot of all records up to this one."""
    return f"snapshot-{last_sequence:0{SEQUENCE_DIGITS}}"


@dataclass(frozen=True, slots=True)
class LogFiles:
    """The files of a log's directory, each kind in ascending order.

    `snapshots` are the last sequence numbers of snapshots and `segments` the first ones of segments.
    `partial` are files whose writing a crash interrupted; `unrelated` files do not belong to the log.
    """

    snapshots: tuple[int, ...]
    segments: tuple[int, ...]
    partial: tuple[str, ...]
    unrelated: tuple[str, ...]

    @property
    def latest_snapshot(self) -> int | None:
        """The last sequence number of the latest snapshot, or None without one."""
        return self.snapshots[-1] if self.snapshots else None

    def segments_to_read(self) -> tuple[int, ...]:
        """Return the segments that may hold a record after the latest snapshot.

        These are all from the last segment that begins at or before the first such record.
        """
        first_needed = 0 if self.latest_snapshot is None else self.latest_snapshot + 1
        not_after = [first for first in self.segments if first <= first_needed]
        start = not_after[-1] if not_after else -1
        return tuple(first for first in self.segments if first >= start)

    def removable(self) -> tuple[str, ...]:
        """Return the names that the latest snapshot supersedes, and those that crashes left."""
        if self.latest_snapshot is None:
            return self.partial
        retained = self.segments_to_read()
        old_snapshots = [snapshot_name(last) for last in self.snapshots[:-1]]
        old_segments = [segment_name(first) for first in self.segments if first not in retained]
        return (*self.partial, *old_snapshots, *old_segments)


def classify_files(names: Iterable[str]) -> LogFiles:
    """Sort the names of a directory by what they mean for the log."""
    snapshots: list[int] = []
    segments: list[int] = []
    partial: list[str] = []
    unrelated: list[str] = []
    for name in sorted(names):
        match = _FILE_NAME.fullmatch(name)
        if match is not None:
            numbers = segments if match[1] == "log" else snapshots
            numbers.append(int(match[2]))
        elif name.endswith(PARTIAL_SUFFIX) and _FILE_NAME.fullmatch(name.removesuffix(PARTIAL_SUFFIX)):
            partial.append(name)
        else:
            unrelated.append(name)
    return LogFiles(tuple(snapshots), tuple(segments), tuple(partial), tuple(unrelated))


@dataclass(frozen=True, slots=True)
class ScannedSegment:
    """A segment, by the sequence number in its name, and what its file holds."""

    first_sequence: int
    scan: FileScan

    @property
    def name(self) -> str:
        """The file's name."""
        return segment_name(self.first_sequence)


@dataclass(frozen=True, slots=True)
class RecoveredRecords:
    """The records after the snapshot, and the sequence number of the next one.

    `torn_tails` has a message for each torn tail. `empty_segments` are names of files without an intact
    record, which must be removed because a new segment needs the name.
    """

    records: tuple[LogRecord, ...]
    next_sequence: int
    torn_tails: tuple[str, ...]
    empty_segments: tuple[str, ...]


def join_segments(segments: Sequence[ScannedSegment], snapshot: int | None) -> RecoveredRecords:
    """Join the records of segments that are given in their order.

    A torn tail is accepted only where nothing follows it: in the last segment, or in one whose successor
    begins with the very record that is torn, because an earlier recovery continued there.

    Raises LogCorruptedError where durable records are missing.
    """
    join = _SegmentJoin(0 if snapshot is None else snapshot)
    for position, segment in enumerate(segments):
        successor = segments[position + 1] if position + 1 < len(segments) else None
        join.add(segment, successor)
    return join.result()


class _SegmentJoin:
    """The state of one `join_segments`."""

    def __init__(self, snapshot_sequence: int) -> None:
        self._snapshot_sequence = snapshot_sequence
        self._expected_sequence = snapshot_sequence + 1
        self._records: list[LogRecord] = []
        self._torn_tails: list[str] = []
        self._empty_segments: list[str] = []

    def result(self) -> RecoveredRecords:
        return RecoveredRecords(
            tuple(self._records),
            self._expected_sequence,
            tuple(self._torn_tails),
            tuple(self._empty_segments),
        )

    def add(self, segment: ScannedSegment, successor: ScannedSegment | None) -> None:
        name, scan = segment.name, segment.scan
        self._check_damage(segment)
        if scan.header is None:
            if successor is not None:
                raise LogCorruptedError(f"{name}: its header is missing, and {successor.name} follows")
            self._empty_segments.append(name)
            return
        if scan.header.first_sequence != segment.first_sequence:
            raise LogCorruptedError(f"{name}: begins with record {scan.header.first_sequence}")
        if segment.first_sequence > self._expected_sequence:
            raise LogCorruptedError(
                f"{name}: begins with record {segment.first_sequence} "
                f"where {self._expected_sequence} was expected"
            )
        self._add_records(segment)
        name_is_needed = segment.first_sequence == self._expected_sequence
        if successor is None and not scan.records and name_is_needed:
            self._empty_segments.append(name)

    def _check_damage(self, segment: ScannedSegment) -> None:
        damage = segment.scan.damage
        if damage is None:
            return
        message = f"{segment.name}: byte {damage.offset}: {damage.message}"
        if damage.kind is DamageKind.GAP:
            raise LogCorruptedError(message)
        self._torn_tails.append(message)

    def _add_records(self, segment: ScannedSegment) -> None:
        for record in segment.scan.records:
            if record.sequence >= self._expected_sequence:
                self._records.append(record)
                self._expected_sequence = record.sequence + 1
            elif record.sequence > self._snapshot_sequence:
                raise LogCorruptedError(f"{segment.name}: record {record.sequence} is there twice")
