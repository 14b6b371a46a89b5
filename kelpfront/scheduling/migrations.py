"""Migrations of running tasks that get too little service on their machine.

A migration stops the task so that its client submits it again; it is then placed like any other task.
"""

from __future__ import annotations

from kelpfront.scheduling.actions import Migrate
from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.model import VIEW_LAG_MS, Attempt, Machine
from kelpfront.scheduling.offer_backoff import OfferBackoff
from kelpfront.scheduling.placement import Placement

MIGRATION_MAX_SERVED_SHARE = 0.3
"""A task that gets less than this share of full service is migrated.

The migration costs another start, but the remaining time is served well.
"""
MIGRATION_COOLDOWN_MS = VIEW_LAG_MS
"""Minimum time between migrations off a machine: the list must first show what the last one freed."""


class Migrations:
    """Decides whether a running task is moved to another machine."""

    def __init__(self, context: SchedulingContext, placement: Placement, backoff: OfferBackoff) -> None:
        self._context = context
        self._placement = placement
        self._backoff = backoff

    def migrate_if_underserved(self, attempt: Attempt, machine: Machine, served_share: float) -> None:
        """Migrate a poorly served task if another machine has capacity for it by usage.

        While the endpoint list is stale, the task could not be placed again.
        """
        if not attempt.is_accepted or served_share >= MIGRATION_MAX_SERVED_SHARE:
            return
        if self._backoff.is_list_stale:
            return
        if self._context.now < machine.last_migration_at + MIGRATION_COOLDOWN_MS:
            return
        unsaturated = self._placement.candidates(attempt.task).unsaturated
        if any(m is not machine for m in unsaturated):
            machine.last_migration_at = self._context.now
            self._context.emit(Migrate(attempt.task.id))
