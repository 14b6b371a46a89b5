"""Migrations of running tasks that their machine hardly serves.

A migration stops the task, so that its client submits it again; the new machine is chosen like any other.
"""

from __future__ import annotations

from kelpfront.scheduling.actions import Migrate
from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.model import VIEW_LAG_MS, Attempt, Machine
from kelpfront.scheduling.placement import Placement

MIGRATION_SERVED_SHARE = 0.3
"""Share of service under which a migration pays: it costs a start, and the rest is served well."""
MIGRATION_COOLDOWN_MS = VIEW_LAG_MS
"""One migration a machine until its view can show what the last one freed."""


class Migrations:
    """Decides whether a running task is better off elsewhere."""

    def __init__(self, context: SchedulingContext, placement: Placement) -> None:
        self._context = context
        self._placement = placement

    def consider(self, attempt: Attempt, machine: Machine, served_share: float) -> None:
        """Migrate a badly served task if another machine has capacity for it by use."""
        if not attempt.is_accepted or served_share >= MIGRATION_SERVED_SHARE:
            return
        if self._context.now < machine.last_migration_at + MIGRATION_COOLDOWN_MS:
            return
        uncrowded = self._placement.candidates(attempt.task).uncrowded
        if any(m is not machine for m in uncrowded):
            machine.last_migration_at = self._context.now
            self._context.emit(Migrate(attempt.task.id))
