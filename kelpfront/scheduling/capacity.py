"""Capacity by request: the filter for free capacity, and what rejections and acceptances say about it.

It keeps an estimate of the capacity that other placers have taken unobserved, and blocks for machines that
rejected an offer. Capacity by use is in `utilization`.
"""

from __future__ import annotations

from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.events import OutcomeReason
from kelpfront.scheduling.model import VIEW_LAG_MS, CapacityBlock, Machine, Task
from kelpfront.scheduling.offer_backoff import OfferBackoff

TARGET_REJECTED_SHARE = 0.3
"""Of offers rejected for capacity: a rejection costs little, but so does a moment's wait."""
MAX_UNOBSERVED_SHARE = 0.25
"""Of a machine's capacity that is taken to be gone already: more would leave capacity idle."""


class Capacity:
    """Filters machines with capacity for a task by what is requested of them."""

    def __init__(self, context: SchedulingContext, backoff: OfferBackoff) -> None:
        settings = context.settings
        self._context = context
        self._backoff = backoff
        self._unobserved_share = 0.0
        self._unobserved_step = settings.mean_cores / (min(settings.kind_cores) * settings.cores_overcommit)

    @property
    def unobserved_share(self) -> float:
        """The share of each machine's capacity that is taken to be gone already."""
        return self._unobserved_share

    def select(self, task: Task, machines: list[Machine]) -> list[Machine]:
        """Return the machines with capacity for the task, that are not blocked for one as large."""
        settings = self._context.settings
        cores, memory = task.cores, task.memory
        free_share = 1 - self._unobserved_share
        limit = free_share * settings.cores_overcommit
        memory_limit = free_share * settings.memory_overcommit
        return [
            m
            for m in machines
            if m.requested_cores + cores <= limit * m.cores
            and m.requested_memory + memory <= memory_limit * m.memory
            and not (m.capacity_blocks and self._is_blocked(task, m))
        ]

    def on_accepted(self) -> None:
        """Learn that a machine had the capacity that its view showed."""
        share_step = self._unobserved_step * TARGET_REJECTED_SHARE / (1 - TARGET_REJECTED_SHARE)
        self._change_unobserved(-share_step)
        self._backoff.on_accepted()

    def on_rejected(self, task: Task, machine: Machine, reason: OutcomeReason) -> None:
        """Learn that a view overstates capacity: nothing as large goes there until it could catch up."""
        minimum = _blocked_minimum(task, reason)
        if minimum:
            self._change_unobserved(self._unobserved_step)
        now = self._context.now
        earlier = machine.capacity_blocks.get(reason)
        if earlier is not None and now < earlier.until:
            minimum = min(minimum, earlier.minimum)
        machine.capacity_blocks[reason] = CapacityBlock(now + VIEW_LAG_MS, minimum)
        self._backoff.on_rejection()

    def _change_unobserved(self, step: float) -> None:
        """Change the estimate; it settles where TARGET_REJECTED_SHARE of the offers are rejected."""
        changed = self._unobserved_share + step
        self._unobserved_share = min(MAX_UNOBSERVED_SHARE, max(0.0, changed))

    def _is_blocked(self, task: Task, machine: Machine) -> bool:
        now = self._context.now
        for reason, block in list(machine.capacity_blocks.items()):
            requested = task.memory if reason is OutcomeReason.NO_MEMORY else task.cores
            if now >= block.until:
                del machine.capacity_blocks[reason]
            elif requested >= block.minimum:
                return True
        return False


def _blocked_minimum(task: Task, reason: OutcomeReason) -> float:
    """Return from which request on a rejection blocks: from 0 on where too many offers wait there."""
    match reason:
        case OutcomeReason.NO_CORES:
            return task.cores
        case OutcomeReason.NO_MEMORY:
            return task.memory
    return 0.0
