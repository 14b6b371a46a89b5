"""Tracks whether reports of a machine may have been lost with a connection. Performs no I/O.

A machine sends the end of a task on the connection on which the task was offered, and again on the next
connection that is opened to it. What it wrote on a connection that this placer has stopped reading is lost
there, and repeated only on a connection whose opening began after that one was closed.
"""

from __future__ import annotations


class ReportRecovery:
    """Losses of connections to one machine, and the openings of connections that make up for them."""

    def __init__(self) -> None:
        self._loss_count = 0
        self._recovered_count = 0

    @property
    def is_needed(self) -> bool:
        """Whether a new connection has to be opened, so that the machine repeats its reports."""
        return self._recovered_count < self._loss_count

    def on_reports_lost(self) -> None:
        """Record that reports may have been lost with a connection that has just been closed."""
        self._loss_count += 1

    def begin_opening(self) -> int:
        """Return a mark of the losses so far, for `on_opened`; call it before a connection is opened."""
        return self._loss_count

    def on_opened(self, mark: int) -> None:
        """Record an open connection: the machine repeats on it what was lost before its opening began."""
        self._recovered_count = max(self._recovered_count, mark)
