"""A driver for the controller of a placer, with simulated machines that answer as a test specifies."""

from __future__ import annotations

import itertools
from typing import Any

from helpers import settings, task_class
from machines import offer as make_offer

from kelpfront.api.jobs import JobSpec
from kelpfront.api.meta import JOBS, MACHINES
from kelpfront.controller.cluster import Cluster
from kelpfront.controller.intents import AbandonOffer, Intent, SendOffer, SendStop
from kelpfront.controller.job_controller import ControllerIdentity, ControllerOptions, JobController
from kelpfront.controller.jobs import Submission
from kelpfront.inventory import Host, Inventory
from kelpfront.machine import messages as wire
from kelpfront.scheduling.settings import FailureDomain, Idempotency
from kelpfront.store import ResourceStore

LOAD = wire.LoadReport(20.0, 40.0, 20.0, 40.0)


def make_cluster(**changes: Any) -> Cluster:
    classes = changes.pop("classes", None) or (
        task_class(Idempotency.IDEMPOTENT, name="web", deadline_ms=4000.0),
        task_class(
            Idempotency.IDEMPOTENCY_KEY,
            name="ingest",
            idempotency_scope=FailureDomain.ZONE,
            idempotency_window_ms=7000.0,
        ),
        task_class(Idempotency.NON_IDEMPOTENT, name="blend", deadline_ms=4000.0),
    )
    scheduler_settings = settings(*classes, max_attempts=4, **changes)
    return Cluster(scheduler_settings, ("small", "large"), lost_after_ms=5000.0)


def make_inventory(count: int, rooms: int = 2) -> Inventory:
    return Inventory(
        "test",
        {
            f"n{n}": Host(f"n{n}", "small", f"r{n // 2}", f"room{n % rooms}", 30.0, 50.0, f"http://h:{n}")
            for n in range(count)
        },
    )


