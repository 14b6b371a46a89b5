"""Slow start: limits the offers that all placers together make to a machine that has just started.

Placers share nothing but the clock, so the offers are divided among them by time slots. `endpoints` sets when
a machine warms up; `attempts` reports each offer.
"""

from __future__ import annotations

import math

from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.model import Attempt, Machine

GOLDEN_RATIO_CONJUGATE = (math.sqrt(5) - 1) / 2
"""Multiples of this, modulo 1, are spread evenly over the interval from 0 to 1, however many there are."""
SLOTS_PER_BUDGET = 4
"""Slots that share the limit of one window.

A window, extended by a connect time-out, is three slots long, so it overlaps four slots at most.
"""


class SlowStart:
    """Decides whether this placer may offer a task to a warming machine in the current slot."""

    def __init__(self, context: SchedulingContext) -> None:
        settings = context.settings
        self._context = context
        self._slot_ms = (settings.slow_start.window_ms + settings.connect_timeout_ms) / 3
        self._max_connect_ms = settings.connect_timeout_ms / 2
        self._position = _round_robin_position(settings.replica_index, settings.replica_count)

    @property
    def max_connect_ms(self) -> float:
        """How long an offer to a warming machine may wait for its connection."""
        return self._max_connect_ms

    def is_warming(self, machine: Machine) -> bool:
        """Return whether the machine started so recently that offers to it are limited."""
        return self._context.now < machine.warming_until

    def start_warming(self, machine: Machine, started_at: float) -> None:
        """Set when the warm-up of the machine ends; a start time of 0 means an unknown time, long ago."""
        duration_ms = self._context.settings.slow_start.duration_ms
        machine.warming_until = started_at + duration_ms if started_at > 0 else -math.inf

    def withhold_current_slot(self, machine: Machine) -> None:
        """Allow no offers to a newly listed machine in the current slot.

        An earlier incarnation of this placer or of the list entry may have used them already.
        """
        machine.slow_start_slot = self._current_slot()

    def may_offer(self, machine: Machine) -> bool:
        """Return whether this placer has an offer left for a warming machine in the current slot.

        Rejected offers count too, and each offer counts as one, whatever its class and size. The limit is
        divided over four slots. A slot is a third of a window extended by a connect time-out: half of the
        extension covers offers that wait for a connection, the other half covers clock skew. So no window
        exceeds the limit. A placer whose index is not below the replica count gets no offers.
        """
        slot = self._current_slot()
        if machine.slow_start_slot != slot:
            machine.slow_start_slot = slot
            machine.slow_start_offers = self._offers_in_slot(machine, slot)
        return machine.slow_start_offers > 0

    def use_offer(self, machine: Machine) -> None:
        """Count an offer to the machine."""
        machine.slow_start_offers -= 1

    def did_connection_fail(self, attempt: Attempt, machine: Machine) -> bool:
        """Return whether an unsent attempt shows that connections to a warming machine fail."""
        was_warming = attempt.sent_at < machine.warming_until
        return was_warming and self._context.now >= attempt.sent_at + self._max_connect_ms

    def _current_slot(self) -> int:
        return int(self._context.now // self._slot_ms)

    def _offers_in_slot(self, machine: Machine, slot: int) -> int:
        settings = self._context.settings
        replicas = settings.replica_count
        if settings.replica_index >= replicas:
            return 0
        budget = int(settings.slow_start.max_offers_per_window)
        first_offer = slot * budget // SLOTS_PER_BUDGET
        end_offer = (slot + 1) * budget // SLOTS_PER_BUDGET
        offers, remainder = divmod(end_offer - first_offer, replicas)
        has_extra_offer = (self._position + machine.id - first_offer) % replicas < remainder
        return offers + has_extra_offer


def _round_robin_position(index: int, replicas: int) -> int:
    """Return the position of a placer in the round-robin order in which offers are divided.

    Placers with adjacent indexes get distant positions. If a group of adjacent placers runs on a clock that
    was stepped, only a few of them then get an offer of the same slot.
    """
    minimum_step = max(1, round(GOLDEN_RATIO_CONJUGATE * replicas))
    steps = range(minimum_step, minimum_step + replicas)
    step = next(step for step in steps if math.gcd(step, replicas) == 1)
    return index * step % replicas
