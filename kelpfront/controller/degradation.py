"""Connects the controller to the levels of reduced service: reports events and publishes the level.

`kelpfront.degradation` decides which level applies and what is accepted at it. This module does no I/O.
"""

from __future__ import annotations

import math
import statistics
from dataclasses import dataclass
from typing import Any

from kelpfront.api.errors import ApiError, Cause
from kelpfront.api.jobs import TaskState
from kelpfront.api.machines import State
from kelpfront.api.meta import API_VERSION, JOBS, LEVELS, Object
from kelpfront.clock import timestamp
from kelpfront.controller.cluster import Cluster
from kelpfront.controller.intents import LogLine
from kelpfront.controller.machine_registry import MachineRegistry
from kelpfront.controller.tasks import Job, Task
from kelpfront.degradation import (
    AdmissionRequest,
    AnsweredTask,
    CapacityView,
    DegradationController,
    Level,
    LevelChange,
    LevelPolicy,
    LevelSettings,
    OverloadObservation,
)
from kelpfront.degradation.explain import (
    describe_active_signals,
    describe_exit_conditions,
    describe_restrictions,
)
from kelpfront.degradation.model import LEVEL_DESCRIPTIONS
from kelpfront.degradation.thresholds import OVERDUE_HEARTBEATS
from kelpfront.scheduling.events import AttemptOutcome, OutcomeReason
from kelpfront.store import ResourceStore
from kelpfront.units import format_duration

PUBLISH_PERIOD_MS = 2_000.0
"""Minimum time between updates of the Level object that only refresh its figures."""
PUBLISHED_CHANGES = 20
"""Number of the most recent level changes that the Level object shows."""
NO_CAPACITY = frozenset({OutcomeReason.NO_CORES, OutcomeReason.NO_MEMORY, OutcomeReason.QUEUE_FULL})
"""Reasons of a rejected offer that mean that the machine is full."""


@dataclass(slots=True)
class _RoomCores:
    """Cores of the machines in one room.

    Attributes:
        known: cores of all machines that have connected at least once.
        ready: cores of the machines that are ready.
        overdue: cores of the ready machines whose heartbeat is late.
    """

    known: float = 0.0
    ready: float = 0.0
    overdue: float = 0.0


class ProcessLoad:
    """The load of this process since the last observation.

    Attributes:
        lag_ms: the largest delay of a timer.
        busy_ms: the time spent in the scheduler.
        memory_share: the memory in use, as a share of the limit.
    """

    def __init__(self) -> None:
        self.lag_ms = 0.0
        self.busy_ms = 0.0
        self.memory_share = 0.0
        self._observed_at: float | None = None

    def record_timer_lag(self, lag_ms: float) -> None:
        """Record that a timer fired `lag_ms` late."""
        self.lag_ms = max(self.lag_ms, lag_ms)

    def observe(
        self, now: float, registry: MachineRegistry, open_share: float, mean_cores: float
    ) -> OverloadObservation:
        """Return what was observed since the last call.

        Args:
            now: the current time.
            registry: the machines.
            open_share: the number of tasks without an answer, as a share of the limit.
            mean_cores: the mean number of cores that a task requests.
        """
        span_ms = 0.0 if self._observed_at is None else now - self._observed_at
        busy_share = min(1.0, self.busy_ms / span_ms) if span_ms > 0 else 0.0
        rooms: dict[str, _RoomCores] = {}
        heartbeat_ages_ms: list[float] = []
        free_cores = 0.0
        for entry in registry.entries.values():
            if not entry.boot or entry.removed:
                continue  # neither a machine that never connected nor a removed one counts as lost capacity
            room = rooms.setdefault(entry.host.room, _RoomCores())
            room.known += entry.host.cores
            if entry.state is State.READY:
                room.ready += entry.host.cores
                free_cores += 0.0 if entry.load is None else max(0.0, entry.load.free_cores)
                age_ms = now - entry.last_contact_at
                heartbeat_ages_ms.append(age_ms)
                if age_ms > OVERDUE_HEARTBEATS * entry.heartbeat_ms:
                    room.overdue += entry.host.cores
        observed = OverloadObservation(
            {name: CapacityView(room.known, room.ready, room.overdue) for name, room in rooms.items()},
            statistics.median(heartbeat_ages_ms) if heartbeat_ages_ms else 0.0,
            self.lag_ms,
            busy_share,
            open_share,
            self.memory_share,
            free_cores / mean_cores,
        )
        self.lag_ms = 0.0
        self.busy_ms = 0.0
        self._observed_at = now
        return observed


