"""Decides which client connections to close: those without valid input, and evicted ones. No I/O.

`descriptor_shares` decides how many connections are allowed. Times are seconds of the event loop's clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

import msgspec

K = TypeVar("K")

NO_VALID_MESSAGE_S = 2.0
"""Time limit for the first valid message on a connection that is not in use."""

FRAGMENT_S = 4.0
"""Maximum pause within a line; as long as clients keep a connection without a task open."""

LINE_S = 10.0
"""Maximum time from the first byte of a line to its end."""

FIRST_LINE_S = 2.5
"""Time limit from opening for the first complete line, if its beginning has been received.

A client that has not completed a line by then may not intend to send a request.
"""

RECENTLY_ACTIVE_S = 0.5
"""A connection opened or active within this time may have an unread request or be about to send one."""

NO_VALID_MESSAGE_YET = -1.0
"""Used in place of a time for a connection without a valid message."""


@dataclass(slots=True)
class PartialLine:
    """An incomplete line: when its first and its last fragment were received."""

    began_at: float
    grew_at: float

    @classmethod
    def after_read(
        cls, line: PartialLine | None, now: float, *, has_ended: bool, has_partial: bool
    ) -> PartialLine | None:
        """Return the incomplete line after a read, or None if there is none.

        Args:
            line: the incomplete line before the read.
            now: time of the read.
            has_ended: whether the read contained the end of a line.
            has_partial: whether the read left an incomplete line.
        """
        if not has_partial:
            return None
        began_at = now if line is None or has_ended else line.began_at
        return cls(began_at, now)


class EvictionOrder(Generic[K]):
    """Connections in the order in which they may be evicted for a new one.

    The order is updated when a connection is opened or active, since at the limit each new connection needs
    an eviction.
    """

    def __init__(self) -> None:
        self._unread: dict[K, float] = {}  # time of opening; not read from yet
        self._silent: dict[K, float] = {}  # time of opening; read, but without a valid message
        self._active: dict[K, float] = {}  # time of the last valid message, oldest first

    def on_opened(self, key: K, now: float) -> None:
        """Add a new connection."""
        self._unread[key] = now

    def on_first_read(self, key: K) -> None:
        """Record that what the connection had sent when it was opened has been read."""
        if key in self._unread:
            self._silent[key] = self._unread.pop(key)

    def on_active(self, key: K, now: float) -> None:
        """Record a valid message."""
        self.remove(key)
        self._active[key] = now

    def remove(self, key: K) -> None:
        """Remove a connection."""
        self._unread.pop(key, None)
        self._silent.pop(key, None)
        self._active.pop(key, None)

    def next_to_evict(self, now: float, is_in_use: Callable[[K], bool]) -> K | None:
        """Return the connection to evict; None if all are in use, or were opened or active just now.

        The first choice is the connection that has been silent longest. The second is the least recently
        active one that is not in use: some clients send one request and stay connected forever, which would
        shut out all later clients. The third is one that was opened recently and has sent nothing valid. A
        connection that has not been read from is never evicted: when hundreds of clients connect at once, its
        request may be unread.
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
    """Activity of a client connection; `last_valid_at` is initially NO_VALID_MESSAGE_YET."""

    opened_at: float
    last_valid_at: float
    is_in_use: bool
    line: PartialLine | None

    def is_closed_at(self, now: float) -> bool:
        """Return whether to close the connection: it sent nothing valid, or stopped within a line.

        Clients may send a request in fragments, also long after their previous request, so the limits for a
        line count from its own fragments. A connection without any complete line is closed or answered
        within 3 s, since an incomplete request alone must not keep it open for longer.
        """
        if self.is_in_use:
            return False
        if self.last_valid_at < self.opened_at:  # no valid message so far
            limit_s = NO_VALID_MESSAGE_S if self.line is None else FIRST_LINE_S
            return now - self.opened_at >= limit_s
        if self.line is None:
            return False
        return now - self.line.grew_at >= FRAGMENT_S or now - self.line.began_at >= LINE_S