class ControllerDriver:
    """Passes events to a controller and collects the intents that it returns."""

    def __init__(
        self,
        machines: int = 4,
        cluster: Cluster | None = None,
        incarnation: str = "life-1",
        **options: Any,
    ) -> None:
        self.store = ResourceStore(0)
        uids = itertools.count(1)
        self.controller = JobController(
            cluster or make_cluster(),
            self.store,
            ControllerIdentity("p0", incarnation, seed=7),
            lambda: f"uid{next(uids)}",
            ControllerOptions(**options),
        )
        self.now = 1_000_000.0
        self.intents: list[Intent] = []
        self.seq = {f"n{n}": 0 for n in range(machines)}
        self.controller.apply_inventory(self.now, make_inventory(machines))
        for host in self.seq:
            self.connect(host)
        self.advance(1.0)

    # ---- Messages of machines

    def send_message(self, host: str, message: wire.StreamMessage) -> None:
        self.controller.on_machine_message(self.now, host, message)
        self.collect()

    def connect(self, host: str, boot: str = "boot-1", age_ms: float = 1e6, *, resumed: bool = False) -> None:
        self.send_message(host, wire.Hello(boot, age_ms, "small", 1000.0, resumed, self.seq[host] + 1))
        self.send_heartbeat(host)

    def send_heartbeat(self, host: str, state: Any = "ready", load: wire.LoadReport = LOAD) -> None:
        self.send_message(host, wire.Heartbeat(state, load))

    def report_taken(self, host: str, uid: str, attempt: int = 0, *, running: bool = True) -> None:
        self.seq[host] += 1
        self.send_message(host, wire.Taken(self.seq[host], uid, attempt, running))

    def report_gone(self, host: str, uid: str, attempt: int = 0, cause: Any = "ended", **fields: Any) -> None:
        self.seq[host] += 1
        self.send_message(
            host, wire.Gone(self.seq[host], uid, attempt, cause, fields.pop("ran", True), **fields)
        )

    def send_snapshot(self, host: str, *reports: wire.TaskReport) -> None:
        self.send_message(host, wire.Snapshot(self.seq[host], reports))

    # ---- Offers

    def clear(self, sent: SendOffer) -> bool:
        return self.controller.clear_to_send(self.now, sent.offer.task, sent.offer.attempt)

    def answer_offer(self, sent: SendOffer, answer: Any, reason: str = "", message: str = "") -> None:
        uid, attempt = sent.offer.task, sent.offer.attempt
        self.controller.on_offer_answered(self.now, uid, attempt, wire.Answer(answer, reason, message))
        self.collect()

    def fail_offer(self, sent: SendOffer) -> None:
        self.controller.on_offer_failed(self.now, sent.offer.task, sent.offer.attempt, "broke")
        self.collect()

    # ---- Jobs

    def submit(self, name: str = "a", cls: str = "web", received: float | None = None, **spec: Any) -> Any:
        if cls == "ingest":
            spec.setdefault("key", "batch")
        job_spec = JobSpec.model_validate({"class": cls, "service": "front", "cores": 1, "memory": 2, **spec})
        received_at = self.now if received is None else received
        stored = self.controller.submit(self.now, Submission("climate", name, job_spec, {}, {}, received_at))
        self.collect()
        return stored.body

    def submit_and_clear(self, name: str = "a", cls: str = "web", **spec: Any) -> SendOffer:
        """Submit a job of one task, and clear its first offer for sending."""
        self.submit(name, cls, **spec)
        sent = self.last_offer()
        assert self.clear(sent)
        return sent

    def last_offer(self) -> SendOffer:
        sent: SendOffer = self.intents_of(SendOffer)[-1]
        return sent

    def next_offer(self, after: SendOffer) -> SendOffer:
        """Advance time until another offer follows `after`; return it, cleared for sending."""
        while self.last_offer() is after:
            assert self.now < after.offer.not_after + 10_000, "no further offer"
            self.advance(10.0)
        assert self.clear(self.last_offer())
        return self.last_offer()

    def intents_of(self, kind: Any) -> list[Any]:
        return [intent for intent in self.intents if isinstance(intent, kind)]

    @property
    def stops(self) -> list[tuple[str, str, int]]:
        return [(stop.host, stop.stop.task, stop.stop.attempt) for stop in self.intents_of(SendStop)]

    @property
    def abandoned(self) -> list[tuple[str, str, int]]:
        return [(offer.host, offer.task, offer.attempt) for offer in self.intents_of(AbandonOffer)]

    def collect(self) -> None:
        self.intents += self.controller.take_intents()
        self.controller.flush(self.now)

    def advance(self, ms: float, *, heartbeats: bool = True) -> None:
        """Advance time from timer to timer of the controller; connected machines stay in contact."""
        until = self.now + ms
        while (due_at := self.controller.next_timer()) <= until:
            self.now = max(self.now, due_at)
            if heartbeats:
                for entry in self.controller.registry.entries.values():
                    if entry.link_up:
                        self.controller.registry.record_contact(self.now, entry.name)
            self.controller.advance(self.now)
            self.collect()
        self.now = until

    def job(self, name: str = "a") -> Any:
        self.controller.flush(self.now)
        return self.store.get(JOBS, ("climate", name)).body

    def task(self, name: str = "a", index: int = 0) -> Any:
        return next(task for task in self.job(name)["status"]["tasks"] if task["index"] == index)

    def state(self, name: str = "a", index: int = 0) -> tuple[str, str | None]:
        task = self.task(name, index)
        return task["state"], task.get("answer")

    def machine(self, host: str) -> Any:
        self.controller.flush(self.now)
        return self.store.get(MACHINES, ("", host)).body


def task_report(
    uid: str, phase: Any = "running", incarnation: str = "life-0", attempt: int = 0, **fields: Any
) -> Any:
    """Return a machine's report of a task that was offered by an earlier incarnation of the placer."""
    job = fields.pop(
        "job", wire.JobRef("climate", "a", uid.rpartition("-")[0], int(uid.rpartition("-")[2]), 1)
    )
    cause = fields.pop("cause", None)
    offer = make_offer(uid, attempt, job=job, service="climate/front", **fields)
    return wire.TaskReport(offer, incarnation, phase, cause)
