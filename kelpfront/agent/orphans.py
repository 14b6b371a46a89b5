"""Tasks whose placer does not come back. Pure.

A placer may be away for long, and its tasks are to run on when it dies: so says the protocol. But a placer
that was taken out of the cluster never comes back for its tasks, and they would hold their room for ever.
The rule: a placer that has had no stream here for `after_ms` in a row has left its tasks; they are stopped,
once, as lost. Time in which the agent itself was away does not count.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(slots=True)
class Orphans:
    """`after_ms` is infinite where tasks of placers that are away are kept for ever."""

    after_ms: float
    _away_since: dict[str, float] = field(default_factory=dict)

    def left(self, now: float, owners: Iterable[str], connected: Iterable[str]) -> list[str]:
        """Placers with tasks here that have been away for too long."""
        present = set(connected)
        owning = set(owners)
        for placer in list(self._away_since):
            if placer in present or placer not in owning:
                del self._away_since[placer]
        for placer in owning - present:
            self._away_since.setdefault(placer, now)
        if math.isinf(self.after_ms):
            return []
        return sorted(p for p, since in self._away_since.items() if now - since >= self.after_ms)
