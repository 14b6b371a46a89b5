"""Writes changes of jobs and machines to the store, where clients of the API see them.

Changes are batched: however often an object changed, it is written to the store once. The caller decides how
often that happens.
"""

from __future__ import annotations

import math

from kelpfront.api.meta import JOBS, MACHINES
from kelpfront.controller.machine_record import MachineRecord
from kelpfront.controller.machine_registry import MachineRegistry
from kelpfront.controller.tasks import Job
from kelpfront.store import ResourceStore


class StatusPublisher:
    """Collects jobs and machines with unpublished changes, and publishes them."""

    def __init__(self, store: ResourceStore, registry: MachineRegistry) -> None:
        self._store = store
        self._registry = registry
        self._jobs: dict[Job, None] = {}
        self._answered: dict[Job, None] = {}  # the subset of `_jobs` with an unpublished answer
        self._machines: dict[MachineRecord, None] = {}
        self._published_at = -math.inf

    def job_changed(self, job: Job) -> None:
        """Mark a job as changed."""
        self._jobs[job] = None

    def job_answered(self, job: Job) -> None:
        """Mark a job as answered, which is published at once at every level because a client is waiting."""
        self._jobs[job] = None
        self._answered[job] = None

    def machine_changed(self, entry: MachineRecord) -> None:
        """Mark a machine as changed."""
        self._machines[entry] = None

    def discard_job(self, job: Job) -> None:
        """Discard the changes of a job that was removed or already published."""
        self._jobs.pop(job, None)
        self._answered.pop(job, None)

    def due_at(self, period_ms: float) -> float:
        """Return when to publish next, at most once per period except for answers; infinity if unchanged."""
        if self._answered:
            return -math.inf
        if not self._jobs and not self._machines:
            return math.inf
        return self._published_at + period_ms

    def flush(self, now: float) -> None:
        """Publish all changes."""
        for job in self._jobs:
            if not job.deleted:
                self._publish_job(job)
        self._jobs.clear()
        self._answered.clear()
        for entry in self._machines:
            self._publish_machine(now, entry)
        self._machines.clear()
        self._published_at = now

    def flush_due(self, now: float, period_ms: float) -> None:
        """Publish answers at once, and all other changes if the period has passed."""
        if now >= self._published_at + period_ms:
            self.flush(now)
            return
        for job in self._answered:
            self._jobs.pop(job, None)
            if not job.deleted:
                self._publish_job(job)
        self._answered.clear()

    def publish_last(self, job: Job) -> None:
        """Publish a job that is about to be removed, if it has changed."""
        if job in self._jobs:
            self._publish_job(job)

    def refresh_machines(self, now: float, period_factor: float = 1.0) -> None:
        """Mark machines whose figures are due to be refreshed, and delete removed machines.

        Args:
            now: the current time.
            period_factor: the factor by which the usual refresh period is extended.
        """
        for entry in list(self._registry.entries.values()):
            if entry.removed and not entry.task_count and not entry.link_up:
                self._drop_machine(entry)
            elif entry.status_due(now, period_factor):
                self._machines[entry] = None

    def _drop_machine(self, entry: MachineRecord) -> None:
        self._registry.forget(entry.name)
        self._machines.pop(entry, None)
        if self._store.find(MACHINES, ("", entry.name)) is not None:
            self._store.delete(MACHINES, ("", entry.name))

    def _publish_job(self, job: Job) -> None:
        self._store.update(JOBS, job.key, job.to_api(), 1 + len(job.tasks))

    def _publish_machine(self, now: float, entry: MachineRecord) -> None:
        entry.published_at = now
        entry.published_task_count = entry.task_count
        key = "", entry.name
        body = entry.to_api()
        if self._store.find(MACHINES, key) is None:
            self._store.create(MACHINES, key, body)
        else:
            self._store.update(MACHINES, key, body)
