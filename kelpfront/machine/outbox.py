"""What a machine still has to tell its placers: numbered messages, kept until they can be sent again.

A placer's stream may break at any byte. Messages stay in a bounded history; a placer that comes back names
the first number that it has not seen and gets the rest, or is told that the history no longer reaches so far.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from itertools import islice
from typing import TypeVar

from kelpfront.machine.messages import Gone, Note, Sequenced, Taken

HISTORY = 5_000  # messages to one placer: minutes of work, while a broken stream is back within seconds
NOTES = 500  # to one placer: later ones say the same of the same tasks

M = TypeVar("M", bound=Sequenced)


class Outbox:
    """To one placer. Numbers start at `first` and grow by one."""

    def __init__(self, first: int = 1, history: int = HISTORY, notes: int = NOTES) -> None:
        self._kept: deque[Sequenced] = deque(maxlen=history)
        self._next = first
        self._notes: deque[Note] = deque(maxlen=notes)
        self.on_change: Callable[[], None] = lambda: None

    @property
    def next_seq(self) -> int:
        return self._next

    def taken(self, task: str, attempt: int, running: bool) -> Taken:
        return self._keep(Taken(self._next, task, attempt, running))

    def gone(self, make: Callable[[int], Gone]) -> Gone:
        """Numbers and keeps what `make` returns for the number."""
        return self._keep(make(self._next))

    def note(self, note: Note) -> None:
        """Kept until sent, but not numbered: a lost note is followed by the next."""
        self._notes.append(note)
        self.on_change()

    def _keep(self, message: M) -> M:
        self._kept.append(message)
        self._next += 1
        self.on_change()
        return message

    def reaches(self, seq: int) -> bool:
        """Whether all from number `seq` on is still kept, and `seq` is not beyond what will come next."""
        return self._next - len(self._kept) <= seq <= self._next

    def since(self, seq: int, most: int = 1000) -> list[Sequenced]:
        """Messages from number `seq` on, at most so many; what `reaches` denies starts later."""
        first = self._next - len(self._kept)
        start = max(0, seq - first)
        return list(islice(self._kept, start, start + most))

    def take_notes(self) -> list[Note]:
        notes = list(self._notes)
        self._notes.clear()
        return notes
