"""Drives the controller on the event loop: runs its timers and executes its intents.

The controller makes the decisions and has no clock of its own. After each report to the controller, call
`ControlLoop.schedule`. The intents are executed by `machine_links`.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Callable

from kelpfront.clock import MS_PER_S
from kelpfront.controller.job_controller import JobController
from kelpfront.service.machine_links import MachineLinks

STALL_MS = 100.0
"""A timer that fires later than this shows that the process or its host was stopped for a while."""
SOCKET_CATCH_UP_ITERATIONS = 6
"""Iterations of the event loop to wait after a stall: received bytes take up to four to the controller."""
SOCKET_CATCH_UP_MS = 20.0
"""Upper bound of this wait where the iterations are slow: the timers are late already."""


class ControlLoop:
    """Calls the controller after each report to it, and when its next timer is due.

    Args:
        controller: makes the decisions.
        now: the common clock, in milliseconds since the epoch.
        links: execute the controller's intents.
    """

    def __init__(self, controller: JobController, now: Callable[[], float], links: MachineLinks) -> None:
        self._controller = controller
        self._now = now
        self._links = links
        self._is_scheduled = False
        self._iteration_done = asyncio.Event()
        self._timer: asyncio.Handle | None = None
        self._timer_at = math.inf
        self._is_catching_up = False
        self._is_closed = False
        self._max_lag_ms = 0.0

    def schedule(self) -> None:
        """Execute the controller's intents in the next iteration, once for all calls until then."""
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._iterate)

    def close(self) -> None:
        """Stop the controller's timers."""
        self._is_closed = True
        if self._timer is not None:
            self._timer.cancel()

    def take_max_lag_ms(self) -> float:
        """Return the largest delay of a timer since the last call."""
        max_lag_ms = self._max_lag_ms
        self._max_lag_ms = 0.0
        return max_lag_ms

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float) -> None:
        """Wait until a condition on the controller's state holds, or the timeout expires."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not condition():
                    self._iteration_done.clear()
                    await self._iteration_done.wait()

    def _iterate(self) -> None:
        self._is_scheduled = False
        self._iteration_done.set()
        self._controller.publish_due(self._now())
        for intent in self._controller.take_intents():
            self._links.execute(intent)
        self._links.sync_after_changes()
        self._set_timer()

    def _set_timer(self) -> None:
        """Set the timer for the controller's next due time, unless it is set for an earlier time already."""
        due_at = self._controller.next_timer()
        if due_at >= self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = due_at
        loop = asyncio.get_running_loop()
        delay_s = (due_at - self._now()) / MS_PER_S
        if delay_s > 0:
            self._timer = loop.call_later(delay_s, self._on_timer)
        else:
            self._timer = loop.call_soon(self._on_timer)

    def _on_timer(self) -> None:
        now = self._now()
        has_due_time = self._timer_at > -math.inf
        if has_due_time:
            self._record_lag(now, now - self._timer_at)
        self._timer = None
        self._timer_at = math.inf
        if not self._is_catching_up:
            self._advance()

    def _record_lag(self, now: float, lag_ms: float) -> None:
        self._max_lag_ms = max(self._max_lag_ms, lag_ms)
        self._controller.degradation.process_load.record_timer_lag(lag_ms)
        if lag_ms > STALL_MS and not self._is_catching_up:
            self._is_catching_up = True
            self._catch_up(SOCKET_CATCH_UP_ITERATIONS, now + SOCKET_CATCH_UP_MS)

    def _catch_up(self, iterations_left: int, until: float) -> None:
        """Let the event loop read its sockets before the due timers are handled.

        Their bytes may have arrived during the stall, before the timers were due. Without this wait, an offer
        whose answer has arrived would time out, and its task would be sent again.
        """
        if self._is_closed:
            return
        if iterations_left and self._now() < until:
            asyncio.get_running_loop().call_soon(self._catch_up, iterations_left - 1, until)
            return
        self._is_catching_up = False
        self._advance()

    def _advance(self) -> None:
        self._controller.advance(self._now())
        self._iterate()  # immediately, because an answer may be due
