"""Random sequences of faults over several independent placers, each of which must keep the five rules.

The rules: one final answer in time, no harmful second execution, the spread over failure domains, no offers
to machines that are not ready, and the limit of offers during slow start.
"""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from dataclasses import replace
from typing import Any

from helpers import machine, settings, task_class
from hypothesis import given
from hypothesis import settings as runs
from hypothesis import strategies as st

from kelpfront import Scheduler
from kelpfront.scheduling.actions import Bind, CancelAttempt, Fail, Migrate, Reject, SchedulerAction, SetTimer
from kelpfront.scheduling.events import (
    NOT_EXECUTED_OUTCOMES,
    AttemptClosed,
    AttemptOutcome,
    Endpoint,
    EndpointList,
    EndpointListKind,
    LoadReport,
    MachineState,
    OutcomeReason,
    SchedulerEvent,
    StatusTopic,
    TaskArrived,
    TaskFound,
    TaskPlaced,
    TaskStatusReported,
    TaskWithdrawn,
    TimerFired,
)
from kelpfront.scheduling.settings import FailureDomain, Idempotency

CLASSES = (
    task_class(Idempotency.IDEMPOTENT, spread_domain=FailureDomain.MACHINE, max_per_domain=2, priority=0),
    task_class(
        Idempotency.IDEMPOTENCY_KEY,
        idempotency_scope=FailureDomain.CELL,
        spread_domain=FailureDomain.CELL,
        max_per_domain=2,
        idempotency_window_ms=900.0,
        priority=2,
    ),
    task_class(
        Idempotency.IDEMPOTENCY_KEY,
        idempotency_scope=FailureDomain.ALL,
        spread_domain=FailureDomain.ZONE,
        max_per_domain=3,
        idempotency_window_ms=1500.0,
    ),
    task_class(Idempotency.NON_IDEMPOTENT),
)
PLACER_COUNT = 3
MACHINE_COUNT = 6


class CheckedPlacer:
    """One placer with a record of its tasks; each of its actions is checked against the rules."""

    def __init__(self, index: int, slow_start_offers: dict[int, list[float]], *, on_request: bool) -> None:
        self.settings = settings(
            *CLASSES, replica_index=index, endpoint_list_on_request=on_request, machines_preempt=True
        )
        self.scheduler = Scheduler(self.settings, seed=index)
        self.slow_start_offers = slow_start_offers
        self.listed: dict[int, Endpoint] = {}
        self.known: dict[int, Endpoint] = {}
        self.tasks: dict[int, TaskArrived] = {}
        self.deadline: dict[int, float] = {}
        self.answers: Counter[int] = Counter()
        self.finished: set[int] = set()
        self.attempts: dict[int, list[dict[str, Any]]] = defaultdict(list)
        self.found: dict[tuple[int, int], tuple[int, int]] = {}
        self.timers: list[tuple[float, int]] = []

    def send(self, now: float, event: SchedulerEvent) -> None:
        for action in self.scheduler.handle(now, event):
            self.check(now, action)

    def check(self, now: float, action: SchedulerAction) -> None:
        match action:
            case SetTimer(at, token):
                self.timers.append((at, token))
            case Bind(task, target, timeout):
                self.check_bind(now, task, target)
                assert timeout > 0
                assert now + timeout <= self.deadline[task]
                self.attempts[task].append(
                    {"machine": target, "sent": now, "open": True, "placed": False, "end": None}
                )
            case Reject(task) | Fail(task):
                assert task in self.tasks
                assert task not in self.finished
                self.answers[task] += 1
                self.finished.add(task)
                assert now <= self.deadline[task]
                if isinstance(action, Reject):
                    cls = CLASSES[self.tasks[task].class_index]
                    is_unexecuted = all(a["end"] in NOT_EXECUTED_OUTCOMES for a in self.attempts[task])
                    has_global_key = (
                        cls.idempotency is Idempotency.IDEMPOTENCY_KEY
                        and cls.idempotency_scope is FailureDomain.ALL
                    )
                    assert cls.idempotency is Idempotency.IDEMPOTENT or is_unexecuted or has_global_key
            case CancelAttempt(task, number):
                assert number < len(self.attempts[task])
            case Migrate(task):
                assert task in self.finished

    def check_bind(self, now: float, task: int, target: int) -> None:
        assert task in self.tasks
        assert task not in self.finished
        attempts = self.attempts[task]
        assert len(attempts) < self.settings.max_attempts
        assert not any(a["open"] for a in attempts)
        entry = self.listed[target]
        assert entry.state is MachineState.READY
        cls = CLASSES[self.tasks[task].class_index]
        possibly_executed = [a for a in attempts if a["end"] not in NOT_EXECUTED_OUTCOMES]
        if possibly_executed and cls.idempotency is not Idempotency.IDEMPOTENT:
            assert cls.idempotency is Idempotency.IDEMPOTENCY_KEY
            assert now <= possibly_executed[0]["sent"] + cls.idempotency_window_ms
            assert all(
                domain_id(self.known[a["machine"]], cls.idempotency_scope)
                == domain_id(entry, cls.idempotency_scope)
                for a in possibly_executed
            )
        if cls.spread_domain is not FailureDomain.NONE:
            service = self.tasks[task].service
            count_in_domain = 1 + sum(
                a["open"]
                and domain_id(self.known[a["machine"]], cls.spread_domain)
                == domain_id(entry, cls.spread_domain)
                for other, other_attempts in self.attempts.items()
                if self.tasks[other].service == service
                for a in other_attempts
            )
            count_in_domain += sum(
                found_service == service
                and (
                    machine_id not in self.known
                    or domain_id(self.known[machine_id], cls.spread_domain)
                    == domain_id(entry, cls.spread_domain)
                )
                for found_service, machine_id in self.found.values()
            )
            assert count_in_domain <= cls.max_per_domain
        rules = self.settings.slow_start
        if entry.started_at and now < entry.started_at + rules.duration_ms:
            sent = self.slow_start_offers[target]
            sent.append(now)
            assert sum(at > now - rules.window_ms for at in sent) <= rules.max_offers_per_window


