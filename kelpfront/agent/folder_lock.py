"""A file lock that gives one process exclusive use of an agent's state folder.

The kernel releases the lock when the process ends, also after a crash.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
from pathlib import Path

from kelpfront.agent.errors import AgentError

LOCK_FILE = "lock"
TASKS_FOLDER = "tasks"


class FolderLock:
    """The lock of one state folder; `acquire` creates the folder if it does not exist."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._descriptor: int | None = None

    def acquire(self) -> None:
        """Lock the folder. Raises AgentError if another agent holds it, or if it is not usable."""
        path = self._folder / LOCK_FILE
        try:
            (self._folder / TASKS_FOLDER).mkdir(parents=True, exist_ok=True)
            self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            raise AgentError(f"{self._folder}: {error.strerror}") from error
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            self.release()
            if error.errno in (errno.EWOULDBLOCK, errno.EACCES):
                raise AgentError(f"{self._folder}: another agent is using this state folder") from error
            raise AgentError(f"{path}: {error.strerror}") from error

    def release(self) -> None:
        """Release the lock, if it is held."""
        if self._descriptor is not None:
            with contextlib.suppress(OSError):
                os.close(self._descriptor)
            self._descriptor = None
