"""Handles tasks that run on machines: adoption, ends by client or machine, migration, loss. Pure.

A task counts as running from the machine's acceptance, or from its adoption, until its attempt is closed.
`machine_tasks` keeps track of which task runs on which machine.
"""

from __future__ import annotations

from kelpfront.platform import messages
from kelpfront.platform.adopted_tasks import AdoptedTasks
from kelpfront.platform.attempts import AttemptEnd, Attempts
from kelpfront.platform.core_state import CoreState
from kelpfront.platform.intents import ConnectionId, KeepConnected, SendToMachine
from kelpfront.platform.messages import Cause, Message, PlacementRequest
from kelpfront.platform.requests import Attempt, PendingRequest
from kelpfront.platform.scheduler_driver import SchedulerDriver
from kelpfront.platform.sessions import Session
from kelpfront.scheduling.events import (
    AttemptOutcome,
    MachineId,
    MachineState,
    TaskFound,
    TaskId,
    TaskPlaced,
)


class RunningTasks:
    """The running tasks of one placer; `adopted_tasks` holds those whose machine is not listed yet."""

    def __init__(
        self,
        state: CoreState,
        driver: SchedulerDriver,
        attempts: Attempts,
        adopted_tasks: AdoptedTasks,
    ) -> None:
        self._driver = driver
        self._attempts = attempts
        self._requests = state.requests
        self._endpoints = state.endpoints
        self._machine_tasks = state.machine_tasks
        self._sessions = state.sessions
        self._outbox = state.outbox
        self._counters = state.counters
        self._numbers = state.numbers
        self._adopted_tasks = adopted_tasks

    # ---- Start ----------------------------------------------------------------------------------------

    def on_accepted(self, now: float, attempt: Attempt, description: str) -> None:
        """Answer a request that a machine accepted, and track its task as running."""
        request = attempt.request
        attempt.accepted = True
        request.answered = True
        self._requests.drop_content(request)
        session = self._sessions.get(request.connection)
        if session is not None:
            session.established = True
        self._counters.accepted += 1
        self._sessions.accept(request, messages.encode("accept", request.request_id, {}, desc=description))
        elapsed_ms = now - attempt.created_at
        self._driver.submit(now, TaskPlaced(request.task, attempt.number, attempt.machine, elapsed_ms))
        self._start_tracking(now, attempt.machine, request)

    def adopt(self, now: float, connection: ConnectionId, session: Session, spec: PlacementRequest) -> None:
        """Adopt a task that a machine already runs; its client receives no answer."""
        self._counters.adopted_tasks += 1
        if not self._requests.has_capacity_to_adopt():
            return
        machine = messages.machine_id(spec.running_on)
        request = self._adopted_request(now, connection, session, spec)
        attempt = Attempt(request, 0, machine, now, now, now, sent=True, accepted=True)
        request.attempt = attempt
        self._requests.add(request)
        session.requests[request.request_id] = request
        self._driver.submit(
            now,
            TaskFound(request.task, spec.class_index, spec.service, spec.cores, spec.memory, machine),
        )
        early_end = self._adopted_tasks.pop_early_end(machine, request.request_id)
        if early_end is not None:
            self.on_machine_ended(now, attempt, early_end)
        elif machine not in self._endpoints.machines:
            self._adopted_tasks.wait_for_machine(now, machine, request)
        else:
            self._start_tracking(now, machine, request)

    def _adopted_request(
        self, now: float, connection: ConnectionId, session: Session, spec: PlacementRequest
    ) -> PendingRequest:
        return PendingRequest(
            spec.request_id,
            next(self._numbers),
            connection,
            session.peer,
            spec=spec.without_content(),  # up to 16 KiB for each of some ten thousand tasks
            deadline=now,
            attempt_count=1,
            answered=True,
            adopted=True,
        )

    def on_machine_listed(self, now: float, machine_id: MachineId) -> None:
        """Track the adopted tasks that waited for the machine as running."""
        for request in self._adopted_tasks.on_machine_listed(machine_id):
            self._start_tracking(now, machine_id, request)

    def _start_tracking(self, now: float, machine_id: MachineId, request: PendingRequest) -> None:
        machine = self._endpoints.machines.get(machine_id)
        if machine is None:
            return
        machine.running[request.request_id] = request
        if machine.state is MachineState.REMOVED:
            self.end_lost_task(now, request)
            return
        self._outbox.put(KeepConnected(machine_id))
        if request.ended:  # by the client, before the machine was listed
            self._send_end(machine_id, request, Cause.NORMAL)

    # ---- End ------------------------------------------------------------------------------------------

    def on_machine_ended(self, now: float, attempt: Attempt, message: Message) -> None:
        """Close an attempt that its machine ended; the client of a running task is notified."""
        request = attempt.request
        outcome, reason = messages.parse_outcome(message, accepted=attempt.accepted)
        must_notify = attempt.accepted and not request.ended
        if must_notify and outcome is not AttemptOutcome.CANCELLED:
            status = message.text("note")
            fields = {"note": status} if status else {}
            data = messages.encode("end", request.request_id, fields, message.why)
            self._sessions.send_end(now, request, data)
        self._attempts.close(now, attempt, AttemptEnd(outcome, reason, messages.parse_load(message)))

    def end_by_client(self, request: PendingRequest, cause: int) -> None:
        """End a running task at its client's request; the machine is notified if it is listed."""
        attempt = request.attempt
        if attempt is None or not attempt.accepted or request.ended:
            return
        request.ended = True
        if attempt.machine in self._endpoints.machines:
            self._send_end(attempt.machine, request, cause or Cause.NORMAL)

    def end_without_client(self, request: PendingRequest) -> bool:
        """End a running task that no client knows of any more; return whether it had to be ended."""
        if request.attempt is None or request.ended:
            return False
        request.ended = True
        self._send_end(request.attempt.machine, request, Cause.NORMAL)
        return True

    def migrate(self, now: float, task: TaskId) -> None:
        """Stop a running task, so that its client submits it again."""
        request = self._requests.of_task(task)
        attempt = None if request is None else request.attempt
        if request is None or attempt is None or not attempt.accepted or request.ended:
            return
        request.ended = True
        self._counters.migrations += 1
        self._sessions.send_end(now, request, messages.encode("redirect", request.request_id, {}))
        self._send_end(attempt.machine, request, Cause.UNSPECIFIED)

    def end_lost_task(self, now: float, request: PendingRequest) -> None:
        """End a task that was lost with its machine; notify its client and the scheduler."""
        if request.attempt is None:
            return
        if not request.ended:
            data = messages.encode("end", request.request_id, {}, Cause.TEMPORARY_FAILURE)
            self._sessions.send_end(now, request, data)
        self._attempts.close(now, request.attempt, AttemptEnd(AttemptOutcome.RESET))

    def on_machine_process_dead(self, now: float, machine_id: MachineId) -> None:
        """End all tasks of a machine whose process is dead or presumed dead."""
        requests = self._machine_tasks.tasks_on(machine_id)
        self._counters.tasks_lost += len(requests)
        for request in requests:
            self.end_lost_task(now, request)

    def on_unknown_task_ended(self, machine_id: MachineId, message: Message) -> None:
        """Store the end of a task that no client has handed over yet."""
        self._adopted_tasks.store_early_end(machine_id, message)

    def resend_ends(self, machine_id: MachineId) -> None:
        """Resend to a machine the ends that it has not confirmed, after a connection to it was closed.

        Lines sent on that connection may be lost.
        """
        for request in self._machine_tasks.tasks_on(machine_id):
            if request.ended:
                self._send_end(machine_id, request, Cause.UNSPECIFIED)

    def _send_end(self, machine_id: MachineId, request: PendingRequest, cause: int) -> None:
        data = messages.encode("end", request.request_id, {}, cause)
        self._outbox.put(SendToMachine(machine_id, data))
