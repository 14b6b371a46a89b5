"""The earliest time at which data that is read may have arrived.

A client's timeout runs from when it sent its request, but a request does not say when that was. After the
event loop was busy, or the process was stopped or had no processor, requests are read that arrived long ago;
their timeout must not be counted from the read.

Data that a poll reports had not arrived at the previous poll, so it arrived after that poll returned. If the
poll blocked, and for no longer than its timeout, the data arrived while it was blocked.
"""

from __future__ import annotations

import selectors
import time
from collections.abc import Callable
from selectors import SelectorKey
from typing import Any

OVERSLEEP_S = 0.02
"""A poll that returns later than this after its timeout did not only wait: the process was stopped."""

ITERATIONS_UNTIL_FIRST_READ = 2
"""Loop iterations from accepting a connection to the first read of its data."""


class TimedSelector(selectors.DefaultSelector):
    """A selector that records when it polled. Times are those of `clock`, in seconds.

    Attributes:
        iteration: the number of polls so far.
        unread_since: the earliest time at which data that this iteration reads may have arrived.
        previous_unread_since: the same for the previous iteration; a coroutine is woken one iteration after
            its data was read.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self.clock = clock
        now = clock()
        self._returned_at = now
        self.unread_since = now
        self.previous_unread_since = now
        self.iteration = 0

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, Any]]:
        """Poll, and record when the poll began and returned."""
        began_at = self.clock()
        ready = super().select(timeout)
        returned_at = self.clock()
        self.iteration += 1
        self.previous_unread_since = self.unread_since
        may_block = timeout is None or timeout > 0
        elapsed_s = returned_at - began_at
        has_overslept = timeout is not None and elapsed_s > timeout + OVERSLEEP_S
        if not may_block or elapsed_s <= OVERSLEEP_S:
            self.unread_since = self._returned_at  # data may have arrived before this poll began
        else:  # data that had arrived before would have ended the wait at once
            self.unread_since = began_at if has_overslept else returned_at
        # A poll that overslept was interrupted by SIGCONT and returned without a check for data.
        self._returned_at = began_at if has_overslept else returned_at
        return ready


class UnreadTime:
    """How long data read on one connection may have been unread; always 0 without a `selector`."""

    def __init__(self, selector: TimedSelector | None) -> None:
        self._selector = selector
        self._opened_iteration = 0 if selector is None else selector.iteration
        self._read_iteration = self._opened_iteration
        self._arrived_after = 0.0 if selector is None else selector.previous_unread_since
        self._had_backlog = False

    def on_read(self, *, has_backlog: bool = False) -> None:
        """Record a read; further reads of the same iteration return the rest of the same data.

        Args:
            has_backlog: whether more data may have been left in the kernel. The next read may return data
                that arrived together with that of this one, although a poll reports it only later.
        """
        selector = self._selector
        is_rest_of_backlog = self._had_backlog
        self._had_backlog = has_backlog
        if selector is None or selector.iteration == self._read_iteration:
            return
        self._read_iteration = selector.iteration
        if is_rest_of_backlog:
            return
        # The data of earlier reads may have arrived before the connection was accepted.
        if self._read_iteration > self._opened_iteration + ITERATIONS_UNTIL_FIRST_READ:
            self._arrived_after = max(self._arrived_after, selector.previous_unread_since)

    def unread_ms(self) -> float:
        """Return how long the data that was read last may have been unread by now."""
        if self._selector is None:
            return 0.0
        return max(0.0, self._selector.clock() - self._arrived_after) * 1000.0
