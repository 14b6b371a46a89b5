"""Settings of one scheduler: the classes of tasks, the kinds of machines and the limits it has to keep.

Plain data, validated on construction. Times are in milliseconds; cores and memory are in the units of the
deployment.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a second execution of a task is safe: always, with an idempotency key, or never."""

    IDEMPOTENT = "safe"
    IDEMPOTENCY_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"


class FailureDomain(Enum):
    """A level of machines that share idempotency records, or over which the tasks of a service are spread."""

    NONE = "none"
    MACHINE = "machine"
    CELL = "cell"
    ZONE = "zone"
    ALL = "all"


@dataclass(frozen=True, slots=True)
class TaskClass:
    """The properties that all tasks of one class share.

    Attributes:
        latency_objective_ms: time from submission within which a start earns its full utility.
        deadline_ms: time from submission after which a start earns nothing.
        priority_weight: utility of one second of service, relative to other classes.
        start_utility_s: utility of a start within the objective, in seconds of service.
        late_start_share: share of that utility for a start after the objective but before the deadline.
        idempotency: whether a second execution is safe.
        idempotency_scope: the machines that discard a repeated idempotency key.
        idempotency_window_ms: how long they remember the key.
        priority: tasks of a higher priority go first and may preempt those of a lower one.
        required_kind: the only kind of machine that runs the class, or None for any.
        spread_domain: the failure domain over which the tasks of a service are spread.
        max_per_domain: maximum number of tasks of one service in one such domain.
        full_service_utilization: utilization of a machine's cores up to which the class gets full service.
        degradation_range: further utilization over which the service drops to zero.

    Raises:
        ValueError: a value is out of range; the message names the field.
    """

    name: str
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float
    start_utility_s: float
    late_start_share: float
    idempotency: Idempotency
    idempotency_scope: FailureDomain
    idempotency_window_ms: float
    priority: int
    required_kind: int | None
    spread_domain: FailureDomain
    max_per_domain: int
    full_service_utilization: float
    degradation_range: float

    def __post_init__(self) -> None:
        _require_positive("deadline_ms", self.deadline_ms)
        _require_positive("latency_objective_ms", self.latency_objective_ms)
        if self.idempotency is Idempotency.IDEMPOTENCY_KEY:
            _require_positive("idempotency_window_ms", self.idempotency_window_ms)
        if self.spread_domain is not FailureDomain.NONE and self.max_per_domain < 1:
            raise ValueError(f"max_per_domain: must be at least 1, is {self.max_per_domain!r}")


@dataclass(frozen=True, slots=True)
class SlowStartSettings:
    """Protection of a machine that has just started from overload.

    Attributes:
        initial_share: share of its full rate at which the machine starts tasks at first.
        duration_ms: time after its start during which the machine warms up.
        overload_multiple: multiple of its current rate above which offers overload the machine.
        window_ms: length of the window over which offers are counted.
        max_offers_per_window: maximum number of offers, of any class and from all placers, in one window.

    Raises:
        ValueError: a value is out of range; the message names the field.
    """

    initial_share: float
    duration_ms: float
    overload_multiple: float
    window_ms: float
    max_offers_per_window: float

    def __post_init__(self) -> None:
        _require_positive("window_ms", self.window_ms)
        _require_positive("overload_multiple", self.overload_multiple)
        _require_not_negative("duration_ms", self.duration_ms)
        _require_not_negative("max_offers_per_window", self.max_offers_per_window)


