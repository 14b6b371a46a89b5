"""A write-ahead log in a directory: appends, group commit, snapshots and recovery.

A record is durable, and present after any crash, once `commit` has returned. Of the records that were
appended and not committed, any prefix may survive. A write or commit that fails ends the log, because after a
failed fsync it is unknown what the disk holds (https://lwn.net/Articles/752063/); it must be opened again.

The byte format is left to `records` and `snapshots`, the choice of files to `segments`, and the file system
to `log_directory`.
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

MAX_UNCOMMITTED_BYTES = 16 << 20  # bounds memory: an append that finds so much commits it first
MAX_SEGMENT_BYTES = 64 << 20  # bounds what one recovery reads at once; then the next segment is begun


@dataclass(frozen=True, slots=True)
class RecoveredLog:
    """What `open` found: the snapshot's parts (None without one), the records after it, and torn tails."""

    snapshot: tuple[bytes, ...] | None
    records: tuple[LogRecord, ...]
    torn_tails: tuple[str, ...]


class WriteAheadLog:
    """A log in `directory`. It is not safe for use by several threads.

    `draw_salt` returns 32 random bits for each file. A segment is closed when it has `max_segment_bytes`.
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
        """The sequence number of the next record that is appended."""
        return self._next_sequence

    def open(self) -> RecoveredLog:
        """Recover what the directory holds, and begin a new segment after it.

        Raises LogCorruptedError where durable records are missing; then nothing was changed.
        """
        files = classify_files(self._directory.names())
        snapshot = None if files.latest_snapshot is None else self._read_snapshot(files.latest_snapshot)
        to_read = files.segments_to_read()
        segments = [ScannedSegment(first, self._scan(segment_name(first))) for first in to_read]
        recovered = join_segments(segments, files.latest_snapshot)
        # What was read may be in the host's memory only, and must be durable before anything follows it.
        for segment in segments:
            self._directory.sync_file(segment.name)
        for name in (*recovered.empty_segments, *files.removable()):
            self._directory.remove(name)
        self._next_sequence = recovered.next_sequence
        self._durable_sequence = self._next_sequence - 1
        self._begin_segment()
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
        """Make all appended records durable with one fsync, and return the last one's sequence number.

        Raises LogFailedError.
        """
        self._check_usable()
        if self._uncommitted:
            with self._failing_on_os_error():
                self._write_uncommitted()
        return self._next_sequence - 1

    def snapshot(self, parts: Iterable[bytes]) -> int:
        """Commit, store `parts` as the state after all records so far, and remove the files it supersedes.

        Returns the sequence number of the last record that the snapshot includes. Raises ValueError for a
        part that is empty or too long, and LogFailedError.
        """
        last_sequence = self.commit()
        state = list(parts)
        for part in state:  # before a file is begun, which could not be completed
            check_payload(part)
        with self._failing_on_os_error():
            name = snapshot_name(last_sequence)
            if name in self._directory.names():
                return last_sequence  # no record was added since
            self._write_snapshot(name, state)
            if segment_name(self._next_sequence) not in self._directory.names():
                self._begin_next_segment()
            for superseded in classify_files(self._directory.names()).removable():
                self._directory.remove(superseded)
        return last_sequence

    def close(self) -> None:
        """Close the segment without a commit."""
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

    def _begin_segment(self) -> None:
        """Create a segment; its name and header are durable before the first record is written."""
        self._segment_salt = self._draw_salt()
        handle = self._directory.create(segment_name(self._next_sequence))
        header = FileHeader(self._segment_salt, self._next_sequence).encode()
        self._directory.append(handle, header)
        self._directory.sync(handle)
        self._directory.sync_folder()
        self._handle = handle
        self._segment_bytes = len(header)

    def _begin_next_segment(self) -> None:
        assert self._handle is not None
        self._directory.close(self._handle)
        self._begin_segment()

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
            self._begin_next_segment()

    def _write_snapshot(self, name: str, parts: list[bytes]) -> None:
        """Write a snapshot under a partial name, and rename it when it is durable."""
        handle = self._directory.create(name + PARTIAL_SUFFIX)
        for data in encode_snapshot(self._draw_salt(), parts):
            self._directory.append(handle, data)
        self._directory.sync(handle)
        self._directory.close(handle)
        self._directory.rename(name + PARTIAL_SUFFIX, name)
        self._directory.sync_folder()

    def _check_usable(self) -> None:
        if self._failure:
            raise LogFailedError(self._failure)
        if self._handle is None:
            raise LogFailedError("the log is not open")

    @contextlib.contextmanager
    def _failing_on_os_error(self) -> Iterator[None]:
        try:
            yield
        except OSError as error:
            self._failure = f"a write failed: {error.strerror or error}"
            raise LogFailedError(self._failure) from error
