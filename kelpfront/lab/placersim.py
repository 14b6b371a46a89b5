"""A placer and its machines in virtual time: the program's own controller and nodes, and an event queue.

What is simulated is what is not theirs: time, the network's delay, how long starts take and tasks live, and
the time that the placer's process takes for each thing that it does (`Costs`). The placer does one thing
after another; what waits for it makes its timers late, as in the real process. The same seed gives the same
run. Sockets, and many placers, are for the laboratory on loopback.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from kelpfront.api.errors import ApiError
from kelpfront.api.jobs import JobSpec, TaskState
from kelpfront.api.meta import JOBS, Object, Resource
from kelpfront.controller.admission import Arrival, overload_reason, rejection_reason
from kelpfront.controller.cluster import Cluster
from kelpfront.controller.intents import AbandonOffer, LogLine, SendHealthCheck, SendOffer, SendStop
from kelpfront.controller.job_controller import ControllerIdentity, ControllerOptions, JobController
from kelpfront.controller.jobs import JobLimits, Submission
from kelpfront.controller.load_reports import HealthCheckResult
from kelpfront.controller.tasks import Task
from kelpfront.degradation import LevelSettings
from kelpfront.inventory import Host, Inventory
from kelpfront.lab.recording import Recorder
from kelpfront.machine.admission import Capacity
from kelpfront.machine.effects import AnswerOffer, StartTask, StopTask, SupersedeAttempt
from kelpfront.machine.idempotency_records import SharedIdempotencyRecords
from kelpfront.machine.messages import Answer, Gone, Heartbeat, OfferRequest, StreamMessage
from kelpfront.machine.model import Incarnation, NodeSettings
from kelpfront.machine.node import Node
from kelpfront.machine.slow_start import SlowStart
from kelpfront.scheduling.actions import SchedulerAction
from kelpfront.scheduling.events import SchedulerEvent
from kelpfront.scheduling.scheduler import Scheduler
from kelpfront.scheduling.settings import SchedulerSettings
from kelpfront.store import ResourceStore, StoredObject

START_MS = 1_700_000_000_000.0
NETWORK_MS = 0.5
BEAT_MS = 1_000.0
CONNECT_MS = 1.0


@dataclass(frozen=True, slots=True)
class Costs:
    """Milliseconds of the placer's process; together near what one job was measured to cost (2.4 ms)."""

    taken: float = 0.9
    turned: float = 0.45
    unread: float = 0.15  # turned away before its body is parsed
    message: float = 0.25
    send: float = 0.4
    timer: float = 0.05
    decision: float = 0.05  # each event handed to the decisions ...
    waiting: float = 0.000_1  # ... and for each task that waits then; both measured on these machines


class World:
    """The event queue."""

    def __init__(self) -> None:
        self.now = START_MS
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, when: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (max(when, self.now), next(self._numbers), call))

    def after(self, ms: float, call: Callable[[], None]) -> None:
        self.at(self.now + ms, call)

    def run(self, until: float) -> None:
        while self._queue and self._queue[0][0] <= until:
            when, _, call = heapq.heappop(self._queue)
            self.now = when
            call()
        self.now = until


@dataclass(frozen=True, slots=True)
class Behaviour:
    """How tasks of a class behave on a machine."""

    start_ms: float = 120.0
    life_ms: float = 6_000.0


