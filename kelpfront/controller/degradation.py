"""The levels of reduced service within a placer: tells the governor what happens, and shows what it says.

No I/O. It decides nothing: which level, and what is taken at it, is `kelpfront.degradation`'.
"""

from __future__ import annotations

import math
import statistics
from typing import Any

from kelpfront.api.errors import ApiError, Cause
from kelpfront.api.jobs import TaskState
from kelpfront.api.machines import State
from kelpfront.api.meta import API_VERSION, JOBS, LEVELS, Object
from kelpfront.clock import timestamp
from kelpfront.controller.cluster import Cluster
from kelpfront.controller.intents import LogLine
from kelpfront.controller.machine_registry import MachineRegistry
from kelpfront.controller.tasks import Task
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

SHOW_MS = 2_000.0  # between changes of the object that only renew its figures
FULL = frozenset({OutcomeReason.NO_CORES, OutcomeReason.NO_MEMORY, OutcomeReason.QUEUE_FULL})
CHANGES_SHOWN = 20


class Sight:
    """What the placer's own process tells of itself, between two looks."""

    def __init__(self) -> None:
        self.lag_ms = 0.0
        self.busy_ms = 0.0
        self.memory_share = 0.0
        self._looked_at: float | None = None

    def late(self, ms: float) -> None:
        """A timer was so late."""
        self.lag_ms = max(self.lag_ms, ms)

    def look(
        self, now: float, directory: MachineRegistry, open_share: float, mean_cores: float
    ) -> OverloadObservation:
        """What is seen since the last look; `mean_cores` is what a task asks for in the mean."""
        span = 0.0 if self._looked_at is None else now - self._looked_at
        busy = min(1.0, self.busy_ms / span) if span > 0 else 0.0
        rooms: dict[str, list[float]] = {}
        ages = []
        free = 0.0
        for entry in directory.entries.values():
            if not entry.boot or entry.removed:
                continue  # what was never heard is not lost, what was taken out is not missed
            room = rooms.setdefault(entry.host.room, [0.0, 0.0, 0.0])
            room[0] += entry.host.cores
            if entry.state is State.READY:
                room[1] += entry.host.cores
                free += 0.0 if entry.load is None else max(0.0, entry.load.free_cores)
                age = now - entry.heard_at
                ages.append(age)
                if age > OVERDUE_HEARTBEATS * entry.heartbeat_ms:
                    room[2] += entry.host.cores
        seen = OverloadObservation(
            {name: CapacityView(*figures) for name, figures in rooms.items()},
            statistics.median(ages) if ages else 0.0,
            self.lag_ms,
            busy,
            open_share,
            self.memory_share,
            free / mean_cores,
        )
        self.lag_ms, self.busy_ms, self._looked_at = 0.0, 0.0, now
        return seen


