"""The index of jobs. Finished jobs stay readable by their clients until their number exceeds a limit."""

from __future__ import annotations

from collections import OrderedDict

from kelpfront.api.jobs import Phase
from kelpfront.api.meta import JOBS
from kelpfront.controller.status_publisher import StatusPublisher
from kelpfront.controller.task_table import TaskTable
from kelpfront.controller.tasks import Job
from kelpfront.store import ResourceStore


class JobTable:
    """All jobs, by namespace and name.

    Attributes:
        by_key: the jobs by namespace and name.
    """

    def __init__(
        self, store: ResourceStore, publisher: StatusPublisher, tasks: TaskTable, max_finished: int
    ) -> None:
        """Keep at most `max_finished` finished jobs; the one that finished first is removed first."""
        self.by_key: dict[tuple[str, str], Job] = {}
        self._store = store
        self._publisher = publisher
        self._tasks = tasks
        self._max_finished = max_finished
        self._by_token: dict[tuple[str, str], Job] = {}
        self._finished: OrderedDict[tuple[str, str], None] = OrderedDict()  # in order of finishing

    @property
    def unfinished_count(self) -> int:
        """How many jobs are not finished."""
        return len(self.by_key) - len(self._finished)

    def add(self, job: Job) -> None:
        """Add a job."""
        self.by_key[job.key] = job
        if job.token:
            self._by_token[job.namespace, job.token] = job

    def find_by_token(self, namespace: str, token: str) -> Job | None:
        """Return the job that was created with a client token."""
        return self._by_token.get((namespace, token))

    def mark_active(self, job: Job) -> None:
        """Count a job as not finished: it has new tasks to place, or a finished task runs after all."""
        self._finished.pop(job.key, None)

    def check_finished(self, job: Job) -> None:
        """Count a job as finished if it is, and remove the oldest finished jobs beyond the limit."""
        if job.deleted or job.phase is not Phase.FINISHED:
            return
        self._finished[job.key] = None
        self._finished.move_to_end(job.key)
        while len(self._finished) > self._max_finished:
            oldest_key = next(iter(self._finished))
            self._expire(self.by_key[oldest_key])

    def _expire(self, job: Job) -> None:
        self._publisher.publish_last(job)
        job.deleted = True
        for task in list(job.tasks.values()):
            self._tasks.remove(task)
        self.forget(job)
        self._store.delete(JOBS, job.key)

    def forget(self, job: Job) -> None:
        """Remove a job from all indexes."""
        del self.by_key[job.key]
        # Break the reference cycle with the tasks: otherwise only the garbage collector frees them.
        job.tasks.clear()
        self._finished.pop(job.key, None)
        self._publisher.discard_job(job)
        if self._by_token.get((job.namespace, job.token)) is job:
            del self._by_token[job.namespace, job.token]
