"""The state of one machine: asks that wait, tasks that start, run and stop, what placers are told. No I/O.

Who holds a `Node` feeds it what happens (an offer, a process that started, a timer) with the time, then takes
its effects and carries them out in order. Asks are weighed one at a time; a few starts run at a time, fewer
while the machine is cold. An offer is known by task and attempt: one that comes again gets the first answer.
"""

from __future__ import annotations

import math
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeVar

from kelpfront.machine.admission import Capacity, Claim, evict, weigh
from kelpfront.machine.messages import (
    NOT_HERE,
    QUEUE_FULL,
    Answer,
    Gone,
    GoneCause,
    Heartbeat,
    Hello,
    LoadReport,
    Note,
    Offer,
    OfferRequest,
    Snapshot,
    StopReply,
    StopRequest,
    TaskReport,
)
from kelpfront.machine.outbox import Outbox
from kelpfront.machine.warmup import Warmup

K = TypeVar("K")
V = TypeVar("V")

START_FAILED = "START_FAILED"  # the reason where a task's process could not be made: it never ran

ANSWERS_KEPT = 10_000  # answers given, so that an offer that comes again is answered alike
ENDED_KEPT = 2_000  # ended tasks that a snapshot still tells of
STOPS_KEPT = 2_000  # stops that came before their offer, as they may on another connection
PLACERS_MOST = 1_000  # placers that this machine keeps an outbox for


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """What a machine is and how it takes tasks."""

    name: str
    kind: str
    rack: str
    room: str
    capacity: Capacity
    line: int  # asks that may wait
    parallel_starts: int
    answers: str  # "running" or "accepted": when an offer is answered
    pushes_out: bool
    drain: str  # "none", "paced" or "at_once": whether a draining machine sends its tasks away
    drain_pace_ms: float
    kept_programs: int  # services whose program stays for a while after their last task
    heartbeat_ms: float
    warmup: Warmup
    start_rate: float | None = None  # starts a millisecond that are begun at the most when warm


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer the offer of this attempt, on each connection that waits for it."""

    task: str
    attempt: int
    answer: Answer


@dataclass(frozen=True, slots=True)
class Begin:
    """Start the task. `dear` where the machine holds none of its service and has not kept the program."""

    offer: Offer
    placer: str
    dear: bool


@dataclass(frozen=True, slots=True)
class Halt:
    """Stop a task that starts or runs; `exited` is told when it has gone."""

    task: str
    cause: GoneCause


Effect = Reply | Begin | Halt


@dataclass(slots=True, eq=False)
class Held:
    """A task of which an offer came in and which is not over."""

    offer: Offer
    placer: str
    incarnation: str
    phase: str  # "line", "queued", "starting", "running" or "stopping"
    since: float
    replied: bool = False
    cause: GoneCause = "ended"  # told when it has gone
    used_cores: float = 0.0
    used_memory: float = 0.0
    blocked_by: set[str] = field(default_factory=set)  # tasks pushed out for it that have not gone yet

    @property
    def ran(self) -> bool:
        return self.phase not in ("line", "queued")


class CopyBoard:
    """Which machine of a group holds the copy of a key; shared by the machines of the group."""

    def __init__(self) -> None:
        self._holders: dict[tuple[str, str], tuple[str, str]] = {}

    def holder(self, group: str, key: str) -> tuple[str, str] | None:
        """Machine and task of the copy that stands."""
        return self._holders.get((group, key))

    def put(self, group: str, key: str, machine: str, task: str) -> None:
        self._holders[group, key] = machine, task

    def remove(self, group: str, key: str, machine: str, task: str) -> None:
        if self._holders.get((group, key)) == (machine, task):
            del self._holders[group, key]

    def remove_machine(self, machine: str) -> None:
        """Forgets what a machine held that is dead."""
        for place, (holder, _) in list(self._holders.items()):
            if holder == machine:
                del self._holders[place]


class Node:
    """One life of a machine, from boot to its end. Times are milliseconds of the common clock."""

    def __init__(
        self,
        settings: NodeSettings,
        boot: str,
        started_at: float,
        weigh_ms: Callable[[], float] = lambda: 0.0,
        copies: CopyBoard | None = None,
    ) -> None:
        self.settings, self.boot, self.started_at = settings, boot, started_at
        self.draining = False
        self.other_cores = 0.0  # in use by programs that are not tasks
        self.other_memory = 0.0
        self._weigh_ms = weigh_ms
        self._copies = copies or CopyBoard()
        self._held: dict[str, Held] = {}
        self._line: deque[Held] = deque()
        self._weighed_at = math.inf  # when the head of the line will have been weighed
        self._queue: deque[Held] = deque()
        self._starting = 0
        self._next_start_at = -math.inf
        self._evict_at = math.inf
        self._services: Counter[str] = Counter()
        self._kept: OrderedDict[str, None] = OrderedDict()
        self._answers: OrderedDict[tuple[str, int], Answer] = OrderedDict()
        self._stops: OrderedDict[str, int] = OrderedDict()
        self._ended: OrderedDict[str, tuple[str, TaskReport]] = OrderedDict()
        self._outboxes: dict[str, Outbox] = {}
        self._effects: list[Effect] = []

    # ---- What happens -----------------------------------------------------------------------------------

    def offer(self, now: float, request: OfferRequest) -> None:
        """An offer came in; a Reply to it follows, now or later."""
        offer = request.offer
        known = self._answers.get((offer.task, offer.attempt))
        if known is not None:
            self._effects.append(Reply(offer.task, offer.attempt, known))
            return
        held = self._held.get(offer.task)
        if held is not None and not self._supersede(now, held, request):
            return
        refusal = self._refuse_at_once(offer)
        if refusal is not None:
            self._answer(offer, refusal)
            return
        held = Held(offer, request.placer, request.incarnation, "line", now)
        self._held[offer.task] = held
        self._line.append(held)
        self.advance(now)

    def abandon(self, now: float, task: str, attempt: int) -> None:
        """Nobody waits for the answer any more. What has not begun is dropped and will not run."""
        held = self._held.get(task)
        if held is not None and held.offer.attempt == attempt and not held.replied and not held.ran:
            self._drop(now, held)
            self.advance(now)

    def stop(self, now: float, request: StopRequest) -> StopReply:
        """A placer no longer wants an attempt, or any earlier one of the task."""
        held = self._held.get(request.task)
        if held is None or held.offer.attempt > request.attempt:
            if held is None and request.task not in self._ended:
                _keep(self._stops, request.task, request.attempt, STOPS_KEPT)
            return StopReply("unknown")
        if not held.ran:
            self._hand_back(now, held, "stopped", Answer("refused", NOT_HERE, "stopped by its placer"))
            self.advance(now)
            return StopReply("stopped")
        self._halt(held, "stopped")
        return StopReply("stopping")

    def started(self, now: float, task: str) -> None:
        """The task runs."""
        held = self._held.get(task)
        if held is None or held.phase != "starting":
            return
        held.phase = "running"
        self._starting -= 1
        self.outbox(held.placer).taken(task, held.offer.attempt, running=True)
        if not held.replied:
            self._reply(held, Answer("running", load=self.load()))
        self.advance(now)

    def start_failed(self, now: float, task: str, message: str) -> None:
        """The task's process could not be made; it never ran."""
        held = self._held.get(task)
        if held is None or held.phase not in ("starting", "stopping"):
            return
        self._end(now, held, "failed", ran=False, message=message)
        if not held.replied:
            self._reply(held, Answer("refused", START_FAILED, message, self.load()))
        self.advance(now)

    def exited(self, now: float, task: str, exit_code: int | None = None) -> None:
        """The task's process is gone, by itself or halted."""
        held = self._held.get(task)
        if held is None or not held.ran:
            return
        self._end(now, held, held.cause, ran=True, exit_code=exit_code)
        if not held.replied:
            self._reply(held, Answer("error", "", "the task ended before its start was answered"))
        self.advance(now)

    def failed(self, now: float, task: str, message: str) -> None:
        """The start failed in a way that proves nothing: answered as an error."""
        held = self._held.get(task)
        if held is None or not held.ran:
            return
        self._end(now, held, "failed", ran=True, message=message)
        if not held.replied:
            self._reply(held, Answer("error", "", message, self.load()))
        self.advance(now)

    def used(self, now: float, use: dict[str, tuple[float, float]]) -> None:
        """Cores and memory that tasks use; evicts where memory has run out."""
        for task, (cores, memory) in use.items():
            if (held := self._held.get(task)) is not None:
                held.used_cores, held.used_memory = cores, memory
        claims = [self._claim(held) for held in self._held.values() if held.phase in ("starting", "running")]
        for task in evict(self.settings.capacity, claims, self.other_memory):
            self._halt(self._held[task], "evicted")
        self.advance(now)

    def note(self, note: Note) -> None:
        """Tell the task's placer how it fares."""
        held = self._held.get(note.task)
        if held is not None and held.phase == "running":
            self.outbox(held.placer).note(note)

    def drain(self, now: float, on: bool) -> None:
        """Take nothing new from now on, or take tasks again."""
        if self.draining == on:
            return
        self.draining = on
        self._evict_at = math.inf
        if on:
            for held in [*self._line, *self._queue]:
                self._hand_back(now, held, "sent-away", Answer("refused", NOT_HERE, "draining"))
            if self.settings.drain != "none":
                self._evict_at = now
        self.advance(now)

    def advance(self, now: float) -> None:
        """Do what is due by now: weigh the next ask, begin starts, send tasks away."""
        while self._line:
            if self._weighed_at == math.inf:
                self._weighed_at = now + self._weigh_ms()
            if self._weighed_at > now:
                break
            self._weighed_at = math.inf
            self._decide(now, self._line.popleft())
        if not self._line:
            self._weighed_at = math.inf
        self._begin(now)
        while self._evict_at <= now:
            self._send_away(now)

    def next_timer(self) -> float:
        """When `advance` is next due; infinity where nothing is."""
        start_at = self._next_start_at if self._queue and self.settings.start_rate else math.inf
        return min(self._weighed_at, start_at, self._evict_at)

    def take_effects(self) -> list[Effect]:
        effects, self._effects = self._effects, []
        return effects

    # ---- What is told -----------------------------------------------------------------------------------

    @property
    def tasks(self) -> dict[str, Held]:
        """Tasks by uid; not to be changed."""
        return self._held

    def outbox(self, placer: str) -> Outbox:
        """The outbox to a placer, made at its first offer or stream."""
        outbox = self._outboxes.get(placer)
        if outbox is None:
            if len(self._outboxes) >= PLACERS_MOST:
                wanted = {held.placer for held in self._held.values()}
                idle = next((name for name in self._outboxes if name not in wanted), None)
                if idle is None:
                    raise OverflowError(f"{PLACERS_MOST} placers have tasks here, which is the most")
                del self._outboxes[idle]
            outbox = self._outboxes[placer] = Outbox()
        return outbox

    def hello(self, now: float, placer: str, next_seq: int | None) -> Hello:
        """What a placer's stream begins with; `next_seq` is the first number that it has not seen."""
        outbox = self.outbox(placer)
        resumed = next_seq is not None and outbox.reaches(next_seq)
        return Hello(
            self.boot,
            max(0.0, now - self.started_at),
            self.settings.kind,
            self.settings.heartbeat_ms,
            resumed,
            next_seq if resumed and next_seq is not None else outbox.next_seq,
        )

    def snapshot(self, placer: str) -> Snapshot:
        """All that is held for a placer, and what of its tasks ended not long ago."""
        tasks = [report for owner, report in self._ended.values() if owner == placer]
        tasks += [self._report(held) for held in self._held.values() if held.placer == placer]
        return Snapshot(self.outbox(placer).next_seq - 1, tuple(tasks))

    def heartbeat(self) -> Heartbeat:
        return Heartbeat("draining" if self.draining else "ready", self.load())

    def load(self) -> LoadReport:
        capacity = self.settings.capacity
        cores = memory = used_cores = used_memory = 0.0
        for held in self._held.values():
            if held.phase in ("queued", "starting", "running"):
                cores += held.offer.cores
                memory += held.offer.memory
                used_cores += held.used_cores
                used_memory += held.used_memory
        used_cores += self.other_cores
        used_memory += self.other_memory
        return LoadReport(
            round(capacity.cores - cores, 3),
            round(capacity.memory - memory, 3),
            round(capacity.cores - used_cores, 3),
            round(capacity.memory - used_memory, 3),
            len(self._line) + len(self._queue) + self._starting,
            round(min(1.0, used_cores / capacity.cores), 3),
        )

    # ---- Asks -------------------------------------------------------------------------------------------

    def _refuse_at_once(self, offer: Offer) -> Answer | None:
        if self._stops.get(offer.task, -1) >= offer.attempt:
            return Answer("refused", NOT_HERE, "stopped by its placer before it came")
        if self.draining:
            return Answer("refused", NOT_HERE, "draining", self.load())
        if offer.needs_kind and offer.needs_kind != self.settings.kind:
            return Answer("refused", NOT_HERE, f"kind {self.settings.kind}, {offer.needs_kind} needed")
        if len(self._line) >= self.settings.line:
            return Answer("refused", QUEUE_FULL, f"{len(self._line)} asks wait", self.load())
        return None

    def _supersede(self, now: float, held: Held, request: OfferRequest) -> bool:
        """Another attempt of a task that is here. True where the new offer is to be weighed.

        The task stays one: a copy that starts or runs is taken over, never started again.
        """
        new, old = request.offer, held.offer
        if new.attempt == old.attempt:
            return False  # the same offer again: answered when the first is
        if new.attempt < old.attempt:
            self._answer(new, Answer("refused", NOT_HERE, f"attempt {old.attempt} is here"))
            return False
        if held.phase == "stopping":
            self._answer(new, Answer("refused", NOT_HERE, "an earlier attempt is being stopped"))
            return False
        if not held.ran:
            self._hand_back(now, held, "stopped", Answer("refused", NOT_HERE, "a later attempt came"))
            return True
        if not held.replied:
            self._answer(old, Answer("error", "", "a later attempt took the copy over"))
        held.offer, held.placer, held.incarnation = new, request.placer, request.incarnation
        held.replied = False
        if held.phase == "running":
            self.outbox(held.placer).taken(new.task, new.attempt, running=True)
            self._reply(held, Answer("running", load=self.load()))
        elif self.settings.answers == "accepted":
            self.outbox(held.placer).taken(new.task, new.attempt, running=False)
            self._reply(held, Answer("accepted", load=self.load()))
        return False

    def _decide(self, now: float, held: Held) -> None:
        """The head of the line has been weighed."""
        offer = held.offer
        if now > offer.not_after:
            self._refuse(held, Answer("refused", NOT_HERE, "too late"))
            return
        if offer.key and (stands := self._copies.holder(self._group(offer), offer.key)) is not None:
            self._refuse(held, Answer("refused", NOT_HERE, f"a copy stands on {stands[0]}"))
            return
        claims = [
            self._claim(other)
            for other in self._held.values()
            if other.phase in ("queued", "starting", "running")
        ]
        verdict = weigh(
            self.settings.capacity,
            claims,
            offer.priority,
            offer.cores,
            offer.memory,
            self.settings.pushes_out,
        )
        if verdict.reason:
            self._refuse(held, Answer("refused", verdict.reason, verdict.message, self.load()))
            return
        for task in verdict.push_out:
            victim = self._held[task]
            if victim.ran:
                held.blocked_by.add(task)
                self._halt(victim, "pushed-out")
            else:
                self._hand_back(now, victim, "pushed-out", Answer("refused", NOT_HERE, "pushed out"))
        held.phase, held.since = "queued", now
        self._queue.append(held)
        if offer.key:
            self._copies.put(self._group(offer), offer.key, self.settings.name, offer.task)
        if self.settings.answers == "accepted":
            self.outbox(held.placer).taken(offer.task, offer.attempt, running=False)
            self._reply(held, Answer("accepted", load=self.load()))

    def _begin(self, now: float) -> None:
        """Begin starts: a few at a time, and at the pace that the machine has while it is cold."""
        settings = self.settings
        share = settings.warmup.share(now - self.started_at)
        most = max(1, math.floor(settings.parallel_starts * share + 1e-9))
        for held in list(self._queue):
            if self._starting >= most or (settings.start_rate and now < self._next_start_at):
                return
            if held.blocked_by:
                continue
            self._queue.remove(held)
            if not held.replied and now > held.offer.not_after:
                self._forget(held)
                self._refuse(held, Answer("refused", NOT_HERE, "too late"))
                continue
            service = held.offer.service
            dear = not self._services[service] and service not in self._kept
            held.phase = "starting"
            self._starting += 1
            self._services[service] += 1
            self._kept.pop(service, None)
            if settings.start_rate:
                self._next_start_at = max(now, self._next_start_at) + 1.0 / (settings.start_rate * share)
            self._effects.append(Begin(held.offer, held.placer, dear))

    # ---- Ends -------------------------------------------------------------------------------------------

    def _refuse(self, held: Held, answer: Answer) -> None:
        self._held.pop(held.offer.task, None)
        self._reply(held, answer)

    def _drop(self, now: float, held: Held) -> None:
        """Take an ask that has not begun out of line or queue, and off the books."""
        if held.phase == "line":
            if self._line[0] is held:
                self._weighed_at = math.inf
            self._line.remove(held)
        else:
            self._queue.remove(held)
        self._forget(held)

    def _hand_back(self, now: float, held: Held, cause: GoneCause, answer: Answer) -> None:
        """What was asked, and perhaps accepted, but never began."""
        self._drop(now, held)
        if not held.replied:
            self._reply(held, answer)
            return
        self._tell_gone(held, cause, ran=False)

    def _halt(self, held: Held, cause: GoneCause) -> None:
        if held.phase == "stopping":
            return
        if held.phase == "starting":
            self._starting -= 1
        held.phase, held.cause = "stopping", cause
        self._effects.append(Halt(held.offer.task, cause))

    def _end(
        self,
        now: float,
        held: Held,
        cause: GoneCause,
        *,
        ran: bool,
        exit_code: int | None = None,
        message: str = "",
    ) -> None:
        """A task that began is gone."""
        offer = held.offer
        if held.phase == "starting":
            self._starting -= 1
        self._services[offer.service] -= 1
        if not self._services[offer.service]:
            del self._services[offer.service]
            if ran and self.settings.kept_programs:
                _keep(self._kept, offer.service, None, self.settings.kept_programs)
        self._forget(held)
        for other in self._queue:
            other.blocked_by.discard(offer.task)
        self._tell_gone(held, cause, ran=ran, exit_code=exit_code, message=message)

    def _tell_gone(
        self, held: Held, cause: GoneCause, *, ran: bool, exit_code: int | None = None, message: str = ""
    ) -> None:
        offer = held.offer
        report = TaskReport(offer, held.incarnation, "ended", cause, exit_code)
        _keep(self._ended, offer.task, (held.placer, report), ENDED_KEPT)
        self.outbox(held.placer).gone(
            lambda seq: Gone(seq, offer.task, offer.attempt, cause, ran, exit_code, message)
        )

    def _forget(self, held: Held) -> None:
        offer = held.offer
        self._held.pop(offer.task, None)
        if offer.key:
            self._copies.remove(self._group(offer), offer.key, self.settings.name, offer.task)

    def _send_away(self, now: float) -> None:
        """A draining machine sends tasks away, one a pace or all at once, the least priority first."""
        left = [held for held in self._held.values() if held.phase in ("starting", "running")]
        left.sort(key=lambda held: (held.offer.priority, held.offer.task))
        if self.settings.drain == "paced":
            left, rest = left[:1], left[1:]
            self._evict_at = now + self.settings.drain_pace_ms if rest else math.inf
        else:
            self._evict_at = math.inf
        for held in left:
            self._halt(held, "sent-away")

    # ---- Small ------------------------------------------------------------------------------------------

    def _reply(self, held: Held, answer: Answer) -> None:
        held.replied = True
        self._answer(held.offer, answer)

    def _answer(self, offer: Offer, answer: Answer) -> None:
        _keep(self._answers, (offer.task, offer.attempt), answer, ANSWERS_KEPT)
        self._effects.append(Reply(offer.task, offer.attempt, answer))

    def _claim(self, held: Held) -> Claim:
        offer = held.offer
        return Claim(offer.task, offer.priority, offer.cores, offer.memory, held.since, held.used_memory)

    def _report(self, held: Held) -> TaskReport:
        phases = {"line": "waiting", "queued": "waiting", "starting": "starting"}
        phase = phases.get(held.phase, "running")
        return TaskReport(held.offer, held.incarnation, phase)  # type: ignore[arg-type]

    def _group(self, offer: Offer) -> str:
        settings = self.settings
        match offer.group:
            case "all":
                return ""
            case "zone":
                return settings.room
            case "cell":
                return f"{settings.room}/{settings.rack}"
        return f"{settings.room}/{settings.rack}/{settings.name}"


def _keep(kept: OrderedDict[K, V], key: K, value: V, most: int) -> None:
    """Puts in a bounded memory; the oldest go."""
    kept[key] = value
    kept.move_to_end(key)
    while len(kept) > most:
        kept.popitem(last=False)
