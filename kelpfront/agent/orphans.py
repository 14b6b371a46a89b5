"""Detects placers that do not come back for their tasks. Pure.

A placer may be disconnected for long, and by the protocol its tasks run on when it dies. But a placer that
was taken out of the cluster never comes back, and its tasks would hold their capacity for ever. So the tasks
of a placer that has had no stream here for a timeout without interruption are orphaned. Time in which the
agent itself was down does not count. Stopping the tasks is left to the service.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(slots=True)
class OrphanDetector:
    """Follows the placers that own tasks here; with an infinite `timeout_ms` none ever expires."""

    timeout_ms: float
    _disconnected_since: dict[str, float] = field(default_factory=dict)

    def expired_placers(self, now: float, owners: Iterable[str], connected: Iterable[str]) -> list[str]:
        """Return the owners that have been disconnected for the timeout; `now` in milliseconds."""
        connected_placers = set(connected)
        owning_placers = set(owners)
        disconnected_owners = owning_placers - connected_placers
        for placer in list(self._disconnected_since):
            if placer not in disconnected_owners:
                del self._disconnected_since[placer]
        for placer in disconnected_owners:
            self._disconnected_since.setdefault(placer, now)
        if math.isinf(self.timeout_ms):
            return []
        return sorted(
            placer for placer, since in self._disconnected_since.items() if now - since >= self.timeout_ms
        )
