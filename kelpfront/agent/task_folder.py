"""The folder of one attempt of a task: what the agent, the task's supervisor and later agents exchange.

Each record is a small JSON file that is written beside its place and then linked into it: it appears
complete, once, and never changes. Of two who write the same record one succeeds and the other sees it. This
decides the one race that matters: a start belongs to whoever writes `claim` first, which is the supervisor
that is about to start the process, or an agent that finds it not started and voids it.

Nothing here is forced to disk. The records must outlast processes and not the host: what must survive a power
failure is the agent's state, and after a boot no process of before runs. Standard library only.

- `task`     by the agent: the offer with its placer, and what to run
- `claim`    by the supervisor, or by an agent that voids the start
- `started`  by the supervisor, before the process may run: its identity
- `running`  by the supervisor: the program is loaded
- `stop`     by the agent: why, and how long the process has
- `watch-N`  by the N-th supervisor that replaced one that had died
- `exit`     by the supervisor: how it ended

The meaning of the records is left to `task_records`.
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
    1_000  # supervisors of one task that may die and be replaced; bounds the search for the last
)
MAX_ATTEMPT = 999_999  # bounds the length of a folder's name

_SAFE_FILE_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,199}")


class UnreadableRecordError(ValueError):
    """A record exists and cannot be read."""


class SupervisorReplacement(NamedTuple):
    """The number of the last supervisor that replaced one, and its record; 0 and None where none did."""

    number: int
    record: Record | None


def folder_name(task: str, attempt: int) -> str:
    """Return the name of one attempt's folder; raises ValueError where the uid is unfit for a file's name."""
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
    """Return a record; None where it does not exist. Raises UnreadableRecordError where it is damaged."""
    path = folder / f"{name}.json"
    try:
        record = json.loads(path.read_bytes())
    except (FileNotFoundError, NotADirectoryError):
        return None
    except (OSError, ValueError) as error:
        raise UnreadableRecordError(f"{path}: {error}") from error
    if not isinstance(record, dict):
        raise UnreadableRecordError(f"{path}: is not an object")
    return record


def trash_folder(tasks_folder: Path) -> Path:
    """Return where folders are moved before their removal.

    A folder of which half is removed would be read as something else than the complete one.
    """
    return tasks_folder.with_name("trash")


def replacement_name(number: int) -> str:
    """Return the name of the record of the N-th replacement of a supervisor; the first has the number 1."""
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
