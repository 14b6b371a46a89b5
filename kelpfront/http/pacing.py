"""Pacing of requests, so that a flood of them does not delay work that was accepted before.

An event loop runs all that is ready before it looks at its timers. With a thousand requests ready at once,
answers that are due would wait for all of them. Here requests wait in a queue, and each iteration of the loop
serves a time slice of them.

The queue is first in, first out while it is short. Once it is not, the newest go first (adaptive LIFO):
served in order, each would have waited so long that its answer is of little use. Those that have waited too
long are let through as well, a few in each iteration, for the handler to reject them.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

SLICE_S = 0.005  # of requests' work in one iteration of the loop: well under the timers' resolution
MAX_FIFO_WAIT_S = 0.05  # the queue is served in order while its first has waited for less
MAX_WAIT_S = 1.0  # in the queue; then its client is better rejected than kept waiting
NEWEST_WEIGHT = 0.05  # of the newest request in the average cost, which says how many fit in a slice
MIN_AVERAGE_S = 1e-6  # keeps the number that fits in a slice finite
EXPIRED_SHARE = 4  # one request that waited too long is let through for each so many that fit


class _WaitingRequest(NamedTuple):
    since: float
    slot: asyncio.Future[None]


class RequestPacer:
    """Gives requests slots in the iterations of the event loop. `clock` is in seconds.

    A request calls `wait_for_slot` before its work and `record_work` after it.
    """

    def __init__(self, slice_s: float = SLICE_S, clock: Callable[[], float] = time.perf_counter) -> None:
        self._slice_s = slice_s
        self._remaining_s = slice_s
        self.clock = clock
        self._average_s = slice_s / 10
        self._queue: deque[_WaitingRequest] = deque()
        self._is_scheduled = False

    @property
    def waiting(self) -> int:
        """How many requests wait, cancelled ones included until they are passed over."""
        return len(self._queue)

    async def wait_for_slot(self) -> None:
        """Wait until the request may be served."""
        if self._remaining_s > 0 and not self._queue:
            return
        slot = asyncio.get_running_loop().create_future()
        self._queue.append(_WaitingRequest(self.clock(), slot))
        self._schedule()
        await slot  # a request that is cancelled here is passed over when it would be served

    def record_work(self, seconds: float) -> None:
        """Count the time that a request's work took against the present slice."""
        self._remaining_s -= seconds
        self._average_s += NEWEST_WEIGHT * (seconds - self._average_s)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._begin_slice)

    def _begin_slice(self) -> None:
        self._is_scheduled = False
        self._remaining_s = self._slice_s
        capacity = max(1, int(self._slice_s / max(self._average_s, MIN_AVERAGE_S)))
        now = self.clock()
        for slot in self._choose(now, capacity):
            slot.set_result(None)
        if self._queue:
            self._schedule()

    def _choose(self, now: float, capacity: int) -> list[asyncio.Future[None]]:
        """Remove and return the slots of the requests that are served in this iteration."""
        queue = self._queue
        while queue and queue[0].slot.done():
            queue.popleft()
        chosen = self._choose_expired(now, max(1, capacity // EXPIRED_SHARE))
        while queue and len(chosen) < capacity:
            is_short = now - queue[0].since < MAX_FIFO_WAIT_S
            request = queue.popleft() if is_short else queue.pop()
            if not request.slot.done():
                chosen.append(request.slot)
        return chosen

    def _choose_expired(self, now: float, limit: int) -> list[asyncio.Future[None]]:
        queue = self._queue
        chosen: list[asyncio.Future[None]] = []
        for _ in range(limit):
            if not queue or now - queue[0].since < MAX_WAIT_S:
                break
            request = queue.popleft()
            if not request.slot.done():
                chosen.append(request.slot)
        return chosen
