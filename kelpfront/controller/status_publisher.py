"""Brings changes of jobs and machines to the store, where the API's clients see them.

Changes are collected and published together: one change of the store for each object, however many led to
it. How often that is done is the caller's to say.
"""

from __future__ import annotations

import math

from kelpfront.api.meta import JOBS, MACHINES
from kelpfront.controller.machine_record import MachineRecord
from kelpfront.controller.machine_registry import MachineRegistry
from kelpfront.controller.tasks import Job
from kelpfront.store import ResourceStore


class StatusPublisher:
    """Jobs and machines that have changed and are not published yet."""

    def __init__(self, store: ResourceStore, registry: MachineRegistry) -> None:
        self._store = store
        self._registry = registry
        self._jobs: dict[Job, None] = {}
        self._answered: dict[Job, None] = {}  # of them, those with an answer that nobody has seen yet
        self._machines: dict[MachineRecord, None] = {}
        self._published_at = -math.inf

    def job_changed(self, job: Job) -> None:
        """A job has changed."""
        self._jobs[job] = None

    def job_answered(self, job: Job) -> None:
        """A task of the job has its answer. It is published at once at every level: a client waits."""
        self._jobs[job] = None
        self._answered[job] = None

    def machine_changed(self, entry: MachineRecord) -> None:
        """A machine has changed."""
        self._machines[entry] = None

    def discard_job(self, job: Job) -> None:
        """Forget changes of a job that is gone, or was published otherwise."""
        self._jobs.pop(job, None)
        self._answered.pop(job, None)

    def due_at(self, period_ms: float) -> float:
        """Return when to publish, if that is done at most once in a period; infinity without changes."""
        if self._answered:
            return -math.inf
        if not self._jobs and not self._machines:
            return math.inf
        return self._published_at + period_ms

    def flush(self, now: float) -> None:
        """Publish all changes since the last call."""
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
        """Publish answers, and everything else where the period is over."""
        if now >= self._published_at + period_ms:
            self.flush(now)
            return
        for job in self._answered:
            self._jobs.pop(job, None)
            if not job.deleted:
                self._publish_job(job)
        self._answered.clear()

    def publish_last(self, job: Job) -> None:
        """Publish a job that is about to go, if it has changed."""
        if job in self._jobs:
            self._publish_job(job)

    def refresh_machines(self, now: float, period_factor: float = 1.0) -> None:
        """Collect machines whose figures have drifted for long enough; drop those that are gone.

        Args:
            now: the present.
            period_factor: how many times less often than usual figures are renewed.
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
