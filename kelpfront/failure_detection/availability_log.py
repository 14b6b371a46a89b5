"""Which machines of each zone stopped answering a failure detector or answer again, for its log.

A lost zone makes one record, not one for each machine. Nothing is decided by what is logged.
"""

from __future__ import annotations

from collections.abc import Sequence

from kelpfront.failure_detection.log_events import ZoneAvailabilityChanged
from kelpfront.failure_detection.monitored_machine import MonitoredMachine
from kelpfront.scheduling.events import MachineId

MAX_LOGGED_NAMES = 3  # machines that a record names; more are counted


class AvailabilityLog:
    """Compares zones with their last recorded state."""

    def __init__(self) -> None:
        self._unresponsive: dict[int, frozenset[MachineId]] = {}

    def record(
        self, zone: int, machines: Sequence[MonitoredMachine], checked_since: float
    ) -> ZoneAvailabilityChanged | None:
        """Record the state of a zone; returns what changed since the last time, if anything did.

        A machine is unresponsive if it answered no check that was sent at `checked_since` or later.
        """
        before = self._unresponsive.get(zone)
        now = frozenset(machine.id for machine in machines if not machine.answered_since(checked_since))
        self._unresponsive[zone] = now
        if before is None or now == before:
            return None
        names = {machine.id: machine.name for machine in machines}
        unresponsive = [names[machine] for machine in sorted(now - before)]
        recovered = [names[machine] for machine in sorted(before - now) if machine in names]
        if not unresponsive and not recovered:
            return None
        return ZoneAvailabilityChanged(
            zone=zone,
            unresponsive=tuple(unresponsive[:MAX_LOGGED_NAMES]),
            unresponsive_count=len(unresponsive),
            recovered=tuple(recovered[:MAX_LOGGED_NAMES]),
            recovered_count=len(recovered),
            zone_unresponsive_count=len(now),
            zone_machine_count=len(machines),
        )

    def retain_zones(self, zones: set[int]) -> None:
        """Forget all zones but these."""
        for zone in [zone for zone in self._unresponsive if zone not in zones]:
            del self._unresponsive[zone]
