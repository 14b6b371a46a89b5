"""The placer's core: jobs and machines in, the decisions of `kelpfront.scheduling`, intents out.

It has no socket, clock or thread. Whoever holds it calls a method for each thing that happens, with the time
in milliseconds of the common clock; then takes the intents and carries them out in order, and calls `advance`
when `next_timer` is due. The same heart runs in the service, in tests and in virtual time.

It decides nothing that `Scheduler` decides: it translates, keeps the records, and holds the one gate that
each offer passes right before its first byte goes out (`clear_to_send`). There an attempt becomes one that
may have run, and there the rules on answers and drains are kept whatever has happened since the decision.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Literal

from kelpfront.api.errors import ApiError, Cause, invalid
from kelpfront.api.jobs import FIXED_SPEC_FIELDS, JobSpec, Phase, TaskState
from kelpfront.api.machines import State
from kelpfront.api.meta import JOBS, LEVELS, MACHINES
from kelpfront.controller.cluster import Cluster
from kelpfront.controller.degradation import DegradationReporter
from kelpfront.controller.intents import AbandonOffer, Intent, LogLine, SendOffer, SendProbe, SendStop
from kelpfront.controller.machine_registry import Changes, Entry, MachineRegistry
from kelpfront.controller.offers import job_of, make_offer
from kelpfront.controller.orphans import Verdict, judge
from kelpfront.controller.status_publisher import StatusPublisher
from kelpfront.controller.tasks import OVER, Attempt, Job, Task
from kelpfront.degradation import AdmissionRequest, FairQueue, Level, LevelSettings
from kelpfront.inventory.model import Inventory
from kelpfront.machine import messages as wire
from kelpfront.numbers import service_number
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
from kelpfront.scheduling.events import (
    NOT_EXECUTED,
    AttemptClosed,
    AttemptOutcome,
    HealthCheckCompleted,
    LoadReport,
    OutcomeReason,
    SchedulerEvent,
    StatusTopic,
    TaskArrived,
    TaskFound,
    TaskId,
    TaskPlaced,
    TaskStatusReported,
    TaskWithdrawn,
    TimerFired,
)
from kelpfront.scheduling.scheduler import Scheduler
from kelpfront.scheduling.settings import Idempotency, TaskClass
from kelpfront.store import ResourceStore, StoredObject
from kelpfront.timers import Timers
from kelpfront.units import format_duration, parse_duration

S = TaskState

CHECK_MS = 100.0  # between looks at which machines are still heard and whether the list has news
ARRIVALS_A_TURN = 8  # tasks handed to the decisions before other work has its turn

REASONS = {
    "UNTOLD": OutcomeReason.UNSPECIFIED,
    "NO_CORES": OutcomeReason.NO_CORES,
    "NO_MEMORY": OutcomeReason.NO_MEMORY,
    "QUEUE_FULL": OutcomeReason.QUEUE_FULL,
    "NOT_HERE": OutcomeReason.NOT_HERE,
    "EVICTED": OutcomeReason.EVICTED,
    "PUSHED_OUT": OutcomeReason.PREEMPTED,
    "SENT_AWAY": OutcomeReason.DRAINED,
}
"""Reasons by their names in the machines' protocol."""

TOPICS = {
    "cores": StatusTopic.CORES_USED,
    "memory": StatusTopic.MEMORY_USED,
    "service": StatusTopic.SERVICE,
    "pressure": StatusTopic.MEMORY_PRESSURE,
}
# How a placed task's end is told to the decisions, and why its owner lost it (empty where it did not).
ENDS: dict[wire.GoneCause, tuple[AttemptOutcome, OutcomeReason, str]] = {
    "ended": (AttemptOutcome.ENDED, OutcomeReason.UNSPECIFIED, ""),
    "stopped": (AttemptOutcome.CANCELLED, OutcomeReason.UNSPECIFIED, "STOPPED"),
    "failed": (AttemptOutcome.ERROR, OutcomeReason.UNSPECIFIED, "START_FAILED"),
    "evicted": (AttemptOutcome.RESET, OutcomeReason.EVICTED, "EVICTED"),
    "pushed-out": (AttemptOutcome.RESET, OutcomeReason.PREEMPTED, "PUSHED_OUT"),
    "sent-away": (AttemptOutcome.RESET, OutcomeReason.DRAINED, "SENT_AWAY"),
    "lost": (AttemptOutcome.RESET, OutcomeReason.UNSPECIFIED, "MACHINE_LOST"),
}


PROVEN = frozenset({"refused"})  # how an attempt ends that went out and is known not to have run


@dataclass(frozen=True, slots=True)
class ControllerLimits:
    """What one placer takes on; each is a bound on memory."""

    open_tasks: int = 5_000  # without an answer; those that wait are looked at again and again
    jobs: int = 100_000  # that are not finished
    finished_jobs: int = 10_000  # kept for their owners to read


