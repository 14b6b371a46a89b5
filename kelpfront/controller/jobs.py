"""Submits, updates and deletes jobs on behalf of clients. Each task of an accepted job gets one answer.

`operations` validates the contents of requests, and the scheduler decides on which machine a task is placed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from kelpfront.api.errors import ApiError, Cause, invalid
from kelpfront.api.jobs import FIXED_SPEC_FIELDS, JobSpec
from kelpfront.api.meta import JOBS, Object
from kelpfront.controller.arrivals import ArrivalQueue
from kelpfront.controller.attempts import AttemptEnd, AttemptTracker
from kelpfront.controller.context import ControllerContext
from kelpfront.controller.tasks import FINAL_STATES, Job, Task
from kelpfront.degradation import AdmissionRequest
from kelpfront.scheduling.events import AttemptOutcome, TaskWithdrawn
from kelpfront.scheduling.settings import Idempotency
from kelpfront.store import StoredObject
from kelpfront.units import format_duration, parse_duration

RETRY_AFTER_LIMIT_S = 1
"""Seconds until a client that hit a limit should retry; tasks are answered within seconds."""


@dataclass(frozen=True, slots=True)
class JobLimits:
    """How many jobs and tasks one controller accepts; each is a bound on memory and work.

    Attributes:
        open_tasks: the most tasks without an answer; waiting ones are examined repeatedly, which costs time.
        jobs: the most unfinished jobs.
        finished_jobs: the most finished jobs that are kept for clients to read.
    """

    open_tasks: int = 5_000
    jobs: int = 100_000
    finished_jobs: int = 10_000


@dataclass(frozen=True, slots=True)
class Submission:
    """A job as a client submits it.

    Attributes:
        received_at: the start of the client's timeout, in milliseconds of the common clock.
        is_retry: whether an earlier submission of the job was rejected with a request to retry.
    """

    namespace: str
    name: str
    spec: JobSpec
    labels: dict[str, str]
    annotations: dict[str, str]
    received_at: float
    is_retry: bool = False


@dataclass(frozen=True, slots=True)
class JobUpdate:
    """A change of a job's labels, annotations or count; the timeout of new tasks starts at `received_at`."""

    spec: JobSpec
    labels: dict[str, str]
    annotations: dict[str, str]
    received_at: float


