"""Random sequences of faults over several independent placers: the five rules hold for each of them."""

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
    NOT_EXECUTED,
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
PLACERS = 3
FLEET = 6


class Client:
    """One placer with its task records, checked against the rules at each of its actions."""

    def __init__(self, index: int, slow_start_offers: dict[int, list[float]], *, on_request: bool) -> None:
        self.settings = settings(
            *CLASSES, replica_index=index, endpoint_list_on_request=on_request, machines_preempt=True
        )
        self.scheduler = Scheduler(self.settings, seed=index)
        self.slow_start_offers = slow_start_offers
        self.view: dict[int, Endpoint] = {}
        self.named: dict[int, Endpoint] = {}
        self.tasks: dict[int, TaskArrived] = {}
        self.deadline: dict[int, float] = {}
        self.answers: Counter[int] = Counter()
        self.over: set[int] = set()
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
                assert task not in self.over
                self.answers[task] += 1
                self.over.add(task)
                assert now <= self.deadline[task]
                if isinstance(action, Reject):
                    cls = CLASSES[self.tasks[task].class_index]
                    known = all(a["end"] in NOT_EXECUTED for a in self.attempts[task])
                    has_global_key = (
                        cls.idempotency is Idempotency.IDEMPOTENCY_KEY
                        and cls.idempotency_scope is FailureDomain.ALL
                    )
                    assert cls.idempotency is Idempotency.IDEMPOTENT or known or has_global_key
            case CancelAttempt(task, number):
                assert number < len(self.attempts[task])
            case Migrate(task):
                assert task in self.over

    def check_bind(self, now: float, task: int, target: int) -> None:
        assert task in self.tasks
        assert task not in self.over
        made = self.attempts[task]
        assert len(made) < self.settings.max_attempts
        assert not any(a["open"] for a in made)
        entry = self.view[target]
        assert entry.state is MachineState.READY
        cls = CLASSES[self.tasks[task].class_index]
        maybe = [a for a in made if a["end"] not in NOT_EXECUTED]
        if maybe and cls.idempotency is not Idempotency.IDEMPOTENT:
            assert cls.idempotency is Idempotency.IDEMPOTENCY_KEY
            assert now <= maybe[0]["sent"] + cls.idempotency_window_ms
            assert all(
                domain_id(self.named[a["machine"]], cls.idempotency_scope)
                == domain_id(entry, cls.idempotency_scope)
                for a in maybe
            )
        if cls.spread_domain is not FailureDomain.NONE:
            service = self.tasks[task].service
            there = 1 + sum(
                a["open"]
                and domain_id(self.named[a["machine"]], cls.spread_domain)
                == domain_id(entry, cls.spread_domain)
                for other, attempts in self.attempts.items()
                if self.tasks[other].service == service
                for a in attempts
            )
            there += sum(
                its_service == service
                and (
                    on not in self.named
                    or domain_id(self.named[on], cls.spread_domain) == domain_id(entry, cls.spread_domain)
                )
                for its_service, on in self.found.values()
            )
            assert there <= cls.max_per_domain
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
    chance = random.Random(seed)
    slow_start_offers: dict[int, list[float]] = defaultdict(list)
    clients = [Client(index, slow_start_offers, on_request=on_request) for index in range(PLACERS)]
    fleet = {n: machine(n, free_cores=chance.uniform(-25, 25)) for n in range(FLEET)}
    now, next_task = 5000.0, 1
    for client in clients:
        listed = EndpointList(EndpointListKind.CACHED, 1, tuple(fleet.values()))
        client.view.update(fleet)
        client.named.update(fleet)
        client.send(now, listed)
    for _ in range(250):
        until = now + chance.choice([0.0, 2.0, 15.0, 60.0, 400.0])
        now = fire_timers(clients, until)
        client = chance.choice(clients)
        step(chance, client, fleet, now, next_task)
        next_task += 1
    fire_timers(clients, now + 10_000.0)
    for client in clients:
        for task in client.tasks:
            assert client.answers[task] <= 1
            assert task in client.over


def fire_timers(clients: list[Client], until: float) -> float:
    """Let time go on to `until`, each timer at its own time."""
    while True:
        due = [
            (at, n, token) for n, client in enumerate(clients) for at, token in client.timers if at <= until
        ]
        if not due:
            return until
        at, n, token = min(due)
        clients[n].timers.remove((at, token))
        clients[n].send(at, TimerFired(token))


def step(chance: random.Random, client: Client, fleet: dict[int, Endpoint], now: float, task: int) -> None:
    kind = chance.random()
    opened = [(t, n, a) for t, made in client.attempts.items() for n, a in enumerate(made) if a["open"]]
    if kind < 0.4:
        cls = chance.randrange(len(CLASSES))
        arrived = TaskArrived(task, cls, chance.randrange(4) * 10 + cls, 1.0, 2.0, chance.uniform(50, 4000))
        client.tasks[task] = arrived
        client.deadline[task] = now + arrived.timeout_ms
        client.send(now, arrived)
    elif kind < 0.7 and opened:
        ident, number, attempt = chance.choice(opened)
        if not attempt["placed"] and ident not in client.over and chance.random() < 0.4:
            attempt["placed"] = True
            client.over.add(ident)
            client.send(now, TaskPlaced(ident, number, attempt["machine"], 4.0))
            return
        end = (
            chance.choice([AttemptOutcome.ENDED, AttemptOutcome.RESET])
            if attempt["placed"]
            else chance.choice(list(AttemptOutcome))
        )
        over = ident in client.over or end in (AttemptOutcome.ENDED, AttemptOutcome.CANCELLED)
        attempt["open"], attempt["end"] = False, end
        if over:
            client.over.add(ident)
        load = chance.choice([None, LoadReport(chance.uniform(-1, 30), 5.0), LoadReport(float("nan"), None)])
        reason = chance.choice(list(OutcomeReason))
        client.send(now, AttemptClosed(ident, number, attempt["machine"], end, reason, over, 4.0, load))
    elif kind < 0.75 and client.tasks:
        ident = chance.choice(list(client.tasks))
        client.over.add(ident)
        client.send(now, TaskWithdrawn(ident))
    elif kind < 0.8:
        on, service = chance.randrange(FLEET + 3), chance.randrange(40)
        client.found[1_000_000 + task, 0] = service, on
        client.send(now, TaskFound(1_000_000 + task, service % 10 % len(CLASSES), service, 1.0, 2.0, on))
    elif kind < 0.85 and opened:
        ident, number, attempt = chance.choice(opened)
        topic = chance.choice(list(StatusTopic))
        client.send(now, TaskStatusReported(ident, number, attempt["machine"], topic, chance.uniform(0, 1.2)))
    elif kind < 0.9:
        client.send(now, EndpointList(EndpointListKind.FAILED, 0, ()))
    else:
        ident = chance.randrange(FLEET + 3)
        base = fleet.get(ident) or machine(ident)
        started = now - 5.0 if chance.random() < 0.3 else base.started_at
        fleet[ident] = replace(
            base,
            state=chance.choice(list(MachineState)),
            free_cores=chance.uniform(-25, 30),
            started_at=started,
        )
        client.view[ident] = client.named[ident] = fleet[ident]
        client.send(now, EndpointList(EndpointListKind.CHANGES, 2, (fleet[ident],)))