class Controller:
    """One placer. `name` is what machines know it by; `incarnation` is of this start alone."""

    def __init__(
        self,
        cluster: Cluster,
        store: ResourceStore,
        name: str,
        incarnation: str,
        seed: int,
        new_uid: Callable[[], str],
        limits: ControllerLimits | None = None,
        scheduler: Scheduler | None = None,
        levels: LevelSettings | None = None,
        stopwatch: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """`levels` None: none are entered. `stopwatch` tells milliseconds of the process's own time."""
        self.cluster, self.store, self.name, self.incarnation = cluster, store, name, incarnation
        self.limits = limits or ControllerLimits()
        self.verbose = False  # whether lines of level debug are made at all: there are several a task
        self.directory = MachineRegistry(cluster)
        self._new_uid = new_uid
        self._scheduler = scheduler or Scheduler(cluster.settings, seed)
        levels = levels or LevelSettings(enabled=False)
        self.levelling = DegradationReporter(cluster, store, name, levels, seed)
        self._stopwatch = stopwatch
        self._jobs: dict[tuple[str, str], Job] = {}
        self._tokens: dict[tuple[str, str], Job] = {}
        self._tasks: dict[str, Task] = {}  # by uid: all that are not over, or over and still on a machine
        self._numbers: dict[TaskId, Task] = {}
        self._next_number = 1
        self._open_tasks = 0
        self._finished: OrderedDict[tuple[str, str], None] = OrderedDict()
        self._arrivals: FairQueue[Task] = FairQueue(
            lambda owner: self.levelling.governor.load_shedder.owners.weight(owner)
        )
        self._pending = 0  # of them, those that are still wanted
        self._events: deque[SchedulerEvent] = deque()
        self._feeding = False
        self._timers = Timers()
        self._check_at = -math.inf
        self._showing = StatusPublisher(store, self.directory)
        self._stops: dict[tuple[str, str], int] = {}  # host and task: attempt, until the machine has heard
        self._intents: list[Intent] = []

    # ---- Jobs -----------------------------------------------------------------------------------------

    @property
    def open_tasks(self) -> int:
        """Tasks that still need their answer."""
        return self._open_tasks

    @property
    def pending(self) -> int:
        """Tasks that were taken and not yet handed to the decisions."""
        return self._pending

    def patience_ms(self, spec: JobSpec) -> float:
        """How long a job's owner waits: its own word, or its class's; 0 for an unknown class."""
        if spec.patience is not None:
            return parse_duration(spec.patience)
        number = self.cluster.class_numbers.get(spec.class_)
        return 0.0 if number is None else self.cluster.settings.classes[number].deadline_ms

    def longest_patience_ms(self, now: float) -> float:
        """How long until the last task without an answer has its deadline; 0 where none is open."""
        open_tasks = (task for task in self._tasks.values() if task.waits and not task.withdrawn)
        return max((task.deadline - now for task in open_tasks), default=0.0)

    def check_spec(self, name: str, spec: JobSpec) -> None:
        """422 where the job cannot be one of this cluster."""
        causes = []
        cls = self.cluster.class_numbers.get(spec.class_)
        if cls is None:
            known = ", ".join(self.cluster.class_numbers)
            causes.append(
                Cause("spec.class", f"{spec.class_!r} is not one of {known}", "FieldValueNotSupported")
            )
        else:
            keyed = self.cluster.settings.classes[cls].idempotency is Idempotency.IDEMPOTENCY_KEY
            if keyed and spec.key is None:
                causes.append(
                    Cause("spec.key", f"is required: class {spec.class_} is keyed", "FieldValueRequired")
                )
            if not keyed and spec.key is not None:
                causes.append(Cause("spec.key", f"class {spec.class_} is not keyed", "FieldValueForbidden"))
        if causes:
            raise invalid(JOBS, name, tuple(causes))

    def _possible(self, cls: int, cores: float, memory: float) -> bool:
        """Whether any machine of the inventory could run such a task if it held nothing else."""
        settings = self.cluster.settings
        kind = settings.classes[cls].required_kind
        return self.directory.ever_fits(
            kind, cores / settings.cores_overcommit, memory / settings.memory_overcommit
        )

    def find_token(self, namespace: str, token: str) -> StoredObject | None:
        """The job that was made with a client's token."""
        job = self._tokens.get((namespace, token))
        return None if job is None else self.store.find(JOBS, job.key)

    def submit(
        self,
        now: float,
        namespace: str,
        name: str,
        spec: JobSpec,
        labels: dict[str, str],
        annotations: dict[str, str],
        received_at: float,
        *,
        again: bool = False,
    ) -> StoredObject:
        """Takes a job: from here on each of its tasks is owed one answer. ApiError where it is not taken.

        `again`: its owner has asked before and was told to come back.
        """
        self.check_spec(name, spec)
        self.store.check_can_create(JOBS, (namespace, name))
        left = received_at + self.patience_ms(spec) - now
        cls = self.cluster.class_numbers[spec.class_]
        possible = self._possible(cls, spec.cores, spec.memory)
        request = AdmissionRequest(cls, namespace, spec.count, left, is_retry=again, is_feasible=possible)
        self.levelling.weigh(now, request, name)
        if self._open_tasks + spec.count > self.limits.open_tasks:
            raise ApiError(
                429,
                f"{self._open_tasks} tasks wait for their answer; {self.limits.open_tasks} may",
                resource=JOBS,
                name=name,
                retry_after_s=1,
            )
        if len(self._jobs) - len(self._finished) >= self.limits.jobs:
            raise ApiError(
                429, f"{self.limits.jobs} jobs are not finished, which is the most", retry_after_s=1
            )
        patience = spec.patience or format_duration(self.cluster.settings.classes[cls].deadline_ms)
        shown = spec.model_dump(by_alias=True, exclude_none=True) | {"patience": patience}
        job = Job(
            namespace,
            name,
            self._new_uid(),
            shown,
            labels,
            annotations,
            received_at,
            cls,
            parse_duration(patience),
            possible=possible,
        )
        self._jobs[job.key] = job
        if job.token:
            self._tokens[namespace, job.token] = job
        self._add_tasks(job, spec.count, received_at)
        self._take_arrivals(now)
        self._showing.drop_job(job)  # what is decided by now is in what is shown first
        return self.store.create(JOBS, job.key, job.render(), 1 + len(job.tasks))

    def _add_tasks(self, job: Job, count: int, received_at: float) -> None:
        deadline = received_at + job.patience_ms
        if count + self._pending > ARRIVALS_A_TURN:
            # Those whose turn does not come in time must still be answered in time.
            due = deadline - 2 * self.cluster.settings.timer_resolution_ms
            self._timers.set(due, lambda then: self._hand_over_late(then, job))
        for _ in range(count):
            index = job.next_index
            job.next_index += 1
            task = Task(job, index, f"{job.uid}-{index}", self._number(), received_at, deadline)
            job.add(task)
            self._tasks[task.uid] = task
            self._numbers[task.number] = task
            self._open_tasks += 1
            self._arrivals.push(self.levelling.rank(task), job.namespace, deadline, task)
            self._pending += 1
        self.levelling.governor.on_admitted(job.cls, job.namespace, count)

    def _number(self) -> TaskId:
        self._next_number += 1
        return self._next_number

    def update(
        self,
        now: float,
        key: tuple[str, str],
        spec: JobSpec,
        labels: dict[str, str],
        annotations: dict[str, str],
        received_at: float,
    ) -> StoredObject:
        """A change of labels, annotations or count. A lower count withdraws tasks, the newest first."""
        job = self._jobs[key]
        new = spec.model_dump(by_alias=True, exclude_none=True)
        new.setdefault("patience", job.spec["patience"])
        fixed = [name for name in FIXED_SPEC_FIELDS if new.get(name) != job.spec.get(name)]
        if fixed:
            causes = tuple(
                Cause(f"spec.{name}", "cannot be changed", "FieldValueForbidden") for name in fixed
            )
            raise invalid(JOBS, job.name, causes)
        more = spec.count - len(job.tasks)
        if more > 0:
            ask = AdmissionRequest(job.cls, job.namespace, more, job.patience_ms, is_feasible=job.possible)
            self.levelling.weigh(now, ask, job.name)
            if self._open_tasks + more > self.limits.open_tasks:
                raise ApiError(429, f"{self._open_tasks} tasks wait for their answer", retry_after_s=1)
        job.labels, job.annotations = labels, annotations
        if new != job.spec:
            job.spec = new
            job.generation += 1
        if more > 0:
            self._finished.pop(job.key, None)
            job.finished_at = None
            self._add_tasks(job, more, received_at)
        for task in sorted(job.tasks.values(), key=lambda task: -task.index)[: max(0, -more)]:
            self._withdraw(now, task)
            job.remove(task)
        self._check_finished(now, job)
        self._showing.job(job)
        self._take_arrivals(now)
        self.flush(now)
        return self.store.get(JOBS, key)

    def delete(self, now: float, key: tuple[str, str]) -> StoredObject:
        """Removes a job and withdraws its tasks; nothing more is owed for them."""
        job = self._jobs[key]
        self.flush(now)
        job.deleted = True
        for task in list(job.tasks.values()):
            self._withdraw(now, task)
        self._forget_job(job)
        return self.store.delete(JOBS, key)

    def _forget_job(self, job: Job) -> None:
        del self._jobs[job.key]
        job.tasks.clear()  # tasks refer to their job: without this the two would be garbage for the collector
        self._finished.pop(job.key, None)
        self._showing.drop_job(job)
        if self._tokens.get((job.namespace, job.token)) is job:
            del self._tokens[job.namespace, job.token]

    def _withdraw(self, now: float, task: Task) -> None:
        """The owner no longer wants the task, wherever it is."""
        if task.withdrawn or task.state in OVER:
            return
        if task.waits:
            self._open_tasks -= 1
            self.levelling.governor.on_withdrawn(task.job.cls, task.job.namespace)
        task.withdrawn = True
        if not task.handed_over:
            task.handed_over = True
            self._pending -= 1
        else:
            self._feed(now, TaskWithdrawn(task.number))
        attempt = task.open_attempt
        if attempt is not None and attempt.placed:
            self._stop(attempt.host, task.uid, attempt.wire, "withdrawn")
        elif attempt is not None:
            self._close(now, attempt, AttemptOutcome.CANCELLED, end="withdrawn", task_over=True)
        if task.open_attempt is None:
            self._drop(task)

    def _drop(self, task: Task) -> None:
        self._tasks.pop(task.uid, None)
        self._numbers.pop(task.number, None)
        if task.job.deleted:
            task.attempts.clear()  # as above: attempts refer to their task

    def turned_away(self, now: float, count: int, again: bool) -> None:
        """Tasks were asked for and turned away before they came here: still a sign of what is wanted."""
        if not again:
            self.levelling.governor.on_rejected_elsewhere(now, count)

    def pin_level(self, now: float, level: Level | None, for_ms: float) -> StoredObject:
        """Holds a level of service by an operator's word, or lets go of it."""
        self._intents += self.levelling.pin(now, level, for_ms)
        return self.store.get(LEVELS, ("", self.name))

    # ---- Offers ---------------------------------------------------------------------------------------

    def clear_to_send(self, now: float, uid: str, wire_number: int) -> bool:
        """Asked right before the first byte of an offer goes out. False: it must not, and has not run.

        Guards against what may have changed while a connection was made: the task was answered or withdrawn,
        its time is up, its machine drains or is gone, the window of a keyed repeat is over, or the offer was
        held up for longer than cold machines' turns allow for.
        """
        task = self._tasks.get(uid)
        attempt = None if task is None else task.attempt(wire_number)
        if attempt is None or not attempt.open or attempt.sent_at is not None:
            return False
        entry = self.directory.entries.get(attempt.host)
        usable = entry is not None and entry.state is State.READY
        held_up = now - attempt.decided_at > self.cluster.settings.connect_timeout_ms
        if not usable or held_up or now >= attempt.timeout_at or now > attempt.latest:
            attempt.held_back = True
            return False
        attempt.sent_at = now
        return True

    def offer_answered(self, now: float, uid: str, wire_number: int, answer: wire.Answer) -> None:
        """A machine answered an offer."""
        task = self._tasks.get(uid)
        attempt = None if task is None else task.attempt(wire_number)
        if attempt is None or not attempt.open or attempt.placed:
            return  # late, or told on the stream before: the stream tells what the machine holds
        if answer.load is not None and (entry := self.directory.entries.get(attempt.host)) is not None:
            self._take_load(now, entry, answer.load)
        match answer.answer:
            case "running" | "accepted":
                self._placed(now, attempt, running=answer.answer == "running")
            case "refused":
                reason = REASONS.get(answer.reason, OutcomeReason.UNSPECIFIED)
                self._close(
                    now,
                    attempt,
                    AttemptOutcome.REJECTED,
                    reason,
                    end="refused",
                    why=answer.reason,
                    message=answer.message,
                )
            case "error":
                self._close(
                    now, attempt, AttemptOutcome.ERROR, end="error", why=answer.reason, message=answer.message
                )
        self._pump(now)

    def offer_failed(self, now: float, uid: str, wire_number: int, message: str) -> None:
        """An offer got no answer: no connection, or one that broke. Whether it went out is known here."""
        task = self._tasks.get(uid)
        attempt = None if task is None else task.attempt(wire_number)
        if attempt is None or not attempt.open or attempt.placed:
            return
        if attempt.held_back:
            self._close(now, attempt, AttemptOutcome.NOT_SENT, end="not sent", message="held back")
        elif attempt.sent_at is None:
            self._close(now, attempt, AttemptOutcome.UNREACHABLE, end="unreachable", message=message)
        else:
            self._close(now, attempt, AttemptOutcome.RESET, end="reset", message=message)
        self._pump(now)

    def _timed_out(self, now: float, attempt: Attempt) -> None:
        if not attempt.open or attempt.placed:
            return
        if attempt.sent_at is None:
            self._close(
                now, attempt, AttemptOutcome.UNREACHABLE, end="unreachable", message="not sent in time"
            )
        else:
            self._close(now, attempt, AttemptOutcome.TIMED_OUT, end="timed out")

    # ---- Machines -------------------------------------------------------------------------------------

    def take_inventory(self, now: float, inventory: Inventory) -> None:
        self._machines_changed(now, self.directory.take_inventory(now, inventory))
        self._pump(now)

    def cordon(self, now: float, host: str, on: bool) -> StoredObject:
        """Drains a machine by its operator's word, or takes that back."""
        self._machines_changed(now, self.directory.cordon(now, host, on))
        self._pump(now)
        self.flush(now)
        return self.store.get(MACHINES, ("", host))

    def link_down(self, now: float, host: str) -> None:
        self.directory.link_down(now, host)

    def stream_message(self, now: float, host: str, message: wire.StreamMessage) -> None:
        """A message of a machine's stream, in the order of the stream."""
        entry = self.directory.entries.get(host)
        if entry is None:
            return
        self.directory.heard(now, host)
        match message:
            case wire.Heartbeat():
                self._machines_changed(now, self.directory.heartbeat(now, host, message))
                self._take_load(now, entry, message.load)
            case wire.Hello():
                self._machines_changed(now, self.directory.hello(now, host, message))
                entry.settled = entry.settled or message.resumed
                for (stop_host, uid), number in list(self._stops.items()):
                    if stop_host == host:
                        self._intents.append(self._stop_intent(host, uid, number))
            case wire.Snapshot():
                self._reconcile(now, entry, message)
                entry.settled = True
                self.flush(now)  # a job that was found is not to be seen without its tasks
            case wire.Taken():
                self._taken(now, host, message)
            case wire.Gone():
                self._gone(now, host, message)
            case wire.Note():
                self._note(now, host, message)
        self._pump(now)

    def stop_heard(self, host: str, uid: str) -> None:
        """The machine has heard that a task is no longer wanted."""
        self._stops.pop((host, uid), None)

    def probe_answered(
        self, now: float, host: str, ok: bool, took_ms: float, load: wire.LoadReport | None
    ) -> None:
        entry = self.directory.entries.get(host)
        if entry is not None:
            told = None if load is None else self._load(load)
            self._feed(now, HealthCheckCompleted(entry.number, ok, took_ms, told, no_response=not ok))
            self._pump(now)

    def _take_load(self, now: float, entry: Entry, load: wire.LoadReport) -> None:
        self._feed(now, HealthCheckCompleted(entry.number, True, 0.0, self._load(load)))

    def _load(self, load: wire.LoadReport) -> LoadReport:
        if self.cluster.settings.reports_measured_usage:
            return LoadReport(load.unused_cores, load.unused_memory, load.waiting, load.busy)
        return LoadReport(load.free_cores, load.free_memory, load.waiting, load.busy)

    def _machines_changed(self, now: float, changes: Changes) -> None:
        for entry in changes.states:
            self._showing.machine(entry)
        for entry in changes.lost:
            for task in list(self._tasks.values()):
                attempt = task.open_attempt
                if attempt is not None and attempt.placed and attempt.host == entry.name:
                    self._over(now, attempt, "lost")
            for place in [place for place in self._stops if place[0] == entry.name]:
                del self._stops[place]
        if self.directory.list_due(now):
            self._tell_list(now)

    def _tell_list(self, now: float) -> None:
        told = self.directory.take_list(now)
        if told is not None:
            self._feed(now, told)

    # ---- What machines hold ---------------------------------------------------------------------------

    def _taken(self, now: float, host: str, message: wire.Taken) -> None:
        """A machine holds an attempt: the answer to its offer, the news that it runs, or a stray."""
        task = self._tasks.get(message.task)
        attempt = None if task is None else task.attempt(message.attempt)
        if attempt is not None and attempt.open and attempt.host == host:
            self._placed(now, attempt, message.running)
        else:
            self._stray(now, host, message.task, message.attempt)

    def _gone(self, now: float, host: str, message: wire.Gone) -> None:
        self._stops.pop((host, message.task), None)
        task = self._tasks.get(message.task)
        if task is None:
            return
        if task.stray == (host, message.attempt):
            task.stray = None
        attempt = task.attempt(message.attempt)
        if attempt is None or not attempt.open or attempt.host != host:
            return
        if attempt.placed:
            self._over(now, attempt, message.cause, message.exit_code, message.message, message.cpu_s)
        elif not message.ran:
            reason = ENDS[message.cause][1]
            self._close(
                now,
                attempt,
                AttemptOutcome.REJECTED,
                reason,
                end="refused",
                why=ENDS[message.cause][2],
                message=message.message,
            )
        else:
            self._close(
                now, attempt, AttemptOutcome.ERROR, end="error", message=message.message or message.cause
            )

    def _reconcile(self, now: float, entry: Entry, snapshot: wire.Snapshot) -> None:
        """Settles with a machine what it holds: after a break too long to resume, or after a restart."""
        host = entry.name
        reports = {report.offer.task: report for report in snapshot.tasks}
        for task in list(self._tasks.values()):
            attempt = task.open_attempt
            if attempt is None or attempt.host != host:
                continue
            report = reports.get(task.uid)
            if report is not None and report.offer.attempt != attempt.wire:
                report = None
            if report is None or report.phase == "ended":
                if attempt.placed:
                    if report is None:
                        self._over(now, attempt, "lost")
                    else:
                        cause = report.cause or "lost"
                        self._over(now, attempt, cause, report.exit_code, report.message, report.cpu_s)
            elif report.phase == "running" or attempt.placed:
                self._placed(now, attempt, report.phase == "running")
        for uid, report in reports.items():
            if report.phase == "ended":
                self._stops.pop((host, uid), None)
            elif uid in self._tasks:
                known = self._tasks[uid].attempt(report.offer.attempt)
                if report.phase != "waiting" and (known is None or not known.open):
                    self._stray(now, host, uid, report.offer.attempt)
            elif report.incarnation != self.incarnation and report.phase != "waiting":
                self._find(now, entry, report)
            else:
                self._stop(host, uid, report.offer.attempt, "unknown to its placer")
        for place in [p for p in self._stops if p[0] == host and p[1] not in reports]:
            del self._stops[place]

    def _find(self, now: float, entry: Entry, report: wire.TaskReport) -> None:
        """A task of an earlier life of this placer: it is this one's from now on."""
        offer, ref = report.offer, report.offer.job
        cls = self.cluster.class_numbers.get(offer.cls)
        if cls is None:
            fields = {"task": offer.task, "machine": entry.name, "class": offer.cls}
            self._intents.append(LogLine("warning", "found task of an unknown class", fields))
            return
        job = self._jobs.get((ref.namespace, ref.name))
        if job is not None and job.uid != ref.uid:
            # Its owner has asked anew meanwhile. The old copy takes the place of a task that was not sent.
            twin = job.tasks.get(ref.index)
            if twin is None or not twin.waits or twin.attempts:
                self._stop(entry.name, offer.task, offer.attempt, "asked for anew")
                return
            self._withdraw(now, twin)
            job.remove(twin)
        if job is None:
            job = self._found_job(now, offer, cls)
        # It has no answer of this life: its owner may have had one of the life before.
        task = Task(job, ref.index, offer.task, self._number(), now, math.inf, S.PLACED)
        task.found = task.handed_over = True
        job.add(task)
        job.next_index = max(job.next_index, ref.index + 1)
        self._tasks[task.uid] = task
        self._numbers[task.number] = task
        self._adopt(now, task, entry, offer.attempt, report.phase == "running")

    def _found_job(self, now: float, offer: wire.Offer, cls: int) -> Job:
        job = job_of(self.cluster, cls, offer, now)
        self.store.create(JOBS, job.key, job.render())
        self._jobs[job.key] = job
        if job.token:
            self._tokens[job.namespace, job.token] = job
        return job

    def _stray(self, now: float, host: str, uid: str, wire_number: int) -> None:
        """A machine holds a copy that was given up, or that nobody here knows."""
        task = self._tasks.get(uid)
        if task is None:
            self._stop(host, uid, wire_number, "no longer wanted")
            return
        given_up = task.attempt(wire_number)
        out = task.open_attempt
        verdict = judge(
            self._class(task).idempotency,
            task.answer,
            attempt_out=out is not None and not out.placed,
            placed=(out is not None and out.placed) or task.state in (S.ENDED, S.LOST),
            wanted=not task.withdrawn,
            given_up_ms=now - (given_up.ended_at if given_up and given_up.ended_at is not None else now),
            recheck_ms=self.cluster.settings.orphan_check_ms,
        )
        entry = self.directory.entries.get(host)
        if verdict is Verdict.STOP or entry is None:
            self._stop(host, uid, wire_number, "given up")
        elif verdict is Verdict.WAIT:
            task.stray = host, wire_number
        else:
            self._feed(now, TaskWithdrawn(task.number))
            self._renumber(task)
            self._adopt(now, task, entry, wire_number, running=True)

    def _renumber(self, task: Task) -> None:
        """A task that is handed to the decisions again has a new id there."""
        self._numbers.pop(task.number, None)
        task.number = self._number()
        self._numbers[task.number] = task

    def _adopt(self, now: float, task: Task, entry: Entry, wire_number: int, running: bool) -> None:
        """A copy that runs becomes the placed task; the decisions count it as found."""
        cls = task.job.cls
        service = service_number(task.job.namespace, task.job.spec["service"])
        spec = task.job.spec
        attempt = task.attempt(wire_number)
        if attempt is None:
            attempt = Attempt(task, 0, wire_number, entry.name, entry.number, now, math.inf, sent_at=now)
            task.attempts.append(attempt)
        elif not attempt.open:
            attempt.message = f"{attempt.end}, then found to run"
        attempt.number, attempt.placed, attempt.ended_at, attempt.end = 0, True, None, ""
        self._finished.pop(task.job.key, None)
        entry.tasks += 1
        task.host = entry.name
        if task.state is not S.PLACED:
            task.found = not task.waits
            self._answered(now, task, S.PLACED)
        if running:
            task.move(now, S.RUNNING)
        self._showing.job(task.job)
        self._log_task("info", "task found", task, machine=entry.name, attempt=wire_number)
        found = TaskFound(task.number, cls, service, spec["cores"], spec["memory"], entry.number)
        self._feed(now, found)

    # ---- Ends of attempts and tasks -------------------------------------------------------------------

    def _placed(self, now: float, attempt: Attempt, running: bool) -> None:
        """A machine has taken the task, or runs it. Both may be told more than once."""
        task = attempt.task
        if not attempt.placed and (task.withdrawn or not task.waits):
            # Answered while it was out: whatever the machine holds now is a copy that was given up.
            self._close(now, attempt, AttemptOutcome.CANCELLED, end="given up", task_over=True)
            self._stray(now, attempt.host, task.uid, attempt.wire)
        elif not attempt.placed:
            attempt.placed = True
            self.levelling.offer_closed(now, task, AttemptOutcome.ENDED, OutcomeReason.UNSPECIFIED)
            attempt.sent_at = attempt.sent_at if attempt.sent_at is not None else now
            entry = self.directory.entries.get(attempt.host)
            if entry is not None:
                entry.tasks += 1
            task.host = attempt.host
            self._feed(
                now, TaskPlaced(task.number, attempt.number, attempt.machine, now - attempt.decided_at)
            )
            self._answered(now, task, S.PLACED)
            self._log_task("debug", "task placed", task, machine=attempt.host, attempt=attempt.wire)
            if task.stray is not None:
                host, wire_number = task.stray
                task.stray = None
                self._stop(host, task.uid, wire_number, "placed elsewhere")
            if running:
                task.move(now, S.RUNNING)
        elif running and task.state is S.PLACED:
            task.move(now, S.RUNNING)
            note = TaskStatusReported(task.number, attempt.number, attempt.machine, StatusTopic.RUNNING, 1.0)
            self._feed(now, note)
        self._showing.job(task.job)

    def _over(
        self,
        now: float,
        attempt: Attempt,
        cause: wire.GoneCause,
        exit_code: int | None = None,
        message: str = "",
        cpu_s: float | None = None,
    ) -> None:
        """A placed task is over."""
        task = attempt.task
        end, reason, lost = ENDS[cause]
        entry = self.directory.entries.get(attempt.host)
        if entry is not None:
            entry.tasks -= 1
        if task.reason == "MOVED":
            lost = "MOVED"
        task.exit_code, task.cpu_s = exit_code, cpu_s
        if not task.withdrawn:
            if lost:
                task.reason = lost
            task.move(now, S.LOST if lost else S.ENDED)
            level: Literal["debug", "info"] = "info" if lost else "debug"
            self._log_task(level, f"task {task.state.value.lower()}", task, machine=attempt.host, reason=lost)
        self._close(now, attempt, end, reason, end=cause, message=message, task_over=True)
        self._drop(task)
        self._check_finished(now, task.job)

    def _close(
        self,
        now: float,
        attempt: Attempt,
        how: AttemptOutcome,
        reason: OutcomeReason = OutcomeReason.UNSPECIFIED,
        *,
        end: str,
        why: str = "",
        message: str = "",
        task_over: bool = False,
    ) -> None:
        """Ends an attempt, once, and tells the decisions."""
        task = attempt.task
        attempt.ended_at, attempt.end, attempt.reason, attempt.message = now, end, why, message
        if not attempt.placed:
            self.levelling.offer_closed(now, task, how, reason)
            self._log_task(
                "debug", f"attempt {end}", task, machine=attempt.host, attempt=attempt.wire, reason=why
            )
        may_run = attempt.sent_at is not None and not attempt.placed and how not in NOT_EXECUTED
        if may_run and how is not AttemptOutcome.ERROR:
            self._intents.append(AbandonOffer(attempt.host, task.uid, attempt.wire))
            if self._class(task).idempotency is Idempotency.IDEMPOTENT or task.withdrawn:
                self._stop(attempt.host, task.uid, attempt.wire, "given up")
        stray, task.stray = task.stray, None
        found = None
        if stray is not None and task.waits and not task.withdrawn:
            found = self.directory.entries.get(stray[0])
        over = task_over or task.withdrawn or not task.waits or found is not None
        if not over:
            task.move(now, S.PENDING)
        self._showing.job(task.job)
        took = now - (attempt.sent_at if attempt.sent_at is not None else attempt.decided_at)
        closed = AttemptClosed(task.number, attempt.number, attempt.machine, how, reason, over, took)
        self._feed(now, closed)
        if found is not None and stray is not None:
            # A copy turned up while this attempt was out. It is taken before the decisions try elsewhere.
            self._renumber(task)
            self._adopt(now, task, found, stray[1], running=True)
        elif stray is not None:
            self._stop(stray[0], task.uid, stray[1], "given up")
        if task.withdrawn:
            self._drop(task)

    def _answered(self, now: float, task: Task, state: TaskState) -> None:
        if task.waits:
            self._open_tasks -= 1
            self.levelling.answered(now, task, state)
        task.move(now, state)
        self._showing.answered(task.job)

    def _check_finished(self, now: float, job: Job) -> None:
        if job.deleted or job.phase is not Phase.FINISHED:
            return
        job.finished_at = now
        self._finished[job.key] = None
        self._finished.move_to_end(job.key)
        while len(self._finished) > self.limits.finished_jobs:
            key = next(iter(self._finished))
            oldest = self._jobs[key]
            self._showing.show_last(oldest)
            oldest.deleted = True
            for task in list(oldest.tasks.values()):
                self._drop(task)
            self._forget_job(oldest)
            self.store.delete(JOBS, key)

    def _stop(self, host: str, uid: str, wire_number: int, why: str) -> None:
        """Have a machine stop a task, until it says that it has heard."""
        self._stops[host, uid] = wire_number
        self._intents.append(self._stop_intent(host, uid, wire_number, why))

    def _stop_intent(self, host: str, uid: str, wire_number: int, why: str = "") -> SendStop:
        return SendStop(host, wire.StopRequest(self.name, uid, wire_number, why))

    # ---- The decisions --------------------------------------------------------------------------------

    def _feed(self, now: float, event: SchedulerEvent) -> None:
        """Hands an event to the decisions and carries out what they answer.

        An action that is known to fail at once is an event itself: it waits its turn, so that the decisions
        are never called from within their own answer.
        """
        self._events.append(event)
        if self._feeding:
            return
        self._feeding = True
        began = self._stopwatch()
        try:
            while self._events:
                for action in self._scheduler.handle(now, self._events.popleft()):
                    self._act(now, action)
        finally:
            self._feeding = False
            self.levelling.sight.busy_ms += self._stopwatch() - began

    def _act(self, now: float, action: SchedulerAction) -> None:
        match action:
            case Bind():
                self._bind(now, action)
            case SetTimer(at, token):
                self._timers.set(at, lambda then: self._feed(then, TimerFired(token)))
            case Reject(number, wait_ms):
                self._final(now, number, S.REFUSED, wait_ms)
            case Fail(number):
                self._final(now, number, S.FAILED, 0.0)
            case CancelAttempt(number, attempt_number):
                self._cancel(now, number, attempt_number)
            case Migrate(number):
                self._move(number)
            case CheckHealth(machine):
                if (entry := self.directory.by_number.get(machine)) is not None:
                    self._intents.append(SendProbe(entry.name))
            case LogMachineEjected():
                self._intents.append(self._ejection_line(action))
            case Subscribe() | FetchEndpointList():
                pass  # the list is pushed

    def _bind(self, now: float, bind: Bind) -> None:
        task = self._numbers[bind.task]
        entry = self.directory.by_number[bind.machine]
        number = len(task.attempts)
        due, latest = now + bind.timeout_ms, now + bind.send_within_ms
        attempt = Attempt(task, number, number, entry.name, bind.machine, now, due, latest)
        task.attempts.append(attempt)
        task.move(now, S.PLACING)
        self._showing.job(task.job)
        self._timers.set(attempt.timeout_at, lambda then: self._timed_out(then, attempt))
        self._intents.append(SendOffer(entry.name, make_offer(self.cluster, task, attempt)))

    def _final(self, now: float, number: TaskId, state: TaskState, wait_ms: float) -> None:
        task = self._numbers.get(number)
        if task is None or task.withdrawn or not task.waits:
            return
        last = next((a for a in reversed(task.attempts) if a.end), None)
        if task.attempts and last is None:
            task.reason = "NO_ANSWER"
        elif last is None:
            task.reason = "NO_MACHINE"
        else:
            task.reason = last.reason or last.end.upper().replace(" ", "_")
        task.retry_after_ms = wait_ms
        self._answered(now, task, state)
        self._log_task("info", f"task {state.value.lower()}", task, reason=task.reason)
        self._check_finished(now, task.job)
        if task.open_attempt is None and not self._may_turn_up(task):
            self._drop(task)
        else:
            self._timers.set(
                now + self.cluster.settings.orphan_check_ms, lambda then: self._settle(then, task)
            )

    def _may_turn_up(self, task: Task) -> bool:
        return any(attempt.sent_at is not None for attempt in task.attempts)

    def _settle(self, now: float, task: Task) -> None:
        """The time in which a failed task may turn out to run is over: its owner may ask for it anew."""
        if task.state in (S.REFUSED, S.FAILED):
            for attempt in task.attempts:
                if attempt.sent_at is not None and attempt.end not in PROVEN:
                    self._stop(attempt.host, task.uid, attempt.wire, "given up")
            self._drop(task)

    def _cancel(self, now: float, number: TaskId, attempt_number: int) -> None:
        task = self._numbers.get(number)
        if task is None:
            return
        for attempt in task.attempts:
            if attempt.open and not attempt.placed and attempt.number == attempt_number:
                self._close(now, attempt, AttemptOutcome.CANCELLED, end="given up", task_over=not task.waits)

    def _move(self, number: TaskId) -> None:
        task = self._numbers.get(number)
        attempt = None if task is None else task.open_attempt
        if task is not None and attempt is not None and attempt.placed:
            task.reason = "MOVED"
            self._stop(attempt.host, task.uid, attempt.wire, "moved")

    def _note(self, now: float, host: str, note: wire.Note) -> None:
        task = self._tasks.get(note.task)
        attempt = None if task is None else task.attempt(note.attempt)
        if task is not None and attempt is not None and attempt.placed and attempt.host == host:
            topic = TOPICS[note.topic]
            if topic is StatusTopic.SERVICE and not self.levelling.measures.migration_allowed:
                return  # what fares badly is not moved at this level: the decisions are not told of it
            self._feed(
                now, TaskStatusReported(task.number, attempt.number, attempt.machine, topic, note.value)
            )

    def _class(self, task: Task) -> TaskClass:
        return self.cluster.settings.classes[task.job.cls]

    def _ejection_line(self, ejected: LogMachineEjected) -> LogLine:
        """Log line of an ejection, with the machine's name for its number."""
        entry = self.directory.by_number.get(ejected.machine)
        name = entry.name if entry is not None else f"{ejected.machine:x}"
        fields = {
            "machine": name,
            "scope": ejected.scope,
            "cause": ejected.cause,
            "ejection_ms": ejected.ejection_ms,
        }
        return LogLine("info", "machine ejected", fields)

    def _log_task(self, level: Literal["debug", "info"], event: str, task: Task, **more: Any) -> None:
        if level == "debug" and not self.verbose:
            return
        job = task.job
        fields = {"job": f"{job.namespace}/{job.name}", "task": task.uid, "class": job.spec["class"], **more}
        self._intents.append(LogLine(level, event, fields))

    # ---- Time -----------------------------------------------------------------------------------------

    def next_timer(self) -> float:
        """When `advance` is to be called next."""
        if self._arrivals:
            return -math.inf
        shown_at = self._showing.due_at(self.levelling.measures.publish_interval_ms)
        return min(self._timers.next(), self._check_at, shown_at)

    def advance(self, now: float) -> None:
        """Does what is due by now: timers in their order, machines that fell silent, tasks that came in."""
        self._timers.run(now)
        if now >= self._check_at:
            self._check_at = now + CHECK_MS
            self._machines_changed(now, self.directory.advance(now))
            self._showing.drift(now, self.levelling.measures.background_interval_factor)
            open_share = self._open_tasks / self.limits.open_tasks
            self._intents += self.levelling.look(now, self.directory, open_share)
        self._take_arrivals(now)
        self._pump(now)

    def _take_arrivals(self, now: float) -> None:
        """Some of the tasks that came in: a job of a thousand must not hold up everything else."""
        handed = 0
        while self._arrivals and handed < ARRIVALS_A_TURN:
            handed += self._hand_over(now, self._arrivals.pop())

    def _hand_over(self, now: float, task: Task) -> bool:
        """Gives a task to the decisions; False where they have it already or it is no longer wanted."""
        if task.handed_over:
            return False
        task.handed_over = True
        self._pending -= 1
        spec = task.job.spec
        service = service_number(task.job.namespace, spec["service"])
        left = self.levelling.governor.attempt_time_ms(task.job.cls, max(0.0, task.deadline - now))
        arrived = TaskArrived(task.number, task.job.cls, service, spec["cores"], spec["memory"], left)
        self._feed(now, arrived)
        return True

    def _hand_over_late(self, now: float, job: Job) -> None:
        """The time of a job's tasks is up; the decisions refuse those that they had not seen yet."""
        for task in list(job.tasks.values()):
            if task.waits:
                self._hand_over(now, task)

    def _pump(self, now: float) -> None:
        if self.directory.list_due(now):
            self._tell_list(now)

    # ---- What owners see ------------------------------------------------------------------------------

    def flush(self, now: float) -> None:
        """Brings all changes since the last call to the store."""
        self._showing.flush(now)

    def show_due(self, now: float) -> None:
        """As `flush`, no more often than the present level of service has it."""
        self._showing.flush_due(now, self.levelling.measures.publish_interval_ms)

    def take_intents(self) -> list[Intent]:
        intents, self._intents = self._intents, []
        return intents
