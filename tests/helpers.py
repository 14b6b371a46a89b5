"""Builders of settings and events for tests, and a driver that records a scheduler's actions."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import Any, TypeVar

from kelpfront import Scheduler
from kelpfront.scheduling.actions import Bind, SchedulerAction, SetTimer
from kelpfront.scheduling.events import (
    AttemptClosed,
    AttemptOutcome,
    Endpoint,
    EndpointList,
    EndpointListKind,
    LoadReport,
    MachineState,
    OutcomeReason,
    SchedulerEvent,
    TaskArrived,
    TaskFound,
    TaskPlaced,
)
from kelpfront.scheduling.settings import (
    FailureDomain,
    Idempotency,
    Prices,
    SchedulerSettings,
    SlowStartSettings,
    TaskClass,
)

A = TypeVar("A", bound=SchedulerAction)


def task_class(idempotency: Idempotency = Idempotency.IDEMPOTENT, **changes: Any) -> TaskClass:
    plain = TaskClass(
        name=idempotency.value,
        latency_objective_ms=900.0,
        deadline_ms=4000.0,
        priority_weight=2.0,
        start_utility_s=9.0,
        late_start_share=0.3,
        idempotency=idempotency,
        idempotency_scope=FailureDomain.ZONE,
        idempotency_window_ms=7000.0,
        priority=1,
        required_kind=None,
        spread_domain=FailureDomain.NONE,
        max_per_domain=2,
        full_service_utilization=0.9,
        degradation_range=0.3,
    )
    return replace(plain, **changes)


def settings(*classes: TaskClass, **changes: Any) -> SchedulerSettings:
    plain = SchedulerSettings(
        replica_index=0,
        replica_count=3,
        zone=0,
        zones=3,
        timer_resolution_ms=1.0,
        classes=classes or (task_class(),),
        kind_cores=(30.0, 60.0),
        kind_memory=(50.0, 100.0),
        mean_cores=1.0,
        mean_memory=2.0,
        cores_overcommit=1.8,
        memory_overcommit=1.4,
        accepted_when_running=True,
        endpoint_list_on_request=False,
        endpoint_list_reports_free=True,
        reports_measured_usage=True,
        machines_preempt=False,
        health_checks_allowed=True,
        cancellation_allowed=True,
        max_attempts=5,
        connect_timeout_ms=300.0,
        orphan_check_ms=2500.0,
        max_retry_after_ms=0.0,
        answer_grace_ms=6.0,
        drain_grace_ms=700.0,
        endpoint_poll_within_ms=8000.0,
        slow_start=SlowStartSettings(
            initial_share=0.3,
            duration_ms=14000.0,
            overload_multiple=2.2,
            window_ms=1800.0,
            max_offers_per_window=7.0,
        ),
        prices=Prices(),
    )
    return replace(plain, **changes)


def machine(machine_id: int, **changes: Any) -> Endpoint:
    plain = Endpoint(
        id=machine_id,
        kind=0,
        cell=machine_id // 2,
        zone=machine_id // 4,
        state=MachineState.READY,
        free_cores=10.0,
        free_memory=30.0,
        started_at=0.0,
    )
    return replace(plain, **changes)


def full_list(*machines: Endpoint, kind: EndpointListKind = EndpointListKind.FULL) -> EndpointList:
    return EndpointList(kind, 1, machines)


class Driver:
    """Runs one scheduler with its own clock, and records all of its actions."""

    def __init__(self, scheduler_settings: SchedulerSettings | None = None, seed: int = 7) -> None:
        self.scheduler = Scheduler(scheduler_settings or settings(), seed)
        self.now = 1000.0
        self.history: list[tuple[float, SchedulerAction]] = []

    def send(self, event: SchedulerEvent, after: float = 0.0) -> list[SchedulerAction]:
        self.now += after
        actions = self.scheduler.handle(self.now, event)
        self.history.extend((self.now, action) for action in actions)
        return actions

    def listing(
        self, *machines: Endpoint, kind: EndpointListKind = EndpointListKind.FULL, after: float = 0.0
    ) -> list[SchedulerAction]:
        return self.send(full_list(*machines, kind=kind), after)

    def arrive(
        self, task: int, class_index: int = 0, service: int = 1, cores: float = 1.0, **more: Any
    ) -> list[SchedulerAction]:
        after = more.pop("after", 0.0)
        timeout_ms = more.pop("timeout_ms", 4000.0)
        memory = more.pop("memory", 1.5)
        assert not more, more
        return self.send(TaskArrived(task, class_index, service, cores, memory, timeout_ms), after)

    def bind(self, task: int, **more: Any) -> int:
        """Send the arrival of a task, and return the machine of the only bind action."""
        return only_action(self.arrive(task, **more), Bind).machine

    def close(
        self,
        task: int,
        attempt: int,
        machine: int,
        outcome: AttemptOutcome,
        reason: OutcomeReason = OutcomeReason.UNSPECIFIED,
        **more: Any,
    ) -> list[SchedulerAction]:
        after = more.pop("after", 0.0)
        task_finished = more.pop("task_finished", False)
        assert not more, more
        return self.send(AttemptClosed(task, attempt, machine, outcome, reason, task_finished, 5.0), after)

    def report_load(self, machine: int, load: LoadReport) -> list[SchedulerAction]:
        """Send a load report with the end of an attempt that is unknown to the scheduler."""
        closed = AttemptClosed(
            77,
            0,
            machine,
            AttemptOutcome.ENDED,
            OutcomeReason.UNSPECIFIED,
            task_finished=True,
            elapsed_ms=5.0,
            load=load,
        )
        return self.send(closed)

    def place(self, task: int, attempt: int, machine: int, after: float = 0.0) -> list[SchedulerAction]:
        return self.send(TaskPlaced(task, attempt, machine, 5.0), after)

    def find(self, task: int, machine: int, class_index: int = 0, service: int = 1) -> list[SchedulerAction]:
        return self.send(TaskFound(task, class_index, service, 1.0, 1.5, machine))


def actions_of(actions: list[SchedulerAction], kind: type[A]) -> list[A]:
    return [action for action in actions if isinstance(action, kind)]


def only_action(actions: list[SchedulerAction], kind: type[A]) -> A:
    found = actions_of(actions, kind)
    assert len(found) == 1, actions
    return found[0]


def deadline_timer(actions: list[SchedulerAction]) -> SetTimer:
    """Return the timer of a task's final answer, which is the latest of the timers that were set."""
    return max(actions_of(actions, SetTimer), key=lambda timer: timer.at)


def saturated_settings(**changes: Any) -> SchedulerSettings:
    """Return settings under which no machine gives full service, so the least loaded safe machine is chosen.

    A single placer, and a mean task that needs all cores of the smallest kind of machine, make the
    guardrails as tight as possible. The class is above the lowest priority, so it does not wait for capacity
    by measured usage.
    """
    classes = task_class(full_service_utilization=0.01, degradation_range=0.0), task_class(priority=0)
    plain = settings(*classes, replica_count=1, **changes)
    return replace(plain, mean_cores=min(plain.kind_cores) * plain.cores_overcommit)


def place_many(driver: Driver, tasks: range, cores: float = 1.0) -> Counter[int]:
    counts: Counter[int] = Counter()
    for task in tasks:
        bound = driver.bind(task, cores=cores, after=20.0)
        driver.place(task, 0, bound, after=5.0)
        counts[bound] += 1
    return counts
