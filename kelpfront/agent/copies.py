"""Copies of keyed work among agents: a folder that the machines of a group share, with one file for each key.

A key is taken by linking a file into place, which one of two that try at once does. Agents need such a folder
for keyed classes whose group is wider than the machine; without one they refuse such tasks, since they could
not keep the promise that the group discards a repeat.
"""

from __future__ import annotations

import contextlib
import json
import os
from pathlib import Path

import xxhash

from kelpfront.machine.idempotency_records import RecordHolder


class FileCopies:
    """Copies of one machine's view; `folder` is shared with the others of its groups."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        folder.mkdir(parents=True, exist_ok=True)

    def holder(self, group: str, key: str) -> RecordHolder | None:
        try:
            found = json.loads(self._path(group, key).read_bytes())
            return RecordHolder(str(found["machine"]), str(found["task"]))
        except FileNotFoundError:
            return None
        except (OSError, ValueError, KeyError, TypeError):
            return RecordHolder("an unreadable entry", "")  # somebody may hold it: err to the safe side

    def claim(self, group: str, key: str, machine: str, task: str) -> RecordHolder | None:
        path = self._path(group, key)
        part = path.with_name(f".{path.name}.{os.getpid()}")
        record = {"group": group, "key": key, "machine": machine, "task": task}
        try:
            part.write_text(json.dumps(record))
            os.link(part, path)
        except FileExistsError:
            stands = self.holder(group, key)
            return None if stands == (machine, task) else stands or RecordHolder("another machine", "")
        except OSError as error:
            return RecordHolder(f"none that can be told: {path}: {error.strerror}", "")
        finally:
            with contextlib.suppress(OSError):
                part.unlink(missing_ok=True)
        return None

    def remove(self, group: str, key: str, machine: str, task: str) -> None:
        if self.holder(group, key) == (machine, task):
            with contextlib.suppress(OSError):
                self._path(group, key).unlink(missing_ok=True)

    def remove_machine(self, machine: str, but: frozenset[str] = frozenset()) -> None:
        """Drops what a machine holds, but for some tasks: after a restart of its agent the rest is over."""
        for path in self._folder.glob("*.copy"):
            with contextlib.suppress(OSError, ValueError, KeyError, TypeError):
                found = json.loads(path.read_bytes())
                if found["machine"] == machine and found["task"] not in but:
                    path.unlink(missing_ok=True)

    def _path(self, group: str, key: str) -> Path:
        name = xxhash.xxh3_128_hexdigest(json.dumps([group, key]).encode())
        return self._folder / f"{name}.copy"


class NoCopies:
    """Where machines share nothing: only a group of one machine can be kept, by `own`."""

    def __init__(self, own_group: str) -> None:
        self._own_group = own_group
        self._holders: dict[str, RecordHolder] = {}

    def holder(self, group: str, key: str) -> RecordHolder | None:
        if group != self._own_group:
            return RecordHolder("no machine that can be told: this one has no `copies` folder to share", "")
        return self._holders.get(key)

    def claim(self, group: str, key: str, machine: str, task: str) -> RecordHolder | None:
        if group != self._own_group:
            return self.holder(group, key)
        stands = self._holders.setdefault(key, RecordHolder(machine, task))
        return None if stands == (machine, task) else stands

    def remove(self, group: str, key: str, machine: str, task: str) -> None:
        if self._holders.get(key) == (machine, task):
            del self._holders[key]
