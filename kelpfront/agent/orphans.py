"""Detects placers that do not reconnect for their tasks. Pure: no I/O.

A placer may be disconnected for a long time, and by the protocol its tasks keep running when it dies. But a
placer that was removed from the cluster never reconnects, and its tasks would hold their capacity forever.
Therefore the tasks of a placer that has had no stream to this agent for a full timeout are orphaned. Time
during which the agent itself was down does not count. The service stops the orphaned tasks.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(slots=True)
class OrphanDetector:
    """Tracks how long task owners have been disconnected; with an infinite `timeout_ms` none ever expires."""

    timeout_ms: float
    _disconnected_since: dict[str, float] = field(default_factory=dict)

    def expired_placers(self, now: float, owners: Iterable[str], connected: Iterable[str]) -> list[str]:
        """Return the owners that have been disconnected for at least the timeout; `now` in milliseconds."""
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
