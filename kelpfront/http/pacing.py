"""Turns for work that comes from outside, so that a flood of it does not hold up work that was taken before.

An event loop runs all that is ready before it looks at its timers. With a thousand requests ready at once,
answers that are due would wait for all of them. Here requests wait in line, and each turn of the loop serves
a slice of them.

The line is served in order while it is short. Once it is not, the newest go first: served in order, each
would have waited for so long that it is of little use by then, and all the work would be for nothing. Those
that have waited for too long are let through too, a few a turn, for the handler to turn them away.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable

SLICE_S = 0.005  # of requests' work in one turn of the loop: well under the timers' tick
IN_ORDER_S = 0.05  # while the first in line has waited for less
LONGEST_S = 1.0  # in line; then its client is to be told, rather than wait on
AVERAGE_WEIGHT = 0.05  # of the newest request in the average that says how many fit in a slice


class Turns:
    """`enter` waits for a turn; `spent` tells what the work took, in seconds."""

    def __init__(self, slice_s: float = SLICE_S, clock: Callable[[], float] = time.perf_counter) -> None:
        self._slice = self._left = slice_s
        self.clock = clock
        self._average = slice_s / 10
        self._line: deque[tuple[float, asyncio.Future[None]]] = deque()
        self._armed = False

    @property
    def waiting(self) -> int:
        return len(self._line)

    async def enter(self) -> None:
        if self._left > 0 and not self._line:
            return
        turn = asyncio.get_running_loop().create_future()
        self._line.append((self.clock(), turn))
        self._arm()
        await turn  # one that is cancelled meanwhile is passed over when its turn comes

    def spent(self, seconds: float) -> None:
        self._left -= seconds
        self._average += AVERAGE_WEIGHT * (seconds - self._average)
        self._arm()

    def _arm(self) -> None:
        if not self._armed:
            self._armed = True
            asyncio.get_running_loop().call_soon(self._next_turn)

    def _next_turn(self) -> None:
        self._armed = False
        self._left = self._slice
        fits = max(1, int(self._slice / max(self._average, 1e-6)))
        now = self.clock()
        for turn in self._choose(now, fits):
            turn.set_result(None)
        if self._line:
            self._arm()

    def _choose(self, now: float, fits: int) -> list[asyncio.Future[None]]:
        """Who is served in this turn."""
        line = self._line
        chosen: list[asyncio.Future[None]] = []
        while line and line[0][1].done():
            line.popleft()
        if line and now - line[0][0] >= LONGEST_S:  # one for each few that are served
            for _ in range(max(1, fits // 4)):
                if line and now - line[0][0] >= LONGEST_S:
                    _, turn = line.popleft()
                    if not turn.done():
                        chosen.append(turn)
        while line and len(chosen) < fits:
            _, turn = line.popleft() if now - line[0][0] < IN_ORDER_S else line.pop()
            if not turn.done():
                chosen.append(turn)
        return chosen