class DegradationReporter:
    """Reports events to the degradation levels of one controller and publishes its Level object.

    The object has the controller's name.

    Attributes:
        degradation_controller: decides which level applies and what is accepted at it.
        process_load: the load of this process.
    """

    def __init__(
        self, cluster: Cluster, store: ResourceStore, name: str, settings: LevelSettings, seed: int
    ) -> None:
        self.degradation_controller = DegradationController(settings, cluster.settings.classes, seed)
        self.process_load = ProcessLoad()
        self._classes = cluster.settings.classes
        self._mean_cores = cluster.settings.mean_cores
        self._store = store
        self._name = name
        self._created_at = 0.0
        self._published_at = -math.inf
        self._generation = 1
        self._pin: Object | None = None
        self._pin_until = 0.0

    @property
    def level(self) -> Level:
        """The level that applies now."""
        return self.degradation_controller.level

    @property
    def policy(self) -> LevelPolicy:
        """The policy of the current level: what is done less often or not at all."""
        return self.degradation_controller.policy

    # ---- Jobs and tasks -------------------------------------------------------------------------------

    def check_admission(self, now: float, request: AdmissionRequest, name: str) -> None:
        """Check that a job is accepted at the current level.

        Raises:
            ApiError: 429; no part of the job was stored or sent.
        """
        rejection = self.degradation_controller.decide_admission(now, request)
        if rejection is not None:
            cause = Cause(f"level:{self.level.api_name}", rejection.text, rejection.reason.value)
            raise ApiError(
                429,
                rejection.text,
                resource=JOBS,
                name=name,
                causes=(cause,),
                retry_after_s=max(1, math.ceil(rejection.retry_ms / 1000.0)),
            )

    def on_accepted(self, job: Job, count: int) -> None:
        """Record that `count` tasks of a job were accepted and need an answer."""
        self.degradation_controller.on_admitted(job.class_index, job.namespace, count)

    def on_withdrawn(self, job: Job) -> None:
        """Record that an unanswered task of the job was withdrawn."""
        self.degradation_controller.on_withdrawn(job.class_index, job.namespace)

    def on_rejected_early(self, now: float, count: int) -> None:
        """Record tasks that were rejected before admission; they still count as demand."""
        self.degradation_controller.on_rejected_before_admission(now, count)

    def on_answered(self, now: float, task: Task, state: TaskState) -> None:
        """Record that a task was answered."""
        job = task.job
        if not job.feasible:  # the refusal of a task that fits no machine is no sign of overload
            self.degradation_controller.on_withdrawn(job.class_index, job.namespace)
            return
        record = (
            self.degradation_controller.on_placed
            if state is TaskState.PLACED
            else self.degradation_controller.on_not_placed
        )
        record(now, AnsweredTask(job.class_index, job.namespace, now - task.created_at, job.timeout_ms))

    def on_offer_closed(self, now: float, task: Task, outcome: AttemptOutcome, reason: OutcomeReason) -> None:
        """Record that an offer was accepted, or that its attempt ended without acceptance."""
        if outcome in (AttemptOutcome.REJECTED, AttemptOutcome.ENDED):
            rejected_as_full = outcome is AttemptOutcome.REJECTED and reason in NO_CAPACITY
            self.degradation_controller.on_offer_answered(
                now, task.job.class_index, rejected_as_full=rejected_as_full
            )

    def priority_rank(self, task: Task) -> int:
        """Return the priority rank of a task's class; the most important class ranks first."""
        return self.degradation_controller.priority_order.rank_of_class[task.job.class_index]

    def client_weight(self, namespace: str) -> float:
        """Return the fair-queueing weight of a namespace."""
        return self.degradation_controller.load_shedder.owners.weight(namespace)

    def placement_time_ms(self, task: Task, remaining_ms: float) -> float:
        """Return how long the scheduler may try to place a task.

        At reduced levels this is shorter than the remaining time, which limits the number of attempts.
        """
        return self.degradation_controller.attempt_time_ms(task.job.class_index, remaining_ms)

    # ---- Levels ---------------------------------------------------------------------------------------

    def observe(self, now: float, registry: MachineRegistry, open_share: float) -> list[LogLine]:
        """Evaluate the load, publish the level when due, and return log lines of a level change."""
        change = self.degradation_controller.observe(
            now, self.process_load.observe(now, registry, open_share, self._mean_cores)
        )
        if self._pin is not None and self.degradation_controller.active_pin is None:
            self._pin = None
            self._generation += 1
            self._published_at = -math.inf
        if (
            change is not None
            or now >= self._published_at + PUBLISH_PERIOD_MS * self.policy.background_interval_factor
        ):
            self.publish(now)
        return [] if change is None else [self._log_line(change)]

    def pin(self, now: float, level: Level | None, for_ms: float) -> list[LogLine]:
        """Pin a level for an operator, or unpin it if `level` is None; return log lines of a level change."""
        change = self.degradation_controller.pin(now, level, for_ms)
        self._pin = None if level is None else {"level": level.api_name, "for": format_duration(for_ms)}
        self._pin_until = now + for_ms
        self._generation += 1
        self.publish(now)
        return [] if change is None else [self._log_line(change)]

    def _log_line(self, change: LevelChange) -> LogLine:
        raised = change.after > change.before
        fields: dict[str, Any] = {
            "before": change.before.api_name,
            "after": change.after.api_name,
            "why": change.reason,
            "symptoms": {
                name: round(value, 3) for name, value in self.degradation_controller.readings.items()
            },
        }
        return LogLine("warning" if raised else "info", "level changed", fields)

    # ---- The API --------------------------------------------------------------------------------------

    def publish(self, now: float) -> None:
        """Write the Level object to the store."""
        if self._published_at == -math.inf and not self._created_at:
            self._created_at = now
        self._published_at = now
        key = "", self._name
        if self._store.find(LEVELS, key) is None:
            self._store.create(LEVELS, key, self.to_api(now))
        else:
            self._store.update(LEVELS, key, self.to_api(now))

    def to_api(self, now: float) -> Object:
        """Return the Level object as the API shows it."""
        return {
            "apiVersion": API_VERSION,
            "kind": "Level",
            "metadata": {
                "name": self._name,
                "uid": f"level-{self._name}",
                "resourceVersion": "",
                "generation": self._generation,
                "creationTimestamp": timestamp(self._created_at)[:19] + "Z",
            },
            "spec": {} if self._pin is None else {"pin": self._pin},
            "status": self._status(now),
        }

    def _status(self, now: float) -> Object:
        controller = self.degradation_controller
        state_machine = controller.state_machine
        level = controller.level
        changes = list(state_machine.changes)[-PUBLISHED_CHANGES:]
        status: Object = {
            "level": level.api_name,
            "since": self._timestamp(now, state_machine.entered_at),
            "meaning": LEVEL_DESCRIPTIONS[level],
            "why": changes[-1].reason if changes else "the placer has started",
            "givenUp": describe_restrictions(controller),
            "leavesWhen": describe_exit_conditions(controller),
            "calls": describe_active_signals(controller),
            "symptoms": {name: round(value, 3) for name, value in controller.readings.items()},
            "classes": self._class_statuses(),
            "turnedAway": dict(controller.rejections_by_reason),
            "changes": [self._change_status(now, change) for change in changes],
            "changesInHour": state_machine.changes_in_last_hour,
            "changesMost": state_machine.max_changes_per_hour,
        }
        if self._pin is not None:
            status["pinnedUntil"] = timestamp(self._pin_until)
        return status

    def _timestamp(self, now: float, at: float) -> str:
        """Return the timestamp of a time on the degradation controller's clock of elapsed milliseconds."""
        return timestamp(now - (self.degradation_controller.elapsed_ms - at))

    def _class_statuses(self) -> list[Object]:
        controller = self.degradation_controller
        placement_rate = controller.signals.placement_rate(controller.elapsed_ms)
        classes = []
        for number, cls in enumerate(self._classes):
            rank = controller.priority_order.rank_of_class[number]
            status: Object = {
                "name": cls.name,
                "rank": rank,
                "essential": controller.priority_order.is_essential(number),
                "waiting": controller.backlog.count_of_class(number),
            }
            if controller.level is not Level.FULL:
                status["places"] = math.ceil(controller.load_shedder.queue_limit(rank, placement_rate))
            classes.append(status)
        return classes

    def _change_status(self, now: float, change: LevelChange) -> Object:
        return {
            "at": self._timestamp(now, change.at_ms),
            "before": change.before.api_name,
            "after": change.after.api_name,
            "why": change.reason,
            "evidence": [
                {"symptom": reading.signal, "value": round(reading.value, 4), "bound": reading.threshold}
                for reading in change.evidence
            ],
        }
