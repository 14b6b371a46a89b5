"""The state that a failure detector keeps for each machine. `detector` schedules and evaluates the checks."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from kelpfront.scheduling.events import MachineId


@dataclass(slots=True, eq=False)
class MonitoredMachine:
    """One machine in the detector's zones.

    Attributes:
        in_flight: when each unanswered check was sent, by call id.
        answered_check_sent_at: when the last answered check was sent.
    """

    id: MachineId
    name: str
    next_check_at: float
    in_flight: dict[str, float] = field(default_factory=dict)
    consecutive_missed: int = 0
    answered_check_sent_at: float = -math.inf
    was_connected: bool = False
    reconnected_at: float = -math.inf

    def answered_since(self, time: float) -> bool:
        """Return whether the machine answered a check that was sent at this time or later."""
        return self.answered_check_sent_at >= time
