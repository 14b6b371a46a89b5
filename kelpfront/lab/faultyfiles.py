"""A folder in memory that crashes: unsynced data is lost, torn or kept, as a seed says, and so are names.

What it may do is what a POSIX file system may: data is safe after the file's sync, a name or its removal
after the folder's. Between them anything may have reached the disk in any order, and of a write a part.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field


class CrashError(BaseException):
    """The host stops here. No OSError: no program catches it."""


@dataclass(slots=True)
class _File:
    data: bytearray = field(default_factory=bytearray)
    synced: int = 0  # bytes that are safe


class FaultyFiles:
    """`crash_at` counts operations that change something; `fails` maps such counts to errors."""

    def __init__(self, crash_at: int | None = None, fails: dict[int, OSError] | None = None) -> None:
        self.crash_at, self.fails = crash_at, fails or {}
        self.operations = 0
        self._names: dict[str, _File] = {}
        self._safe_names: dict[str, _File] = {}
        self._handles: dict[int, _File] = {}

    def _step(self) -> None:
        self.operations += 1
        if self.operations == self.crash_at:
            raise CrashError
        if self.operations in self.fails:
            raise self.fails[self.operations]

    def crashed(self, rng: random.Random) -> FaultyFiles:
        """The folder as it is found after the host stopped and came back."""
        found = FaultyFiles()
        for name in {**self._names, **self._safe_names}:
            now, safe = self._names.get(name), self._safe_names.get(name)
            its = now if now is safe or rng.random() < 0.5 else safe
            if its is None:
                continue
            kept = rng.randint(its.synced, len(its.data))
            data = its.data[:kept]
            if kept > its.synced and rng.random() < 0.3:  # blocks reach the disk in any order
                at = rng.randrange(its.synced, kept)
                data[at : at + 16] = bytes(len(data[at : at + 16]))
            found._names[name] = found._safe_names[name] = _File(data, len(data))
        return found

    # ---- As LogDirectory ---------------------------------------------------------------------------------

    def names(self) -> list[str]:
        return sorted(self._names)

    def read(self, name: str) -> bytes:
        return bytes(self._names[name].data)

    def create(self, name: str) -> int:
        self._step()
        if name in self._names:
            raise FileExistsError(17, "File exists", name)
        self._names[name] = _File()
        handle = len(self._handles) + 1
        self._handles[handle] = self._names[name]
        return handle

    def append(self, handle: int, data: bytes) -> None:
        half = len(data) // 2
        self._handles[handle].data += data[:half]
        self._step()
        self._handles[handle].data += data[half:]

    def sync(self, handle: int) -> None:
        self._step()
        its = self._handles[handle]
        its.synced = len(its.data)

    def close(self, handle: int) -> None:
        self._step()

    def sync_file(self, name: str) -> None:
        self._step()
        its = self._names[name]
        its.synced = len(its.data)

    def rename(self, old: str, new: str) -> None:
        self._step()
        self._names[new] = self._names.pop(old)

    def remove(self, name: str) -> None:
        self._step()
        del self._names[name]

    def sync_directory(self) -> None:
        self._step()
        self._safe_names = dict(self._names)
