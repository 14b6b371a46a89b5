"""Forwards the load that machines report and the results of health checks to the scheduler."""

from __future__ import annotations

from dataclasses import dataclass

from kelpfront.controller.cluster import Cluster
from kelpfront.controller.machine_record import MachineRecord
from kelpfront.controller.scheduler_driver import SchedulerDriver
from kelpfront.machine import messages as wire
from kelpfront.scheduling.events import HealthCheckCompleted, LoadReport


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """The result of a health check; `load` is None if the machine reported none."""

    ok: bool
    elapsed_ms: float
    load: wire.LoadReport | None = None


class LoadReports:
    """Translates reports of machines into scheduler events."""

    def __init__(self, cluster: Cluster, driver: SchedulerDriver) -> None:
        self._uses_measured_usage = cluster.settings.reports_measured_usage
        self._driver = driver

    def on_load(self, now: float, machine: MachineRecord, load: wire.LoadReport) -> None:
        """Handle load reported along with another message; the report proves that the machine is healthy."""
        self.on_health_check(now, machine, HealthCheckResult(ok=True, elapsed_ms=0.0, load=load))

    def on_health_check(self, now: float, machine: MachineRecord, result: HealthCheckResult) -> None:
        """Handle the result of a health check, including a timeout."""
        load = None if result.load is None else self._convert(result.load)
        no_response = not result.ok
        self._driver.feed(
            now,
            HealthCheckCompleted(
                machine.machine_id, result.ok, result.elapsed_ms, load, no_response=no_response
            ),
        )

    def _convert(self, load: wire.LoadReport) -> LoadReport:
        if self._uses_measured_usage:
            return LoadReport(load.unused_cores, load.unused_memory, load.waiting, load.busy)
        return LoadReport(load.free_cores, load.free_memory, load.waiting, load.busy)
