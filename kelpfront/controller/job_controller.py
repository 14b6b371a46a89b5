"""The entrance to the controller: each input goes to the part in charge, and the intents come out.

Whoever holds a `JobController` calls a method for each thing that happens, with the time in milliseconds of
the common clock; then takes the intents and carries them out in order, and calls `advance` when `next_timer`
is due. It decides nothing that the scheduler decides, and has no socket, clock or thread: the same controller
runs in the service, in tests and in virtual time.
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
"""Between checks of which machines are in contact and of the level of service."""


@dataclass(frozen=True, slots=True)
class ControllerIdentity:
    """Who a controller is.

    Attributes:
        name: what machines know it by; the same after a restart.
        incarnation: of this start alone.
        seed: of all its random choices.
    """

    name: str
    incarnation: str
    seed: int


@dataclass(frozen=True, slots=True)
class ControllerOptions:
    """What a controller may be given beyond what it needs.

    Attributes:
        limits: bounds on what it accepts.
        scheduler: makes the decisions; None for one by the cluster's settings.
        levels: the levels of reduced service; none are entered unless they are enabled.
        stopwatch: tells milliseconds of the process's own time, for what work costs.
    """

    limits: JobLimits = field(default_factory=JobLimits)
    scheduler: Scheduler | None = None
    levels: LevelSettings = field(default_factory=lambda: LevelSettings(enabled=False))
    stopwatch: Callable[[], float] = lambda: 0.0


class JobController:
    """Jobs, tasks and machines of one process, around the decisions of one scheduler.

    Attributes:
        cluster: the settings.
        store: the objects that the API shows.
        name: what machines know this controller by.
        incarnation: tells this start of it from earlier ones.
        context: the records that the parts share.
        arrivals: accepted tasks that the scheduler was not given yet.
        answers: gives each task its answer.
        orphans: handles instances that were given up and turn up.
        attempts: records how attempts go.
        dispatcher: sends offers.
        job_manager: carries out what clients want.
        machine_monitor: follows the machines.
    """

    def __init__(
        self,
        cluster: Cluster,
        store: ResourceStore,
        identity: ControllerIdentity,
        new_uid: Callable[[], str],
        options: ControllerOptions | None = None,
    ) -> None:
        """Make a controller that knows no machine; jobs get their uids of `new_uid`."""
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
        driver = SchedulerDriver(scheduler, self._carry_out, degradation.process_load, options.stopwatch)
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

    # ---- What others may know -------------------------------------------------------------------------

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
        """How many tasks still need their answer."""
        return self.context.task_table.open_count

    @property
    def pending_count(self) -> int:
        """How many tasks were accepted and not yet handed to the scheduler."""
        return self.arrivals.pending_count

    def longest_remaining_ms(self, now: float) -> float:
        """Return how long until the last open task has its deadline; 0 where none is open."""
        return self.context.task_table.longest_remaining_ms(now)

    # ---- Jobs -----------------------------------------------------------------------------------------

    def timeout_ms(self, spec: JobSpec) -> float:
        """Return how long a job's client waits for an answer."""
        return self.job_manager.timeout_ms(spec)

    def check_spec(self, name: str, spec: JobSpec) -> None:
        """Check that the job can be one of this cluster; ApiError 422 where it cannot."""
        self.job_manager.check_spec(name, spec)

    def find_by_client_token(self, namespace: str, token: str) -> StoredObject | None:
        """Return the job that was made with a client's token; None where there is none."""
        job = self.context.job_table.find_by_token(namespace, token)
        return None if job is None else self.store.find(JOBS, job.key)

    def submit(self, now: float, submission: Submission) -> StoredObject:
        """Accept a job: each of its tasks is owed one answer. ApiError where it is not accepted."""
        return self.job_manager.submit(now, submission)

    def update(self, now: float, key: tuple[str, str], update: JobUpdate) -> StoredObject:
        """Change a job's labels, annotations or count. ApiError where this is not accepted."""
        return self.job_manager.update(now, key, update)

    def delete(self, now: float, key: tuple[str, str]) -> StoredObject:
        """Remove a job and withdraw its tasks; nothing more is owed for them."""
        return self.job_manager.delete(now, key)

    def record_early_rejection(self, now: float, count: int, *, is_retry: bool) -> None:
        """Tasks were rejected before they came here: a sign of what is wanted, the first time."""
        if not is_retry:
            self.degradation.on_rejected_early(now, count)

    def pin_level(self, now: float, level: Level | None, for_ms: float) -> StoredObject:
        """Hold a level of service by an operator's word, or let go of it."""
        self.context.intents.extend(self.degradation.pin(now, level, for_ms))
        return self.store.get(LEVELS, ("", self.name))

    # ---- Offers ---------------------------------------------------------------------------------------

    def clear_to_send(self, now: float, task_uid: str, attempt_number: int) -> bool:
        """Return whether an offer may go out, right before its first byte; if not, it was not executed."""
        return self.dispatcher.clear_to_send(now, task_uid, attempt_number)

    def on_offer_answered(self, now: float, task_uid: str, attempt_number: int, answer: wire.Answer) -> None:
        """A machine answered an offer."""
        self.dispatcher.on_answered(now, task_uid, attempt_number, answer)

    def on_offer_failed(self, now: float, task_uid: str, attempt_number: int, message: str) -> None:
        """An offer got no answer: no connection, or one that broke."""
        self.dispatcher.on_failed(now, task_uid, attempt_number, message)

    # ---- Machines -------------------------------------------------------------------------------------

    def apply_inventory(self, now: float, inventory: Inventory) -> None:
        """Take over the machines that there are from now on."""
        self.machine_monitor.apply_inventory(now, inventory)

    def cordon(self, now: float, host: str, *, unschedulable: bool) -> StoredObject:
        """Drain a machine by its operator's word, or take that back."""
        return self.machine_monitor.cordon(now, host, unschedulable=unschedulable)

    def on_link_down(self, now: float, host: str) -> None:
        """A machine's stream broke."""
        self.registry.on_link_down(now, host)

    def on_machine_message(self, now: float, host: str, message: wire.StreamMessage) -> None:
        """A message of a machine's stream, in the order of the stream."""
        self.machine_monitor.on_message(now, host, message)

    def on_stop_confirmed(self, host: str, task_uid: str) -> None:
        """The machine has received that a task is no longer wanted."""
        self.context.stops.confirm(host, task_uid)

    def on_health_check(self, now: float, host: str, result: HealthCheckResult) -> None:
        """A health check was answered, or was not answered in time."""
        self.machine_monitor.on_health_check(now, host, result)

    # ---- The scheduler's decisions --------------------------------------------------------------------

    def _carry_out(self, now: float, action: SchedulerAction) -> None:
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
                pass  # the endpoint list is fed as it changes

    def _set_timer(self, action: SetTimer) -> None:
        fired = TimerFired(action.token)
        self.context.timers.set(action.at, lambda then: self.context.driver.feed(then, fired))

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
        """Return when `advance` is to be called next."""
        if self.arrivals:
            return -math.inf
        publish_at = self.context.publisher.due_at(self.degradation.measures.publish_interval_ms)
        return min(self.context.timers.next(), self._check_at, publish_at)

    def advance(self, now: float) -> None:
        """Do what is due by now: timers in their order, checks of machines, and some accepted tasks."""
        self.context.timers.run(now)
        if now >= self._check_at:
            self._check_at = now + CHECK_PERIOD_MS
            self._check(now)
        self.arrivals.hand_over_some(now)
        self._endpoints.publish_due(now)

    def _check(self, now: float) -> None:
        self.machine_monitor.advance(now)
        self.context.publisher.refresh_machines(now, self.degradation.measures.background_interval_factor)
        open_share = self.open_tasks / self._limits.open_tasks
        self.context.intents.extend(self.degradation.observe(now, self.registry, open_share))

    # ---- Outputs --------------------------------------------------------------------------------------

    def flush(self, now: float) -> None:
        """Bring all changes since the last call to the store."""
        self.context.publisher.flush(now)

    def publish_due(self, now: float) -> None:
        """Bring changes to the store, no more often than the present level of service has it."""
        self.context.publisher.flush_due(now, self.degradation.measures.publish_interval_ms)

    def take_intents(self) -> list[Intent]:
        """Return what is to be done, in order, and forget it."""
        return self.context.intents.take()