class Machine:
    """A machine with the program's own node."""

    def __init__(
        self,
        world: World,
        host: Host,
        behaviour: dict[str, Behaviour],
        recorder: Recorder,
        copies: SharedIdempotencyRecords,
        seed: int,
    ) -> None:
        self.world, self.host, self._recorder, self._copies = world, host, recorder, copies
        self._behaviour = behaviour
        self.rng = random.Random(f"{seed}/{host.name}")
        self.settings = NodeSettings(
            host.name,
            host.kind,
            host.rack,
            host.room,
            Capacity(host.cores, host.memory, 1.0, 1.0),
            max_pending_offers=50,
            max_parallel_starts=6,
            answer_mode="running",
            preempts=False,
            drain_mode="none",
            drain_interval_ms=0.0,
            max_cached_programs=20,
            heartbeat_ms=BEAT_MS,
            slow_start=SlowStart(1.0, 0.0),
        )
        self.placer: Placer | None = None
        self.node: Node | None = None
        self.lives = 0
        self.silent_until = 0.0
        self.late_ms = 0.0
        self.stale_ms = 0.0  # what it tells of its room is so old
        self.full: dict[str, float] = {}  # class: share of its offers that are refused as full
        self._beats: deque[tuple[float, Heartbeat]] = deque()
        self._sent = 0  # the last message that was sent on the stream
        self._replies: dict[tuple[str, int], Callable[[Answer], None]] = {}

    def record(self, ev: str, **fields: object) -> None:
        self._recorder.write(ev, machine=self.host.name, **fields)

    # ---- Lives ----------------------------------------------------------------------------------------

    def boot(self) -> None:
        self.lives += 1
        name = f"{self.host.name}-{self.lives}"
        incarnation = Incarnation(name, self.world.now - 3_600_000.0)
        node = Node(self.settings, incarnation, lambda: 4.0, self._copies)
        self.node, self._sent = node, 0
        self.record(
            "boot", boot=name, cold=False, rack=self.host.rack, room=self.host.room, kind=self.host.kind
        )
        self.connect()
        self._beat(self.lives)

    def crash(self) -> None:
        if self.node is None:
            return
        self.record("down", why="crash")
        self.node = None
        self._copies.remove_machine(self.host.name)
        placer = self.placer
        if placer is not None:
            placer.take(lambda now: placer.controller.on_link_down(now, self.host.name), 0.05)

    def connect(self) -> None:
        """The placer's stream is up: a greeting and all that is held."""
        node, placer = self.node, self.placer
        if node is None or placer is None:
            return
        outbox = node.outbox(placer.name)
        self._sent = outbox.next_seq - 1
        outbox.on_change = self._told
        self.tell(node.hello(self.world.now, placer.name, None))
        self.tell(node.snapshot(placer.name))
        self.tell(node.heartbeat())

    def _beat(self, life: int) -> None:
        if self.lives != life or self.node is None:
            return
        now = self.world.now
        self._beats.append((now, self.node.heartbeat()))
        while len(self._beats) > 1 and self._beats[1][0] <= now - self.stale_ms:
            self._beats.popleft()
        self.record("told", placer="p0", state=self._beats[0][1].state)
        self.tell(self._beats[0][1])
        self.world.after(BEAT_MS * self.rng.uniform(0.97, 1.03), lambda: self._beat(life))

    def tell(self, message: StreamMessage) -> None:
        """A message of the stream, in order; a silent machine's come when it speaks again."""
        placer = self.placer
        if placer is None:
            return
        if isinstance(message, Gone):
            self.record("gone-told", placer=placer.name, task=message.task, cause=message.cause)
        name, life = self.host.name, placer.life
        at = max(self.world.now, self.silent_until) + NETWORK_MS

        def arrive() -> None:
            if self.placer is placer and placer.life == life:
                placer.take(lambda now: placer.controller.on_machine_message(now, name, message))

        self.world.at(at, arrive)

    def _told(self) -> None:
        node, placer = self.node, self.placer
        if node is None or placer is None:
            return
        for message in node.outbox(placer.name).messages_from(self._sent + 1):
            self._sent = message.seq
            self.tell(message)

    # ---- Offers ---------------------------------------------------------------------------------------

    def offer(self, request: OfferRequest, reply: Callable[[Answer], None]) -> None:
        """An offer comes in; `reply` is called with the answer, if one comes."""
        node, offer = self.node, request.offer
        if node is None:
            return
        self.record(
            "offer",
            placer=request.placer,
            life=request.incarnation,
            task=offer.task,
            attempt=offer.attempt,
            cls=offer.cls,
            service=offer.service,
            key=offer.key,
            room=self.host.room,
            rack=self.host.rack,
        )
        self._replies[offer.task, offer.attempt] = reply
        share = self.full.get(offer.cls, 0.0)
        if share and self.rng.random() < share:
            self._answer(offer.task, offer.attempt, Answer("refused", "QUEUE_FULL", "says that it is full"))
            return
        node.offer(self.world.now, request)
        self.work()

    def _answer(self, task: str, attempt: int, answer: Answer) -> None:
        reply = self._replies.pop((task, attempt), None)
        if reply is None:
            return
        at = max(self.world.now, self.silent_until) + self.late_ms
        life = self.lives

        def send() -> None:
            if self.lives == life and self.node is not None:
                self.record("answer", task=task, attempt=attempt, answer=answer.answer, reason=answer.reason)
                self.world.after(NETWORK_MS, lambda: reply(answer))

        self.world.at(at, send)

    def abandon(self, task: str, attempt: int) -> None:
        self.record("left", task=task, attempt=attempt)
        self._replies.pop((task, attempt), None)
        if self.node is not None:
            self.node.abandon(self.world.now, task, attempt)
            self.work()

    def work(self) -> None:
        """Carries out what the node wants, and comes back when it is next due."""
        node = self.node
        if node is None:
            return
        for effect in node.pop_effects():
            match effect:
                case AnswerOffer(task, attempt, answer):
                    self._answer(task, attempt, answer)
                case StartTask():
                    self._begin(effect)
                case StopTask(task):
                    self.world.after(20.0, lambda task=task: self._exit(self.lives, task))  # type: ignore[misc]
                case SupersedeAttempt(offer):
                    node.attempt_superseded(self.world.now, offer.task, offer.attempt)
        due = node.next_timer()
        if due < float("inf"):
            life = self.lives
            self.world.at(due, lambda: self._due(life))

    def _due(self, life: int) -> None:
        if self.node is not None and self.lives == life:
            self.node.advance(self.world.now)
            self.work()

    def _begin(self, start: StartTask) -> None:
        offer, life = start.offer, self.lives
        behaviour = self._behaviour.get(offer.cls, Behaviour())
        ms = behaviour.start_ms * (2.0 if start.needs_program else 1.0) * self.rng.uniform(0.8, 1.3)
        self.record("start", task=offer.task, attempt=offer.attempt, placer=start.placer, key=offer.key)
        lives_ms = min(self.rng.expovariate(1.0 / behaviour.life_ms), 6 * behaviour.life_ms)

        def started() -> None:
            if self.node is not None and self.lives == life:
                self.node.started(self.world.now, offer.task)
                self.work()
                self.world.after(lives_ms, lambda: self._exit(life, offer.task))

        self.world.after(ms, started)

    def _exit(self, life: int, task: str) -> None:
        node = self.node
        held = None if node is None or self.lives != life else node.tasks.get(task)
        if node is None or held is None or not held.has_begun:
            return
        self.record("end", task=task, attempt=held.offer.attempt, cause=held.cause)
        node.exited(self.world.now, task, 0 if held.cause == "ended" else None)
        self.work()


