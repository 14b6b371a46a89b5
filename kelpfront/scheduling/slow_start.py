"""Slow start: how many offers a machine that has just started gets, over all placers together.

It gives out offers by slots of the common clock, as placers share nothing else. When a machine warms up is
set by `endpoints`; offers are counted here as `attempts` opens them.
"""

from __future__ import annotations

import math

from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.model import Attempt, Machine

GOLDEN_SECTION = (math.sqrt(5) - 1) / 2
"""Steps of this share of a ring lie evenly on it, however many are taken."""
SLOTS_PER_BUDGET = 4
"""A window of the settings, lengthened by a connect time-out, is three slots, so it meets at most four."""


class SlowStart:
    """Decides whether this placer may offer a task to a warming machine now."""

    def __init__(self, context: SchedulingContext) -> None:
        settings = context.settings
        self._context = context
        self._slot_ms = (settings.slow_start.window_ms + settings.connect_timeout_ms) / 3
        self._max_connect_ms = settings.connect_timeout_ms / 2
        self._position = _position_in_line(settings.replica_index, settings.replica_count)

    @property
    def max_connect_ms(self) -> float:
        """For how long an offer to a warming machine may wait for its connection."""
        return self._max_connect_ms

    def is_warming(self, machine: Machine) -> bool:
        """Return whether the machine has started so recently that its offers are limited."""
        return self._context.now < machine.warming_until

    def start_warming(self, machine: Machine, started_at: float) -> None:
        """Set until when the machine warms up; a start time of 0 is an unknown one, long ago."""
        duration_ms = self._context.settings.slow_start.duration_ms
        machine.warming_until = started_at + duration_ms if started_at > 0 else -math.inf

    def withhold_present_slot(self, machine: Machine) -> None:
        """Give a newly listed machine nothing in the present slot.

        An earlier incarnation, of this placer or of the list's entry, may have used it up.
        """
        machine.slow_start_slot = self._present_slot()

    def may_offer(self, machine: Machine) -> bool:
        """Return whether this placer has an offer left for a warming machine in the present slot.

        Rejected offers count too, and an offer of any size counts as one: the limit is of offers of any
        class. It is given out over four slots of a third of a window, lengthened by a connect time-out:
        half of that for offers that wait for a connection, half for clocks that differ. So no window sees
        more than the limit. A placer whose index is beyond the replica count has no offers.
        """
        slot = self._present_slot()
        if machine.slow_start_slot != slot:
            machine.slow_start_slot = slot
            machine.slow_start_offers = self._offers_in_slot(machine, slot)
        return machine.slow_start_offers > 0

    def use_offer(self, machine: Machine) -> None:
        """Count an offer to the machine."""
        machine.slow_start_offers -= 1

    def did_connection_fail(self, attempt: Attempt, machine: Machine) -> bool:
        """Return whether an unsent attempt shows that connections to a warming machine do not come up."""
        was_warming = attempt.sent_at < machine.warming_until
        return was_warming and self._context.now >= attempt.sent_at + self._max_connect_ms

    def _present_slot(self) -> int:
        return int(self._context.now // self._slot_ms)

    def _offers_in_slot(self, machine: Machine, slot: int) -> int:
        settings = self._context.settings
        replicas = settings.replica_count
        if settings.replica_index >= replicas:
            return 0
        budget = int(settings.slow_start.max_offers_per_window)
        first = slot * budget // SLOTS_PER_BUDGET
        end = (slot + 1) * budget // SLOTS_PER_BUDGET
        offers, remainder = divmod(end - first, replicas)
        has_extra_offer = (self._position + machine.id - first) % replicas < remainder
        return offers + has_extra_offer


def _position_in_line(index: int, replicas: int) -> int:
    """Return the place of a placer in the line for offers.

    Neighbours in number stand far apart in it, so that some neighbours that go by a stepped clock add little
    to any stretch of it.
    """
    minimum_step = max(1, round(GOLDEN_SECTION * replicas))
    steps = range(minimum_step, minimum_step + replicas)
    step = next(step for step in steps if math.gcd(step, replicas) == 1)
    return index * step % replicas