class DegradationReporter:
    """Of one placer; its object is named as the placer is."""

    def __init__(
        self, cluster: Cluster, store: ResourceStore, name: str, settings: LevelSettings, seed: int
    ) -> None:
        self.governor = DegradationController(settings, cluster.settings.classes, seed)
        self.sight = Sight()
        self._classes = cluster.settings.classes
        self._mean_cores = cluster.settings.mean_cores
        self._store, self._name = store, name
        self._created_at = 0.0
        self._shown_at = -math.inf
        self._generation = 1
        self._pin: Object | None = None
        self._pin_until = 0.0

    @property
    def level(self) -> Level:
        return self.governor.level

    @property
    def measures(self) -> LevelPolicy:
        return self.governor.policy

    # ---- Work -----------------------------------------------------------------------------------------

    def weigh(self, now: float, ask: AdmissionRequest, name: str) -> None:
        """ApiError 429 where a job is not taken at the present level: nothing of it went anywhere."""
        turned = self.governor.decide_admission(now, ask)
        if turned is not None:
            cause = Cause(f"level:{self.level.api_name}", turned.text, turned.reason.value)
            raise ApiError(
                429,
                turned.text,
                resource=JOBS,
                name=name,
                causes=(cause,),
                retry_after_s=max(1, math.ceil(turned.retry_ms / 1000.0)),
            )

    def answered(self, now: float, task: Task, state: TaskState) -> None:
        job = task.job
        if not job.possible:  # its refusal says nothing of the cluster
            self.governor.on_withdrawn(job.cls, job.namespace)
            return
        tell = self.governor.on_placed if state is TaskState.PLACED else self.governor.on_not_placed
        tell(now, AnsweredTask(job.cls, job.namespace, now - task.created_at, job.patience_ms))

    def rank(self, task: Task) -> int:
        return self.governor.priority_order.rank_of_class[task.job.cls]

    def offer_closed(self, now: float, task: Task, how: AttemptOutcome, reason: OutcomeReason) -> None:
        if how in (AttemptOutcome.REJECTED, AttemptOutcome.ENDED):
            full = how is AttemptOutcome.REJECTED and reason in FULL
            self.governor.on_offer_answered(now, task.job.cls, rejected_as_full=full)

    # ---- Looks ----------------------------------------------------------------------------------------

    def look(self, now: float, directory: MachineRegistry, open_share: float) -> list[LogLine]:
        """Weighs what is seen; the lines say what changed."""
        change = self.governor.observe(now, self.sight.look(now, directory, open_share, self._mean_cores))
        if self._pin is not None and self.governor.active_pin is None:
            self._pin = None
            self._generation += 1
            self._shown_at = -math.inf
        if change is not None or now >= self._shown_at + SHOW_MS * self.measures.background_interval_factor:
            self.show(now)
        return [] if change is None else [self._line(change)]

    def pin(self, now: float, level: Level | None, for_ms: float) -> list[LogLine]:
        """An operator's word."""
        change = self.governor.pin(now, level, for_ms)
        self._pin = None if level is None else {"level": level.api_name, "for": format_duration(for_ms)}
        self._pin_until = now + for_ms
        self._generation += 1
        self.show(now)
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

    # ---- What is shown --------------------------------------------------------------------------------

    def show(self, now: float) -> None:
        """Brings the object to the store."""
        if self._shown_at == -math.inf and not self._created_at:
            self._created_at = now
        self._shown_at = now
        key = "", self._name
        if self._store.find(LEVELS, key) is None:
            self._store.create(LEVELS, key, self.render(now))
        else:
            self._store.update(LEVELS, key, self.render(now))

    def render(self, now: float) -> Object:
        governor, ladder = self.governor, self.governor.state_machine
        level = governor.level

        def when(at: float) -> str:  # of elapsed time
            return timestamp(now - (governor.elapsed_ms - at))

        changes = list(ladder.changes)[-CHANGES_SHOWN:]
        pace = governor.signals.placement_rate(governor.elapsed_ms)
        classes = []
        for number, cls in enumerate(self._classes):
            rank = governor.priority_order.rank_of_class[number]
            shown: Object = {
                "name": cls.name,
                "rank": rank,
                "essential": governor.priority_order.is_essential(number),
                "waiting": governor.backlog.count_of_class(number),
            }
            if level is not Level.FULL:
                shown["places"] = math.ceil(governor.load_shedder.queue_limit(rank, pace))
            classes.append(shown)
        status: Object = {
            "level": level.api_name,
            "since": when(ladder.entered_at),
            "meaning": LEVEL_DESCRIPTIONS[level],
            "why": changes[-1].reason if changes else "the placer has started",
            "givenUp": describe_restrictions(governor),
            "leavesWhen": describe_exit_conditions(governor),
            "calls": describe_active_signals(governor),
            "symptoms": {name: round(value, 3) for name, value in governor.readings.items()},
            "classes": classes,
            "turnedAway": dict(governor.rejections_by_reason),
            "changes": [
                {
                    "at": when(change.at_ms),
                    "before": change.before.api_name,
                    "after": change.after.api_name,
                    "why": change.reason,
                    "evidence": [
                        {"symptom": one.signal, "value": round(one.value, 4), "bound": one.threshold}
                        for one in change.evidence
                    ],
                }
                for change in changes
            ],
            "changesInHour": ladder.changes_in_last_hour,
            "changesMost": ladder.max_changes_per_hour,
        }
        if self._pin is not None:
            status["pinnedUntil"] = timestamp(self._pin_until)
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
            "status": status,
        }