class JobManager:
    """Carries out the requests of clients that create, change or delete jobs."""

    def __init__(
        self,
        context: ControllerContext,
        arrivals: ArrivalQueue,
        attempts: AttemptTracker,
        limits: JobLimits,
        new_uid: Callable[[], str],
    ) -> None:
        """Accept jobs within `limits`; `new_uid` generates their uids."""
        self._context = context
        self._arrivals = arrivals
        self._attempts = attempts
        self._limits = limits
        self._new_uid = new_uid

    # ---- Checks ---------------------------------------------------------------------------------------

    def timeout_ms(self, spec: JobSpec) -> float:
        """Return how long a client waits: `spec.patience` or the class deadline; 0 for an unknown class."""
        if spec.patience is not None:
            return parse_duration(spec.patience)
        cluster = self._context.cluster
        class_index = cluster.class_numbers.get(spec.class_)
        return 0.0 if class_index is None else cluster.settings.classes[class_index].deadline_ms

    def check_spec(self, name: str, spec: JobSpec) -> None:
        """Check a job's spec against the cluster's settings.

        Raises:
            ApiError: 422 with the invalid fields.
        """
        cause = self._find_spec_error(spec)
        if cause is not None:
            raise invalid(JOBS, name, (cause,))

    def _find_spec_error(self, spec: JobSpec) -> Cause | None:
        cluster = self._context.cluster
        class_index = cluster.class_numbers.get(spec.class_)
        if class_index is None:
            known = ", ".join(cluster.class_numbers)
            return Cause("spec.class", f"{spec.class_!r} is not one of {known}", "FieldValueNotSupported")
        needs_key = cluster.settings.classes[class_index].idempotency is Idempotency.IDEMPOTENCY_KEY
        if needs_key and spec.key is None:
            return Cause("spec.key", f"is required: class {spec.class_} is keyed", "FieldValueRequired")
        if not needs_key and spec.key is not None:
            return Cause("spec.key", f"class {spec.class_} is not keyed", "FieldValueForbidden")
        return None

    def _is_feasible(self, class_index: int, spec: JobSpec) -> bool:
        """Return whether any machine of the inventory could run such a task if the machine were empty."""
        settings = self._context.cluster.settings
        kind = settings.classes[class_index].required_kind
        cores = spec.cores / settings.cores_overcommit
        memory = spec.memory / settings.memory_overcommit
        return self._context.registry.any_machine_fits(kind, cores, memory)

    def _check_limits(self, submission: Submission) -> None:
        open_count = self._context.task_table.open_count
        if open_count + submission.spec.count > self._limits.open_tasks:
            raise ApiError(
                429,
                f"{open_count} tasks wait for their answer; {self._limits.open_tasks} may",
                resource=JOBS,
                name=submission.name,
                retry_after_s=RETRY_AFTER_LIMIT_S,
            )
        if self._context.job_table.unfinished_count >= self._limits.jobs:
            raise ApiError(
                429,
                f"{self._limits.jobs} jobs are not finished, which is the most",
                retry_after_s=RETRY_AFTER_LIMIT_S,
            )

    # ---- Submit ---------------------------------------------------------------------------------------

    def submit(self, now: float, submission: Submission) -> StoredObject:
        """Accept a job; each of its tasks then gets one answer.

        Raises:
            ApiError: the job is rejected, and no part of it was stored or sent.
        """
        context = self._context
        spec = submission.spec
        self.check_spec(submission.name, spec)
        context.store.check_can_create(JOBS, (submission.namespace, submission.name))
        class_index = context.cluster.class_numbers[spec.class_]
        feasible = self._is_feasible(class_index, spec)
        remaining_ms = submission.received_at + self.timeout_ms(spec) - now
        request = AdmissionRequest(
            class_index,
            submission.namespace,
            spec.count,
            remaining_ms,
            is_retry=submission.is_retry,
            is_feasible=feasible,
        )
        context.degradation.check_admission(now, request, submission.name)
        self._check_limits(submission)
        job = self._make_job(submission, class_index, feasible=feasible)
        context.job_table.add(job)
        self._add_tasks(job, spec.count, submission.received_at)
        self._arrivals.hand_over_batch(now)
        context.publisher.discard_job(job)  # the object created below includes all decisions so far
        return context.store.create(JOBS, job.key, job.to_api(), 1 + len(job.tasks))

    def _make_job(self, submission: Submission, class_index: int, *, feasible: bool) -> Job:
        spec = submission.spec
        default_timeout_ms = self._context.cluster.settings.classes[class_index].deadline_ms
        timeout = spec.patience or format_duration(default_timeout_ms)
        return Job(
            submission.namespace,
            submission.name,
            self._new_uid(),
            _spec_to_api(spec) | {"patience": timeout},
            submission.labels,
            submission.annotations,
            submission.received_at,
            class_index,
            parse_duration(timeout),
            feasible=feasible,
        )

    def _add_tasks(self, job: Job, count: int, received_at: float) -> None:
        context = self._context
        deadline = received_at + job.timeout_ms
        self._arrivals.ensure_deadline(job, count, deadline)
        for _ in range(count):
            index = job.next_index
            job.next_index += 1
            scheduler_id = context.task_table.next_scheduler_id()
            task = Task(job, index, f"{job.uid}-{index}", scheduler_id, received_at, deadline)
            job.add(task)
            context.task_table.add(task)
            self._arrivals.push(task)
        context.degradation.on_accepted(job, count)

    # ---- Update ---------------------------------------------------------------------------------------

    def update(self, now: float, key: tuple[str, str], update: JobUpdate) -> StoredObject:
        """Change a job's labels, annotations or count; a lower count withdraws the newest tasks.

        Raises:
            ApiError: the change is rejected, and nothing was changed.
        """
        context = self._context
        job = context.job_table.by_key[key]
        new_spec = _spec_to_api(update.spec)
        new_spec.setdefault("patience", job.spec["patience"])
        _check_fixed_fields(job, new_spec)
        added_count = update.spec.count - len(job.tasks)
        if added_count > 0:
            self._check_added(now, job, added_count)
        job.labels = update.labels
        job.annotations = update.annotations
        if new_spec != job.spec:
            job.spec = new_spec
            job.generation += 1
        if added_count > 0:
            context.job_table.mark_active(job)
            self._add_tasks(job, added_count, update.received_at)
        else:
            self._withdraw_newest(now, job, -added_count)
        context.job_table.check_finished(job)
        context.publisher.job_changed(job)
        self._arrivals.hand_over_batch(now)
        context.publisher.flush(now)
        return context.store.get(JOBS, key)

    def _check_added(self, now: float, job: Job, added_count: int) -> None:
        request = AdmissionRequest(
            job.class_index, job.namespace, added_count, job.timeout_ms, is_feasible=job.feasible
        )
        self._context.degradation.check_admission(now, request, job.name)
        open_count = self._context.task_table.open_count
        if open_count + added_count > self._limits.open_tasks:
            raise ApiError(
                429, f"{open_count} tasks wait for their answer", retry_after_s=RETRY_AFTER_LIMIT_S
            )

    def _withdraw_newest(self, now: float, job: Job, count: int) -> None:
        newest_first = sorted(job.tasks.values(), key=lambda task: -task.index)
        for task in newest_first[:count]:
            self.withdraw(now, task)
            job.remove(task)

    # ---- Delete ---------------------------------------------------------------------------------------

    def delete(self, now: float, key: tuple[str, str]) -> StoredObject:
        """Delete a job and withdraw its tasks, which then need no answer."""
        context = self._context
        job = context.job_table.by_key[key]
        context.publisher.flush(now)
        job.deleted = True
        for task in list(job.tasks.values()):
            self.withdraw(now, task)
        context.job_table.forget(job)
        return context.store.delete(JOBS, key)

    def withdraw(self, now: float, task: Task) -> None:
        """Withdraw a task that its client no longer wants, and stop it if it is on a machine."""
        if task.withdrawn or task.state in FINAL_STATES:
            return
        context = self._context
        if task.needs_answer:
            context.task_table.record_answered()
            context.degradation.on_withdrawn(task.job)
        task.withdrawn = True
        if task.handed_over:
            context.driver.feed(now, TaskWithdrawn(task.scheduler_id))
        else:
            self._arrivals.discard(task)
        attempt = task.open_attempt
        if attempt is not None and attempt.placed:
            context.stops.request(attempt.host, task.uid, attempt.number, "withdrawn")
        elif attempt is not None:
            end = AttemptEnd(AttemptOutcome.CANCELLED, "withdrawn", task_finished=True)
            self._attempts.close(now, attempt, end)
        if task.open_attempt is None:
            context.task_table.remove(task)


def _spec_to_api(spec: JobSpec) -> Object:
    body: Object = spec.model_dump(by_alias=True, exclude_none=True)
    return body


def _check_fixed_fields(job: Job, new_spec: Object) -> None:
    changed = [name for name in FIXED_SPEC_FIELDS if new_spec.get(name) != job.spec.get(name)]
    if changed:
        causes = tuple(Cause(f"spec.{name}", "cannot be changed", "FieldValueForbidden") for name in changed)
        raise invalid(JOBS, job.name, causes)
