"""A write-ahead log in a folder: group commit, snapshots, and recovery that never lies.

What `commit` has returned for is durable: it is there after any crash. What was appended and not committed
may be there or not, a prefix of it. A commit that failed once ends the log: after a failed fsync nobody
knows what the disk holds (https://lwn.net/Articles/752063/). All that follows is refused until it is opened
anew.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from kelpfront.store.records import Header, Record, RecordError, Scan, check_payload, encode_record, scan
from kelpfront.store.segments import (
    PART,
    StoreDamagedError,
    join,
    log_name,
    snapshot_name,
    sort_files,
)

WAITING_MOST = 16 << 20  # bytes that are appended and not committed; at it they are committed
SEGMENT_MOST = 64 << 20  # bytes of one file, after which the next is begun
END = b"end "  # the last record of a snapshot, with the number of those before it


class StoreLockedError(RuntimeError):
    """Another process has the folder."""


class JournalFailedError(RuntimeError):
    """A write or fsync failed: nothing more is taken until the log is opened anew."""


class FileLayer(Protocol):
    """The folder's files. Names have no path; OSError where the system says so."""

    def names(self) -> list[str]: ...
    def read(self, name: str) -> bytes: ...
    def create(self, name: str) -> int: ...
    def append(self, handle: int, data: bytes) -> None: ...
    def sync(self, handle: int) -> None: ...
    def close(self, handle: int) -> None: ...
    def sync_file(self, name: str) -> None: ...
    def rename(self, old: str, new: str) -> None: ...
    def remove(self, name: str) -> None: ...
    def sync_folder(self) -> None: ...


class OsFiles:
    """A folder of the host, for this process alone."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            raise StoreLockedError(f"{folder}: another process has this store") from None

    def release(self) -> None:
        os.close(self._lock)

    def names(self) -> list[str]:
        return sorted(path.name for path in self._folder.iterdir() if path.name != "lock")

    def read(self, name: str) -> bytes:
        return (self._folder / name).read_bytes()

    def create(self, name: str) -> int:
        return os.open(self._folder / name, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND, 0o600)

    def append(self, handle: int, data: bytes) -> None:
        left = memoryview(data)
        while left:
            left = left[os.write(handle, left) :]

    def sync(self, handle: int) -> None:
        os.fsync(handle)

    def close(self, handle: int) -> None:
        os.close(handle)

    def sync_file(self, name: str) -> None:
        handle = os.open(self._folder / name, os.O_RDWR)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def rename(self, old: str, new: str) -> None:
        (self._folder / old).rename(self._folder / new)

    def remove(self, name: str) -> None:
        (self._folder / name).unlink()

    def sync_folder(self) -> None:
        handle = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)


@dataclass(frozen=True, slots=True)
class Opened:
    """What was found: the snapshot's parts (None: there is none), records behind it, and what was torn."""

    snapshot: tuple[bytes, ...] | None
    records: tuple[Record, ...]
    torn: tuple[str, ...]


