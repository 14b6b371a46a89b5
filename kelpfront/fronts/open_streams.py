"""The streams of one front that are open: how many there may be, and how they are told that the placer stops.

A stream is an answer that goes on, such as a watch. What it sends is left to the stream.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from kelpfront.api.errors import ApiError

RETRY_AFTER_S = 1
"""Streams end all the time where many are open."""


class StreamSignal:
    """What wakes a stream that waits.

    Attributes:
        changed: set when there may be something to send.
        is_stopping: whether the stream is to end.
    """

    def __init__(self) -> None:
        self.changed = asyncio.Event()
        self.is_stopping = False

    def stop(self) -> None:
        """Ask the stream to end."""
        self.is_stopping = True
        self.changed.set()


class OpenStreams:
    """Counts the open streams, and can ask all of them to end.

    Args:
        limit: how many may be open; None for any number.
    """

    def __init__(self, limit: int | None = None) -> None:
        self._limit = limit
        self._last_number = 0
        self._stops: dict[int, Callable[[], None]] = {}

    def __len__(self) -> int:
        return len(self._stops)

    @contextmanager
    def open(self, stop: Callable[[], None]) -> Iterator[None]:
        """Count a stream within a `with` block. Raises ApiError 429 where too many are open."""
        if self._limit is not None and len(self._stops) >= self._limit:
            raise ApiError(
                429, f"{self._limit} streams are open, which is the most", retry_after_s=RETRY_AFTER_S
            )
        self._last_number += 1
        number = self._last_number
        self._stops[number] = stop
        try:
            yield
        finally:
            del self._stops[number]

    def stop_all(self) -> None:
        """Ask all streams to end."""
        for stop in list(self._stops.values()):
            stop()
