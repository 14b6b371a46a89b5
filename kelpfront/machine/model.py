"""The records that a node works on: its settings, its incarnation, and its tasks, active and ended.

They carry no decisions; `task_table` owns the tasks and the modules around it change them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Literal, NamedTuple

from kelpfront.machine.admission import Capacity, Claim
from kelpfront.machine.messages import GoneCause, Offer, TaskPhase, TaskReport
from kelpfront.machine.slow_start import SlowStart

AnswerMode = Literal["running", "accepted"]  # an offer is answered once its task runs, or once it is admitted
DrainMode = Literal["none", "paced", "at_once"]  # how a draining machine evicts its tasks


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """What a machine is and how it accepts tasks."""

    name: str
    kind: str
    rack: str
    zone: str
    capacity: Capacity
    max_pending_offers: int  # offers that may wait for their evaluation
    max_parallel_starts: int
    answer_mode: AnswerMode
    preempts: bool  # tasks of lower priority are stopped to make room for others
    drain_mode: DrainMode
    drain_interval_ms: float  # between evictions of a paced drain
    max_cached_programs: int  # services whose program is kept for a while after their last task
    heartbeat_ms: float
    slow_start: SlowStart
    max_tasks: int | None = None  # at a time, however little they request
    starts_per_ms: float | None = None  # the highest rate of starts, after the slow start


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One run of a machine, from its boot to its end. Times are milliseconds of the common clock.

    `first_seq` is above all message numbers that an earlier process gave out in this incarnation.
    """

    boot: str
    started_at: float
    first_seq: int = 1


class ResourceUsage(NamedTuple):
    """Cores and memory in use, in the units of the deployment."""

    cores: float = 0.0
    memory: float = 0.0


@dataclass(slots=True)
class OtherPrograms:
    """Cores and memory in use by programs of the host that are not tasks."""

    cores: float = 0.0
    memory: float = 0.0


class Phase(StrEnum):
    """Where a task is between its offer and its end. The values are shown by the agent's list of tasks."""

    PENDING = "line"  # its offer waits for its evaluation
    QUEUED = "queued"  # admitted, and waits for its start
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


ADMITTED_PHASES = frozenset({Phase.QUEUED, Phase.STARTING, Phase.RUNNING})  # that hold capacity
LIVE_PHASES = frozenset({Phase.STARTING, Phase.RUNNING})  # with a process that nobody has stopped

_REPORTED_PHASES: dict[Phase, TaskPhase] = {
    Phase.PENDING: "waiting",
    Phase.QUEUED: "waiting",
    Phase.STARTING: "starting",
    Phase.RUNNING: "running",
    Phase.STOPPING: "running",
}


@dataclass(slots=True, eq=False)
class ActiveTask:
    """A task of which an offer came in and which is not over."""

    offer: Offer
    placer: str
    incarnation: str  # of the placer, when it sent the offer
    phase: Phase
    since: float  # when its offer came, and from its admission on when that was
    answered: bool = False
    cause: GoneCause = "ended"  # reported when it has ended
    usage: ResourceUsage = field(default_factory=ResourceUsage)
    blocked_by: set[str] = field(default_factory=set)  # tasks preempted for it that have not ended yet

    @property
    def uid(self) -> str:
        """The task's uid, the same in all attempts."""
        return self.offer.task

    @property
    def has_begun(self) -> bool:
        """Whether its start has begun: from then on it may run."""
        return self.phase not in (Phase.PENDING, Phase.QUEUED)

    def claim(self) -> Claim:
        """Return what it requests and uses, for decisions on admission."""
        offer = self.offer
        return Claim(offer.task, offer.priority, offer.cores, offer.memory, self.since, self.usage.memory)

    def report(self) -> TaskReport:
        """Return the task as a snapshot shows it."""
        return TaskReport(self.offer, self.incarnation, _REPORTED_PHASES[self.phase])


@dataclass(slots=True, eq=False)
class EndedTask:
    """A task that is over and may still be reported; `seq` is the number of the message that reported it."""

    placer: str
    report: TaskReport
    seq: int
    acknowledged: bool = False
