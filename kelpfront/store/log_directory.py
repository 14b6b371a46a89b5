"""The file operations that the write-ahead log needs, and a directory of the host that provides them.

`LogDirectory` is the interface, which tests implement with directories that crash. `HostDirectory` holds the
lock that keeps other processes out. Neither knows what the files mean.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol

from kelpfront.store.errors import LogLockedError

_LOCK_NAME = "lock"
_FILE_MODE = 0o600  # jobs may hold secrets of their owners


class LogDirectory(Protocol):
    """The log's directory. Names are without a path; every method may raise OSError."""

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        ...

    def read(self, name: str) -> bytes:
        """Return a file's content."""
        ...

    def create(self, name: str) -> int:
        """Create a file that must not exist, and return a handle to append to it."""
        ...

    def append(self, handle: int, data: bytes) -> None:
        """Write all of `data` at the file's end."""
        ...

    def sync(self, handle: int) -> None:
        """Make what was written to the file durable."""
        ...

    def close(self, handle: int) -> None:
        """Release a handle."""
        ...

    def sync_file(self, name: str) -> None:
        """Make the content of a file that is not open durable."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Rename a file; durable after `sync_folder`."""
        ...

    def remove(self, name: str) -> None:
        """Remove a file; durable after `sync_folder`."""
        ...

    def sync_folder(self) -> None:
        """Make names that were created, renamed or removed durable."""
        ...


class HostDirectory:
    """A directory of the host, locked for this process until `release`.

    Raises LogLockedError where another process holds the lock.
    """

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._lock = os.open(folder / _LOCK_NAME, os.O_RDWR | os.O_CREAT, _FILE_MODE)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock)
            raise LogLockedError(f"{folder}: another process has this store") from error

    def release(self) -> None:
        """Let other processes open the directory."""
        os.close(self._lock)

    def names(self) -> list[str]:
        """Return the names of all files but the lock, sorted."""
        return sorted(path.name for path in self._folder.iterdir() if path.name != _LOCK_NAME)

    def read(self, name: str) -> bytes:
        """Return a file's content."""
        return (self._folder / name).read_bytes()

    def create(self, name: str) -> int:
        """Create a file that must not exist, and return its descriptor."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND
        return os.open(self._folder / name, flags, _FILE_MODE)

    def append(self, handle: int, data: bytes) -> None:
        """Write all of `data` at the file's end."""
        remaining = memoryview(data)
        while remaining:
            written = os.write(handle, remaining)
            remaining = remaining[written:]

    def sync(self, handle: int) -> None:
        """Make what was written to the file durable."""
        os.fsync(handle)

    def close(self, handle: int) -> None:
        """Close a descriptor."""
        os.close(handle)

    def sync_file(self, name: str) -> None:
        """Make the content of a file that is not open durable."""
        handle = os.open(self._folder / name, os.O_RDWR)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Rename a file; durable after `sync_folder`."""
        (self._folder / old).rename(self._folder / new)

    def remove(self, name: str) -> None:
        """Remove a file; durable after `sync_folder`."""
        (self._folder / name).unlink()

    def sync_folder(self) -> None:
        """Make names that were created, renamed or removed durable."""
        handle = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)
