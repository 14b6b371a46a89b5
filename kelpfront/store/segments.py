"""Determines which files form a log, in which order they are read, and which can be removed. No I/O.

A log consists of segments `log-N`, where N is the sequence number of the first record in the file, and of
snapshots `snapshot-S`, which contain the state after all records up to S. A snapshot that is being written
has the suffix `.part` and does not belong to the log until it is renamed. `records` defines the bytes within
a file.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from kelpfront.store.errors import LogCorruptedError
from kelpfront.store.records import DamageKind, FileScan, LogRecord

SEQUENCE_DIGITS = 20  # fits a 64-bit number; with leading zeros, names sort in the order of their numbers
PARTIAL_SUFFIX = ".part"
_FILE_NAME = re.compile(rf"(log|snapshot)-([0-9]{{{SEQUENCE_DIGITS}}})")


def segment_name(first_sequence: int) -> str:
    """Return the file name of the segment that starts with this record."""
    return f"log-{first_sequence:0{SEQUENCE_DIGITS}}"


def snapshot_name(last_sequence: int) -> str:
    """Return the file name of the snapshot of all records up to this one."""
    return f"snapshot-{last_sequence:0{SEQUENCE_DIGITS}}"


@dataclass(frozen=True, slots=True)
class LogFiles:
    """The files of a log directory, each kind in ascending order.

    `snapshots` has the last sequence number of each snapshot, `segments` the first of each segment. `partial`
    names the files that a crash left incomplete; `unrelated` names the files that do not belong to the log.
    """

    snapshots: tuple[int, ...]
    segments: tuple[int, ...]
    partial: tuple[str, ...]
    unrelated: tuple[str, ...]

    @property
    def latest_snapshot(self) -> int | None:
        """The last sequence number of the latest snapshot, or None if there is no snapshot."""
        return self.snapshots[-1] if self.snapshots else None

    def segments_to_read(self) -> tuple[int, ...]:
        """Return the segments that may hold a record after the latest snapshot.

        These are the last segment that starts at or before the first such record, and all later ones.
        """
        first_needed = 0 if self.latest_snapshot is None else self.latest_snapshot + 1
        at_or_before = [first for first in self.segments if first <= first_needed]
        start = at_or_before[-1] if at_or_before else -1
        return tuple(first for first in self.segments if first >= start)

    def removable(self) -> tuple[str, ...]:
        """Return the names of the files that the latest snapshot supersedes, and of partial files."""
        if self.latest_snapshot is None:
            return self.partial
        retained = self.segments_to_read()
        old_snapshots = [snapshot_name(last) for last in self.snapshots[:-1]]
        old_segments = [segment_name(first) for first in self.segments if first not in retained]
        return (*self.partial, *old_snapshots, *old_segments)


def classify_files(names: Iterable[str]) -> LogFiles:
    """Classify the file names of a directory by their role in the log."""
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
    """The content of a segment file, and the sequence number in its name."""

    first_sequence: int
    scan: FileScan

    @property
    def name(self) -> str:
        """The name of the file."""
        return segment_name(self.first_sequence)


@dataclass(frozen=True, slots=True)
class RecoveredRecords:
    """The records after the snapshot, and the next sequence number to assign.

    `torn_tails` has a message for each torn tail. `empty_segments` names the files without an intact record
    that must be removed, because the next segment will have the same name.
    """

    records: tuple[LogRecord, ...]
    next_sequence: int
    torn_tails: tuple[str, ...]
    empty_segments: tuple[str, ...]


def join_segments(segments: Sequence[ScannedSegment], snapshot: int | None) -> RecoveredRecords:
    """Join the records of segments, which are given in ascending order.

    A torn tail is accepted only if no record is missing after it: in the last segment, or in a segment whose
    successor starts with the sequence number of the torn record, because an earlier recovery continued there.

    Raises LogCorruptedError if durable records are missing.
    """
    joiner = _SegmentJoiner(0 if snapshot is None else snapshot)
    for position, segment in enumerate(segments):
        successor = segments[position + 1] if position + 1 < len(segments) else None
        joiner.add(segment, successor)
    return joiner.result()


class _SegmentJoiner:
    """Collects the records and checks that the segments follow each other without a gap."""

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
                raise LogCorruptedError(f"{name}: the header is missing, but {successor.name} follows")
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
        is_next_segment_name = segment.first_sequence == self._expected_sequence
        if successor is None and not scan.records and is_next_segment_name:
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
                raise LogCorruptedError(f"{segment.name}: record {record.sequence} is duplicated")
