"""A placer's controller with machines that answer as the test says."""

from __future__ import annotations

import itertools
from typing import Any

from helpers import settings, task_class
from machines import offer as an_offer

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


def cluster(**changes: Any) -> Cluster:
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
    plain = settings(*classes, max_attempts=4, **changes)
    return Cluster(plain, ("small", "large"), lost_after_ms=5000.0)


def hosts(count: int, rooms: int = 2) -> Inventory:
    return Inventory(
        "test",
        {
            f"n{n}": Host(f"n{n}", "small", f"r{n // 2}", f"room{n % rooms}", 30.0, 50.0, f"http://h:{n}")
            for n in range(count)
        },
    )


class ControllerDriver:
    """Feeds a controller and keeps what it wants done."""

    def __init__(
        self,
        machines: int = 4,
        its_cluster: Cluster | None = None,
        incarnation: str = "life-1",
        **options: Any,
    ) -> None:
        self.store = ResourceStore(0)
        uids = itertools.count(1)
        self.controller = JobController(
            its_cluster or cluster(),
            self.store,
            ControllerIdentity("p0", incarnation, seed=7),
            lambda: f"uid{next(uids)}",
            ControllerOptions(**options),
        )
        self.now = 1_000_000.0
        self.intents: list[Intent] = []
        self.seq = {f"n{n}": 0 for n in range(machines)}
        self.controller.apply_inventory(self.now, hosts(machines))
        for host in self.seq:
            self.up(host)
        self.advance(1.0)

    # ---- machines

    def tell(self, host: str, message: wire.StreamMessage) -> None:
        self.controller.on_machine_message(self.now, host, message)
        self.collect()

    def up(self, host: str, boot: str = "boot-1", age_ms: float = 1e6, *, resumed: bool = False) -> None:
        self.tell(host, wire.Hello(boot, age_ms, "small", 1000.0, resumed, self.seq[host] + 1))
        self.beat(host)

    def beat(self, host: str, state: Any = "ready", load: wire.LoadReport = LOAD) -> None:
        self.tell(host, wire.Heartbeat(state, load))

    def taken(self, host: str, uid: str, attempt: int = 0, *, running: bool = True) -> None:
        self.seq[host] += 1
        self.tell(host, wire.Taken(self.seq[host], uid, attempt, running))

    def gone(self, host: str, uid: str, attempt: int = 0, cause: Any = "ended", **more: Any) -> None:
        self.seq[host] += 1
        self.tell(host, wire.Gone(self.seq[host], uid, attempt, cause, more.pop("ran", True), **more))

    def snapshot(self, host: str, *reports: wire.TaskReport) -> None:
        self.tell(host, wire.Snapshot(self.seq[host], reports))

    # ---- offers

    def clear(self, sent: SendOffer) -> bool:
        return self.controller.clear_to_send(self.now, sent.offer.task, sent.offer.attempt)

    def answer(self, sent: SendOffer, answer: Any, reason: str = "", message: str = "") -> None:
        uid, attempt = sent.offer.task, sent.offer.attempt
        self.controller.on_offer_answered(self.now, uid, attempt, wire.Answer(answer, reason, message))
        self.collect()

    def fail(self, sent: SendOffer) -> None:
        self.controller.on_offer_failed(self.now, sent.offer.task, sent.offer.attempt, "broke")
        self.collect()

    # ---- jobs

    def submit(self, name: str = "a", cls: str = "web", received: float | None = None, **spec: Any) -> Any:
        if cls == "ingest":
            spec.setdefault("key", "batch")
        its = JobSpec.model_validate({"class": cls, "service": "front", "cores": 1, "memory": 2, **spec})
        at = self.now if received is None else received
        stored = self.controller.submit(self.now, Submission("climate", name, its, {}, {}, at))
        self.collect()
        return stored.body

    def sent(self, name: str = "a", cls: str = "web", **spec: Any) -> SendOffer:
        """Submit a job of one task and clear its first offer."""
        self.submit(name, cls, **spec)
        sent = self.last_offer()
        assert self.clear(sent)
        return sent

    def last_offer(self) -> SendOffer:
        sent: SendOffer = self.of(SendOffer)[-1]
        return sent

    def next_offer(self, after: SendOffer) -> SendOffer:
        """The offer that follows one, cleared; time passes until it comes."""
        while self.last_offer() is after:
            assert self.now < after.offer.not_after + 10_000, "no further offer"
            self.advance(10.0)
        assert self.clear(self.last_offer())
        return self.last_offer()

    def of(self, kind: Any) -> list[Any]:
        return [intent for intent in self.intents if isinstance(intent, kind)]

    @property
    def stops(self) -> list[tuple[str, str, int]]:
        return [(stop.host, stop.stop.task, stop.stop.attempt) for stop in self.of(SendStop)]

    @property
    def abandoned(self) -> list[tuple[str, str, int]]:
        return [(a.host, a.task, a.attempt) for a in self.of(AbandonOffer)]

    def collect(self) -> None:
        self.intents += self.controller.take_intents()
        self.controller.flush(self.now)

    def advance(self, ms: float, *, beats: bool = True) -> None:
        """Lets time pass by the controller's own timers; machines that are up go on telling."""
        until = self.now + ms
        while (at := self.controller.next_timer()) <= until:
            self.now = max(self.now, at)
            if beats:
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


def report(uid: str, phase: Any = "running", life: str = "life-0", attempt: int = 0, **more: Any) -> Any:
    """A machine's report of a task of a job that an earlier life of the placer knew."""
    job = more.pop("job", wire.JobRef("climate", "a", uid.rpartition("-")[0], int(uid.rpartition("-")[2]), 1))
    cause = more.pop("cause", None)
    its = an_offer(uid, attempt, job=job, service="climate/front", **more)
    return wire.TaskReport(its, life, phase, cause)
