"""Handles machine events: inventory changes, drains, stream messages, health checks and lost contact.

It updates the registry and forwards the resulting changes to the store and the scheduler. Reports about the
tasks on a machine go to `reconciliation`.
"""

from __future__ import annotations

from kelpfront.api.meta import MACHINES
from kelpfront.controller.context import ControllerContext
from kelpfront.controller.endpoint_publisher import EndpointPublisher
from kelpfront.controller.load_reports import HealthCheckResult, LoadReports
from kelpfront.controller.machine_record import MachineRecord
from kelpfront.controller.machine_registry import MachineChanges
from kelpfront.controller.reconciliation import Reconciler
from kelpfront.inventory.model import Inventory
from kelpfront.machine import messages as wire
from kelpfront.store import StoredObject


class MachineMonitor:
    """Keeps the registry of machines up to date and forwards its changes."""

    def __init__(
        self,
        context: ControllerContext,
        load_reports: LoadReports,
        endpoints: EndpointPublisher,
        reconciler: Reconciler,
    ) -> None:
        self._context = context
        self._registry = context.registry
        self._load_reports = load_reports
        self._endpoints = endpoints
        self._reconciler = reconciler

    def apply_inventory(self, now: float, inventory: Inventory) -> None:
        """Apply a new inventory of machines."""
        self._apply(now, self._registry.apply_inventory(now, inventory))
        self._endpoints.publish_due(now)

    def cordon(self, now: float, host: str, *, unschedulable: bool) -> StoredObject:
        """Start or stop draining a machine for an operator."""
        self._apply(now, self._registry.cordon(now, host, unschedulable=unschedulable))
        self._endpoints.publish_due(now)
        self._context.publisher.flush(now)
        return self._context.store.get(MACHINES, ("", host))

    def advance(self, now: float) -> None:
        """Update the states of machines that lost contact, and declare their tasks lost when due."""
        self._apply(now, self._registry.advance(now))

    def on_health_check(self, now: float, host: str, result: HealthCheckResult) -> None:
        """Handle the result of a health check, including a timeout."""
        entry = self._registry.entries.get(host)
        if entry is not None:
            self._load_reports.on_health_check(now, entry, result)
            self._endpoints.publish_due(now)

    def on_message(self, now: float, host: str, message: wire.StreamMessage) -> None:
        """Handle a message from a machine's stream; messages must be passed in stream order."""
        entry = self._registry.entries.get(host)
        if entry is None:
            return
        self._registry.record_contact(now, host)
        match message:
            case wire.Heartbeat():
                self._apply(now, self._registry.on_heartbeat(now, host, message))
                self._load_reports.on_load(now, entry, message.load)
            case wire.Hello():
                self._on_hello(now, entry, message)
            case wire.Snapshot():
                self._reconciler.on_snapshot(now, entry, message)
                entry.reconciled = True
                # Publish at once, so that clients never see a recovered job without its tasks.
                self._context.publisher.flush(now)
            case wire.Taken():
                self._reconciler.on_taken(now, host, message)
            case wire.Gone():
                self._reconciler.on_gone(now, host, message)
            case wire.Note():
                self._reconciler.on_status_report(now, host, message)
        self._endpoints.publish_due(now)

    def _on_hello(self, now: float, entry: MachineRecord, hello: wire.Hello) -> None:
        self._apply(now, self._registry.on_hello(now, entry.name, hello))
        entry.reconciled = entry.reconciled or hello.resumed
        self._context.stops.resend(entry.name)

    def _apply(self, now: float, changes: MachineChanges) -> None:
        for entry in changes.updated:
            self._context.publisher.machine_changed(entry)
        for entry in changes.lost:
            self._reconciler.declare_lost(now, entry)
        self._endpoints.publish_due(now)
