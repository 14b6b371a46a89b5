"""What a failure detector knows of one machine.

When machines are checked, and what follows from it, is left to `detector`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from kelpfront.scheduling.events import MachineId


@dataclass(slots=True, eq=False)
class MonitoredMachine:
    """One machine of the detector's zones.

    Attributes:
        in_flight: when each check that awaits its answer was sent, by call id.
        answered_check_sent_at: when the last check that was answered had been sent.
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
        """Return whether the machine answered a check that was sent at a time or later."""
        return self.answered_check_sent_at >= time
