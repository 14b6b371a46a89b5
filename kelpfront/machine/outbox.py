"""Messages from a machine to one placer: they are numbered, and retained so that they can be sent again.

A placer's stream may break at any byte. A placer that reconnects requests the first message number that it
has not received, and gets the messages from there on if the outbox still retains them. `message_stream` sends
the messages.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from itertools import islice
from typing import TypeVar

from kelpfront.machine.messages import Gone, Note, Sequenced, Taken

MAX_RETAINED_MESSAGES = 5_000  # covers minutes of messages; a broken stream reconnects within seconds
MAX_STATUS_REPORTS = 500  # the oldest are dropped: later ones report on the same tasks and topics
MAX_BATCH = 1_000  # messages sent at once; bounds how long a backlog blocks the event loop

M = TypeVar("M", bound=Sequenced)


def _ignore_change() -> None:
    """Do nothing; the value of `on_change` while no stream is open."""


class Outbox:
    """The messages to one placer, numbered consecutively from `first_seq`.

    `on_change` is called after each added message; an open stream sets it.
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
        """Remove the callback of a stream that has ended."""
        self.on_change = _ignore_change

    def append_accepted(self, task: str, attempt: int, *, running: bool) -> Taken:
        """Number and retain the message that an attempt was accepted, or is running."""
        return self._append(Taken(self._next_seq, task, attempt, running))

    def append_ended(self, make: Callable[[int], Gone]) -> Gone:
        """Number and retain the message that a task has ended; `make` creates it for a given number."""
        return self._append(make(self._next_seq))

    def add_status_report(self, status_report: Note) -> None:
        """Keep a status report until it is sent. It has no number: the next report replaces a lost one."""
        self._status_reports.append(status_report)
        self.on_change()

    def _append(self, message: M) -> M:
        self._retained.append(message)
        self._next_seq += 1
        self.on_change()
        return message

    def reaches(self, seq: int) -> bool:
        """Return whether all messages from number `seq` on are retained and `seq` is at most `next_seq`."""
        return self._first_retained <= seq <= self._next_seq

    def messages_from(self, seq: int, limit: int = MAX_BATCH) -> list[Sequenced]:
        """Return up to `limit` messages from number `seq` on, or from the first retained one if later."""
        start = max(0, seq - self._first_retained)
        return list(islice(self._retained, start, start + limit))

    def pop_status_reports(self) -> list[Note]:
        """Remove and return the status reports that were not sent yet."""
        status_reports = list(self._status_reports)
        self._status_reports.clear()
        return status_reports

    @property
    def _first_retained(self) -> int:
        return self._next_seq - len(self._retained)
