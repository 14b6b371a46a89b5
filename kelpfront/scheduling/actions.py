"""Actions that the scheduler returns; the caller executes them in the order given.

Plain data. Times are in milliseconds on the clock of the events.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from kelpfront.scheduling.events import MachineId, TaskId


@dataclass(frozen=True, slots=True)
class Bind:
    """Offer the task to a machine. The attempts of a task are numbered 0, 1, 2 ... in the order of its binds.

    An attempt that is still unsent after `send_within_ms`, because no connection is available, must not be
    sent any more and ends as NOT_SENT.
    """

    task: TaskId
    machine: MachineId
    timeout_ms: float
    send_within_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: the task was not placed, and the client can safely submit it again."""

    task: TaskId
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: no machine is known to have accepted the task, but it may have been executed."""

    task: TaskId


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Withdraw an attempt from its machine."""

    task: TaskId
    attempt: int


@dataclass(frozen=True, slots=True)
class Migrate:
    """Stop a placed task so that its client submits it again."""

    task: TaskId


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Health-check a machine; the check fails after `timeout_ms` without a response."""

    machine: MachineId
    timeout_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class DeclareMachineLost:
    """Treat all tasks on the machine as ended: it has been unresponsive for too long."""

    machine: MachineId


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a `TimerFired` event with this token at the time `at`."""

    at: float
    token: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Start watching the endpoint list, or stop if `on` is false."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class FetchEndpointList:
    """Fetch the endpoint list once."""


@dataclass(frozen=True, slots=True)
class LogMachineEjected:
    """Log that a machine was ejected.

    Attributes:
        scope: name of the class for which the machine is ejected; empty for all classes.
        cause: the attempt outcome or symptom that caused the ejection.
        ejection_ms: length of the ejection, unless it is prolonged later.
    """

    machine: MachineId
    scope: str
    cause: str
    ejection_ms: float


SchedulerAction = (
    Bind
    | Reject
    | Fail
    | CancelAttempt
    | Migrate
    | CheckHealth
    | DeclareMachineLost
    | SetTimer
    | Subscribe
    | FetchEndpointList
    | LogMachineEjected
)
