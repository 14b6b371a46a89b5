"""Builders of node settings and offers, a driver of a node in virtual time, and a fake task runtime."""

from __future__ import annotations

import asyncio
from typing import Any

from kelpfront.machine.admission import Capacity
from kelpfront.machine.effects import AnswerOffer, Effect, StartTask, StopTask, SupersedeAttempt
from kelpfront.machine.idempotency_records import SharedIdempotencyRecords
from kelpfront.machine.messages import Answer, JobRef, Offer, OfferRequest, StopRequest
from kelpfront.machine.model import Incarnation, NodeSettings
from kelpfront.machine.node import Node
from kelpfront.machine.server import MachineServer
from kelpfront.machine.slow_start import SlowStart


def node_settings(**changes: Any) -> NodeSettings:
    defaults: dict[str, Any] = {
        "name": "n1",
        "kind": "small",
        "rack": "r1",
        "zone": "east",
        "capacity": Capacity(10.0, 20.0, 2.0, 1.5),
        "max_pending_offers": 4,
        "max_parallel_starts": 2,
        "answer_mode": "running",
        "preempts": False,
        "drain_mode": "none",
        "drain_interval_ms": 100.0,
        "max_cached_programs": 2,
        "heartbeat_ms": 200.0,
        "slow_start": SlowStart(1.0, 0.0),
    }
    return NodeSettings(**{**defaults, **changes})


def offer(task: str, attempt: int = 0, **changes: Any) -> Offer:
    defaults: dict[str, Any] = {
        "job": JobRef("climate", f"job-{task}", f"uid-{task}", 0),
        "cls": "web",
        "service": "climate/front",
        "cores": 1.0,
        "memory": 2.0,
        "effect": "safe",
        "not_after": 1e15,
    }
    return Offer(task=task, attempt=attempt, **{**defaults, **changes})


def request(task: str, attempt: int = 0, placer: str = "p0", **changes: Any) -> OfferRequest:
    return OfferRequest(placer, "life-1", offer(task, attempt, **changes))


class NodeDriver:
    """A node with a virtual clock, whose stops succeed at once.

    Starts succeed at once or, without `starts_at_once`, when `started` is called.
    """

    def __init__(self, *, starts_at_once: bool = True, evaluation_ms: float = 0.0, **changes: Any) -> None:
        records = changes.pop("records", SharedIdempotencyRecords())
        incarnation = Incarnation("boot-1", 0.0)
        self.node = Node(node_settings(**changes), incarnation, lambda: evaluation_ms, records)
        self.now = 1000.0
        self.starts_at_once = starts_at_once
        self.answers: dict[tuple[str, int], Answer] = {}
        self.starts: list[StartTask] = []
        self.stops: list[StopTask] = []

    def run(self) -> None:
        """Carry out the node's effects until none are left."""
        while effects := self.node.pop_effects():
            for effect in effects:
                self._carry_out(effect)

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case AnswerOffer(task, attempt, answer):
                first = self.answers.setdefault((task, attempt), answer)
                assert first == answer, "an offer has one answer, which may only be repeated"
            case StartTask():
                self.starts.append(effect)
                if self.starts_at_once:
                    self.node.started(self.now, effect.offer.task)
            case SupersedeAttempt(offered):
                self.node.attempt_superseded(self.now, offered.task, offered.attempt)
            case StopTask():
                self.stops.append(effect)
                self.node.exited(self.now, effect.task)

    def offer(self, task: str, attempt: int = 0, after: float = 0.0, **changes: Any) -> Answer | None:
        self.now += after
        self.node.offer(self.now, request(task, attempt, **changes))
        self.run()
        return self.answers.get((task, attempt))

    def stop(self, task: str, attempt: int = 0) -> str:
        found = self.node.stop(self.now, StopRequest("p0", task, attempt)).found
        self.run()
        return found

    def started(self, task: str) -> None:
        self.node.started(self.now, task)
        self.run()

    def advance(self, ms: float) -> None:
        """Advance the clock by `ms`, and stop at each time at which the node's timer is due."""
        end = self.now + ms
        while (due := self.node.next_timer()) <= end:
            self.now = max(self.now, due)
            self.node.advance(self.now)
            self.run()
        self.now = end
        self.node.advance(self.now)
        self.run()


class InstantRuntime:
    """Starts tasks at once unless `defers_starts` is set; stops them at once."""

    def __init__(self) -> None:
        self.server: MachineServer | None = None
        self.deferred: list[str] = []
        self.defers_starts = False

    def start_task(self, start: StartTask) -> None:
        if self.defers_starts:
            self.deferred.append(start.offer.task)
        else:
            asyncio.get_running_loop().call_soon(self.start, start.offer.task)

    def start(self, task: str) -> None:
        assert self.server is not None
        self.server.node.started(1.0, task)
        self.server.apply_effects()

    def stop_task(self, stop: StopTask) -> None:
        assert self.server is not None
        self.server.node.exited(1.0, stop.task)

    def supersede_attempt(self, superseding: SupersedeAttempt) -> None:
        assert self.server is not None
        offer = superseding.offer
        self.server.node.attempt_superseded(1.0, offer.task, offer.attempt)


def answer_and_reason(answer: Answer | None) -> tuple[str, str]:
    assert answer is not None
    return answer.answer, answer.reason


def reported_messages(driver: NodeDriver, placer: str = "p0") -> list[Any]:
    return list(driver.node.outbox(placer).messages_from(1))
