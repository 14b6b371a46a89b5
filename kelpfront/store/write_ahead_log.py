"""A write-ahead log in a directory: appends, group commit, snapshots and recovery.

A record is durable, and survives any crash, once `commit` has returned. Of the records that were appended but
not committed, any prefix may survive a crash. After a failed write or fsync, the log accepts no more records
and must be opened again, because the content of the disk is unknown after a failed fsync
(https://lwn.net/Articles/752063/).

`records` and `snapshots` define the byte format, `segments` the choice of files, and `log_directory` the
access to the file system.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from kelpfront.store.errors import LogCorruptedError, LogFailedError, LogFormatError
from kelpfront.store.log_directory import LogDirectory
from kelpfront.store.records import (
    FileHeader,
    FileScan,
    LogRecord,
    check_payload,
    encode_record,
    scan_file,
)
from kelpfront.store.segments import (
    PARTIAL_SUFFIX,
    ScannedSegment,
    classify_files,
    join_segments,
    segment_name,
    snapshot_name,
)
from kelpfront.store.snapshots import decode_snapshot, encode_snapshot

MAX_UNCOMMITTED_BYTES = 16 << 20  # bounds memory: with this many bytes pending, an append commits them first
MAX_SEGMENT_BYTES = 64 << 20  # bounds what a recovery reads at once; a segment of this size is closed


@dataclass(frozen=True, slots=True)
class RecoveredLog:
    """The result of `open`: the parts of the snapshot (None if there is none) and the records after it.

    `torn_tails` has a message for each torn tail that was dropped.
    """

    snapshot: tuple[bytes, ...] | None
    records: tuple[LogRecord, ...]
    torn_tails: tuple[str, ...]


class WriteAheadLog:
    """A log in `directory`. It is not thread-safe.

    `draw_salt` returns 32 random bits for each file. A segment is closed once it reaches `max_segment_bytes`.
    """

    def __init__(
        self,
        directory: LogDirectory,
        draw_salt: Callable[[], int],
        max_segment_bytes: int = MAX_SEGMENT_BYTES,
    ) -> None:
        self._directory = directory
        self._draw_salt = draw_salt
        self._max_segment_bytes = max_segment_bytes
        self._handle: int | None = None
        self._segment_salt = 0
        self._segment_bytes = 0
        self._next_sequence = 1
        self._durable_sequence = 0
        self._uncommitted: list[bytes] = []
        self._uncommitted_bytes = 0
        self._failure = ""

    @property
    def next_sequence(self) -> int:
        """The sequence number that the next appended record will get."""
        return self._next_sequence

    def open(self) -> RecoveredLog:
        """Recover the snapshot and the records in the directory, and start a new segment.

        Raises LogCorruptedError if durable records are missing; the directory is then unchanged.
        """
        files = classify_files(self._directory.names())
        snapshot = None if files.latest_snapshot is None else self._read_snapshot(files.latest_snapshot)
        first_sequences = files.segments_to_read()
        segments = [ScannedSegment(first, self._scan(segment_name(first))) for first in first_sequences]
        recovered = join_segments(segments, files.latest_snapshot)
        # The data read may still be only in the page cache, and must be durable before new records follow it.
        for segment in segments:
            self._directory.sync_file(segment.name)
        for name in (*recovered.empty_segments, *files.removable()):
            self._directory.remove(name)
        self._next_sequence = recovered.next_sequence
        self._durable_sequence = self._next_sequence - 1
        self._start_segment()
        return RecoveredLog(snapshot, recovered.records, recovered.torn_tails)

    def append(self, payload: bytes) -> int:
        """Add a record and return its sequence number. It is durable once `commit` has returned.

        Raises ValueError for a payload that is empty or too long, and LogFailedError.
        """
        self._check_usable()
        if self._uncommitted_bytes >= MAX_UNCOMMITTED_BYTES:
            self.commit()
        sequence = self._next_sequence
        encoded = encode_record(self._segment_salt, sequence, payload, self._durable_sequence)
        self._uncommitted.append(encoded)
        self._uncommitted_bytes += len(encoded)
        self._next_sequence += 1
        return sequence

    def commit(self) -> int:
        """Make all appended records durable with one fsync, and return the last sequence number.

        Raises LogFailedError.
        """
        self._check_usable()
        if self._uncommitted:
            with self._fail_on_os_error():
                self._write_uncommitted()
        return self._next_sequence - 1

    def snapshot(self, parts: Iterable[bytes]) -> int:
        """Commit, write `parts` as a snapshot of the state after all records, and remove superseded files.

        Returns the sequence number of the last record that the snapshot includes. Raises ValueError for a
        part that is empty or too long, and LogFailedError.
        """
        last_sequence = self.commit()
        state = list(parts)
        for part in state:  # checked before a file is created that could not be completed
            check_payload(part)
        with self._fail_on_os_error():
            name = snapshot_name(last_sequence)
            if name in self._directory.names():
                return last_sequence  # no record was added since that snapshot
            self._write_snapshot(name, state)
            if segment_name(self._next_sequence) not in self._directory.names():
                self._start_next_segment()
            for superseded in classify_files(self._directory.names()).removable():
                self._directory.remove(superseded)
        return last_sequence

    def close(self) -> None:
        """Close the segment without committing appended records."""
        if self._handle is not None:
            with contextlib.suppress(OSError):
                self._directory.close(self._handle)
            self._handle = None

    def _scan(self, name: str) -> FileScan:
        try:
            return scan_file(self._directory.read(name))
        except LogFormatError as error:
            raise LogCorruptedError(f"{name}: {error}") from error

    def _read_snapshot(self, last_sequence: int) -> tuple[bytes, ...]:
        name = snapshot_name(last_sequence)
        return decode_snapshot(name, self._scan(name))

    def _start_segment(self) -> None:
        """Create a segment, and make its name and header durable before any record is written to it."""
        self._segment_salt = self._draw_salt()
        handle = self._directory.create(segment_name(self._next_sequence))
        header = FileHeader(self._segment_salt, self._next_sequence).encode()
        self._directory.append(handle, header)
        self._directory.sync(handle)
        self._directory.sync_directory()
        self._handle = handle
        self._segment_bytes = len(header)

    def _start_next_segment(self) -> None:
        assert self._handle is not None
        self._directory.close(self._handle)
        self._start_segment()

    def _write_uncommitted(self) -> None:
        assert self._handle is not None
        data = b"".join(self._uncommitted)
        self._directory.append(self._handle, data)
        self._directory.sync(self._handle)
        self._uncommitted.clear()
        self._uncommitted_bytes = 0
        self._durable_sequence = self._next_sequence - 1
        self._segment_bytes += len(data)
        if self._segment_bytes >= self._max_segment_bytes:
            self._start_next_segment()

    def _write_snapshot(self, name: str, parts: list[bytes]) -> None:
        """Write a snapshot to a partial file, and rename the file once it is durable."""
        handle = self._directory.create(name + PARTIAL_SUFFIX)
        for data in encode_snapshot(self._draw_salt(), parts):
            self._directory.append(handle, data)
        self._directory.sync(handle)
        self._directory.close(handle)
        self._directory.rename(name + PARTIAL_SUFFIX, name)
        self._directory.sync_directory()

    def _check_usable(self) -> None:
        if self._failure:
            raise LogFailedError(self._failure)
        if self._handle is None:
            raise LogFailedError("the log is not open")

    @contextlib.contextmanager
    def _fail_on_os_error(self) -> Iterator[None]:
        try:
            yield
        except OSError as error:
            self._failure = f"a write failed: {error.strerror or error}"
            raise LogFailedError(self._failure) from error
