"""Since when data that is read may have been unread.

A placer that stood still must not count it as just come.

A client's timeout runs from when it sent its request. A loop that was busy, a process that was stopped or had
no processor finds requests that came long ago, and none of them says when. What a poll reports was not there
at the poll before, so it came after that one returned; or while the poll waited, if it waited for no longer
than it was to.
"""

from __future__ import annotations

import selectors
import time
from collections.abc import Callable
from selectors import SelectorKey
from typing import Any

OVERSLEEP_S = 0.02
"""A poll that returns so late after its time-out did not only wait: the process stood still."""

ITERATIONS_UNTIL_FIRST_READ = 2
"""From the accept of a connection to the read of what came with it."""


class TimedSelector(selectors.DefaultSelector):
    """A selector that remembers when it polled. Times are those of `clock`, in seconds.

    Attributes:
        iteration: counts polls.
        unread_since: what this iteration reads came no earlier.
        woken_since: the same for what a coroutine is woken for, which was read one iteration ago.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self.clock = clock
        now = clock()
        self._returned_at = now
        self.unread_since = now
        self.woken_since = now
        self.iteration = 0

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, Any]]:
        """Poll, and take note of when it began and returned."""
        began_at = self.clock()
        found = super().select(timeout)
        returned_at = self.clock()
        self.iteration += 1
        self.woken_since = self.unread_since
        waits = timeout is None or timeout > 0
        elapsed_s = returned_at - began_at
        has_overslept = timeout is not None and elapsed_s > timeout + OVERSLEEP_S
        if not waits or elapsed_s <= OVERSLEEP_S:
            self.unread_since = self._returned_at  # it may have been there before this poll began
        else:  # what had been there would have ended the wait at once
            self.unread_since = began_at if has_overslept else returned_at
        # One that overslept was interrupted by the signal to go on, and returned without a check.
        self._returned_at = began_at if has_overslept else returned_at
        return found


class UnreadTime:
    """How long what is read on one connection may have been unread. Without `selector`: no time."""

    def __init__(self, selector: TimedSelector | None) -> None:
        self._selector = selector
        self._opened_in = 0 if selector is None else selector.iteration
        self._read_in = self._opened_in
        self._came_at = 0.0 if selector is None else selector.woken_since

    def on_read(self) -> None:
        """Take note of a read: by this iteration's wake, or it is the rest of what was read before."""
        selector = self._selector
        if selector is None or selector.iteration == self._read_in:
            return
        self._read_in = selector.iteration
        # Before that, it may have come before the connection was accepted.
        if self._read_in > self._opened_in + ITERATIONS_UNTIL_FIRST_READ:
            self._came_at = max(self._came_at, selector.woken_since)

    def unread_ms(self) -> float:
        """Return for how long what was read last may have been unread, by now."""
        if self._selector is None:
            return 0.0
        return max(0.0, self._selector.clock() - self._came_at) * 1000.0
