"""Events that a scheduler handles: tasks, the endpoint list, outcomes of attempts, timers, health checks.

Plain data. Times are in milliseconds on one monotonic clock; cores and memory are in the units of the
deployment.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

MachineId = int
TaskId = int


class MachineState(IntEnum):
    """The state of a machine in the endpoint list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class EndpointListKind(IntEnum):
    """Content of an endpoint list: changes, all machines, all from a cache, or nothing (the poll failed)."""

    CHANGES = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class AttemptOutcome(Enum):
    """How an attempt ended."""

    ENDED = "ended"
    ERROR = "error"
    REJECTED = "refused"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


NOT_EXECUTED_OUTCOMES = frozenset(
    {AttemptOutcome.REJECTED, AttemptOutcome.UNREACHABLE, AttemptOutcome.NOT_SENT}
)
"""Outcomes that prove that the attempt was not executed."""


class OutcomeReason(IntEnum):
    """Why an attempt ended, as reported by the machine."""

    UNSPECIFIED = 0
    NO_CORES = 1
    NO_MEMORY = 2
    QUEUE_FULL = 3
    NOT_HERE = 4
    EVICTED = 5
    PREEMPTED = 6
    DRAINED = 7


STOPPED_WHILE_RUNNING = frozenset({OutcomeReason.EVICTED, OutcomeReason.PREEMPTED, OutcomeReason.DRAINED})
"""Reasons why a machine stops a running task."""


class StatusTopic(IntEnum):
    """Subject of a status report on a running attempt."""

    RUNNING = 1
    CORES_USED = 2
    MEMORY_USED = 3
    SERVICE = 4
    MEMORY_PRESSURE = 5


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the endpoint list: a machine, its location, its state and its free capacity."""

    id: MachineId
    kind: int
    cell: int
    zone: int
    state: MachineState
    free_cores: float
    free_memory: float
    started_at: float


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A machine's report of its own load; values that it does not report are None."""

    free_cores: float | None = None
    free_memory: float | None = None
    queue: float | None = None
    busy: float | None = None


@dataclass(frozen=True, slots=True)
class EndpointList:
    """An update of the endpoint list."""

    kind: EndpointListKind
    version: int
    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class EndpointListStale:
    """Discovery does not respond. Changes that it cannot deliver, such as drains, now count as notified."""


@dataclass(frozen=True, slots=True)
class EndpointListCurrent:
    """Discovery responds again, and the changes that it held back have been delivered."""


@dataclass(frozen=True, slots=True)
class TaskArrived:
    """A task has to be placed; exactly one final answer is due within `timeout_ms`."""

    task: TaskId
    class_index: int
    service: int
    cores: float
    memory: float
    timeout_ms: float
    resubmitted: bool = False


@dataclass(frozen=True, slots=True)
class TaskFound:
    """A task that already runs is assigned to this placer; its attempt 0 is open."""

    task: TaskId
    class_index: int
    service: int
    cores: float
    memory: float
    machine: MachineId


@dataclass(frozen=True, slots=True)
class TaskPlaced:
    """A machine has accepted an attempt."""

    task: TaskId
    attempt: int
    machine: MachineId
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class AttemptClosed:
    """An attempt has ended.

    Attributes:
        task_finished: whether the task itself has ended, so that it needs no attempt or answer any more.
        elapsed_ms: time since the attempt was sent.
        client_trusted: whether machines have accepted tasks of this client before; if not, an error may be
            the client's own fault.
    """

    task: TaskId
    attempt: int
    machine: MachineId
    outcome: AttemptOutcome
    reason: OutcomeReason
    task_finished: bool
    elapsed_ms: float
    load: LoadReport | None = None
    client_trusted: bool = True


@dataclass(frozen=True, slots=True)
class TaskStatusReported:
    """A machine's status report on a running attempt."""

    task: TaskId
    attempt: int
    machine: MachineId
    topic: StatusTopic
    value: float


@dataclass(frozen=True, slots=True)
class TaskWithdrawn:
    """The client no longer wants the task; no answer is due."""

    task: TaskId


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by `actions.SetTimer` has fired."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckCompleted:
    """The result of a health check.

    Attributes:
        no_response: whether nothing was received from the machine; one that reports itself unhealthy is
            reachable.
    """

    machine: MachineId
    ok: bool
    elapsed_ms: float
    load: LoadReport | None = None
    no_response: bool = False


@dataclass(frozen=True, slots=True)
class LivenessObserved:
    """Failure detectors received responses from the machines to messages sent at `sent_at` or later.

    Attributes:
        check_anyway: whether this placer should health-check the machines regardless.
    """

    machines: tuple[MachineId, ...]
    sent_at: float
    check_anyway: bool = False


SchedulerEvent = (
    EndpointList
    | EndpointListStale
    | EndpointListCurrent
    | TaskArrived
    | TaskFound
    | TaskPlaced
    | AttemptClosed
    | TaskStatusReported
    | TaskWithdrawn
    | TimerFired
    | HealthCheckCompleted
    | LivenessObserved
)
