"""The folder of one attempt of a task: the records exchanged by agent, supervisor and later agents.

Each record is a small JSON file that is written under a temporary name and then hard-linked to its final
name: it appears atomically, once, and never changes. Of two concurrent writers of the same record, one
succeeds, and the other finds that the record exists. This resolves the one critical race: a start belongs to
the first writer of `claim`, which is either the supervisor that is about to start the process, or an agent
that voids a start which was not begun.

The files are not synced to disk. The records must survive processes, not the host: the agent's state is what
must survive a power failure, and after a reboot no earlier process runs. Standard library only.

- `task`     by the agent: the offer with its placer, and the command
- `claim`    by the supervisor, or by an agent that voids the start
- `started`  by the supervisor, before the process may run: the identity of the process
- `running`  by the supervisor: the program is loaded
- `stop`     by the agent: the cause, and the grace period
- `watch-N`  by the N-th replacement of a supervisor that died: its identity
- `exit`     by the supervisor: how the task ended

`task_records` defines the content of the records.
"""

from __future__ import annotations

import json
import os
import re
from pathlib import Path
from typing import Any, NamedTuple

Record = dict[str, Any]

TASK = "task"
CLAIM = "claim"
STARTED = "started"
RUNNING = "running"
STOP = "stop"
EXIT = "exit"
OUTPUT_FILE = "output.log"
OUTPUT_FIFO = "output.fifo"
WORK_FOLDER = "work"
ERROR_FILE = "supervisor.err"
MAX_REPLACEMENTS = (
    1_000  # replacements of one task's supervisor; bounds the search for the last replacement record
)
MAX_ATTEMPT = 999_999  # bounds the length of a folder name

_SAFE_FILE_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,199}")


class UnreadableRecordError(ValueError):
    """A record exists but cannot be read or decoded."""


class SupervisorReplacement(NamedTuple):
    """The last replacement of a supervisor: its number and record, or 0 and None if there was none."""

    number: int
    record: Record | None


def folder_name(task: str, attempt: int) -> str:
    """Return the name of one attempt's folder. Raises ValueError if the uid is not a safe file name."""
    if not _SAFE_FILE_NAME.fullmatch(task) or not 0 <= attempt <= MAX_ATTEMPT:
        raise ValueError(f"{task!r}, attempt {attempt}: not a task's uid and number")
    return f"{task}@{attempt}"


def write_once(folder: Path, name: str, record: Record) -> bool:
    """Write a record unless it exists; return whether this call wrote it. Raises OSError."""
    partial = folder / f".{name}.{os.getpid()}"
    try:
        partial.write_text(json.dumps(record))
        try:
            os.link(partial, folder / f"{name}.json")
        except FileExistsError:
            return False
        return True
    finally:
        partial.unlink(missing_ok=True)


def read_record(folder: Path, name: str) -> Record | None:
    """Return a record, or None if it does not exist. Raises UnreadableRecordError if it is damaged."""
    path = folder / f"{name}.json"
    try:
        record = json.loads(path.read_bytes())
    except (FileNotFoundError, NotADirectoryError):
        return None
    except (OSError, ValueError) as error:
        raise UnreadableRecordError(f"{path}: {error}") from error
    if not isinstance(record, dict):
        raise UnreadableRecordError(f"{path}: expected a JSON object")
    return record


def trash_folder(tasks_folder: Path) -> Path:
    """Return the folder into which task folders are moved before they are removed.

    Removed in place, a partially removed folder could be misread as a task in another state.
    """
    return tasks_folder.with_name("trash")


def replacement_name(number: int) -> str:
    """Return the name of the record of a supervisor's N-th replacement; the first has the number 1."""
    return f"watch-{number}"


def last_replacement(folder: Path) -> SupervisorReplacement:
    """Return the last replacement of the task's supervisor. Raises UnreadableRecordError."""
    last = SupervisorReplacement(0, None)
    while last.number < MAX_REPLACEMENTS:
        record = read_record(folder, replacement_name(last.number + 1))
        if record is None:
            break
        last = SupervisorReplacement(last.number + 1, record)
    return last
