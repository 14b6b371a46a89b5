"""What the scheduler is told and what it answers: settings, events and actions.

Everything here is plain data. Times are milliseconds on one clock that only goes forward; cores and
memory are in the units of the deployment. No decision is made in this file.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum, IntEnum

MachineId = int
TaskId = int


class Effect(Enum):
    """What a second start of a task does."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Place(Enum):
    """A set of machines: those that discard repeats of a key, or over which a service is spread."""

    NONE = "none"
    MACHINE = "machine"
    CELL = "cell"
    ZONE = "zone"
    ALL = "all"


class MachineState(IntEnum):
    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """What a machine list is: changes only, all of it, all as last known, or a call that failed."""

    CHANGES = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class End(Enum):
    """How an attempt ended."""

    ENDED = "ended"
    ERROR = "error"
    REFUSED = "refused"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


NEVER_RAN = frozenset({End.REFUSED, End.UNREACHABLE, End.NOT_SENT})
"""Ends that prove that the attempt never ran."""


class Reason(IntEnum):
    """Why an attempt ended, where the machine says so."""

    UNTOLD = 0
    NO_CORES = 1
    NO_MEMORY = 2
    QUEUE_FULL = 3
    NOT_HERE = 4
    EVICTED = 5
    PUSHED_OUT = 6
    SENT_AWAY = 7


STOOD = frozenset({Reason.EVICTED, Reason.PUSHED_OUT, Reason.SENT_AWAY})
"""Reasons of machines that end a task which runs there."""


class Topic(IntEnum):
    """What a note on a running attempt speaks of."""

    RUNNING = 1
    CORES_USED = 2
    MEMORY_USED = 3
    SERVICE = 4
    MEMORY_PRESSURE = 5


@dataclass(frozen=True, slots=True)
class TaskClass:
    name: str
    aim_ms: float
    deadline_ms: float
    worth: float
    start_worth_s: float
    late_worth: float
    effect: Effect
    group: Place
    window_ms: float
    priority: int
    needs_kind: int | None
    apart: Place
    together_max: int
    calm: float
    fade: float

    def __post_init__(self) -> None:
        _positive("deadline_ms", self.deadline_ms)
        _positive("aim_ms", self.aim_ms)
        if self.effect is Effect.KEYED:
            _positive("window_ms", self.window_ms)
        if self.apart is not Place.NONE and self.together_max < 1:
            raise ValueError(f"together_max: must be at least 1, is {self.together_max!r}")


@dataclass(frozen=True, slots=True)
class Rules:
    """Figures of the rules that every run is held to."""

    answer_grace_ms: float
    drain_grace_ms: float
    ask_within_ms: float
    cold_from: float
    cold_ms: float
    cold_multiple: float
    cold_window_ms: float
    cold_offers: float

    def __post_init__(self) -> None:
        _positive("cold_window_ms", self.cold_window_ms)
        _positive("cold_multiple", self.cold_multiple)
        for name in ("cold_ms", "cold_offers", "drain_grace_ms", "answer_grace_ms"):
            _not_negative(name, getattr(self, name))


@dataclass(frozen=True, slots=True)
class Prices:
    refused_offer: float = 0.0
    machines_held: float = 0.0
    move: float = 0.0
    eviction_moves: float = 1.0
    waste: float = 0.0
    probe: float = 0.0
    list_line: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """What one placer is told when it starts."""

    me: int
    siblings: int
    zone: int
    zones: int
    tick_ms: float
    classes: tuple[TaskClass, ...]
    kind_cores: tuple[float, ...]
    kind_memory: tuple[float, ...]
    mean_cores: float
    mean_memory: float
    accepts_cores: float
    accepts_memory: float
    ack_when_running: bool
    list_on_request: bool
    list_tells_free: bool
    reports_use: bool
    pushes_out: bool
    may_probe: bool
    may_cancel: bool
    max_attempts: int
    connect_timeout_ms: float
    recheck_ms: float
    max_retry_after_ms: float
    rules: Rules
    prices: Prices = Prices()
    told_of_losses: bool = True
    """Whether the placer is told when a machine is lost with its tasks, or has to find out by its silence."""

    def __post_init__(self) -> None:
        if self.siblings < 1:
            raise ValueError(f"siblings: must be at least 1, is {self.siblings!r}")
        if not self.me >= 0:
            raise ValueError(f"me: must not be negative, is {self.me!r}")
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        if not self.kind_cores:
            raise ValueError("kind_cores: at least one kind is needed")
        if len(self.kind_memory) != len(self.kind_cores):
            raise ValueError("kind_memory: must have as many entries as kind_cores")
        for name in ("mean_cores", "mean_memory", "accepts_cores", "accepts_memory", "tick_ms"):
            _positive(name, getattr(self, name))
        for name in ("kind_cores", "kind_memory"):
            for value in getattr(self, name):
                _positive(name, value)
        if self.max_attempts < 1:
            raise ValueError(f"max_attempts: must be at least 1, is {self.max_attempts!r}")