@dataclass(frozen=True, slots=True)
class Prices:
    """The cost of each unit of overhead, in the unit of utility."""

    rejected_offer: float = 0.0
    reserved_machines: float = 0.0
    migration: float = 0.0
    eviction_in_migrations: float = 1.0
    waste: float = 0.0
    health_check: float = 0.0
    endpoint_list_entry: float = 0.0


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """The settings of one placer's scheduler.

    Attributes:
        replica_index: index of this placer among its replicas, from 0.
        replica_count: number of placers that run in parallel.
        timer_resolution_ms: maximum delay with which a timer fires.
        kind_cores: cores of each kind of machine.
        kind_memory: memory of each kind of machine.
        mean_cores: mean request for cores, used for a task whose request is unknown.
        mean_memory: the same for memory.
        cores_overcommit: requested cores that a machine accepts, as a multiple of its cores.
        memory_overcommit: the same for memory.
        accepted_when_running: whether a machine acknowledges a task once it runs, not when it is queued.
        endpoint_list_on_request: whether the endpoint list has to be requested.
        endpoint_list_reports_free: whether the list's free capacity is current.
        reports_measured_usage: whether free capacity is based on measured usage; otherwise on requests.
        machines_preempt: whether machines stop tasks of a lower priority for one of a higher priority.
        health_checks_allowed: whether machines may be health-checked.
        cancellation_allowed: whether attempts may be cancelled.
        max_attempts: maximum number of attempts of one task, including the first.
        orphan_check_ms: how long a machine may leave an instance unreported before it counts as lost.
        max_retry_after_ms: the longest Retry-After that clients accept; 0 if they accept none.
        answer_grace_ms: maximum delay of a final answer.
        drain_grace_ms: how long after the notification of a drain an offer may still arrive.
        endpoint_poll_within_ms: maximum time between polls of the endpoint list.
        machine_loss_notified: whether the placer is notified of the loss of a machine and its tasks;
            otherwise it has to detect the loss by the machine's silence.

    Raises:
        ValueError: a value is out of range; the message names the field.
    """

    replica_index: int
    replica_count: int
    zone: int
    zones: int
    timer_resolution_ms: float
    classes: tuple[TaskClass, ...]
    kind_cores: tuple[float, ...]
    kind_memory: tuple[float, ...]
    mean_cores: float
    mean_memory: float
    cores_overcommit: float
    memory_overcommit: float
    accepted_when_running: bool
    endpoint_list_on_request: bool
    endpoint_list_reports_free: bool
    reports_measured_usage: bool
    machines_preempt: bool
    health_checks_allowed: bool
    cancellation_allowed: bool
    max_attempts: int
    connect_timeout_ms: float
    orphan_check_ms: float
    max_retry_after_ms: float
    answer_grace_ms: float
    drain_grace_ms: float
    endpoint_poll_within_ms: float
    slow_start: SlowStartSettings
    prices: Prices = Prices()
    machine_loss_notified: bool = True

    def __post_init__(self) -> None:
        self._check_replicas()
        self._check_classes_and_kinds()
        for name in (
            "mean_cores",
            "mean_memory",
            "cores_overcommit",
            "memory_overcommit",
            "timer_resolution_ms",
        ):
            _require_positive(name, getattr(self, name))
        for name in ("drain_grace_ms", "answer_grace_ms"):
            _require_not_negative(name, getattr(self, name))
        if self.max_attempts < 1:
            raise ValueError(f"max_attempts: must be at least 1, is {self.max_attempts!r}")

    def _check_replicas(self) -> None:
        if self.replica_count < 1:
            raise ValueError(f"replica_count: must be at least 1, is {self.replica_count!r}")
        if not self.replica_index >= 0:
            raise ValueError(f"replica_index: must not be negative, is {self.replica_index!r}")

    def _check_classes_and_kinds(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        if not self.kind_cores:
            raise ValueError("kind_cores: at least one kind is needed")
        if len(self.kind_memory) != len(self.kind_cores):
            raise ValueError("kind_memory: must have as many entries as kind_cores")
        for name in ("kind_cores", "kind_memory"):
            for value in getattr(self, name):
                _require_positive(name, value)


def _require_positive(name: str, value: float) -> None:
    if not (math.isfinite(value) and value > 0):
        raise ValueError(f"{name}: must be above 0, is {value!r}")


def _require_not_negative(name: str, value: float) -> None:
    if not (math.isfinite(value) and value >= 0):
        raise ValueError(f"{name}: must not be negative, is {value!r}")
