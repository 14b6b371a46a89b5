"""Keeps a connection to a machine open for its reports, and replaces one whose reports may be lost.

The pool decides whether reports are due and opens the connections; this module decides when to try again, and
when refused connections prove that the machine's process is dead.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from kelpfront.platform.descriptor_budget import DescriptorBudget, DescriptorUser
from kelpfront.platform.limits import Limit, LimitMonitor
from kelpfront.platform.report_recovery import ReportRecovery
from kelpfront.platform.timeouts import (
    RECONNECT_INTERVAL_MS,
    REPORT_RECOVERY_INTERVAL_MS,
    ReachabilityCheck,
)

StartTask = Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]]


class ReportingPool(DescriptorUser, Protocol):
    """The pool of one machine, as the reconnector sees it."""

    @property
    def is_connected(self) -> bool:
        """Whether a connection is open that is not being closed."""

    @property
    def is_opening(self) -> bool:
        """Whether a connection is being opened."""

    @property
    def needs_reports(self) -> bool:
        """Whether tasks run on the machine, or lines about them wait to be sent."""

    async def open_connection(self) -> None:
        """Open one connection; raise OSError or TimeoutError if that fails."""

    def on_process_dead(self) -> None:
        """Handle the proof that the machine's process is dead."""


class Reconnector:
    """Opens connections of one pool to receive reports, one at a time.

    Attributes:
        recovery: whether a new connection is needed although one is open.
    """

    def __init__(
        self, pool: ReportingPool, budget: DescriptorBudget, limits: LimitMonitor, start_task: StartTask
    ) -> None:
        self.recovery = ReportRecovery()
        self._pool = pool
        self._budget = budget
        self._limits = limits
        self._start_task = start_task
        self._task: asyncio.Task[None] | None = None

    @property
    def needs_connection(self) -> bool:
        """Whether a connection has to be opened to receive reports."""
        return self._pool.needs_reports and (self.recovery.is_needed or not self._pool.is_connected)

    def ensure_connected(self) -> None:
        """Start to open a connection if one is needed and a descriptor is available."""
        if self._task is not None or not self.needs_connection:
            return
        if self._pool.is_connected and self._pool.is_opening:  # asked again once that has opened or failed
            return
        if not self._budget.may_open_to_receive():
            self._limits.reached(Limit.DESCRIPTORS)
            self._budget.wait(self._pool, to_send=False)
            return
        self._task = self._start_task(self._run())

    async def _run(self) -> None:
        reachability = ReachabilityCheck()
        try:
            while self.needs_connection:
                async with self._budget.reconnecting:
                    if not self.needs_connection:
                        return
                    if not self._budget.may_open_to_receive():
                        self._budget.wait(self._pool, to_send=False)
                        return
                    if await self._is_process_dead(reachability):
                        self._pool.on_process_dead()
                        return
                await asyncio.sleep(self._interval_ms() / 1000.0)
        finally:
            self._task = None

    def _interval_ms(self) -> float:
        return REPORT_RECOVERY_INTERVAL_MS if self._pool.is_connected else RECONNECT_INTERVAL_MS

    async def _is_process_dead(self, reachability: ReachabilityCheck) -> bool:
        """Try to open a connection; return whether refusals prove that the machine's process is dead."""
        try:
            await self._pool.open_connection()
        except ConnectionRefusedError:
            # A process with an open connection is alive, even if it has stopped listening.
            return not self._pool.is_connected and reachability.on_refused()
        except (OSError, TimeoutError):
            reachability.on_no_response()
        return False
