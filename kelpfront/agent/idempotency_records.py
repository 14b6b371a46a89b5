"""Idempotency records that agents share through a directory, with one file per key.

A key is claimed by hard-linking a file into place, which succeeds for exactly one of several concurrent
claims. Agents need a shared directory for tasks whose idempotency scope is wider than the machine; without
one they refuse such tasks, since they could not guarantee that a duplicate is discarded.
"""

from __future__ import annotations

import contextlib
import json
import os
from pathlib import Path

import xxhash

from kelpfront.machine.idempotency_records import RecordHolder

FILE_SUFFIX = ".copy"


class FileIdempotencyRecords:
    """The records in a directory that the machines of a scope share."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        folder.mkdir(parents=True, exist_ok=True)

    def holder(self, scope: str, key: str) -> RecordHolder | None:
        """Return the holder of a key, or None; a key whose record cannot be read counts as held."""
        try:
            record = json.loads(self._path(scope, key).read_bytes())
            return RecordHolder(str(record["machine"]), str(record["task"]))
        except FileNotFoundError:
            return None
        except (OSError, ValueError, KeyError, TypeError):
            # The key may be held: a duplicate execution is worse than a refused task.
            return RecordHolder("an unreadable entry", "")

    def claim(self, scope: str, key: str, machine: str, task: str) -> RecordHolder | None:
        """Claim a key for a task; return None on success, or the other holder if there is one."""
        path = self._path(scope, key)
        partial = path.with_name(f".{path.name}.{os.getpid()}")
        record = {"group": scope, "key": key, "machine": machine, "task": task}
        try:
            partial.write_text(json.dumps(record))
            os.link(partial, path)
        except FileExistsError:
            holder = self.holder(scope, key)
            if holder == RecordHolder(machine, task):
                return None
            return holder or RecordHolder("another machine", "")
        except OSError as error:
            return RecordHolder(f"none that can be told: {path}: {error.strerror}", "")
        finally:
            with contextlib.suppress(OSError):
                partial.unlink(missing_ok=True)
        return None

    def remove(self, scope: str, key: str, machine: str, task: str) -> None:
        """Release a key if this task holds it."""
        if self.holder(scope, key) == RecordHolder(machine, task):
            with contextlib.suppress(OSError):
                self._path(scope, key).unlink(missing_ok=True)

    def remove_machine(self, machine: str, except_tasks: frozenset[str] = frozenset()) -> None:
        """Release the keys that a machine holds, except those of the tasks `except_tasks`.

        An agent that starts passes the tasks that have not ended: all other tasks of its machine have.
        """
        for path in self._folder.glob(f"*{FILE_SUFFIX}"):
            with contextlib.suppress(OSError, ValueError, KeyError, TypeError):
                record = json.loads(path.read_bytes())
                if record["machine"] == machine and record["task"] not in except_tasks:
                    path.unlink(missing_ok=True)

    def _path(self, scope: str, key: str) -> Path:
        name = xxhash.xxh3_128_hexdigest(json.dumps([scope, key]).encode())
        return self._folder / f"{name}{FILE_SUFFIX}"


class LocalIdempotencyRecords:
    """Records in memory, for a machine without a shared directory: supports only the machine's own scope."""

    def __init__(self, own_scope: str) -> None:
        self._own_scope = own_scope
        self._holders: dict[str, RecordHolder] = {}

    def holder(self, scope: str, key: str) -> RecordHolder | None:
        """Return the holder of a key, or None; in any wider scope the key counts as held."""
        if scope != self._own_scope:
            return RecordHolder("no machine that can be told: this one has no `copies` folder to share", "")
        return self._holders.get(key)

    def claim(self, scope: str, key: str, machine: str, task: str) -> RecordHolder | None:
        """Claim a key for a task; return None on success, or the other holder if there is one."""
        if scope != self._own_scope:
            return self.holder(scope, key)
        claimant = RecordHolder(machine, task)
        holder = self._holders.setdefault(key, claimant)
        return None if holder == claimant else holder

    def remove(self, scope: str, key: str, machine: str, task: str) -> None:  # noqa: ARG002 - part of the protocol
        """Release a key if this task holds it."""
        if self._holders.get(key) == RecordHolder(machine, task):
            del self._holders[key]
