"""Set-ups, attempts and standing tasks of one placer in service. Sans I/O.

The core hands what happens to the decisions and carries out what they decide, as the simulator does for the
bench's adapter. It chooses nothing: no machine, no time-out, no further attempt, no refusal. Times are Unix
milliseconds. What is to be sent is in `out`, in order, after every call.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from kelpfront import interface as api
from kelpfront.platform import messages
from kelpfront.platform.config import Address, Config
from kelpfront.platform.directory import Event
from kelpfront.platform.intents import Abandon, Conn, Forget, Intent, Listen, Offer, Say, Tell, Test
from kelpfront.platform.messages import BadMessageError, Cause, Message, SetUp
from kelpfront.rules import Scheduler

CALLS_MOST = 20_000  # set-ups that wait and tasks that stand, together; more are refused as congestion
ENDED_KEPT = 4_096  # ids of calls that are over, so that words on them that cross their end are known
EARLY_MOST = 1_024  # releases of tasks that are still to be handed over
UNSENT_MOST = 1_024  # releases that wait for a connection of their owner
UNSENT_KEPT_MS = 8_000.0  # as long as a release is owed
TESTS_MOST = 256  # probes without an answer
BAD_LOGGED = 20  # set-ups of those that cannot be, for the log
UNLISTED_MS = 2_000.0  # a task handed over on a machine that the list does not name within it is over

_MODULE, _ATTEMPT, _TEST, _UNLISTED = range(4)  # kinds of timers


@dataclass(slots=True, eq=False)
class Call:
    """A set-up, and the task that stands by it."""

    call: str
    task: api.TaskId
    conn: Conn
    peer: str
    set_up: SetUp
    due: float
    attempts: int = 0
    out: Attempt | None = None
    decided: bool = False  # the decisions know of it
    answered: bool = False
    ended: bool = False  # by its owner, or moved: the owner is owed no release


@dataclass(slots=True, eq=False)
class Attempt:
    call: Call
    number: int
    machine: api.MachineId
    bound_at: float
    due: float
    written: bool = False
    placed: bool = False


@dataclass(slots=True, eq=False)
class Machine:
    """A machine of the list, and the calls that stand on it."""

    id: api.MachineId
    name: str
    address: Address
    state: api.MachineState
    started_at: float
    standing: dict[str, Call] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class _Owner:
    peer: str
    vouched: bool = False  # a machine has taken a task of its: it sends what machines can use
    calls: dict[str, Call] = field(default_factory=dict)


class Core:
    """One placer. The methods return nothing; they fill `out`, and `due` says when `tick` is wanted."""

    def __init__(self, config: Config, scheduler: Scheduler) -> None:
        self._config, self._settings, self._scheduler = config, config.settings, scheduler
        self.out: list[Intent] = []
        self.logs: list[str] = []
        self.machines: dict[api.MachineId, Machine] = {}
        self.index = 0
        self.counts: Counter[str] = Counter()
        self._calls: dict[str, Call] = {}
        self._by_task: dict[api.TaskId, Call] = {}
        self._numbers = itertools.count(1)
        self._owners: dict[Conn, _Owner] = {}
        self._by_peer: dict[str, dict[Conn, None]] = {}
        self._unsent: deque[tuple[float, str, bytes]] = deque()
        self._ended: dict[str, None] = {}
        self._early: dict[str, tuple[api.MachineId, Message]] = {}
        self._tests: dict[str, tuple[api.MachineId, float]] = {}
        self._unlisted: dict[api.MachineId, dict[str, Call]] = {}
        self._timers: list[tuple[float, int, int, object]] = []
        self._timer_numbers = itertools.count()
        self._arrivals: list[Call] = []
        self._events: deque[api.Event] = deque()
        self._deciding = False

    # ---- The decisions --------------------------------------------------------------------------------

    def _decide(self, now: float, event: api.Event) -> None:
        """Hands over events one at a time: what an action brings about waits for its turn."""
        self._events.append(event)
        if self._deciding:
            return
        self._deciding = True
        try:
            while self._events:
                for action in self._scheduler.handle(now, self._events.popleft()):
                    self._carry_out(now, action)
        finally:
            self._deciding = False

    def _carry_out(self, now: float, action: api.Action) -> None:
        match action:
            case api.Bind(task, machine, timeout):
                self._bind(now, task, machine, timeout)
            case api.Refuse(task):
                self._answer(now, task, Cause.CONGESTION)
            case api.Fail(task):
                self._answer(now, task, Cause.TEMPORARY_FAILURE)
            case api.CancelAttempt(task, number):
                call = self._by_task.get(task)
                if call is not None and call.out is not None and call.out.number == number:
                    self._give_up(now, call.out, api.End.CANCELLED)
            case api.Move(task):
                self._move(task)
            case api.Probe(machine, timeout):
                self._test(now, machine, timeout)
            case api.Lost(machine):
                self.process_gone(now, machine)
            case api.SetTimer(at, token):
                self._set_timer(at, _MODULE, token)
            case api.Log(text):
                self.logs.append(text)
            case api.Subscribe() | api.FetchList():
                pass  # the coordinator is followed all the time

    def _set_timer(self, at: float, kind: int, what: object) -> None:
        heapq.heappush(self._timers, (at, next(self._timer_numbers), kind, what))

    @property
    def waiting(self) -> int:
        """Set-ups that have not been answered."""
        return sum(not call.answered for call in self._calls.values())

    @property
    def calls(self) -> int:
        """Set-ups that have not been answered, and tasks that stand."""
        return len(self._calls)

    @property
    def due(self) -> float | None:
        """When `tick` is wanted next."""
        return self._timers[0][0] if self._timers else None

    def tick(self, now: float) -> None:
        """Fires the timers that are due."""
        while self._timers and self._timers[0][0] <= now:
            _, _, kind, what = heapq.heappop(self._timers)
            if kind == _MODULE:
                assert isinstance(what, int)
                self._decide(now, api.TimerFired(what))
            elif kind == _ATTEMPT:
                assert isinstance(what, Attempt)
                if what.call.out is what and not what.placed:
                    self._give_up(now, what, api.End.TIMED_OUT if what.written else api.End.UNREACHABLE)
            elif kind == _TEST:
                assert isinstance(what, str)
                self._tested(now, what, False, None)
            else:
                assert isinstance(what, Call)
                self._end_unlisted(now, what)

    # ---- Attempts -------------------------------------------------------------------------------------

    def _bind(self, now: float, task: api.TaskId, machine: api.MachineId, timeout: float) -> None:
        call = self._by_task.get(task)
        if call is None or call.out is not None or machine not in self.machines:
            over = call is None or call.answered
            number = 0 if call is None else call.attempts
            closed = api.AttemptClosed(
                task, number, machine, api.End.NOT_SENT, api.Reason.UNTOLD, over, 0.0, None
            )
            self._events.append(closed)
            if call is not None:
                call.attempts += 1
            return
        due = now + timeout if timeout > 0 else call.due
        attempt = Attempt(call, call.attempts, machine, now, min(due, call.due))
        call.attempts += 1
        call.out = attempt
        self.counts["attempts"] += 1
        self._set_timer(attempt.due, _ATTEMPT, attempt)
        self.out.append(Offer(machine, call.call, attempt.number))

    def gate(self, now: float, call_id: str, number: int) -> bytes | None:
        """The bytes of an offer, asked for right before they go out; None where it is not to go out."""
        attempt = self._attempt(call_id, number)
        if attempt is None or attempt.written or now >= attempt.due:
            return None
        machine = self.machines.get(attempt.machine)
        if machine is None or machine.state is not api.MachineState.READY:
            self._close(now, attempt, api.End.NOT_SENT)
            return None
        attempt.written = True
        call = attempt.call
        cls = self._settings.classes[call.set_up.cls].name
        return call.set_up.line(cls, attempt.due - now)

    def _attempt(self, call_id: str, number: int) -> Attempt | None:
        call = self._calls.get(call_id)
        attempt = None if call is None else call.out
        return attempt if attempt is not None and attempt.number == number and not attempt.placed else None

    def unreachable(self, now: float, call_id: str, number: int) -> None:
        """No connection came up in time: nothing was sent."""
        attempt = self._attempt(call_id, number)
        if attempt is not None:
            self._close(now, attempt, api.End.UNREACHABLE)

    def broken(self, now: float, call_id: str, number: int) -> None:
        """The connection ended after the set-up was written: it may have run."""
        attempt = self._attempt(call_id, number)
        if attempt is not None:
            self._close(now, attempt, api.End.RESET)

    def _give_up(self, now: float, attempt: Attempt, end: api.End) -> None:
        """The machine is told before anything else happens: only then is the attempt no longer out."""
        call = attempt.call
        data = messages.encode("end", call.call, {}, Cause.NORMAL)
        self.out.append(Abandon(attempt.machine, call.call, attempt.number, data))
        self._close(now, attempt, end)

    def _close(
        self,
        now: float,
        attempt: Attempt,
        end: api.End,
        reason: api.Reason = api.Reason.UNTOLD,
        load: api.Load | None = None,
    ) -> None:
        """The attempt has ended; the decisions hear of it."""
        call = attempt.call
        call.out = None
        self.counts[f"{'placed ' if attempt.placed else ''}{end.value}"] += 1
        over = call.answered
        if attempt.placed:
            machine = self.machines.get(attempt.machine)
            if machine is not None:
                machine.standing.pop(call.call, None)
                if not machine.standing and machine.state is api.MachineState.GONE:
                    self._forget(machine)
        if over:
            self._drop(call)
        took = now - attempt.bound_at
        owner = self._owners.get(call.conn)
        vouched = owner is not None and owner.vouched
        closed = api.AttemptClosed(
            call.task, attempt.number, attempt.machine, end, reason, over, took, load, vouched
        )
        self._decide(now, closed)

    def _drop(self, call: Call) -> None:
        """The call is over and nothing of it is out."""
        if self._calls.get(call.call) is call:
            del self._calls[call.call]
            self._ended[call.call] = None
            if len(self._ended) > ENDED_KEPT:
                del self._ended[next(iter(self._ended))]
        self._by_task.pop(call.task, None)
        owner = self._owners.get(call.conn)
        if owner is not None:
            owner.calls.pop(call.call, None)

    def _answer(self, now: float, task: api.TaskId, cause: Cause) -> None:
        call = self._by_task.get(task)
        if call is None or call.answered:
            return
        self.counts["refused" if cause in messages.HARMLESS else "failed"] += 1
        self._finish(now, call)
        self._tell(now, call, messages.encode("end", call.call, {}, cause))

    def _finish(self, now: float, call: Call) -> None:
        """No answer is owed any more; an attempt that is still out is given up."""
        call.answered = True
        if call.out is not None:
            self._give_up(now, call.out, api.End.CANCELLED)
        else:
            self._drop(call)

    def _move(self, task: api.TaskId) -> None:
        call = self._by_task.get(task)
        if call is None or call.out is None or not call.out.placed or call.ended:
            return
        call.ended = True
        self.counts["moves"] += 1
        self._tell(0.0, call, messages.encode("redirect", call.call, {}))
        self.out.append(Say(call.out.machine, messages.encode("end", call.call, {}, Cause.UNSPECIFIED)))

    # ---- Probes ---------------------------------------------------------------------------------------

    def _test(self, now: float, machine: api.MachineId, timeout: float) -> None:
        if machine not in self.machines or len(self._tests) >= TESTS_MOST:
            self._events.append(api.ProbeAnswered(machine, False, 0.0))
            return
        call = f"{next(self._numbers):016x}"
        self._tests[call] = machine, now
        self.counts["probes"] += 1
        self._set_timer(now + timeout, _TEST, call)
        self.out.append(Test(machine, call, messages.encode("test", call, {}, 0)))

    def _tested(self, now: float, call: str, ok: bool, load: api.Load | None) -> None:
        found = self._tests.pop(call, None)
        if found is not None:
            self._decide(now, api.ProbeAnswered(found[0], ok, now - found[1], load))

    # ---- Owners ---------------------------------------------------------------------------------------

    def owner_opened(self, now: float, conn: Conn, peer: str) -> None:
        self._owners[conn] = _Owner(peer)
        self._by_peer.setdefault(peer, {})[conn] = None
        waiting, self._unsent = self._unsent, deque()
        for until, whose, data in waiting:
            if until > now and whose == peer:
                self.out.append(Tell(conn, data))
            elif until > now:
                self._unsent.append((until, whose, data))

    def owner_closed(self, now: float, conn: Conn) -> None:
        """Set-ups open on it are given up; tasks that stand go on."""
        owner = self._owners.pop(conn, None)
        if owner is None:
            return
        conns = self._by_peer[owner.peer]
        del conns[conn]
        if not conns:
            del self._by_peer[owner.peer]
        for call in list(owner.calls.values()):
            if not call.answered:
                self._withdraw(now, call)

    def carries(self, conn: Conn) -> bool:
        """Whether a set-up is open or a task stands on the connection."""
        owner = self._owners.get(conn)
        return owner is not None and bool(owner.calls)

    def owner_says(self, now: float, conn: Conn, message: Message) -> bool:
        """Takes an owner's message. False: the connection is worth no more trust."""
        call = self._calls.get(message.call)
        match message.op:
            case "test":
                self._reply(conn, messages.encode("tested", message.call, {}, int(bool(self.machines))))
            case "offer":
                return self._set_up(now, conn, message)
            case "end" if call is not None and not call.answered:
                if call.conn != conn:  # a set-up is given up where it was made
                    self._reply(conn, messages.encode("end", message.call, {}, Cause.UNKNOWN_CALL))
                    return True
                self._withdraw(now, call)
            case "end" if call is not None:
                self._owner_ends(conn, call, message)
            case "end" if message.call in self._ended:
                self._reply(conn, messages.encode("ended", message.call, {}))
            case "end":
                self._reply(conn, messages.encode("end", message.call, {}, Cause.UNKNOWN_CALL))
            case "ringing" | "ended" | "info" | "tested":
                return message.call in self._ended or call is not None
            case _:
                return False
        return True

    def _owner_ends(self, conn: Conn, call: Call, message: Message) -> None:
        self._reply(conn, messages.encode("ended", call.call, {}))
        if call.out is not None and call.out.placed and not call.ended:
            call.ended = True
            data = messages.encode("end", call.call, {}, message.why or Cause.NORMAL)
            self.out.append(Say(call.out.machine, data))

    def _withdraw(self, now: float, call: Call) -> None:
        self.counts["withdrawn"] += 1
        if call.decided:
            self._decide(now, api.TaskWithdrawn(call.task))
        if not call.answered:
            self._finish(now, call)

    def _set_up(self, now: float, conn: Conn, message: Message) -> bool:
        held = self._calls.get(message.call)
        try:
            asked = messages.set_up(message, self._settings)
            if held is not None and not asked.at:
                raise BadMessageError("call: the id of an open set-up or of a task that stands")
        except BadMessageError as error:
            self.counts["bad set-ups"] += 1
            if self.counts["bad set-ups"] <= BAD_LOGGED:
                self.logs.append(f"a set-up that cannot be: {error}")
            if held is not None and held.conn == conn:
                # Two of one id on one connection: an answer to either would be one to both.
                if not held.answered:
                    self._withdraw(now, held)
                elif held.out is not None and not held.ended:
                    held.ended = True
                    data = messages.encode("end", held.call, {}, Cause.NORMAL)
                    self.out.append(Say(held.out.machine, data))
            if "at:" not in message.text("extras"):
                self._reply(conn, messages.encode("end", message.call, {"error": str(error)}, error.cause))
            return False
        owner = self._owners.get(conn)
        if owner is None:
            return False
        if asked.at:
            if held is None:
                self._found(now, conn, owner, asked)
            return True
        self.counts["set-ups"] += 1
        if len(self._calls) >= CALLS_MOST:
            self._reply(conn, messages.encode("end", asked.call, {}, Cause.CONGESTION))
            return True
        call = Call(asked.call, next(self._numbers), conn, owner.peer, asked, now + asked.left_ms)
        self._enter(owner, call)
        self._arrivals.append(call)
        return True

    def settle(self, now: float) -> None:
        """Has the set-ups decided that are still wanted when all that came with them has been heard.

        Withdrawn in the same breath, by the hundred, they would fill machines' places in the estimates.
        """
        arrivals, self._arrivals = self._arrivals, []
        for call in arrivals:
            if not call.answered:
                asked, left = call.set_up, max(0.0, call.due - now)
                call.decided = True
                self._decide(
                    now,
                    api.TaskArrived(call.task, asked.cls, asked.service, asked.cores, asked.memory, left),
                )

    def _enter(self, owner: _Owner, call: Call) -> None:
        self._calls[call.call] = call
        self._by_task[call.task] = call
        owner.calls[call.call] = call

    def _found(self, now: float, conn: Conn, owner: _Owner, asked: SetUp) -> None:
        """A task that a machine holds already is this placer's from now on; it is not answered."""
        self.counts["found"] += 1
        if len(self._calls) >= CALLS_MOST:
            return
        machine = messages.machine_number(asked.at)
        call = Call(asked.call, next(self._numbers), conn, owner.peer, asked, now, attempts=1, answered=True)
        call.out = Attempt(call, 0, machine, now, now, written=True, placed=True)
        self._enter(owner, call)
        cls, service = asked.cls, asked.service
        self._decide(now, api.TaskFound(call.task, cls, service, asked.cores, asked.memory, machine))
        known = self.machines.get(machine)
        early = self._early.pop(call.call, None)
        if early is not None and early[0] == machine:
            self._released(now, call, call.out, early[1])
        elif known is None:
            self._unlisted.setdefault(machine, {})[call.call] = call
            self._set_timer(now + UNLISTED_MS, _UNLISTED, call)
        else:
            self._stands(now, known, call)

    def _stands(self, now: float, machine: Machine, call: Call) -> None:
        machine.standing[call.call] = call
        if machine.state is api.MachineState.GONE:
            self._lost(now, call)
        else:
            self.out.append(Listen(machine.id))

    def _end_unlisted(self, now: float, call: Call) -> None:
        if call.out is None or call.out.machine in self.machines:
            return
        waiting = self._unlisted.get(call.out.machine, {})
        waiting.pop(call.call, None)
        if not waiting:
            self._unlisted.pop(call.out.machine, None)
        self._lost(now, call)

    def _reply(self, conn: Conn, data: bytes) -> None:
        if conn in self._owners:
            self.out.append(Tell(conn, data))

    def _tell(self, now: float, call: Call, data: bytes) -> None:
        """To the owner of a call: on its connection, else on another from there, else on the next."""
        if call.conn in self._owners:
            self.out.append(Tell(call.conn, data))
            return
        others = self._by_peer.get(call.peer)
        if others:
            self.out.append(Tell(next(reversed(others)), data))
            return
        self._unsent.append((now + UNSENT_KEPT_MS, call.peer, data))
        if len(self._unsent) > UNSENT_MOST:
            self._unsent.popleft()
            self.counts["releases dropped"] += 1

    # ---- Machines -------------------------------------------------------------------------------------

    def machine_says(self, now: float, machine: api.MachineId, message: Message) -> None:
        """A machine's message; BadMessageError where its connection is of no more use."""
        if message.op == "tested":
            self._tested(now, message.call, message.why == 1, messages.load_of(message))
            return
        call = self._calls.get(message.call)
        attempt = None if call is None else call.out
        if call is None or attempt is None or attempt.machine != machine or not attempt.written:
            if message.op in ("accept", "end", "info"):
                self.counts[f"stray {message.op}"] += 1
            if call is None and message.op == "end" and message.call not in self._ended:
                # Of a former life's task: a machine tells of it on the first connection, before its owner.
                self._early[message.call] = machine, message
                if len(self._early) > EARLY_MOST:
                    del self._early[next(iter(self._early))]
            return
        match message.op:
            case "accept":
                if not attempt.placed:
                    self._accepted(now, call, attempt, message)
            case "end":
                self._released(now, call, attempt, message)
            case "info":
                note = messages.note_of(message)
                if note is not None and attempt.placed:
                    self._decide(now, api.TaskNote(call.task, attempt.number, machine, *note))

    def _accepted(self, now: float, call: Call, attempt: Attempt, message: Message) -> None:
        if not message.desc:
            raise BadMessageError("accept: desc is missing", Cause.MISSING_FIELD)
        attempt.placed = call.answered = True
        owner = self._owners.get(call.conn)
        if owner is not None:
            owner.vouched = True
        self.counts["accepted"] += 1
        self._tell(now, call, messages.encode("accept", call.call, {}, desc=message.desc))
        self._decide(now, api.TaskPlaced(call.task, attempt.number, attempt.machine, now - attempt.bound_at))
        machine = self.machines.get(attempt.machine)
        if machine is not None:
            self._stands(now, machine, call)

    def _released(self, now: float, call: Call, attempt: Attempt, message: Message) -> None:
        end, reason = messages.end_of(message, attempt.placed)
        if attempt.placed and not call.ended and end is not api.End.CANCELLED:
            note = message.text("note")
            fields = {"note": note} if note else {}
            self._tell(now, call, messages.encode("end", call.call, fields, message.why))
        self._close(now, attempt, end, reason, messages.load_of(message))

    def _lost(self, now: float, call: Call) -> None:
        """A task that stood is over with its machine: its owner is told, and so are the decisions."""
        if call.out is None:
            return
        if not call.ended:
            self._tell(now, call, messages.encode("end", call.call, {}, Cause.TEMPORARY_FAILURE))
        self._close(now, call.out, api.End.RESET)

    def process_gone(self, now: float, ident: api.MachineId) -> None:
        """The machine's process is dead: what stood there is cut."""
        machine = self.machines.get(ident)
        if machine is not None:
            self.counts["tasks lost"] += len(machine.standing)
            for call in list(machine.standing.values()):
                self._lost(now, call)

    def holds(self, ident: api.MachineId) -> bool:
        """Whether tasks stand there."""
        machine = self.machines.get(ident)
        return machine is not None and bool(machine.standing)

    # ---- The list -------------------------------------------------------------------------------------

    def listed(self, now: float, index: int, events: Iterable[Event]) -> None:
        """Events that are newer than those taken so far."""
        for event in events:
            if event.index <= self.index:
                continue
            self.index = event.index
            kind = api.ListKind.FULL if event.whole else api.ListKind.CHANGES
            listed = tuple(entry.machine for entry in event.entries)
            gone: list[Machine] = []
            if event.whole:
                named = {entry.machine.id for entry in event.entries}
                gone = [m for m in self.machines.values() if m.id not in named]
            restarted = []
            for entry in event.entries:
                view = entry.machine
                machine = self.machines.get(view.id)
                if machine is None:
                    machine = Machine(view.id, entry.name, entry.address, view.state, view.started_at)
                    self.machines[view.id] = machine
                    for call in self._unlisted.pop(view.id, {}).values():
                        self._stands(now, machine, call)
                elif view.started_at > machine.started_at:
                    restarted.append(machine)
                machine.state, machine.started_at = view.state, view.started_at
                if entry.address.host:
                    machine.address = entry.address
                if view.state is api.MachineState.GONE:
                    gone.append(machine)
            for machine in restarted:
                self.process_gone(now, machine.id)
            self._decide(now, api.MachineList(kind, event.index, listed))
            for machine in gone:
                machine.state = api.MachineState.GONE
                self.process_gone(now, machine.id)
                self._forget(machine)
        self.index = max(self.index, index)

    def _forget(self, machine: Machine) -> None:
        if self.machines.pop(machine.id, None) is not None:
            self.out.append(Forget(machine.id))
