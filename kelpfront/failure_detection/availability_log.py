"""Detects which machines of each zone stopped answering a failure detector or answer again, for its log.

The loss of a zone is one log record, not one for each machine. The log has no influence on decisions.
"""

from __future__ import annotations

from collections.abc import Sequence

from kelpfront.failure_detection.log_events import ZoneAvailabilityChanged
from kelpfront.failure_detection.monitored_machine import MonitoredMachine
from kelpfront.scheduling.events import MachineId

MAX_LOGGED_NAMES = 3  # machines named in a log record; further ones are only counted


class AvailabilityLog:
    """Compares each zone with its last recorded state."""

    def __init__(self) -> None:
        self._unresponsive: dict[int, frozenset[MachineId]] = {}

    def record(
        self, zone: int, machines: Sequence[MonitoredMachine], checked_since: float
    ) -> ZoneAvailabilityChanged | None:
        """Record the state of a zone and return what changed since the last record, or None.

        A machine is unresponsive if it answered no health check that was sent at `checked_since` or later.
        """
        previous = self._unresponsive.get(zone)
        current = frozenset(machine.id for machine in machines if not machine.answered_since(checked_since))
        self._unresponsive[zone] = current
        if previous is None or current == previous:
            return None
        names = {machine.id: machine.name for machine in machines}
        unresponsive = [names[machine] for machine in sorted(current - previous)]
        recovered = [names[machine] for machine in sorted(previous - current) if machine in names]
        if not unresponsive and not recovered:
            return None
        return ZoneAvailabilityChanged(
            zone=zone,
            unresponsive=tuple(unresponsive[:MAX_LOGGED_NAMES]),
            unresponsive_count=len(unresponsive),
            recovered=tuple(recovered[:MAX_LOGGED_NAMES]),
            recovered_count=len(recovered),
            zone_unresponsive_count=len(current),
            zone_machine_count=len(machines),
        )

    def retain_zones(self, zones: set[int]) -> None:
        """Discard the state of all zones except these."""
        for zone in [zone for zone in self._unresponsive if zone not in zones]:
            del self._unresponsive[zone]
