"""Sends changes of the registry's machines to the scheduler as updates of its endpoint list.

The registry decides when an update is due.
"""

from __future__ import annotations

from kelpfront.controller.machine_registry import MachineRegistry
from kelpfront.controller.scheduler_driver import SchedulerDriver


class EndpointPublisher:
    """Feeds changes of the endpoint list to the scheduler."""

    def __init__(self, registry: MachineRegistry, driver: SchedulerDriver) -> None:
        self._registry = registry
        self._driver = driver

    def publish_due(self, now: float) -> None:
        """Send the pending changes to the scheduler if an update is due."""
        if not self._registry.endpoint_update_due(now):
            return
        update = self._registry.take_endpoint_update(now)
        if update is not None:
            self._driver.feed(now, update)
