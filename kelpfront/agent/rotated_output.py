"""Writes a task's output to rotated files of bounded size. Standard library only.

`task_output` reads the files.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any


class RotatedOutput:
    """A file of at most `max_bytes`, and up to `older_files` rotated ones, of which `.1` is the newest."""

    def __init__(self, path: Path, max_bytes: int, older_files: int) -> None:
        self._path = path
        self._max_bytes = max_bytes
        self._older_files = older_files
        self._file: Any = None
        self._size = 0

    def write(self, data: bytes) -> None:
        """Append data. Data that cannot be written is dropped: a full disk must not block the task."""
        while data:
            try:
                written = self._write_part(data)
            except OSError:
                return
            data = data[written:]

    def _write_part(self, data: bytes) -> int:
        """Write as much as fits into the file, and return the number of bytes; if it is full, only rotate."""
        if self._file is None:
            self._file = self._path.open("ab", buffering=0)
            self._size = self._file.tell()
        if self._size >= self._max_bytes:
            self._rotate()
            return 0
        written: int = self._file.write(data[: self._max_bytes - self._size])
        self._size += written
        return written

    def _rotate(self) -> None:
        self._file.close()
        self._file = None
        for number in range(self._older_files, 0, -1):
            newer = self._rotated_path(number - 1)
            if newer.exists():
                newer.replace(self._rotated_path(number))
        if not self._older_files:
            self._path.unlink(missing_ok=True)

    def _rotated_path(self, number: int) -> Path:
        return self._path.with_name(f"{self._path.name}.{number}") if number else self._path