@dataclass(frozen=True, slots=True)
class Machine:
    """One entry of the machine list."""

    id: MachineId
    kind: int
    cell: int
    zone: int
    state: MachineState
    free_cores: float
    free_memory: float
    started_at: float


@dataclass(frozen=True, slots=True)
class Load:
    """A machine's own report; what it does not tell is None."""

    free_cores: float | None = None
    free_memory: float | None = None
    queue: float | None = None
    busy: float | None = None


@dataclass(frozen=True, slots=True)
class MachineList:
    kind: ListKind
    version: int
    machines: tuple[Machine, ...]


@dataclass(frozen=True, slots=True)
class TaskArrived:
    """A task to be placed; exactly one final answer is owed within `patience_ms`."""

    task: TaskId
    cls: int
    service: int
    cores: float
    memory: float
    patience_ms: float
    again: bool = False


@dataclass(frozen=True, slots=True)
class TaskFound:
    """A task that runs already and is this placer's from now on; attempt 0 counts as made."""

    task: TaskId
    cls: int
    service: int
    cores: float
    memory: float
    machine: MachineId


@dataclass(frozen=True, slots=True)
class TaskPlaced:
    task: TaskId
    attempt: int
    machine: MachineId
    took_ms: float


@dataclass(frozen=True, slots=True)
class AttemptClosed:
    task: TaskId
    attempt: int
    machine: MachineId
    end: End
    reason: Reason
    task_over: bool
    took_ms: float
    load: Load | None = None
    vouched: bool = True
    """Whether machines have taken tasks of this owner: where not, an error may be its own doing."""


@dataclass(frozen=True, slots=True)
class TaskNote:
    task: TaskId
    attempt: int
    machine: MachineId
    topic: Topic
    value: float


@dataclass(frozen=True, slots=True)
class TaskWithdrawn:
    """The owner no longer wants the task; nothing is owed."""

    task: TaskId


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: int


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    machine: MachineId
    ok: bool
    took_ms: float
    load: Load | None = None
    silent: bool = False
    """Whether nothing came from the machine: one that answers that it failed a probe is there."""


@dataclass(frozen=True, slots=True)
class MachinesSeen:
    """Others had answers from the machines to what they sent at `at` or later; nothing came to this placer.

    `ask`: they are to be asked all the same.
    """

    machines: tuple[MachineId, ...]
    at: float
    ask: bool = False


@dataclass(frozen=True, slots=True)
class ListSilent:
    """Nothing is heard of the list: what it withholds, a drain maybe, counts as told from now on."""


Event = (
    MachineList
    | ListSilent
    | TaskArrived
    | TaskFound
    | TaskPlaced
    | AttemptClosed
    | TaskNote
    | TaskWithdrawn
    | TimerFired
    | ProbeAnswered
    | MachinesSeen
)


@dataclass(frozen=True, slots=True)
class Bind:
    """Offer the task to a machine. Attempts of a task are numbered 0, 1, 2 ... in this order.

    What has not begun to go out `within_ms` from now, for want of a connection, must not go out any more, and
    ends as NOT_SENT.
    """

    task: TaskId
    machine: MachineId
    timeout_ms: float
    within_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not placed, and asking again does no harm."""

    task: TaskId
    wait_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: not placed as far as is known, with no assurance of effects."""

    task: TaskId


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    task: TaskId
    attempt: int


@dataclass(frozen=True, slots=True)
class Move:
    """Stop a placed task, so that its owner asks for it again."""

    task: TaskId


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a machine for its report; after `timeout_ms` without an answer it has failed."""

    machine: MachineId
    timeout_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Lost:
    """What stands on the machine counts as over: it has been silent for too long."""

    machine: MachineId


@dataclass(frozen=True, slots=True)
class SetTimer:
    at: float
    token: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    on: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    pass


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action = Bind | Refuse | Fail | CancelAttempt | Move | Probe | Lost | SetTimer | Subscribe | FetchList | Log


def _positive(name: str, value: float) -> None:
    if not (math.isfinite(value) and value > 0):
        raise ValueError(f"{name}: must be above 0, is {value!r}")


def _not_negative(name: str, value: float) -> None:
    if not (math.isfinite(value) and value >= 0):
        raise ValueError(f"{name}: must not be negative, is {value!r}")
