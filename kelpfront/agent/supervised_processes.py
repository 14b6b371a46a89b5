"""The processes of one task, which its supervisor finds, signals and reaps. Standard library only.

A supervisor that started its task is the subreaper of the task's orphaned processes. When it dies, its
children are reparented to the host's init process: a replacement supervisor finds them by the session of the
first process, and by the process tree below the first process while that runs. `supervisor` decides when to
signal.
"""

from __future__ import annotations

import contextlib
import os

from kelpfront.agent.process import ProcessIdentity, find_descendants, open_pidfd, read_stat


class SupervisedProcesses:
    """The first process of a task and its descendants.

    Attributes:
        first_ended: whether the first process has ended, which ends the task.
        exit_status: the first process's status from waitpid(2), or None if it is not known.
        pidfd: a pidfd of the first process if that is not this supervisor's child; it becomes readable when
            the process ends.
    """

    def __init__(self, first: ProcessIdentity) -> None:
        self._first = first
        self._are_children = True
        self.first_ended = False
        self.exit_status: int | None = None
        self.pidfd: int | None = None

    @classmethod
    def of_replaced_supervisor(cls, first: ProcessIdentity, boot_id: str) -> SupervisedProcesses:
        """Return the processes of a task whose earlier supervisor died."""
        processes = cls(first)
        processes._are_children = False
        processes.pidfd = open_pidfd(first, boot_id)
        processes.first_ended = processes.pidfd is None
        return processes

    def reap(self) -> bool:
        """Reap processes that have ended; return whether any process of the task is left."""
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

        Call this only while `first_ended` is False: the process was not reaped then, so its pid cannot have
        been reused.
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
        """Return the pid of the common ancestor, or None if the processes are found only by session."""
        if self._are_children:
            return os.getpid()
        return None if self.first_ended else self._first.pid

    def _session(self) -> frozenset[int]:
        """Return the session of the first process; empty if its pid was reused by another process."""
        stat = read_stat(self._first.pid)
        is_reused = stat is not None and stat.start_ticks != self._first.start_ticks
        return frozenset() if is_reused else frozenset({self._first.pid})
