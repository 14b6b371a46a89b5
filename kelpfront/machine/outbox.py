"""Messages from a machine to one placer: numbered, and retained until they can be sent again.

A placer's stream may break at any byte. A placer that comes back names the first number that it has not
received and gets the rest, or learns that the outbox no longer reaches so far. Sending is left to
`message_stream`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from itertools import islice
from typing import TypeVar

from kelpfront.machine.messages import Gone, Note, Sequenced, Taken

MAX_RETAINED_MESSAGES = 5_000  # minutes of work, while a broken stream is back within seconds
MAX_STATUS_REPORTS = 500  # later ones report the same of the same tasks
MAX_BATCH = 1_000  # messages that are sent at once, so that a long backlog does not hold the loop

M = TypeVar("M", bound=Sequenced)


def _ignore_change() -> None:
    """Stand for `on_change` while no stream listens."""


class Outbox:
    """The messages to one placer. Numbers start at `first_seq` and grow by one.

    `on_change` is called after each message; a stream sets it while it is open.
    """

    def __init__(
        self,
        first_seq: int = 1,
        max_messages: int = MAX_RETAINED_MESSAGES,
        max_status_reports: int = MAX_STATUS_REPORTS,
    ) -> None:
        self._retained: deque[Sequenced] = deque(maxlen=max_messages)
        self._next_seq = first_seq
        self._status_reports: deque[Note] = deque(maxlen=max_status_reports)
        self.on_change: Callable[[], None] = _ignore_change

    @property
    def next_seq(self) -> int:
        """The number of the next message."""
        return self._next_seq

    def reset_on_change(self) -> None:
        """Stop calling a stream that has ended."""
        self.on_change = _ignore_change

    def append_accepted(self, task: str, attempt: int, *, running: bool) -> Taken:
        """Number and retain the message that an attempt was accepted, or runs."""
        return self._append(Taken(self._next_seq, task, attempt, running))

    def append_ended(self, make: Callable[[int], Gone]) -> Gone:
        """Number and retain what `make` returns for the number: the message that a task is over."""
        return self._append(make(self._next_seq))

    def add_status_report(self, status_report: Note) -> None:
        """Keep a status report until it is sent. It has no number: a lost one is followed by the next."""
        self._status_reports.append(status_report)
        self.on_change()

    def _append(self, message: M) -> M:
        self._retained.append(message)
        self._next_seq += 1
        self.on_change()
        return message

    def reaches(self, seq: int) -> bool:
        """Return whether all from number `seq` on is retained, and `seq` is not beyond the next number."""
        return self._first_retained <= seq <= self._next_seq

    def messages_from(self, seq: int, limit: int = MAX_BATCH) -> list[Sequenced]:
        """Return messages from number `seq` on, or from the first that is retained where that is later."""
        start = max(0, seq - self._first_retained)
        return list(islice(self._retained, start, start + limit))

    def pop_status_reports(self) -> list[Note]:
        """Return the status reports that wait, and forget them."""
        status_reports = list(self._status_reports)
        self._status_reports.clear()
        return status_reports

    @property
    def _first_retained(self) -> int:
        return self._next_seq - len(self._retained)
