"""What a placer checks regularly: late timers, its memory, its links and its inventory file.

What late timers and memory lead to is decided by the controller's degradation.
"""

from __future__ import annotations

import asyncio

import psutil
import structlog

from kelpfront.controller.job_controller import JobController
from kelpfront.service.control_loop import ControlLoop
from kelpfront.service.inventory_reload import InventoryReloader
from kelpfront.service.machine_links import MachineLinks

log = structlog.get_logger("kelpfront.controller")

CHECK_INTERVAL_S = 0.25
"""Overload is to be seen within a second, from several observations."""
INVENTORY_CHECK_INTERVAL_S = 2.0
"""A new inventory is in use a few seconds after it was put in place."""


class Maintenance:
    """Checks a running placer in regular intervals. It runs as one task, which its owner cancels.

    Args:
        controller: is told of late timers and memory.
        control_loop: measures the timers.
        links: are brought in line with the machines that are left.
        inventory: is reloaded when its file has changed.
        memory_limit_bytes: what the process may use; None where its memory is not measured.
    """

    def __init__(
        self,
        controller: JobController,
        control_loop: ControlLoop,
        links: MachineLinks,
        inventory: InventoryReloader,
        *,
        memory_limit_bytes: int | None,
    ) -> None:
        self._controller = controller
        self._control_loop = control_loop
        self._links = links
        self._inventory = inventory
        self._memory_limit_bytes = memory_limit_bytes
        self._process = None if memory_limit_bytes is None else psutil.Process()

    async def run(self) -> None:
        """Check until the task is cancelled."""
        loop = asyncio.get_running_loop()
        self._inventory.mark_current()
        inventory_check_at = loop.time() + INVENTORY_CHECK_INTERVAL_S
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._check_memory()
            self._check_timers()
            self._links.sync()
            if loop.time() >= inventory_check_at:
                inventory_check_at = loop.time() + INVENTORY_CHECK_INTERVAL_S
                await self._inventory.reload_if_changed()

    def _check_memory(self) -> None:
        if self._process is None or self._memory_limit_bytes is None:
            return
        used_bytes = self._process.memory_info().rss
        self._controller.degradation.process_load.memory_share = used_bytes / self._memory_limit_bytes

    def _check_timers(self) -> None:
        lag_ms = self._control_loop.take_worst_lag_ms()
        if lag_ms > self._controller.cluster.settings.timer_resolution_ms:
            log.warning("timers late", lag_ms=round(lag_ms))
