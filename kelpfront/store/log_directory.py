"""The file operations of the write-ahead log, and their implementation for a directory of the host.

`LogDirectory` is the interface; tests implement it with an in-memory directory that simulates crashes.
`HostDirectory` also locks the directory against other processes. Neither interprets the content of files.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol

from kelpfront.store.errors import LogLockedError

_LOCK_NAME = "lock"
_FILE_MODE = 0o600  # readable by the owner only, because jobs may contain secrets


class LogDirectory(Protocol):
    """The directory of a log. Files are named without a path; every method may raise OSError."""

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        ...

    def read(self, name: str) -> bytes:
        """Return a file's content."""
        ...

    def create(self, name: str) -> int:
        """Create a file that does not exist yet, and return a handle for appending to it."""
        ...

    def append(self, handle: int, data: bytes) -> None:
        """Write all of `data` at the end of the file."""
        ...

    def sync(self, handle: int) -> None:
        """Make all data that was written to the handle durable."""
        ...

    def close(self, handle: int) -> None:
        """Close a handle."""
        ...

    def sync_file(self, name: str) -> None:
        """Make the content of a file durable without a handle."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Rename a file; the new name is durable after `sync_directory`."""
        ...

    def remove(self, name: str) -> None:
        """Remove a file; the removal is durable after `sync_directory`."""
        ...

    def sync_directory(self) -> None:
        """Make the creation, renaming and removal of files durable."""
        ...


class HostDirectory:
    """A directory of the host, locked for this process until `release`.

    Raises LogLockedError if another process holds the lock.
    """

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._lock = os.open(folder / _LOCK_NAME, os.O_RDWR | os.O_CREAT, _FILE_MODE)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock)
            raise LogLockedError(f"{folder}: another process has this log open") from error

    def release(self) -> None:
        """Release the lock, so that other processes can open the directory."""
        os.close(self._lock)

    def names(self) -> list[str]:
        """Return the names of all files except the lock file, sorted."""
        return sorted(path.name for path in self._folder.iterdir() if path.name != _LOCK_NAME)

    def read(self, name: str) -> bytes:
        """Return a file's content."""
        return (self._folder / name).read_bytes()

    def create(self, name: str) -> int:
        """Create a file that does not exist yet, and return a file descriptor for appending to it."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND
        return os.open(self._folder / name, flags, _FILE_MODE)

    def append(self, handle: int, data: bytes) -> None:
        """Write all of `data` at the end of the file."""
        remaining = memoryview(data)
        while remaining:
            written = os.write(handle, remaining)
            remaining = remaining[written:]

    def sync(self, handle: int) -> None:
        """Make all data that was written to the handle durable."""
        os.fsync(handle)

    def close(self, handle: int) -> None:
        """Close a descriptor."""
        os.close(handle)

    def sync_file(self, name: str) -> None:
        """Make the content of a file durable without a handle."""
        handle = os.open(self._folder / name, os.O_RDWR)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Rename a file; the new name is durable after `sync_directory`."""
        (self._folder / old).rename(self._folder / new)

    def remove(self, name: str) -> None:
        """Remove a file; the removal is durable after `sync_directory`."""
        (self._folder / name).unlink()

    def sync_directory(self) -> None:
        """Make the creation, renaming and removal of files durable."""
        handle = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)