def domain_id(entry: Endpoint, domain: FailureDomain) -> int:
    return {
        FailureDomain.MACHINE: entry.id,
        FailureDomain.CELL: entry.cell,
        FailureDomain.ZONE: entry.zone,
    }.get(domain, 0)


@runs(derandomize=True, deadline=None, max_examples=60)
@given(seed=st.integers(0, 2**32), on_request=st.booleans())
def test_rules_hold_under_random_faults(*, seed: int, on_request: bool) -> None:
    rng = random.Random(seed)
    slow_start_offers: dict[int, list[float]] = defaultdict(list)
    placers = [
        CheckedPlacer(index, slow_start_offers, on_request=on_request) for index in range(PLACER_COUNT)
    ]
    fleet = {n: machine(n, free_cores=rng.uniform(-25, 25)) for n in range(MACHINE_COUNT)}
    now, next_task = 5000.0, 1
    for placer in placers:
        listed = EndpointList(EndpointListKind.CACHED, 1, tuple(fleet.values()))
        placer.listed.update(fleet)
        placer.known.update(fleet)
        placer.send(now, listed)
    for _ in range(250):
        until = now + rng.choice([0.0, 2.0, 15.0, 60.0, 400.0])
        now = fire_timers(placers, until)
        placer = rng.choice(placers)
        random_step(rng, placer, fleet, now, next_task)
        next_task += 1
    fire_timers(placers, now + 10_000.0)
    for placer in placers:
        for task in placer.tasks:
            assert placer.answers[task] <= 1
            assert task in placer.finished


def fire_timers(placers: list[CheckedPlacer], until: float) -> float:
    """Advance the time to `until`, firing each timer when it is due; return `until`."""
    while True:
        due = [
            (at, n, token) for n, placer in enumerate(placers) for at, token in placer.timers if at <= until
        ]
        if not due:
            return until
        at, n, token = min(due)
        placers[n].timers.remove((at, token))
        placers[n].send(at, TimerFired(token))


def random_step(
    rng: random.Random, placer: CheckedPlacer, fleet: dict[int, Endpoint], now: float, task: int
) -> None:
    step_kind = rng.random()
    open_attempts = [
        (t, n, a) for t, attempts in placer.attempts.items() for n, a in enumerate(attempts) if a["open"]
    ]
    if step_kind < 0.4:
        cls = rng.randrange(len(CLASSES))
        arrived = TaskArrived(task, cls, rng.randrange(4) * 10 + cls, 1.0, 2.0, rng.uniform(50, 4000))
        placer.tasks[task] = arrived
        placer.deadline[task] = now + arrived.timeout_ms
        placer.send(now, arrived)
    elif step_kind < 0.7 and open_attempts:
        task_id, number, attempt = rng.choice(open_attempts)
        if not attempt["placed"] and task_id not in placer.finished and rng.random() < 0.4:
            attempt["placed"] = True
            placer.finished.add(task_id)
            placer.send(now, TaskPlaced(task_id, number, attempt["machine"], 4.0))
            return
        end = (
            rng.choice([AttemptOutcome.ENDED, AttemptOutcome.RESET])
            if attempt["placed"]
            else rng.choice(list(AttemptOutcome))
        )
        is_finished = task_id in placer.finished or end in (AttemptOutcome.ENDED, AttemptOutcome.CANCELLED)
        attempt["open"], attempt["end"] = False, end
        if is_finished:
            placer.finished.add(task_id)
        load = rng.choice([None, LoadReport(rng.uniform(-1, 30), 5.0), LoadReport(float("nan"), None)])
        reason = rng.choice(list(OutcomeReason))
        placer.send(
            now, AttemptClosed(task_id, number, attempt["machine"], end, reason, is_finished, 4.0, load)
        )
    elif step_kind < 0.75 and placer.tasks:
        task_id = rng.choice(list(placer.tasks))
        placer.finished.add(task_id)
        placer.send(now, TaskWithdrawn(task_id))
    elif step_kind < 0.8:
        machine_id, service = rng.randrange(MACHINE_COUNT + 3), rng.randrange(40)
        placer.found[1_000_000 + task, 0] = service, machine_id
        placer.send(
            now, TaskFound(1_000_000 + task, service % 10 % len(CLASSES), service, 1.0, 2.0, machine_id)
        )
    elif step_kind < 0.85 and open_attempts:
        task_id, number, attempt = rng.choice(open_attempts)
        topic = rng.choice(list(StatusTopic))
        placer.send(now, TaskStatusReported(task_id, number, attempt["machine"], topic, rng.uniform(0, 1.2)))
    elif step_kind < 0.9:
        placer.send(now, EndpointList(EndpointListKind.FAILED, 0, ()))
    else:
        machine_id = rng.randrange(MACHINE_COUNT + 3)
        base = fleet.get(machine_id) or machine(machine_id)
        started = now - 5.0 if rng.random() < 0.3 else base.started_at
        fleet[machine_id] = replace(
            base,
            state=rng.choice(list(MachineState)),
            free_cores=rng.uniform(-25, 30),
            started_at=started,
        )
        placer.listed[machine_id] = placer.known[machine_id] = fleet[machine_id]
        placer.send(now, EndpointList(EndpointListKind.CHANGES, 2, (fleet[machine_id],)))
