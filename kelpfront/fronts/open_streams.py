"""Limits the number of open streams of one API, and asks them to end when the placer stops.

A stream is a response without a fixed end, such as a watch. This module does not deal with its content.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from kelpfront.api.errors import ApiError

RETRY_AFTER_S = 1
"""Short, because some of many open streams end at any time."""


class StreamSignal:
    """Wakes a stream that waits for something to send.

    Attributes:
        changed: set when there may be something to send, or when the stream must end.
        is_stopping: whether the stream must end.
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
        limit: the maximum number of open streams; None for no limit.
    """

    def __init__(self, limit: int | None = None) -> None:
        self._limit = limit
        self._last_stream_id = 0
        self._stop_callbacks: dict[int, Callable[[], None]] = {}

    def __len__(self) -> int:
        return len(self._stop_callbacks)

    @contextmanager
    def open(self, stop: Callable[[], None]) -> Iterator[None]:
        """Count a stream as open for the duration of a `with` block; `stop` is called to ask it to end.

        Raises:
            ApiError: 429 if too many streams are open.
        """
        if self._limit is not None and len(self._stop_callbacks) >= self._limit:
            raise ApiError(
                429, f"{self._limit} streams are open, which is the most", retry_after_s=RETRY_AFTER_S
            )
        self._last_stream_id += 1
        stream_id = self._last_stream_id
        self._stop_callbacks[stream_id] = stop
        try:
            yield
        finally:
            del self._stop_callbacks[stream_id]

    def stop_all(self) -> None:
        """Ask all streams to end."""
        for stop in list(self._stop_callbacks.values()):
            stop()
