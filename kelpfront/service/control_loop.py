"""Drives the controller on the event loop: its timers, and the intents that come of each event.

The controller decides and has no clock. Whoever reports something to it calls `schedule`; carrying intents
out is left to `machine_links`.
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
"""A timer that is later than this: the process was stopped, or its host."""
SOCKET_CATCH_UP_ITERATIONS = 6
"""Of the event loop: from bytes in a socket to the controller it takes up to four."""
SOCKET_CATCH_UP_MS = 20.0
"""The longest catch-up, where iterations are long: what is due is late already."""


class ControlLoop:
    """Calls the controller when something was reported to it, and when its next timer is due.

    Args:
        controller: decides.
        now: the common clock, in milliseconds since the epoch.
        links: carry the controller's intents out.
    """

    def __init__(self, controller: JobController, now: Callable[[], float], links: MachineLinks) -> None:
        self._controller = controller
        self._now = now
        self._links = links
        self._is_scheduled = False
        self._iterated = asyncio.Event()
        self._timer: asyncio.Handle | None = None
        self._timer_at = math.inf
        self._is_catching_up = False
        self._is_closed = False
        self._worst_lag_ms = 0.0

    def schedule(self) -> None:
        """To be called after each report to the controller: intents are carried out soon, once for many."""
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._iterate)

    def close(self) -> None:
        """Stop the controller's timers."""
        self._is_closed = True
        if self._timer is not None:
            self._timer.cancel()

    def take_worst_lag_ms(self) -> float:
        """Return by how much a timer was late at the worst since the last call."""
        worst = self._worst_lag_ms
        self._worst_lag_ms = 0.0
        return worst

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float) -> None:
        """Wait until a condition holds that only the controller can bring about, or the time is up."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not condition():
                    self._iterated.clear()
                    await self._iterated.wait()

    def _iterate(self) -> None:
        self._is_scheduled = False
        self._iterated.set()
        self._controller.publish_due(self._now())
        for intent in self._controller.take_intents():
            self._links.execute(intent)
        self._links.sync_after_changes()
        self._set_timer()

    def _set_timer(self) -> None:
        """Set the timer for the controller's next; one that is set for an earlier time is left."""
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
        self._worst_lag_ms = max(self._worst_lag_ms, lag_ms)
        self._controller.degradation.process_load.record_timer_lag(lag_ms)
        if lag_ms > STALL_MS and not self._is_catching_up:
            self._is_catching_up = True
            self._catch_up(SOCKET_CATCH_UP_ITERATIONS, now + SOCKET_CATCH_UP_MS)

    def _catch_up(self, iterations_left: int, until: float) -> None:
        """Let the sockets be read first: the process stalled, and their bytes came before what is due now.

        Without this an offer whose answer has come is timed out, and its task is sent once more.
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
        self._iterate()  # at once: what is due now may be an answer
