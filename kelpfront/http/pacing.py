"""Paces requests, so that a flood of them does not delay work that was accepted earlier.

An event loop runs all ready callbacks before it checks its timers. With a thousand requests ready at once,
responses that are due would wait for all of them. The pacer therefore queues requests, and each iteration of
the loop serves only as many as fit in a time slice.

The queue is first in, first out while its wait is short. When the wait is long, the newest requests go first
(adaptive LIFO): served in order, every request would have waited so long that its response is of little use.
Requests that have waited too long are also let through, a few in each iteration, and the handler rejects
them.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

SLICE_S = 0.005  # work in one iteration of the loop: well under the timers' resolution
MAX_FIFO_WAIT_S = 0.05  # the queue is served in order while its oldest request has waited for less
MAX_WAIT_S = 1.0  # after this time in the queue a client is better rejected than kept waiting
NEWEST_WEIGHT = 0.05  # of a request in the moving average of cost, by which a slice is filled
MIN_AVERAGE_S = 1e-6  # limits the number of requests that fit in a slice
EXPIRED_SHARE = 4  # one in this many requests of a slice may be one that waited too long


class _WaitingRequest(NamedTuple):
    queued_at: float
    slot: asyncio.Future[None]


class RequestPacer:
    """Assigns requests to iterations of the event loop. `clock` is in seconds.

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
        """The number of queued requests. Cancelled ones are included until they are skipped."""
        return len(self._queue)

    async def wait_for_slot(self) -> None:
        """Wait until the request may be served."""
        if self._remaining_s > 0 and not self._queue:
            return
        slot = asyncio.get_running_loop().create_future()
        self._queue.append(_WaitingRequest(self.clock(), slot))
        self._schedule()
        await slot  # a request that is cancelled here is skipped when its turn comes

    def record_work(self, seconds: float) -> None:
        """Subtract the time of a request's work from the current slice."""
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
        """Remove the requests that this iteration serves from the queue, and return their slots."""
        queue = self._queue
        while queue and queue[0].slot.done():
            queue.popleft()
        chosen = self._choose_expired(now, max(1, capacity // EXPIRED_SHARE))
        while queue and len(chosen) < capacity:
            wait_is_short = now - queue[0].queued_at < MAX_FIFO_WAIT_S
            request = queue.popleft() if wait_is_short else queue.pop()
            if not request.slot.done():
                chosen.append(request.slot)
        return chosen

    def _choose_expired(self, now: float, limit: int) -> list[asyncio.Future[None]]:
        queue = self._queue
        chosen: list[asyncio.Future[None]] = []
        for _ in range(limit):
            if not queue or now - queue[0].queued_at < MAX_WAIT_S:
                break
            request = queue.popleft()
            if not request.slot.done():
                chosen.append(request.slot)
        return chosen
