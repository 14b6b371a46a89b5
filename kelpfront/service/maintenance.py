"""Periodic checks of a placer: late timers, memory use, links and the inventory file.

The controller's degradation decides how to react to late timers and memory use.
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
"""Short enough to detect overload within a second from several observations."""
INVENTORY_CHECK_INTERVAL_S = 2.0
"""A changed inventory file takes effect within a few seconds."""


class Maintenance:
    """Checks a running placer at regular intervals, in one task that its owner cancels.

    Args:
        controller: receives the memory use; its settings say from which lag on timers are logged as late.
        control_loop: measures the lag of timers.
        links: are synchronized with the machines of the registry.
        inventory: is reloaded when its file has changed.
        memory_limit_bytes: memory limit of the process; None if its memory use is not measured.
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
        """Run the checks until the task is cancelled."""
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
        lag_ms = self._control_loop.take_max_lag_ms()
        if lag_ms > self._controller.cluster.settings.timer_resolution_ms:
            log.warning("timers late", lag_ms=round(lag_ms))
