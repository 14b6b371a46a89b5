"""The common clock that placers share without talking: the wall clock, made to go forward only.

Cold machines are protected by turns that all placers read off one clock (docs/design.md), so `now` must be
near the wall clock; deadlines need a clock that never jumps. `CommonClock` starts at the wall clock, goes on
by the monotonic one, and is slewed towards the wall clock as slowly as NTP slews, so that a step of the wall
clock neither fires every deadline nor moves one by more than half a millisecond a second.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from datetime import UTC, datetime
from functools import lru_cache

SLEW = 0.0005  # of elapsed time: the rate at which NTP slews, far under the slack of any deadline


class CommonClock:
    """Milliseconds since the epoch, never going back. `wall` and `steady` return seconds."""

    def __init__(
        self, wall: Callable[[], float] = time.time, steady: Callable[[], float] = time.monotonic
    ) -> None:
        self._wall, self._steady = wall, steady
        self._steady_at = steady()
        self._now = wall() * 1000.0

    def now(self) -> float:
        steady = self._steady()
        elapsed = (steady - self._steady_at) * 1000.0
        if elapsed <= 0:
            return self._now
        self._steady_at = steady
        straight = self._now + elapsed
        most = elapsed * SLEW
        self._now = straight + min(most, max(-most, self._wall() * 1000.0 - straight))
        return self._now

    def error(self) -> float:
        """Milliseconds by which the wall clock is ahead of this one: large after it was stepped."""
        return self._wall() * 1000.0 - self.now()


@lru_cache(maxsize=256)
def _second(second: int) -> str:
    """The part of a time that all within one second share: making it is the dear part of a timestamp."""
    return datetime.fromtimestamp(second, UTC).strftime("%Y-%m-%dT%H:%M:%S")


def timestamp(ms: float) -> str:
    """RFC 3339 with microseconds, as the API writes times; `ms` since the epoch."""
    second, micros = divmod(round(ms * 1000.0), 1_000_000)
    return f"{_second(second)}.{micros:06d}Z"


def parse_timestamp(text: str) -> float:
    """Milliseconds since the epoch of an RFC 3339 time."""
    return datetime.fromisoformat(text).timestamp() * 1000.0
