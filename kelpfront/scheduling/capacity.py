"""Capacity by request: the filter for free capacity, adjusted by rejections and acceptances of offers.

It estimates the capacity that other placers have reserved but the endpoint list does not show yet, and keeps
blocks for machines that rejected an offer. Capacity by measured usage is in `utilization`.
"""

from __future__ import annotations

from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.events import OutcomeReason
from kelpfront.scheduling.model import VIEW_LAG_MS, CapacityBlock, Machine, Task
from kelpfront.scheduling.offer_backoff import OfferBackoff

TARGET_REJECTED_SHARE = 0.3
"""Share of offers rejected for capacity at which the estimate settles.

A rejection costs little, but so does a short wait.
"""
MAX_UNOBSERVED_SHARE = 0.25
"""Upper bound of the estimate, as a share of a machine's capacity: a larger one would leave capacity idle."""


class Capacity:
    """Filters machines that have capacity for a task, by the requests of the tasks placed on them."""

    def __init__(self, context: SchedulingContext, backoff: OfferBackoff) -> None:
        settings = context.settings
        self._context = context
        self._backoff = backoff
        self._unobserved_share = 0.0
        self._unobserved_step = settings.mean_cores / (min(settings.kind_cores) * settings.cores_overcommit)

    @property
    def unobserved_share(self) -> float:
        """Estimated share of each machine's capacity that is in use but not shown in the endpoint list."""
        return self._unobserved_share

    def select(self, task: Task, machines: list[Machine]) -> list[Machine]:
        """Return the machines that have capacity for the task and are not blocked for its size."""
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
        """Lower the estimate and the backoff: a machine had the capacity that the endpoint list showed."""
        share_step = self._unobserved_step * TARGET_REJECTED_SHARE / (1 - TARGET_REJECTED_SHARE)
        self._change_unobserved(-share_step)
        self._backoff.on_accepted()

    def on_rejected(self, task: Task, machine: Machine, reason: OutcomeReason) -> None:
        """Block requests of this size on the machine until the endpoint list must show its real capacity.

        A rejection for cores or memory also raises the estimate; every rejection raises the backoff.
        """
        min_request = _min_blocked_request(task, reason)
        if min_request:
            self._change_unobserved(self._unobserved_step)
        now = self._context.now
        previous = machine.capacity_blocks.get(reason)
        if previous is not None and now < previous.until:
            min_request = min(min_request, previous.min_request)
        machine.capacity_blocks[reason] = CapacityBlock(now + VIEW_LAG_MS, min_request)
        self._backoff.on_rejection()

    def _change_unobserved(self, step: float) -> None:
        """Change the estimate; the steps balance when TARGET_REJECTED_SHARE of the offers are rejected."""
        changed = self._unobserved_share + step
        self._unobserved_share = min(MAX_UNOBSERVED_SHARE, max(0.0, changed))

    def _is_blocked(self, task: Task, machine: Machine) -> bool:
        now = self._context.now
        for reason, block in list(machine.capacity_blocks.items()):
            requested = task.memory if reason is OutcomeReason.NO_MEMORY else task.cores
            if now >= block.until:
                del machine.capacity_blocks[reason]
            elif requested >= block.min_request:
                return True
        return False


def _min_blocked_request(task: Task, reason: OutcomeReason) -> float:
    """Return the smallest request that the rejection blocks; 0 blocks all, as for a full queue."""
    match reason:
        case OutcomeReason.NO_CORES:
            return task.cores
        case OutcomeReason.NO_MEMORY:
            return task.memory
    return 0.0
