"""Recovers tasks that machines still hold for an earlier incarnation of this controller, after a restart.

Offers carry enough of their job to restore it. `reconciliation` detects which reported tasks belong to an
earlier incarnation.
"""

from __future__ import annotations

import math

from kelpfront.api.jobs import TaskState
from kelpfront.api.meta import JOBS
from kelpfront.controller.context import ControllerContext
from kelpfront.controller.intents import LogLine
from kelpfront.controller.jobs import JobManager
from kelpfront.controller.machine_record import MachineRecord
from kelpfront.controller.offers import restore_job
from kelpfront.controller.orphans import OrphanHandler
from kelpfront.controller.tasks import Job, Task
from kelpfront.machine import messages as wire


class TaskRecovery:
    """Recovers tasks of an earlier incarnation from the reports of machines."""

    def __init__(self, context: ControllerContext, jobs: JobManager, orphans: OrphanHandler) -> None:
        self._context = context
        self._jobs = jobs
        self._orphans = orphans

    def recover(self, now: float, entry: MachineRecord, report: wire.TaskReport) -> None:
        """Recover a task that a machine reports, and restore its job if the job is unknown."""
        context = self._context
        offer = report.offer
        class_index = context.cluster.class_numbers.get(offer.cls)
        if class_index is None:
            fields = {"task": offer.task, "machine": entry.name, "class": offer.cls}
            context.intents.append(LogLine("warning", "found task of an unknown class", fields))
            return
        job = context.job_table.by_key.get((offer.job.namespace, offer.job.name))
        if job is not None and job.uid != offer.job.uid and not self._replace_unsent(now, job, offer.job):
            context.stops.request(entry.name, offer.task, offer.attempt, "asked for anew")
            return
        if job is None:
            job = self._restore(now, class_index, offer)
        task = self._add_task(now, job, offer)
        self._orphans.adopt(now, task, entry, offer.attempt, running=report.phase == "running")

    def _replace_unsent(self, now: float, job: Job, ref: wire.JobRef) -> bool:
        """Withdraw the task that a found task replaces, in a job that its client has since submitted again.

        Returns:
            Whether there was such a task without any attempt, so that the found task can replace it.
        """
        new_task = job.tasks.get(ref.index)
        if new_task is None or not new_task.needs_answer or new_task.attempts:
            return False
        self._jobs.withdraw(now, new_task)
        job.remove(new_task)
        return True

    def _restore(self, now: float, class_index: int, offer: wire.Offer) -> Job:
        context = self._context
        job = restore_job(context.cluster, class_index, offer, now)
        context.store.create(JOBS, job.key, job.to_api())
        context.job_table.add(job)
        return job

    def _add_task(self, now: float, job: Job, offer: wire.Offer) -> Task:
        """Add the found task without an answer, because the earlier incarnation may have answered it."""
        context = self._context
        scheduler_id = context.task_table.next_scheduler_id()
        index = offer.job.index
        task = Task(job, index, offer.task, scheduler_id, now, math.inf, TaskState.PLACED)
        task.found = True
        task.handed_over = True
        job.add(task)
        job.next_index = max(job.next_index, index + 1)
        context.task_table.add(task)
        return task
