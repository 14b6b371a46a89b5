"""Settings and events of the tests' own, and a driver that keeps a scheduler's actions."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, TypeVar

from kelpfront import Scheduler
from kelpfront.interface import (
    Action,
    AttemptClosed,
    Bind,
    Effect,
    End,
    Event,
    ListKind,
    Machine,
    MachineList,
    MachineState,
    Place,
    Prices,
    Reason,
    Rules,
    Settings,
    TaskArrived,
    TaskClass,
    TaskFound,
    TaskPlaced,
)

A = TypeVar("A", bound=Action)


def task_class(effect: Effect = Effect.SAFE, **changes: Any) -> TaskClass:
    plain = TaskClass(
        name=effect.value,
        aim_ms=900.0,
        deadline_ms=4000.0,
        worth=2.0,
        start_worth_s=9.0,
        late_worth=0.3,
        effect=effect,
        group=Place.ZONE,
        window_ms=7000.0,
        priority=1,
        needs_kind=None,
        apart=Place.NONE,
        together_max=2,
        calm=0.9,
        fade=0.3,
    )
    return replace(plain, **changes)


def settings(*classes: TaskClass, **changes: Any) -> Settings:
    plain = Settings(
        me=0,
        siblings=3,
        zone=0,
        zones=3,
        tick_ms=1.0,
        classes=classes or (task_class(),),
        kind_cores=(30.0, 60.0),
        kind_memory=(50.0, 100.0),
        mean_cores=1.0,
        mean_memory=2.0,
        accepts_cores=1.8,
        accepts_memory=1.4,
        ack_when_running=True,
        list_on_request=False,
        list_tells_free=True,
        reports_use=True,
        pushes_out=False,
        may_probe=True,
        may_cancel=True,
        max_attempts=5,
        connect_timeout_ms=300.0,
        recheck_ms=2500.0,
        max_retry_after_ms=0.0,
        rules=Rules(
            answer_grace_ms=6.0,
            drain_grace_ms=700.0,
            ask_within_ms=8000.0,
            cold_from=0.3,
            cold_ms=14000.0,
            cold_multiple=2.2,
            cold_window_ms=1800.0,
            cold_offers=7.0,
        ),
        prices=Prices(),
    )
    return replace(plain, **changes)


def machine(ident: int, **changes: Any) -> Machine:
    plain = Machine(
        id=ident,
        kind=0,
        cell=ident // 2,
        zone=ident // 4,
        state=MachineState.READY,
        free_cores=10.0,
        free_memory=30.0,
        started_at=0.0,
    )
    return replace(plain, **changes)


def full_list(*machines: Machine, kind: ListKind = ListKind.FULL) -> MachineList:
    return MachineList(kind, 1, machines)


class Driver:
    """One scheduler with its clock and the record of all that it did."""

    def __init__(self, its_settings: Settings | None = None, seed: int = 7) -> None:
        self.scheduler = Scheduler(its_settings or settings(), seed)
        self.now = 1000.0
        self.done: list[tuple[float, Action]] = []

    def send(self, event: Event, after: float = 0.0) -> list[Action]:
        self.now += after
        actions = self.scheduler.handle(self.now, event)
        self.done.extend((self.now, action) for action in actions)
        return actions

    def listing(self, *machines: Machine, kind: ListKind = ListKind.FULL, after: float = 0.0) -> list[Action]:
        return self.send(full_list(*machines, kind=kind), after)

    def arrive(
        self, task: int, cls: int = 0, service: int = 1, cores: float = 1.0, **more: Any
    ) -> list[Action]:
        after = more.pop("after", 0.0)
        patience = more.pop("patience_ms", 4000.0)
        memory = more.pop("memory", 1.5)
        return self.send(TaskArrived(task, cls, service, cores, memory, patience), after)

    def bind(self, task: int, **more: Any) -> int:
        """Arrive and return the machine of the one bind."""
        return only(self.arrive(task, **more), Bind).machine

    def close(
        self,
        task: int,
        attempt: int,
        machine: int,
        end: End,
        reason: Reason = Reason.UNTOLD,
        over: bool = False,
        after: float = 0.0,
    ) -> list[Action]:
        return self.send(AttemptClosed(task, attempt, machine, end, reason, over, 5.0), after)

    def place(self, task: int, attempt: int, machine: int, after: float = 0.0) -> list[Action]:
        return self.send(TaskPlaced(task, attempt, machine, 5.0), after)

    def find(self, task: int, machine: int, cls: int = 0, service: int = 1) -> list[Action]:
        return self.send(TaskFound(task, cls, service, 1.0, 1.5, machine))


def of(actions: list[Action], kind: type[A]) -> list[A]:
    return [action for action in actions if isinstance(action, kind)]


def only(actions: list[Action], kind: type[A]) -> A:
    found = of(actions, kind)
    assert len(found) == 1, actions
    return found[0]
