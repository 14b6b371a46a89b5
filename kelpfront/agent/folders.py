"""A task's folder: what the agent, the task's supervisor and later agents tell each other.

Standard library only.

Each record is a small JSON file, written beside and then linked in place: it appears whole, once, and is
never changed; of two who write the same one wins and the other sees it. That decides the one race that
matters: a start belongs to whoever writes `claim` first, the supervisor that is about to start the process or
an agent that finds it not started and voids it.

Nothing here is forced to disk. The records must outlast processes, not the host: what must outlast a power
cut is the agent's state, and after a boot no process is left to be known.

- `task`     by the agent: the offer with its placer, and what to run
- `claim`    by the supervisor, or by an agent that voids the start
- `started`  by the supervisor, before the process may run: its identity
- `running`  by the supervisor: the program is loaded
- `stop`     by the agent: why, and how long the process has
- `watch-N`  by the N-th supervisor in place of one that died
- `exit`     by the supervisor: what came of it
"""

from __future__ import annotations

import json
import os
import re
from pathlib import Path
from typing import Any

Record = dict[str, Any]

TASK, CLAIM, STARTED, RUNNING, STOP, EXIT = "task", "claim", "started", "running", "stop", "exit"
OUTPUT = "output.log"
FIFO = "output.fifo"
WORK = "work"
WATCHES_MOST = 1_000  # supervisors that one task can wear out

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,199}")


class UnreadableError(ValueError):
    """A record that is there and cannot be read."""


def folder_name(task: str, attempt: int) -> str:
    """The folder of one attempt; ValueError where the uid is not fit to be a file's name."""
    if not _NAME.fullmatch(task) or not 0 <= attempt < 1_000_000:
        raise ValueError(f"{task!r}, attempt {attempt}: not a task's uid and number")
    return f"{task}@{attempt}"


def write_once(folder: Path, name: str, record: Record) -> bool:
    """Writes a record unless it is there; whether this call wrote it. OSError where it cannot be written."""
    part = folder / f".{name}.{os.getpid()}"
    try:
        part.write_text(json.dumps(record))
        try:
            os.link(part, folder / f"{name}.json")
        except FileExistsError:
            return False
        return True
    finally:
        part.unlink(missing_ok=True)


def read(folder: Path, name: str) -> Record | None:
    """A record; None where it is not there, UnreadableError where it is damaged."""
    path = folder / f"{name}.json"
    try:
        record = json.loads(path.read_bytes())
    except (FileNotFoundError, NotADirectoryError):
        return None
    except (OSError, ValueError) as error:
        raise UnreadableError(f"{path}: {error}") from None
    if not isinstance(record, dict):
        raise UnreadableError(f"{path}: is not an object")
    return record


def trash(tasks: Path) -> Path:
    """Where folders go before they are removed: half a folder would tell another story than a whole one."""
    return tasks.with_name("trash")


def watch_name(number: int) -> str:
    return f"watch-{number}"


def last_watch(folder: Path) -> tuple[int, Record | None]:
    """How many supervisors took over, and the record of the last; the first takes over as number 1."""
    number, record = 0, None
    while number < WATCHES_MOST and (found := read(folder, watch_name(number + 1))) is not None:
        number, record = number + 1, found
    return number, record
