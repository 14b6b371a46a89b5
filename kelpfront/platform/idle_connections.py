"""Which clients' connections are closed: those that send nothing valid, and those that make way. Pure.

How many there may be is decided by `descriptor_shares`. Times are seconds of the event loop's clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

import msgspec

K = TypeVar("K")

NO_VALID_MESSAGE_S = 2.0
"""A connection that has sent nothing valid for so long, and is not in use, is closed."""

FRAGMENT_S = 4.0
"""A line that was begun goes on within it: as long as clients keep a connection without a task."""

LINE_S = 10.0
"""And it ends within this time."""

FIRST_LINE_S = 2.5
"""Since it was opened: who has begun a line by then and never ended one may mean no request."""

RECENTLY_ACTIVE_S = 0.5
"""One that was opened or active later than this ago may have a request unread, or be about to send one."""

NEVER = -1.0
"""In place of a time, for a connection that has sent nothing valid."""


@dataclass(slots=True)
class PartialLine:
    """A line that was begun and has not ended; when that was, and when its last fragment came."""

    began_at: float
    grew_at: float

    @classmethod
    def after_read(
        cls, line: PartialLine | None, now: float, *, has_ended: bool, has_partial: bool
    ) -> PartialLine | None:
        """Return what a read leaves behind.

        Args:
            line: what the read before it left behind.
            now: when it was read.
            has_ended: whether the read brought the end of a line.
            has_partial: whether it left a line that has not ended.
        """
        if not has_partial:
            return None
        began_at = now if line is None or has_ended else line.began_at
        return cls(began_at, now)


class EvictionOrder(Generic[K]):
    """Connections in the order in which they may have to make way for a new one.

    Kept in order as they open and are active, since at the limit each new connection asks for one.
    """

    def __init__(self) -> None:
        self._unread: dict[K, float] = {}  # when it was opened; what it may have sent was not looked for yet
        self._silent: dict[K, float] = {}  # when it was opened; it has sent nothing valid
        self._active: dict[K, float] = {}  # when it last sent a valid message, the longest ago first

    def on_opened(self, key: K, now: float) -> None:
        """Enter a new connection."""
        self._unread[key] = now

    def on_first_read(self, key: K) -> None:
        """Take note that what it had sent when it was opened has been read."""
        if key in self._unread:
            self._silent[key] = self._unread.pop(key)

    def on_active(self, key: K, now: float) -> None:
        """Take note of a valid message."""
        self.remove(key)
        self._active[key] = now

    def remove(self, key: K) -> None:
        """Drop a connection."""
        self._unread.pop(key, None)
        self._silent.pop(key, None)
        self._active.pop(key, None)

    def next_evicted(self, now: float, is_in_use: Callable[[K], bool]) -> K | None:
        """Return whose connection makes way; None where all are in use, or opened or active just now.

        First the one that has been silent longest, then the one that was active longest ago and is not in
        use: some clients ask once and hold on for good, and would shut out all who come later. Then who came
        recently and sent nothing. Not who was opened a moment ago, when hundreds come at once: what it has
        sent may be unread.
        """
        oldest = next(iter(self._silent.items()), None)
        if oldest is not None and oldest[1] <= now - RECENTLY_ACTIVE_S:
            return oldest[0]
        for key, active_at in self._active.items():
            if active_at > now - RECENTLY_ACTIVE_S:
                break
            if not is_in_use(key):
                return key
        return None if oldest is None else oldest[0]


class ConnectionActivity(msgspec.Struct, frozen=True):
    """What a client's connection has sent; `last_valid_at` is NEVER before its first valid message."""

    opened_at: float
    last_valid_at: float
    is_in_use: bool
    line: PartialLine | None

    def is_closed_at(self, now: float) -> bool:
        """Return whether the connection is closed: it sent nothing valid, or stopped within a line.

        Clients may send a request in fragments, also a while after the last one: a line's time is its own.
        Who has sent nothing complete yet is closed, or answered, within 3 s: half a request alone must not
        hold on longer.
        """
        if self.is_in_use:
            return False
        if self.last_valid_at < self.opened_at:  # nothing valid so far
            limit_s = NO_VALID_MESSAGE_S if self.line is None else FIRST_LINE_S
            return now - self.opened_at >= limit_s
        if self.line is None:
            return False
        return now - self.line.grew_at >= FRAGMENT_S or now - self.line.began_at >= LINE_S