class CountingScheduler(Scheduler):
    """The decisions, with a count of how often they are asked."""

    def __init__(self, settings: SchedulerSettings, seed: int, on_event: Callable[[], None]) -> None:
        super().__init__(settings, seed)
        self._on_event = on_event

    def handle(self, now: float, event: SchedulerEvent) -> list[SchedulerAction]:
        self._on_event()
        return super().handle(now, event)


class WatchedStore(ResourceStore):
    """A store that tells of each job as its owner comes to see it."""

    on_job: Callable[[Object], None] = staticmethod(lambda body: None)

    def _write(self, resource: Resource, key: tuple[str, str], body: Object, weight: int) -> StoredObject:
        if resource is JOBS:
            self.on_job(body)
        return super()._write(resource, key, body, weight)


@dataclass(slots=True, eq=False)
class Request:
    """A job that an owner asks for, and what comes of it: `done` gets an ApiError or None."""

    owner: str
    name: str
    spec: JobSpec
    done: Callable[[ApiError | None], None]
    again: bool = False
    received_at: float = 0.0


class Placer:
    """The controller, the time it takes, and the messages that wait for it. `gate` may turn work away."""

    name = "p0"

    def __init__(
        self,
        world: World,
        cluster: Cluster,
        machines: dict[str, Machine],
        levels: LevelSettings,
        seed: int,
        gate: Callable[[JobController, JobSpec], ApiError | None] = lambda controller, spec: None,
        costs: Costs | None = None,
    ) -> None:
        self.world, self.cluster, self.machines = world, cluster, machines
        self.levels, self._seed, self._gate, self.costs = levels, seed, gate, costs or Costs()
        self.lines: list[tuple[float, LogLine]] = []
        self.on_job: Callable[[Object], None] = lambda body: None
        self.on_answer: Callable[[float, Task, TaskState], None] = lambda now, task, state: None
        self.skew_ms = 0.0  # of the clock that the levels are told, against the one that all else goes by
        self.life = 0
        self.up = False
        self.busy_ms = 0.0  # all that it took
        self._urgent: deque[tuple[Callable[[float], None], float]] = deque()
        self._requests: deque[Request] = deque()
        self._spent = 0.0
        self._free_at = world.now
        self._running = False
        self._timer_at = float("inf")
        self._uids = itertools.count(1)

    # ---- Life -----------------------------------------------------------------------------------------

    def start(self) -> None:
        self.life += 1
        self.up = True
        store = WatchedStore(int(self.world.now) << 10)
        store.on_job = lambda body: self.on_job(body)
        seed = self._seed + self.life
        scheduler = CountingScheduler(self.cluster.settings, seed, self._decided)
        self.controller = JobController(
            self.cluster,
            store,
            ControllerIdentity(self.name, f"life-{self.life}", seed),
            lambda: f"uid{self.life}x{next(self._uids)}",
            ControllerOptions(JobLimits(), scheduler, self.levels, lambda: self._spent),
        )
        self._hook()
        hosts = {name: machine.host for name, machine in self.machines.items()}
        self._free_at = self.world.now
        self._timer_at = float("inf")
        self.controller.apply_inventory(self.world.now, Inventory("lab", hosts))
        for machine in self.machines.values():
            machine.placer = self
            machine.connect()
        self._arm()

    def _hook(self) -> None:
        """Lets the experiment hear of answers, and set the levels' clock."""
        levelling = self.controller.degradation
        answered, elapsed = levelling.on_answered, levelling.degradation_controller.advance_clock

        def told(now: float, task: Task, state: TaskState) -> None:
            answered(now, task, state)
            self.on_answer(now, task, state)

        levelling.on_answered = told  # type: ignore[method-assign]
        levelling.degradation_controller.advance_clock = lambda now: elapsed(now + self.skew_ms)  # type: ignore[method-assign]

    def kill(self) -> None:
        self.up = False
        self._urgent.clear()
        for request in self._requests:
            request.done(ApiError(503, "the placer is gone", retry_after_s=1))
        self._requests.clear()
        for machine in self.machines.values():
            machine.placer = None

    def _decided(self) -> None:
        controller = getattr(self, "controller", None)
        waiting = 0 if controller is None else controller.open_tasks
        self._spent += self.costs.decision + self.costs.waiting * waiting

    # ---- Its time -------------------------------------------------------------------------------------

    def take(self, call: Callable[[float], None], cost: float | None = None) -> None:
        """Something that the placer is to do soon; what it owes goes before what is asked of it."""
        if self.up:
            self._urgent.append((call, self.costs.message if cost is None else cost))
            self._wake()

    def ask(self, request: Request) -> None:
        if not self.up:
            request.done(ApiError(503, "no placer answers", retry_after_s=1))
            return
        request.received_at = self.world.now
        self._requests.append(request)
        self._wake()

    def _wake(self) -> None:
        if not self._running:
            self._running = True
            life = self.life
            self.world.at(max(self.world.now, self._free_at), lambda: self._run(life))

    def _run(self, life: int) -> None:
        self._running = False
        if not self.up or life != self.life:
            return
        now, before = self.world.now, self._spent
        if self._timer_at <= now:
            self.controller.degradation.process_load.record_timer_lag(now - self._timer_at)
            self._timer_at = float("inf")
            self.controller.advance(now)
            cost = self.costs.timer
        elif self._urgent:
            call, cost = self._urgent.popleft()
            call(now)
        elif self._requests:
            cost = self._serve(now, self._requests.popleft())
        else:
            return
        self.controller.publish_due(now)
        cost += self._carry_out()
        cost += self._spent - before
        self.busy_ms += cost
        self._free_at = now + cost
        self._arm()
        if self._urgent or self._requests:
            self._wake()

    def _arm(self) -> None:
        at = max(self.controller.next_timer(), self.world.now)
        if at < self._timer_at:
            self._timer_at = at
            life = self.life
            self.world.at(max(at, self._free_at), lambda: self._timer_due(life, at))

    def _timer_due(self, life: int, at: float) -> None:
        if self.up and life == self.life and self._timer_at == at:
            self._wake()

    def _serve(self, now: float, request: Request) -> float:
        if why := overload_reason(now, request.received_at):
            self.controller.record_early_rejection(now, request.spec.count, is_retry=request.again)
            request.done(ApiError(503, why, retry_after_s=1))
            return self.costs.unread
        patience = self.controller.timeout_ms(request.spec)
        arrival = Arrival(now, request.received_at, None, patience)
        try:
            if why := rejection_reason(
                arrival, self.controller.pending_count, self.cluster.settings.timer_resolution_ms
            ):
                self.controller.record_early_rejection(now, request.spec.count, is_retry=request.again)
                raise ApiError(503, why, retry_after_s=1)
            if (error := self._gate(self.controller, request.spec)) is not None:
                raise error
            self.controller.submit(
                now,
                Submission(
                    request.owner,
                    request.name,
                    request.spec,
                    {},
                    {},
                    request.received_at,
                    request.again,
                ),
            )
        except ApiError as error:
            request.done(error)
            return self.costs.turned
        request.done(None)
        return self.costs.taken

    # ---- What the controller wants -------------------------------------------------------------------------

    def _carry_out(self) -> float:
        cost = 0.0
        for intent in self.controller.take_intents():
            match intent:
                case SendOffer():
                    cost += self.costs.send
                    self._send(intent)
                case AbandonOffer(host, task, attempt):
                    machine = self.machines[host]
                    self.world.after(
                        NETWORK_MS,
                        lambda machine=machine, task=task, attempt=attempt: machine.abandon(task, attempt),  # type: ignore[misc]
                    )
                case SendStop():
                    cost += self.costs.message
                    self._stop(intent)
                case SendHealthCheck(host):
                    self._probe(host)
                case LogLine():
                    self.lines.append((self.world.now, intent))
        return cost

    def _send(self, sent: SendOffer) -> None:
        machine, offer, life, controller = self.machines[sent.host], sent.offer, self.life, self.controller

        def connected() -> None:
            if life != self.life or not self.up:
                return
            if machine.node is None:
                self.take(lambda now: controller.on_offer_failed(now, offer.task, offer.attempt, "refused"))
            elif not controller.clear_to_send(self.world.now, offer.task, offer.attempt):
                self.take(lambda now: controller.on_offer_failed(now, offer.task, offer.attempt, "held back"))
            else:
                request = OfferRequest(self.name, controller.incarnation, offer)
                lives = machine.lives
                arrives = max(self.world.now, machine.silent_until) + NETWORK_MS
                self.world.at(arrives, lambda: arrive(request, lives))

        def arrive(request: OfferRequest, lives: int) -> None:
            if machine.lives == lives:
                machine.offer(request, reply)

        def reply(answer: Answer) -> None:
            if life == self.life:
                self.take(lambda now: controller.on_offer_answered(now, offer.task, offer.attempt, answer))

        self.world.after(CONNECT_MS, connected)

    def _stop(self, sent: SendStop) -> None:
        machine, life, controller = self.machines[sent.host], self.life, self.controller

        def arrive() -> None:
            if machine.node is not None:
                machine.node.stop(self.world.now, sent.stop)
                machine.work()
                if life == self.life:
                    self.take(lambda now: controller.on_stop_confirmed(sent.host, sent.stop.task))

        self.world.at(max(self.world.now, machine.silent_until) + CONNECT_MS, arrive)

    def _probe(self, host: str) -> None:
        machine, life, controller = self.machines[host], self.life, self.controller
        began = self.world.now

        def arrive() -> None:
            if life != self.life:
                return
            node = machine.node
            load = None if node is None else node.load()
            took = self.world.now - began
            result = HealthCheckResult(ok=node is not None, elapsed_ms=took, load=load)
            self.take(lambda now: controller.on_health_check(now, host, result))

        self.world.at(max(self.world.now, machine.silent_until) + CONNECT_MS, arrive)


@dataclass(slots=True)
class Fleet:
    """Machines over rooms, and what records them."""

    world: World
    recorder: Recorder
    machines: dict[str, Machine] = field(default_factory=dict)

    def build(
        self, rooms: int, per_room: int, cores: float, behaviour: dict[str, Behaviour], seed: int
    ) -> None:
        copies = SharedIdempotencyRecords()
        for number in range(rooms * per_room):
            room = f"room-{number % rooms}"
            host = Host(
                f"m{number:02}",
                "plain",
                f"rack-{room}-{number // rooms // 2}",
                room,
                cores,
                2 * cores,
                "http://lab:1",
            )
            self.machines[host.name] = Machine(self.world, host, behaviour, self.recorder, copies, seed)

    def room(self, name: str) -> list[Machine]:
        return [machine for machine in self.machines.values() if machine.host.room == name]
