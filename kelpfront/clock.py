"""The clock that placers share without communicating: the wall clock, made monotonic.

Placers share no state and take turns in slow start by reading one common clock (docs/design.md), so `now`
must be near the wall clock. Deadlines need a clock that never jumps. `CommonClock` therefore starts at the
wall clock, advances with the monotonic clock, and is slewed towards the wall clock as slowly as NTP slews.
A step of the wall clock neither fires every deadline nor moves one by more than half a millisecond per
second. The module also formats and parses the timestamps of the API.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from datetime import UTC, datetime
from functools import lru_cache

MAX_SLEW = 0.0005
"""Largest correction as a share of the elapsed time: the rate at which NTP slews, far below what deadlines
tolerate."""
MS_PER_S = 1000.0
US_PER_MS = 1000.0
US_PER_S = 1_000_000
CACHED_SECONDS = 256
"""Size of the cache of formatted seconds, which are the expensive part of formatting a timestamp."""


class CommonClock:
    """A clock in milliseconds since the epoch that never goes back.

    Arguments:
        wall: returns the wall clock in seconds since the epoch.
        monotonic: returns a monotonic clock in seconds.
    """

    def __init__(
        self, wall: Callable[[], float] = time.time, monotonic: Callable[[], float] = time.monotonic
    ) -> None:
        self._wall = wall
        self._monotonic = monotonic
        self._read_at_s = monotonic()
        self._now_ms = wall() * MS_PER_S

    def now(self) -> float:
        """Return the current time in milliseconds since the epoch."""
        monotonic_s = self._monotonic()
        elapsed_ms = (monotonic_s - self._read_at_s) * MS_PER_S
        if elapsed_ms <= 0:
            return self._now_ms
        self._read_at_s = monotonic_s
        unslewed_ms = self._now_ms + elapsed_ms
        max_correction_ms = elapsed_ms * MAX_SLEW
        offset_ms = self._wall() * MS_PER_S - unslewed_ms
        self._now_ms = unslewed_ms + min(max_correction_ms, max(-max_correction_ms, offset_ms))
        return self._now_ms

    def wall_clock_offset_ms(self) -> float:
        """Return the wall clock less this clock; the difference is large after a step of the wall clock."""
        return self._wall() * MS_PER_S - self.now()


@lru_cache(maxsize=CACHED_SECONDS)
def _format_second(second: int) -> str:
    return datetime.fromtimestamp(second, UTC).strftime("%Y-%m-%dT%H:%M:%S")


def timestamp(ms: float) -> str:
    """Format milliseconds since the epoch as RFC 3339 with microseconds, the format of times in the API."""
    second, microseconds = divmod(round(ms * US_PER_MS), US_PER_S)
    return f"{_format_second(second)}.{microseconds:06d}Z"


def parse_timestamp(text: str) -> float:
    """Return the milliseconds since the epoch of an RFC 3339 time.

    Raises:
        ValueError: the text is not an RFC 3339 time.
    """
    return datetime.fromisoformat(text).timestamp() * MS_PER_S
