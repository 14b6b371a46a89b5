"""Data types of a node: its settings, its incarnation, and its active and ended tasks.

They contain no decisions: `task_table` stores the active tasks and the other modules of the node change them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Literal, NamedTuple

from kelpfront.machine.admission import Capacity, Claim
from kelpfront.machine.messages import GoneCause, Offer, TaskPhase, TaskReport
from kelpfront.machine.slow_start import SlowStart

AnswerMode = Literal["running", "accepted"]  # answer an offer once its task runs, or once it is admitted
DrainMode = Literal["none", "paced", "at_once"]  # how a draining machine evicts its tasks


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """A machine's identity, capacity and limits, and its policies for accepting and evicting tasks."""

    name: str
    kind: str
    rack: str
    zone: str
    capacity: Capacity
    max_pending_offers: int  # offers that may wait for evaluation
    max_parallel_starts: int
    answer_mode: AnswerMode
    preempts: bool  # whether tasks of lower priority are stopped to free capacity for others
    drain_mode: DrainMode
    drain_interval_ms: float  # between the evictions of a paced drain
    max_cached_programs: int  # idle programs that are kept after the last task of their service
    heartbeat_ms: float
    slow_start: SlowStart
    max_tasks: int | None = None  # tasks on the machine at the same time, regardless of their requests
    starts_per_ms: float | None = None  # the maximum rate of starts, after the slow start


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One run of a machine, from its boot to its shutdown. Times are milliseconds of the common clock.

    `first_seq` is greater than all message numbers that an earlier process used in this incarnation.
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
    """The phases of an active task. The agent's task list shows their values."""

    PENDING = "line"  # the offer waits for evaluation
    QUEUED = "queued"  # admitted; waits for its start
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


ADMITTED_PHASES = frozenset({Phase.QUEUED, Phase.STARTING, Phase.RUNNING})  # the phases that hold capacity
LIVE_PHASES = frozenset({Phase.STARTING, Phase.RUNNING})  # the task has a process that is not being stopped

_REPORTED_PHASES: dict[Phase, TaskPhase] = {
    Phase.PENDING: "waiting",
    Phase.QUEUED: "waiting",
    Phase.STARTING: "starting",
    Phase.RUNNING: "running",
    Phase.STOPPING: "running",
}


@dataclass(slots=True, eq=False)
class ActiveTask:
    """A task that was offered to this machine and has not ended."""

    offer: Offer
    placer: str
    incarnation: str  # of the placer's process that sent the offer
    phase: Phase
    since: float  # the time of its admission; before that, of its offer
    answered: bool = False
    cause: GoneCause = "ended"  # reported when the task has ended
    usage: ResourceUsage = field(default_factory=ResourceUsage)
    blocked_by: set[str] = field(default_factory=set)  # tasks preempted for this one that have not ended yet

    @property
    def uid(self) -> str:
        """The task's uid, the same in all attempts."""
        return self.offer.task

    @property
    def has_begun(self) -> bool:
        """Whether the start of the task has begun: from then on it may be running."""
        return self.phase not in (Phase.PENDING, Phase.QUEUED)

    def claim(self) -> Claim:
        """Return the task's requested and used resources, for admission and eviction."""
        offer = self.offer
        return Claim(offer.task, offer.priority, offer.cores, offer.memory, self.since, self.usage.memory)

    def report(self) -> TaskReport:
        """Return the task's report in a snapshot."""
        return TaskReport(self.offer, self.incarnation, _REPORTED_PHASES[self.phase])


@dataclass(slots=True, eq=False)
class EndedTask:
    """An ended task that may still be reported; `seq` is the number of the message that reports its end."""

    placer: str
    report: TaskReport
    seq: int
    acknowledged: bool = False