class Journal:
    """`salt` draws 32 bits for each file. Not for several threads."""

    def __init__(self, files: FileLayer, salt: Callable[[], int], segment_most: int = SEGMENT_MOST) -> None:
        self._files, self._salt, self._segment_most = files, salt, segment_most
        self._handle: int | None = None
        self._file_salt = 0
        self._size = 0
        self._next = 1
        self._durable = 0
        self._waiting: list[bytes] = []
        self._waiting_bytes = 0
        self._failed = ""

    @property
    def next_sequence(self) -> int:
        return self._next

    def open(self) -> Opened:
        """Recovers, and begins a new file behind what is there.

        StoreDamagedError where durable records are missing; then nothing was changed.
        """
        found = sort_files(self._files.names())
        snapshot = None if found.snapshot is None else self._read_snapshot(found.snapshot)
        logs = found.needed()
        scans = [(first, self._scan(log_name(first))) for first in logs]
        recovery = join(scans, found.snapshot)
        # What is read may still be in the host's memory alone: it must be durable before anything follows it.
        for first in logs:
            self._files.sync_file(log_name(first))
        for name in (*recovery.useless, *found.removable()):
            self._files.remove(name)
        self._next = recovery.next_sequence
        self._durable = self._next - 1
        self._begin_file()
        return Opened(snapshot, recovery.records, recovery.torn)

    def _scan(self, name: str) -> Scan:
        try:
            return scan(self._files.read(name))
        except RecordError as error:
            raise StoreDamagedError(f"{name}: {error}") from None

    def _read_snapshot(self, last: int) -> tuple[bytes, ...]:
        """It was whole and durable before it got its name: any damage is the disk's."""
        name = snapshot_name(last)
        found = self._scan(name)
        payloads = [record.payload for record in found.records]
        if found.damage is not None:
            raise StoreDamagedError(f"{name}: byte {found.damage.offset}: {found.damage.message}")
        if not payloads or payloads[-1] != END + str(len(payloads) - 1).encode():
            raise StoreDamagedError(f"{name}: its end is missing")
        return tuple(payloads[:-1])

    def _begin_file(self) -> None:
        """The file has its name in the folder, and its header, before the first record counts."""
        self._file_salt = self._salt()
        handle = self._files.create(log_name(self._next))
        header = Header(self._file_salt, self._next).encode()
        self._files.append(handle, header)
        self._files.sync(handle)
        self._files.sync_folder()
        self._handle, self._size = handle, len(header)

    # ---- Writing --------------------------------------------------------------------------------------

    def append(self, payload: bytes) -> int:
        """The record's number; durable once `commit` has returned."""
        self._check()
        if self._waiting_bytes >= WAITING_MOST:
            self.commit()
        sequence = self._next
        self._waiting.append(encode_record(self._file_salt, sequence, payload, self._durable))
        self._waiting_bytes += len(self._waiting[-1])
        self._next += 1
        return sequence

    def commit(self) -> int:
        """Makes all that was appended durable, with one fsync; the number of the last durable record."""
        self._check()
        if self._waiting:
            data = b"".join(self._waiting)
            with self._failing():
                assert self._handle is not None
                self._files.append(self._handle, data)
                self._files.sync(self._handle)
                self._waiting.clear()
                self._waiting_bytes = 0
                self._durable = self._next - 1
                self._size += len(data)
                if self._size >= self._segment_most:
                    self._files.close(self._handle)
                    self._begin_file()
        return self._next - 1

    def snapshot(self, parts: Iterable[bytes]) -> int:
        """Keeps a state in place of the records up to now, which go; its number. Commits first."""
        last = self.commit()
        kept = list(parts)
        for part in kept:  # one that cannot be a record is refused before a file is begun
            check_payload(part)
        with self._failing():
            name = snapshot_name(last)
            if name in self._files.names():
                return last  # nothing has happened since
            handle = self._files.create(name + PART)
            salt = self._salt()
            self._files.append(handle, Header(salt, 1).encode())
            count = 0
            for count, part in enumerate(kept, 1):
                self._files.append(handle, encode_record(salt, count, part))
            self._files.append(handle, encode_record(salt, count + 1, END + str(count).encode()))
            self._files.sync(handle)
            self._files.close(handle)
            self._files.rename(name + PART, name)
            self._files.sync_folder()
            assert self._handle is not None
            if log_name(self._next) not in self._files.names():
                self._files.close(self._handle)
                self._begin_file()
            for old in sort_files(self._files.names()).removable():
                self._files.remove(old)
        return last

    def close(self) -> None:
        if self._handle is not None:
            with contextlib.suppress(OSError):
                self._files.close(self._handle)
            self._handle = None

    def _check(self) -> None:
        if self._failed:
            raise JournalFailedError(self._failed)
        if self._handle is None:
            raise JournalFailedError("the log is not open")

    @contextlib.contextmanager
    def _failing(self) -> Iterator[None]:
        try:
            yield
        except OSError as error:
            self._failed = f"a write failed: {error.strerror or error}"
            raise JournalFailedError(self._failed) from error
