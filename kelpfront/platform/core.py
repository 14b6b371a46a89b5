"""Set-ups, attempts and standing tasks of one placer in service. Sans I/O.

The core hands what happens to the decisions and carries out what they decide, as the simulator does for the
bench's adapter. It chooses nothing: no machine, no time-out, no further attempt, no refusal. Times are Unix
milliseconds. What is to be sent is in `out`, in order, after every call.
"""

from __future__ import annotations

import itertools
from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import replace

from kelpfront import interface as api
from kelpfront.platform import messages
from kelpfront.platform.calls import Attempt, Call, CallBook, Machine, found_most
from kelpfront.platform.config import Config
from kelpfront.platform.directory import Event
from kelpfront.platform.fleet import Fleet
from kelpfront.platform.freshness import Freshness
from kelpfront.platform.handovers import Handovers
from kelpfront.platform.intents import Abandon, Conn, Forget, Intent, Listen, Offer, Say, Tell
from kelpfront.platform.messages import BadMessageError, Cause, Message, SetUp
from kelpfront.platform.probes import Probes
from kelpfront.platform.sessions import Session, Sessions
from kelpfront.rules import Scheduler
from kelpfront.timers import Timers

BAD_LOGGED = 20  # set-ups of those that cannot be, for the log


class Core:
    """One placer. The methods return nothing; they fill `out`, and `due` says when `tick` is wanted."""

    def __init__(self, config: Config, scheduler: Scheduler) -> None:
        self._config, self._settings, self._scheduler = config, config.settings, scheduler
        self.out: list[Intent] = []
        self.logs: list[str] = []
        self.fleet = Fleet()
        self.machines = self.fleet.machines
        self.counts: Counter[str] = Counter()
        self.calls = CallBook(self.reached, found_most(config.memory_mb))
        self.timers = Timers()
        self.sessions = Sessions(lambda tell: self.out.append(tell), self.reached)
        self._numbers = itertools.count(1)
        self.probes = Probes(self._decide, lambda intent: self.out.append(intent), self.timers)
        self.freshness = Freshness(self.timers, self._decide)
        self.handovers = Handovers(self.timers, lambda: self.freshness.heard_at, self._lost, self.reached)
        self._arrivals: list[Call] = []
        self._events: deque[api.Event] = deque()
        self._deciding = False
        self.closing = False  # told to end, and past the time in which owners may not know of it

    def reached(self, bound: str) -> None:
        """Counts that a bound was reached; the first time is told in the log."""
        name = f"bound: {bound}"
        self.counts[name] += 1
        if self.counts[name] == 1:
            self.logs.append(f"bound reached: {bound}")

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
            case api.Bind():
                self._bind(now, action)
            case api.Refuse(task):
                self._answer(now, task, Cause.CONGESTION)
            case api.Fail(task):
                self._answer(now, task, Cause.TEMPORARY_FAILURE)
            case api.CancelAttempt(task, number):
                call = self.calls.of_task(task)
                if call is not None and call.out is not None and call.out.number == number:
                    self._give_up(now, call.out, api.End.CANCELLED)
            case api.Move(task):
                self._move(now, task)
            case api.Probe(machine, timeout):
                self._probe(now, machine, timeout)
            case api.Lost(machine):
                self.process_gone(now, machine)
            case api.SetTimer(at, token):
                self.timers.set(at, lambda then: self._decide(then, api.TimerFired(token)))
            case api.Log(text):
                self.logs.append(text)
            case api.Subscribe() | api.FetchList():
                pass  # the coordinator is followed all the time

    def _probe(self, now: float, machine: api.MachineId, timeout: float) -> None:
        if machine in self.machines:
            self.counts["probes"] += 1
            self.probes.ask(now, machine, f"{next(self._numbers):016x}", timeout)
        else:
            self._events.append(api.ProbeAnswered(machine, False, 0.0, silent=True))

    # ---- Attempts -------------------------------------------------------------------------------------

    def _bind(self, now: float, bind: api.Bind) -> None:
        task, machine = bind.task, bind.machine
        call = self.calls.of_task(task)
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
        due = now + bind.timeout_ms if bind.timeout_ms > 0 else call.due
        attempt = Attempt(call, call.attempts, machine, now, min(due, call.due), now + bind.within_ms)
        call.attempts += 1
        call.out = attempt
        self.counts["attempts"] += 1
        self.timers.set(attempt.due, lambda then: self._timed_out(then, attempt))
        if attempt.latest < attempt.due:
            self.timers.set(attempt.latest, lambda then: self._too_late(then, attempt))
        self.out.append(Offer(machine, call.call, attempt.number))

    def _timed_out(self, now: float, attempt: Attempt) -> None:
        if attempt.call.out is attempt and not attempt.placed:
            self._give_up(now, attempt, api.End.TIMED_OUT if attempt.written else api.End.UNREACHABLE)

    def _too_late(self, now: float, attempt: Attempt) -> None:
        if attempt.call.out is attempt and not attempt.written:
            self._give_up(now, attempt, api.End.NOT_SENT)

    def gate(self, now: float, call_id: str, number: int) -> bytes | None:
        """The bytes of an offer, asked for right before they go out; None where it is not to go out."""
        attempt = self.calls.open_attempt(call_id, number)
        if attempt is None or attempt.written or now >= attempt.due:
            return None
        machine = self.machines.get(attempt.machine)
        if machine is None or machine.state is not api.MachineState.READY or now > attempt.latest:
            self._close(now, attempt, api.End.NOT_SENT)
            return None
        attempt.written = True
        call = attempt.call
        cls = self._settings.classes[call.set_up.cls].name
        return call.set_up.line(cls, attempt.due - now)

    def unanswered(self, now: float, call_id: str, number: int, end: api.End) -> None:
        """Its connection never came up (UNREACHABLE: nothing was sent), or ended after the write (RESET)."""
        attempt = self.calls.open_attempt(call_id, number)
        if attempt is not None:
            self._close(now, attempt, end)

    def _give_up(self, now: float, attempt: Attempt, end: api.End) -> None:
        """The machine is told before anything else happens: only then is the attempt no longer out."""
        call = attempt.call
        data = messages.encode("end", call.call, {}, Cause.NORMAL) if attempt.written else b""
        silent = end is api.End.TIMED_OUT
        self.out.append(Abandon(attempt.machine, call.call, attempt.number, data, silent))
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
        session = self.sessions.get(call.conn)
        vouched = session is not None and session.vouched
        closed = api.AttemptClosed(
            call.task, attempt.number, attempt.machine, end, reason, over, took, load, vouched
        )
        self._decide(now, closed)

    def _drop(self, call: Call) -> None:
        """The call is over and nothing of it is out."""
        self.calls.drop(call)
        session = self.sessions.get(call.conn)
        if session is not None:
            session.calls.pop(call.call, None)

    def _answer(self, now: float, task: api.TaskId, cause: Cause) -> None:
        call = self.calls.of_task(task)
        if call is None or call.answered:
            return
        self.counts["refused" if cause in messages.HARMLESS else "failed"] += 1
        self._finish(now, call)
        self.sessions.answer(call, messages.encode("end", call.call, {}, cause))

    def _finish(self, now: float, call: Call) -> None:
        """No answer is owed any more; an attempt that is still out is given up."""
        call.answered = True
        if call.out is not None:
            self._give_up(now, call.out, api.End.CANCELLED)
        else:
            self._drop(call)

    def _move(self, now: float, task: api.TaskId) -> None:
        call = self.calls.of_task(task)
        if call is None or call.out is None or not call.out.placed or call.ended:
            return
        call.ended = True
        self.counts["moves"] += 1
        self.sessions.release(now, call, messages.encode("redirect", call.call, {}))
        self.out.append(Say(call.out.machine, messages.encode("end", call.call, {}, Cause.UNSPECIFIED)))

    # ---- Owners ---------------------------------------------------------------------------------------

    def owner_closed(self, now: float, conn: Conn) -> None:
        """Set-ups open on it are given up; tasks that stand go on."""
        session = self.sessions.close(conn)
        for call in [] if session is None else list(session.calls.values()):
            if not call.answered:
                self._withdraw(now, call)

    def untold(self, now: float, line: Tell) -> None:
        """The line could not be written: its connection is closing, and has not been reported closed yet."""
        self.owner_closed(now, line.conn)
        if line.peer:
            self.sessions.release_to(now, line.peer, line.data)
        call = self.calls.get(line.call) if line.call else None
        if call is not None and call.out is not None and not call.ended:
            # Its owner counts the set-up as given up with the connection; the task would stand for nobody.
            call.ended = True
            self.counts["placed for nobody"] += 1
            data = messages.encode("end", call.call, {}, Cause.NORMAL)
            self.out.append(Say(call.out.machine, data))

    def carries(self, conn: Conn) -> bool:
        """Whether a set-up is open or a task stands on the connection."""
        session = self.sessions.get(conn)
        return session is not None and bool(session.calls)

    def owner_says(self, now: float, conn: Conn, message: Message, unread_ms: float = 0.0) -> bool:
        """Takes an owner's message that lay unread for so long. False: its connection is no more use."""
        call = self.calls.get(message.call)
        match message.op:
            case "test":
                self.sessions.reply(
                    conn, messages.encode("tested", message.call, {}, int(bool(self.machines)))
                )
            case "offer":
                return self._set_up(now, conn, message, unread_ms)
            case "end" if call is not None and not call.answered:
                if call.conn != conn:  # a set-up is given up where it was made
                    self.sessions.reply(conn, messages.encode("end", message.call, {}, Cause.UNKNOWN_CALL))
                    return True
                self._withdraw(now, call)
            case "end" if call is not None:
                self._owner_ends(conn, call, message)
            case "end" if self.calls.has_been(message.call):
                self.sessions.reply(conn, messages.encode("ended", message.call, {}))
            case "end":
                self.sessions.reply(conn, messages.encode("end", message.call, {}, Cause.UNKNOWN_CALL))
            case "ringing" | "ended" | "info" | "tested":
                return self.calls.has_been(message.call) or call is not None
            case _:
                return False
        return True

    def _owner_ends(self, conn: Conn, call: Call, message: Message) -> None:
        self.sessions.reply(conn, messages.encode("ended", call.call, {}))
        if call.out is not None and call.out.placed and not call.ended:
            call.ended = True
            if call.out.machine in self.machines:
                data = messages.encode("end", call.call, {}, message.why or Cause.NORMAL)
                self.out.append(Say(call.out.machine, data))

    def _withdraw(self, now: float, call: Call) -> None:
        self.counts["withdrawn"] += 1
        if call.decided:
            self._decide(now, api.TaskWithdrawn(call.task))
        if not call.answered:
            self._finish(now, call)

    def _set_up(self, now: float, conn: Conn, message: Message, unread_ms: float) -> bool:
        held = self.calls.get(message.call)
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
                self.sessions.reply(
                    conn, messages.encode("end", message.call, {"error": str(error)}, error.cause)
                )
            return False
        session = self.sessions.get(conn)
        if session is None:
            return False
        if asked.at:
            if held is None:
                self._found(now, conn, session, asked)
            return True
        self.counts["set-ups"] += 1
        if self.closing or not self.calls.has_room(conn):
            self.sessions.reply(conn, messages.encode("end", asked.call, {}, Cause.CONGESTION))
            return True
        call = Call(
            asked.call, next(self._numbers), conn, session.peer, asked, now - unread_ms + asked.left_ms
        )
        self._enter(session, call)
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

    def _enter(self, session: Session, call: Call) -> None:
        self.calls.enter(call)
        session.calls[call.call] = call

    def _found(self, now: float, conn: Conn, session: Session, asked: SetUp) -> None:
        """A task that a machine holds already is this placer's from now on; it is not answered."""
        self.counts["found"] += 1
        if not self.calls.has_room_for_found():
            return
        machine = messages.machine_number(asked.at)
        asked = replace(asked, key="", idem="", desc="")  # only its machine was told these
        task = next(self._numbers)
        call = Call(asked.call, task, conn, session.peer, asked, now, attempts=1, answered=True, found=True)
        call.out = Attempt(call, 0, machine, now, now, now, written=True, placed=True)
        self._enter(session, call)
        cls, service = asked.cls, asked.service
        self._decide(now, api.TaskFound(call.task, cls, service, asked.cores, asked.memory, machine))
        known = self.machines.get(machine)
        early = self.handovers.take_early(machine, call.call)
        if early is not None:
            self._released(now, call, call.out, early)
        elif known is None:
            self.handovers.wait(now, machine, call)
        else:
            self._stands(now, known, call)

    def _stands(self, now: float, machine: Machine, call: Call) -> None:
        machine.standing[call.call] = call
        if machine.state is api.MachineState.GONE:
            self._lost(now, call)
            return
        self.out.append(Listen(machine.id))
        if call.ended:  # by its owner, before the list named the machine
            self.out.append(Say(machine.id, messages.encode("end", call.call, {}, Cause.NORMAL)))

    # ---- Machines -------------------------------------------------------------------------------------

    def machine_says(
        self, now: float, machine: api.MachineId, message: Message, number: int | None = None
    ) -> None:
        """A machine's message; BadMessageError where its connection is of no more use.

        `number`: the attempt of its call that went out on the connection on which it came. All attempts of
        a call bear one id: a second answer to one, some milliseconds late, must not count for the next one.
        """
        if message.op == "tested":
            self.probes.answered(now, message.call, message.why == 1, messages.load_of(message))
            return
        call = self.calls.get(message.call)
        attempt = None if call is None else call.out
        known = attempt is not None and attempt.machine == machine and attempt.written
        # No connection owns a task that stands.
        if call is None or attempt is None or not known or not (attempt.placed or number == attempt.number):
            if message.op in ("accept", "end", "info"):
                self.counts[f"stray {message.op}"] += 1
            if call is None and message.op == "end" and not self.calls.has_been(message.call):
                self.handovers.keep_early(machine, message)
            return
        match message.op:
            case "accept":
                if attempt.placed:
                    self.counts["stray accept"] += 1
                else:
                    self._accepted(now, call, attempt, message)
            case "end":
                self._released(now, call, attempt, message)
            case "info":
                note = messages.note_of(message)
                if note is not None:
                    self._decide(now, api.TaskNote(call.task, attempt.number, machine, *note))

    def _accepted(self, now: float, call: Call, attempt: Attempt, message: Message) -> None:
        if not message.desc:
            raise BadMessageError("accept: desc is missing", Cause.MISSING_FIELD)
        attempt.placed = call.answered = True
        session = self.sessions.get(call.conn)
        if session is not None:
            session.vouched = True
        self.counts["accepted"] += 1
        data = messages.encode("accept", call.call, {}, desc=message.desc)
        self.sessions.answer(call, data, placed=True)
        self._decide(now, api.TaskPlaced(call.task, attempt.number, attempt.machine, now - attempt.bound_at))
        machine = self.machines.get(attempt.machine)
        if machine is not None:
            self._stands(now, machine, call)

    def _released(self, now: float, call: Call, attempt: Attempt, message: Message) -> None:
        end, reason = messages.end_of(message, attempt.placed)
        if attempt.placed and not call.ended and end is not api.End.CANCELLED:
            note = message.text("note")
            fields = {"note": note} if note else {}
            self.sessions.release(now, call, messages.encode("end", call.call, fields, message.why))
        self._close(now, attempt, end, reason, messages.load_of(message))

    def _lost(self, now: float, call: Call) -> None:
        """A task that stood is over with its machine: its owner is told, and so are the decisions."""
        if call.out is None:
            return
        if not call.ended:
            self.sessions.release(now, call, messages.encode("end", call.call, {}, Cause.TEMPORARY_FAILURE))
        self._close(now, call.out, api.End.RESET)

    def process_gone(self, now: float, ident: api.MachineId) -> None:
        """The machine's process is dead: what stood there is cut."""
        machine = self.machines.get(ident)
        if machine is not None:
            self.counts["tasks lost"] += len(machine.standing)
            for call in list(machine.standing.values()):
                self._lost(now, call)

    def connection_ended(self, ident: api.MachineId) -> None:
        """Words on it may be lost: the machine hears anew of each task whose end it has not confirmed."""
        machine = self.machines.get(ident)
        for call in [] if machine is None else machine.standing.values():
            if call.ended:
                self.out.append(Say(ident, messages.encode("end", call.call, {}, Cause.UNSPECIFIED)))

    def holds(self, ident: api.MachineId) -> bool:
        """Whether tasks stand there."""
        machine = self.machines.get(ident)
        return machine is not None and bool(machine.standing)

    # ---- The list -------------------------------------------------------------------------------------

    def listed(self, now: float, index: int, events: Sequence[Event]) -> None:
        """What the coordinator has told, by an answer or by the configuration."""
        missed = self.fleet.missed
        for change in self.fleet.take(index, events):
            for machine in change.new:
                for call in self.handovers.listed(machine.id):
                    self._stands(now, machine, call)
            for machine in change.restarted:
                self.process_gone(now, machine.id)
            event = change.event
            kind = api.ListKind.FULL if event.whole else api.ListKind.CHANGES
            listed = tuple(entry.machine for entry in event.entries)
            self._decide(now, api.MachineList(kind, event.index, listed))
            for machine in change.gone:
                machine.state = api.MachineState.GONE
                self.process_gone(now, machine.id)
                self._forget(machine)
        if self.fleet.missed and not missed:
            self.counts["gaps in the list"] += 1
            self.logs.append(f"events are missing before {self.fleet.index}: the whole list is asked for")

    def _forget(self, machine: Machine) -> None:
        if self.machines.pop(machine.id, None) is not None:
            self.out.append(Forget(machine.id))
