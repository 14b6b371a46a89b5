"""The entry point of the controller: dispatches each input to its component and returns intents.

The owner of a `JobController` calls a method for each event, with the time in milliseconds of the common
clock. It then takes the intents, executes them in order, and calls `advance` when `next_timer` is due. The
controller does no I/O and has no clock or threads, so that the same code runs in the service, in tests and in
virtual time. Placement is decided by the scheduler alone.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from kelpfront.api.jobs import JobSpec, TaskState
from kelpfront.api.meta import JOBS, LEVELS
from kelpfront.controller.answers import TaskAnswers
from kelpfront.controller.arrivals import ArrivalQueue
from kelpfront.controller.attempts import AttemptTracker
from kelpfront.controller.cluster import Cluster
from kelpfront.controller.context import ControllerContext
from kelpfront.controller.degradation import DegradationReporter
from kelpfront.controller.dispatch import Dispatcher
from kelpfront.controller.endpoint_publisher import EndpointPublisher
from kelpfront.controller.intents import Intent, IntentQueue, LogLine, SendHealthCheck, TaskLog
from kelpfront.controller.job_table import JobTable
from kelpfront.controller.jobs import JobLimits, JobManager, JobUpdate, Submission
from kelpfront.controller.load_reports import HealthCheckResult, LoadReports
from kelpfront.controller.machine_monitor import MachineMonitor
from kelpfront.controller.machine_registry import MachineRegistry
from kelpfront.controller.orphans import OrphanHandler
from kelpfront.controller.reconciliation import Reconciler
from kelpfront.controller.recovery import TaskRecovery
from kelpfront.controller.scheduler_driver import SchedulerDriver
from kelpfront.controller.status_publisher import StatusPublisher
from kelpfront.controller.stop_requests import StopRequests
from kelpfront.controller.task_table import TaskTable
from kelpfront.degradation import Level, LevelSettings
from kelpfront.inventory.model import Inventory
from kelpfront.machine import messages as wire
from kelpfront.scheduling.actions import (
    Bind,
    CancelAttempt,
    CheckHealth,
    Fail,
    FetchEndpointList,
    LogMachineEjected,
    Migrate,
    Reject,
    SchedulerAction,
    SetTimer,
    Subscribe,
)
from kelpfront.scheduling.events import MachineId, TimerFired
from kelpfront.scheduling.scheduler import Scheduler
from kelpfront.store import ResourceStore, StoredObject
from kelpfront.timers import Timers

CHECK_PERIOD_MS = 100.0
"""Time between checks for lost machines and of the service level."""


@dataclass(frozen=True, slots=True)
class ControllerIdentity:
    """The identity of a controller.

    Attributes:
        name: the name under which machines know it; stays the same after a restart.
        incarnation: an id that is unique to this start.
        seed: the seed of all random choices.
    """

    name: str
    incarnation: str
    seed: int


@dataclass(frozen=True, slots=True)
class ControllerOptions:
    """Optional parameters of a controller.

    Attributes:
        limits: bounds on the jobs and tasks that are accepted.
        scheduler: makes the placement decisions; None to create one from the cluster's settings.
        levels: the settings of the levels of reduced service; disabled by default.
        stopwatch: returns the elapsed process time in milliseconds, to measure the cost of work.
    """

    limits: JobLimits = field(default_factory=JobLimits)
    scheduler: Scheduler | None = None
    levels: LevelSettings = field(default_factory=lambda: LevelSettings(enabled=False))
    stopwatch: Callable[[], float] = lambda: 0.0


class JobController:
    """Manages the jobs, tasks and machines of one process around one scheduler.

    Attributes:
        cluster: the settings.
        store: the objects that the API serves.
        name: the name under which machines know this controller.
        incarnation: distinguishes this start from earlier ones.
        context: the records that the components share.
        arrivals: accepted tasks that were not handed to the scheduler yet.
        answers: answers tasks.
        orphans: handles orphaned instances of tasks.
        attempts: records the progress of attempts.
        dispatcher: sends offers.
        job_manager: submits, updates and deletes jobs.
        machine_monitor: handles inventory changes and messages of machines.
    """

    def __init__(
        self,
        cluster: Cluster,
        store: ResourceStore,
        identity: ControllerIdentity,
        new_uid: Callable[[], str],
        options: ControllerOptions | None = None,
    ) -> None:
        """Create a controller without machines; `new_uid` generates the uids of jobs."""
        options = options or ControllerOptions()
        self.cluster = cluster
        self.store = store
        self.name = identity.name
        self.incarnation = identity.incarnation
        self.context = self._make_context(identity, options)
        self._limits = options.limits
        self._check_at = -math.inf
        context = self.context
        load_reports = LoadReports(cluster, context.driver)
        endpoints = EndpointPublisher(context.registry, context.driver)
        self.arrivals = ArrivalQueue(cluster, context.degradation, context.driver, context.timers)
        self.answers = TaskAnswers(context)
        self.orphans = OrphanHandler(context, self.answers)
        self.attempts = AttemptTracker(context, self.answers, self.orphans)
        self.dispatcher = Dispatcher(context, self.attempts, load_reports, endpoints)
        self.job_manager = JobManager(context, self.arrivals, self.attempts, options.limits, new_uid)
        recovery = TaskRecovery(context, self.job_manager, self.orphans)
        reconciler = Reconciler(context, identity.incarnation, self.attempts, self.orphans, recovery)
        self.machine_monitor = MachineMonitor(context, load_reports, endpoints, reconciler)
        self._endpoints = endpoints

    def _make_context(self, identity: ControllerIdentity, options: ControllerOptions) -> ControllerContext:
        cluster, store = self.cluster, self.store
        registry = MachineRegistry(cluster)
        publisher = StatusPublisher(store, registry)
        task_table = TaskTable()
        intents = IntentQueue()
        degradation = DegradationReporter(cluster, store, identity.name, options.levels, identity.seed)
        scheduler = options.scheduler or Scheduler(cluster.settings, identity.seed)
        driver = SchedulerDriver(scheduler, self._execute_action, degradation.process_load, options.stopwatch)
        return ControllerContext(
            cluster=cluster,
            store=store,
            registry=registry,
            task_table=task_table,
            job_table=JobTable(store, publisher, task_table, options.limits.finished_jobs),
            stops=StopRequests(identity.name, intents),
            publisher=publisher,
            degradation=degradation,
            driver=driver,
            timers=Timers(),
            intents=intents,
            log=TaskLog(intents),
        )

    # ---- State ----------------------------------------------------------------------------------------

    @property
    def registry(self) -> MachineRegistry:
        """The machines."""
        return self.context.registry

    @property
    def degradation(self) -> DegradationReporter:
        """The levels of reduced service."""
        return self.context.degradation

    @property
    def open_tasks(self) -> int:
        """How many tasks still need an answer."""
        return self.context.task_table.open_count

    @property
    def pending_count(self) -> int:
        """How many accepted tasks were not handed to the scheduler yet."""
        return self.arrivals.pending_count

    def longest_remaining_ms(self, now: float) -> float:
        """Return the time until the latest deadline of the open tasks; 0 if none is open."""
        return self.context.task_table.longest_remaining_ms(now)

    # ---- Jobs -----------------------------------------------------------------------------------------

    def timeout_ms(self, spec: JobSpec) -> float:
        """Return how long a job's client waits for an answer."""
        return self.job_manager.timeout_ms(spec)

    def check_spec(self, name: str, spec: JobSpec) -> None:
        """Check a job's spec against the cluster's settings; raise ApiError 422 if it is invalid."""
        self.job_manager.check_spec(name, spec)

    def find_by_client_token(self, namespace: str, token: str) -> StoredObject | None:
        """Return the job that was created with a client token; None if there is none."""
        job = self.context.job_table.find_by_token(namespace, token)
        return None if job is None else self.store.find(JOBS, job.key)

    def submit(self, now: float, submission: Submission) -> StoredObject:
        """Accept a job, each task of which then gets one answer; raise ApiError if it is rejected."""
        return self.job_manager.submit(now, submission)

    def update(self, now: float, key: tuple[str, str], update: JobUpdate) -> StoredObject:
        """Change a job's labels, annotations or count; raise ApiError if the change is rejected."""
        return self.job_manager.update(now, key, update)

    def delete(self, now: float, key: tuple[str, str]) -> StoredObject:
        """Delete a job and withdraw its tasks, which then need no answer."""
        return self.job_manager.delete(now, key)

    def record_early_rejection(self, now: float, count: int, *, is_retry: bool) -> None:
        """Record tasks that were rejected before submission; only first tries count as demand."""
        if not is_retry:
            self.degradation.on_rejected_early(now, count)

    def pin_level(self, now: float, level: Level | None, for_ms: float) -> StoredObject:
        """Pin a service level for an operator, or unpin it if `level` is None."""
        self.context.intents.extend(self.degradation.pin(now, level, for_ms))
        return self.store.get(LEVELS, ("", self.name))

    # ---- Offers ---------------------------------------------------------------------------------------

    def clear_to_send(self, now: float, task_uid: str, attempt_number: int) -> bool:
        """Return whether an offer may be sent, right before its first byte; if not, it is not executed."""
        return self.dispatcher.clear_to_send(now, task_uid, attempt_number)

    def on_offer_answered(self, now: float, task_uid: str, attempt_number: int, answer: wire.Answer) -> None:
        """Handle a machine's answer to an offer."""
        self.dispatcher.on_answered(now, task_uid, attempt_number, answer)

    def on_offer_failed(self, now: float, task_uid: str, attempt_number: int, message: str) -> None:
        """Handle an offer that got no answer because the connection failed or broke."""
        self.dispatcher.on_failed(now, task_uid, attempt_number, message)

    # ---- Machines -------------------------------------------------------------------------------------

    def apply_inventory(self, now: float, inventory: Inventory) -> None:
        """Apply a new inventory of machines."""
        self.machine_monitor.apply_inventory(now, inventory)

    def cordon(self, now: float, host: str, *, unschedulable: bool) -> StoredObject:
        """Start or stop draining a machine for an operator."""
        return self.machine_monitor.cordon(now, host, unschedulable=unschedulable)

    def on_link_down(self, now: float, host: str) -> None:
        """Handle the loss of a machine's stream."""
        self.registry.on_link_down(now, host)

    def on_machine_message(self, now: float, host: str, message: wire.StreamMessage) -> None:
        """Handle a message from a machine's stream; messages must be passed in stream order."""
        self.machine_monitor.on_message(now, host, message)

    def on_stop_confirmed(self, host: str, task_uid: str) -> None:
        """Handle a machine's confirmation of a stop request."""
        self.context.stops.confirm(host, task_uid)

    def on_health_check(self, now: float, host: str, result: HealthCheckResult) -> None:
        """Handle the result of a health check, including a timeout."""
        self.machine_monitor.on_health_check(now, host, result)

    # ---- The scheduler's decisions --------------------------------------------------------------------

    def _execute_action(self, now: float, action: SchedulerAction) -> None:
        match action:
            case Bind():
                self.dispatcher.bind(now, action)
            case CancelAttempt():
                self.dispatcher.cancel(now, action)
            case Migrate():
                self.dispatcher.migrate(action)
            case Reject():
                self.answers.finish_unplaced(now, action.task, TaskState.REFUSED, action.retry_after_ms)
            case Fail():
                self.answers.finish_unplaced(now, action.task, TaskState.FAILED, 0.0)
            case SetTimer():
                self._set_timer(action)
            case CheckHealth():
                self._check_health(action.machine)
            case LogMachineEjected():
                self._log_ejection(action)
            case Subscribe() | FetchEndpointList():
                pass  # changes of the endpoint list are sent as they happen

    def _set_timer(self, action: SetTimer) -> None:
        fired = TimerFired(action.token)
        self.context.timers.set(action.at, lambda fired_at: self.context.driver.feed(fired_at, fired))

    def _check_health(self, machine_id: MachineId) -> None:
        entry = self.registry.by_id.get(machine_id)
        if entry is not None:
            self.context.intents.append(SendHealthCheck(entry.name))

    def _log_ejection(self, ejected: LogMachineEjected) -> None:
        entry = self.registry.by_id.get(ejected.machine)
        fields = {
            "machine": entry.name if entry is not None else f"{ejected.machine:x}",
            "scope": ejected.scope,
            "cause": ejected.cause,
            "ejection_ms": ejected.ejection_ms,
        }
        self.context.intents.append(LogLine("info", "machine ejected", fields))

    # ---- Time -----------------------------------------------------------------------------------------

    def next_timer(self) -> float:
        """Return when `advance` must be called next."""
        if self.arrivals:
            return -math.inf
        publish_at = self.context.publisher.due_at(self.degradation.policy.publish_interval_ms)
        return min(self.context.timers.next(), self._check_at, publish_at)

    def advance(self, now: float) -> None:
        """Run the due timers in order and the periodic checks, and hand a batch of tasks to the scheduler."""
        self.context.timers.run(now)
        if now >= self._check_at:
            self._check_at = now + CHECK_PERIOD_MS
            self._check(now)
        self.arrivals.hand_over_batch(now)
        self._endpoints.publish_due(now)

    def _check(self, now: float) -> None:
        self.machine_monitor.advance(now)
        self.context.publisher.refresh_machines(now, self.degradation.policy.background_interval_factor)
        open_share = self.open_tasks / self._limits.open_tasks
        self.context.intents.extend(self.degradation.observe(now, self.registry, open_share))

    # ---- Outputs --------------------------------------------------------------------------------------

    def flush(self, now: float) -> None:
        """Write all unpublished changes to the store."""
        self.context.publisher.flush(now)

    def publish_due(self, now: float) -> None:
        """Write changes to the store, at most as often as the current service level allows."""
        self.context.publisher.flush_due(now, self.degradation.policy.publish_interval_ms)

    def take_intents(self) -> list[Intent]:
        """Return the pending intents in order and clear the queue."""
        return self.context.intents.take()
