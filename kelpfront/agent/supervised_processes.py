"""The processes of one task, as its supervisor sees, signals and reaps them. Standard library only.

A supervisor that started its task is the reaper of all that the task leaves behind. The children of one that
died went to the host's init process: a supervisor that replaces it knows them by the session of the first
process, and by the tree below that process while it runs. When to signal is left to `supervisor`.
"""

from __future__ import annotations

import contextlib
import os

from kelpfront.agent.process import ProcessIdentity, find_descendants, open_pidfd, read_stat


class SupervisedProcesses:
    """The first process of a task and all that came of it.

    Attributes:
        first_ended: whether the first process has ended, with which the task is over.
        exit_status: of the first process, as waitpid(2) gives it; None where it is not known.
        pidfd: a descriptor of a first process that is not this supervisor's child; it turns readable when
            that ends.
    """

    def __init__(self, first: ProcessIdentity) -> None:
        self._first = first
        self._are_children = True
        self.first_ended = False
        self.exit_status: int | None = None
        self.pidfd: int | None = None

    @classmethod
    def of_replaced_supervisor(cls, first: ProcessIdentity, boot_id: str) -> SupervisedProcesses:
        """Return the processes of a supervisor that died."""
        processes = cls(first)
        processes._are_children = False
        processes.pidfd = open_pidfd(first, boot_id)
        processes.first_ended = processes.pidfd is None
        return processes

    def reap(self) -> bool:
        """Wait for processes that have ended; return whether any of the task's are left."""
        if not self._are_children:
            return not self.first_ended or bool(find_descendants(None, self._session()))
        while True:
            try:
                pid, status = os.waitpid(-1, os.WNOHANG)
            except ChildProcessError:
                return False
            if pid == 0:
                return True
            if pid == self._first.pid:
                self.exit_status = status
                self.first_ended = True

    def signal_first(self, number: int) -> None:
        """Signal the process group of the first process.

        That was not waited for, so that its id is not reused.
        """
        with contextlib.suppress(ProcessLookupError, PermissionError):
            os.killpg(self._first.pid, number)

    def signal_all(self, number: int) -> None:
        """Signal all processes of the task."""
        if not self.first_ended:
            self.signal_first(number)
        own_pid = os.getpid()
        for pid in find_descendants(self._root(), self._session()):
            if pid != own_pid:
                with contextlib.suppress(ProcessLookupError, PermissionError):
                    os.kill(pid, number)

    def _root(self) -> int | None:
        """Return the process below which all others are; None where only their session tells."""
        if self._are_children:
            return os.getpid()
        return None if self.first_ended else self._first.pid

    def _session(self) -> frozenset[int]:
        """Return the session that the first process leads, unless its pid is another process's by now."""
        stat = read_stat(self._first.pid)
        is_reused = stat is not None and stat.start_ticks != self._first.start_ticks
        return frozenset() if is_reused else frozenset({self._first.pid})
