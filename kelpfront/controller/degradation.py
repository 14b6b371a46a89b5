"""Connects the controller with the levels of reduced service: reports what happens, and publishes the level.

It decides nothing: which level applies and what is accepted at it is left to `kelpfront.degradation`.
No I/O.
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
"""Between changes of the object that only renew its figures."""
PUBLISHED_CHANGES = 20
"""How many of the last changes of level the object shows."""
NO_CAPACITY = frozenset({OutcomeReason.NO_CORES, OutcomeReason.NO_MEMORY, OutcomeReason.QUEUE_FULL})
"""Reasons of a rejected offer which say that the machine is full."""


@dataclass(slots=True)
class _RoomCores:
    """Cores of the machines of one room: all, those in reach, and of these those with a late heartbeat."""

    known: float = 0.0
    ready: float = 0.0
    overdue: float = 0.0


class ProcessLoad:
    """What the process tells of its own load, between two observations.

    Attributes:
        lag_ms: by how much a timer was late at the worst.
        busy_ms: how long the scheduler was at work.
        memory_share: the memory in use, as a share of what is allowed.
    """

    def __init__(self) -> None:
        self.lag_ms = 0.0
        self.busy_ms = 0.0
        self.memory_share = 0.0
        self._observed_at: float | None = None

    def record_timer_lag(self, lag_ms: float) -> None:
        """A timer was late by so much."""
        self.lag_ms = max(self.lag_ms, lag_ms)

    def observe(
        self, now: float, registry: MachineRegistry, open_share: float, mean_cores: float
    ) -> OverloadObservation:
        """Return what was observed since the last call.

        Args:
            now: the present.
            registry: the machines.
            open_share: tasks without an answer, as a share of the limit.
            mean_cores: what a task requests in the mean.
        """
        span_ms = 0.0 if self._observed_at is None else now - self._observed_at
        busy_share = min(1.0, self.busy_ms / span_ms) if span_ms > 0 else 0.0
        rooms: dict[str, _RoomCores] = {}
        heartbeat_ages_ms: list[float] = []
        free_cores = 0.0
        for entry in registry.entries.values():
            if not entry.boot or entry.removed:
                continue  # what was never in contact is not lost, what was taken out is not missed
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
    """The levels of one controller; their object in the API has the controller's name.

    Attributes:
        governor: decides which level applies and what is accepted at it.
        process_load: the load of the process itself.
    """

    def __init__(
        self, cluster: Cluster, store: ResourceStore, name: str, settings: LevelSettings, seed: int
    ) -> None:
        self.governor = DegradationController(settings, cluster.settings.classes, seed)
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
        return self.governor.level

    @property
    def measures(self) -> LevelPolicy:
        """What is done less often, or not at all, at this level."""
        return self.governor.policy

    # ---- Work -----------------------------------------------------------------------------------------

    def check_admission(self, now: float, request: AdmissionRequest, name: str) -> None:
        """Check that a job is accepted at the present level.

        Raises:
            ApiError: 429; nothing of the job went anywhere.
        """
        rejection = self.governor.decide_admission(now, request)
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
        """So many tasks of a job need their answer from now on."""
        self.governor.on_admitted(job.class_index, job.namespace, count)

    def on_withdrawn(self, job: Job) -> None:
        """A task of the job that had no answer needs none any more."""
        self.governor.on_withdrawn(job.class_index, job.namespace)

    def on_rejected_early(self, now: float, count: int) -> None:
        """Tasks were rejected before they were checked: still a sign of what is wanted."""
        self.governor.on_rejected_elsewhere(now, count)

    def on_answered(self, now: float, task: Task, state: TaskState) -> None:
        """A task has its answer."""
        job = task.job
        if not job.feasible:  # its refusal says nothing of the cluster
            self.governor.on_withdrawn(job.class_index, job.namespace)
            return
        record = self.governor.on_placed if state is TaskState.PLACED else self.governor.on_not_placed
        record(now, AnsweredTask(job.class_index, job.namespace, now - task.created_at, job.timeout_ms))

    def on_offer_closed(self, now: float, task: Task, how: AttemptOutcome, reason: OutcomeReason) -> None:
        """An offer was accepted, or its attempt ended."""
        if how in (AttemptOutcome.REJECTED, AttemptOutcome.ENDED):
            full = how is AttemptOutcome.REJECTED and reason in NO_CAPACITY
            self.governor.on_offer_answered(now, task.job.class_index, rejected_as_full=full)

    def priority_rank(self, task: Task) -> int:
        """Return the rank of a task's class, the most important first."""
        return self.governor.priority_order.rank_of_class[task.job.class_index]

    def client_weight(self, namespace: str) -> float:
        """Return the share of a namespace in what is handed to the scheduler."""
        return self.governor.load_shedder.owners.weight(namespace)

    def placement_time_ms(self, task: Task, remaining_ms: float) -> float:
        """Return how long a task is tried: at reduced levels less than remains, for fewer attempts."""
        return self.governor.attempt_time_ms(task.job.class_index, remaining_ms)

    # ---- Levels ---------------------------------------------------------------------------------------

    def observe(self, now: float, registry: MachineRegistry, open_share: float) -> list[LogLine]:
        """Evaluate what is observed, and return log lines of what changed."""
        change = self.governor.observe(
            now, self.process_load.observe(now, registry, open_share, self._mean_cores)
        )
        if self._pin is not None and self.governor.active_pin is None:
            self._pin = None
            self._generation += 1
            self._published_at = -math.inf
        if (
            change is not None
            or now >= self._published_at + PUBLISH_PERIOD_MS * self.measures.background_interval_factor
        ):
            self.publish(now)
        return [] if change is None else [self._line(change)]

    def pin(self, now: float, level: Level | None, for_ms: float) -> list[LogLine]:
        """Hold a level by an operator's word, or let go of it; return log lines of what changed."""
        change = self.governor.pin(now, level, for_ms)
        self._pin = None if level is None else {"level": level.api_name, "for": format_duration(for_ms)}
        self._pin_until = now + for_ms
        self._generation += 1
        self.publish(now)
        return [] if change is None else [self._line(change)]

    def _line(self, change: LevelChange) -> LogLine:
        raised = change.after > change.before
        fields: dict[str, Any] = {
            "before": change.before.api_name,
            "after": change.after.api_name,
            "why": change.reason,
            "symptoms": {name: round(value, 3) for name, value in self.governor.readings.items()},
        }
        return LogLine("warning" if raised else "info", "level changed", fields)

    # ---- The API --------------------------------------------------------------------------------------

    def publish(self, now: float) -> None:
        """Bring the object to the store."""
        if self._published_at == -math.inf and not self._created_at:
            self._created_at = now
        self._published_at = now
        key = "", self._name
        if self._store.find(LEVELS, key) is None:
            self._store.create(LEVELS, key, self.to_api(now))
        else:
            self._store.update(LEVELS, key, self.to_api(now))

    def to_api(self, now: float) -> Object:
        """Return the object as the API shows it."""
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
        governor = self.governor
        state_machine = governor.state_machine
        level = governor.level
        changes = list(state_machine.changes)[-PUBLISHED_CHANGES:]
        status: Object = {
            "level": level.api_name,
            "since": self._timestamp(now, state_machine.entered_at),
            "meaning": LEVEL_DESCRIPTIONS[level],
            "why": changes[-1].reason if changes else "the placer has started",
            "givenUp": describe_restrictions(governor),
            "leavesWhen": describe_exit_conditions(governor),
            "calls": describe_active_signals(governor),
            "symptoms": {name: round(value, 3) for name, value in governor.readings.items()},
            "classes": self._class_statuses(),
            "turnedAway": dict(governor.rejections_by_reason),
            "changes": [self._change_status(now, change) for change in changes],
            "changesInHour": state_machine.changes_in_last_hour,
            "changesMost": state_machine.max_changes_per_hour,
        }
        if self._pin is not None:
            status["pinnedUntil"] = timestamp(self._pin_until)
        return status

    def _timestamp(self, now: float, at: float) -> str:
        """Return a moment of the elapsed time that the levels count in."""
        return timestamp(now - (self.governor.elapsed_ms - at))

    def _class_statuses(self) -> list[Object]:
        governor = self.governor
        placement_rate = governor.signals.placement_rate(governor.elapsed_ms)
        classes = []
        for number, cls in enumerate(self._classes):
            rank = governor.priority_order.rank_of_class[number]
            status: Object = {
                "name": cls.name,
                "rank": rank,
                "essential": governor.priority_order.is_essential(number),
                "waiting": governor.backlog.count_of_class(number),
            }
            if governor.level is not Level.FULL:
                status["places"] = math.ceil(governor.load_shedder.queue_limit(rank, placement_rate))
            classes.append(status)
        return classes

    def _change_status(self, now: float, change: LevelChange) -> Object:
        return {
            "at": self._timestamp(now, change.at_ms),
            "before": change.before.api_name,
            "after": change.after.api_name,
            "why": change.reason,
            "evidence": [
                {"symptom": one.signal, "value": round(one.value, 4), "bound": one.threshold}
                for one in change.evidence
            ],
        }
