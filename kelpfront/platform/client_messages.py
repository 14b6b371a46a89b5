"""Clients' messages: new requests, withdrawals, ends of running tasks, tests. Pure.

New requests are submitted to the scheduler once all lines of the same read have been received. Answers and
withdrawals are handled by `request_lifecycle`, running tasks by `running_tasks`.
"""

from __future__ import annotations

from kelpfront.platform import messages
from kelpfront.platform.core_state import CoreState
from kelpfront.platform.intents import ConnectionId, SendToClient
from kelpfront.platform.log_records import InvalidRequest
from kelpfront.platform.messages import Cause, InvalidMessageError, Message, PlacementRequest
from kelpfront.platform.request_lifecycle import RequestLifecycle
from kelpfront.platform.requests import PendingRequest
from kelpfront.platform.running_tasks import RunningTasks
from kelpfront.platform.scheduler_driver import SchedulerDriver
from kelpfront.scheduling.events import TaskArrived, TaskId
from kelpfront.scheduling.settings import Idempotency, SchedulerSettings

MAX_INVALID_REQUESTS_LOGGED = 20
"""Limit of logged invalid requests; later ones are only counted."""


class ClientMessages:
    """Handles clients' messages.

    Attributes:
        is_closing: whether new requests are rejected, because the placer is shutting down.
    """

    def __init__(
        self,
        settings: SchedulerSettings,
        state: CoreState,
        driver: SchedulerDriver,
        lifecycle: RequestLifecycle,
        running_tasks: RunningTasks,
    ) -> None:
        self._settings = settings
        self._driver = driver
        self._requests = state.requests
        self._endpoints = state.endpoints
        self._sessions = state.sessions
        self._counters = state.counters
        self._log = state.log
        self._numbers = state.numbers
        self._lifecycle = lifecycle
        self._running_tasks = running_tasks
        self._arrivals: list[PendingRequest] = []
        self.is_closing = False

    def on_message(self, now: float, connection: ConnectionId, message: Message, unread_ms: float) -> bool:
        """Handle a message that was unread for `unread_ms`; return whether it was valid."""
        match message.op:
            case "test":
                is_ready = int(bool(self._endpoints.machines))
                self._sessions.reply(connection, messages.encode("tested", message.call, {}, is_ready))
            case "offer":
                return self._on_request(now, connection, message, unread_ms)
            case "end":
                self._on_end(now, connection, message)
            case "ringing" | "ended" | "info" | "tested":
                is_known = self._requests.get(message.call) is not None
                return is_known or self._requests.has_ended(message.call)
            case _:
                return False
        return True

    # ---- Ends -----------------------------------------------------------------------------------------

    def _on_end(self, now: float, connection: ConnectionId, message: Message) -> None:
        request = self._requests.get(message.call)
        if request is None:
            has_ended = self._requests.has_ended(message.call)
            self._reply_to_end(connection, message, is_known=has_ended)
        elif request.answered:
            self._reply_to_end(connection, message, is_known=True)
            self._running_tasks.end_by_client(request, message.why)
        elif request.connection != connection:  # only the connection that made a request may withdraw it
            self._reply_to_end(connection, message, is_known=False)
        else:
            self._lifecycle.withdraw(now, request)

    def _reply_to_end(self, connection: ConnectionId, message: Message, *, is_known: bool) -> None:
        if is_known:
            data = messages.encode("ended", message.call, {})
        else:
            data = messages.encode("end", message.call, {}, Cause.UNKNOWN_CALL)
        self._sessions.reply(connection, data)

    # ---- Requests -------------------------------------------------------------------------------------

    def _on_request(self, now: float, connection: ConnectionId, message: Message, unread_ms: float) -> bool:
        known = self._requests.get(message.call)
        try:
            spec = messages.parse_request(message, self._settings)
            self._check_id_is_unused(spec, known)
        except InvalidMessageError as error:
            self._on_invalid_request(now, connection, message, error)
            return False
        session = self._sessions.get(connection)
        if session is None:
            return False
        if spec.running_on:
            if known is None:
                self._running_tasks.adopt(now, connection, session, spec)
            return True
        self._counters.requests += 1
        deadline = now - unread_ms + spec.timeout_ms
        request = PendingRequest(
            spec.request_id, next(self._numbers), connection, session.peer, spec, deadline
        )
        if self.is_closing or not self._requests.has_capacity_for(request):
            data = messages.encode("end", spec.request_id, {}, Cause.CONGESTION)
            self._sessions.reply(connection, data)
            return True
        self._requests.add(request)
        session.requests[request.request_id] = request
        self._arrivals.append(request)
        return True

    def _check_id_is_unused(self, spec: PlacementRequest, known: PendingRequest | None) -> None:
        """Raise an error if a new request has the id of an open one, or of one that must not be repeated.

        The client may have left before it was answered; its task may have been executed all the same.
        """
        if spec.running_on:
            return
        if known is not None:
            raise InvalidMessageError("call: the id of an open set-up or of a task that stands")
        idempotency = self._settings.classes[spec.class_index].idempotency
        is_repeatable = idempotency is Idempotency.IDEMPOTENT
        if not is_repeatable and self._requests.was_possibly_executed(spec.request_id):
            raise InvalidMessageError("call: the id of a set-up that may have run; a new id is wanted")

    def _on_invalid_request(
        self, now: float, connection: ConnectionId, message: Message, error: InvalidMessageError
    ) -> None:
        self._counters.invalid_requests += 1
        if self._counters.invalid_requests <= MAX_INVALID_REQUESTS_LOGGED:
            self._log.add(InvalidRequest(str(error)))
        known = self._requests.get(message.call)
        if known is not None and known.connection == connection:
            # Two requests with one id on one connection: an answer to either would count for both.
            if known.answered:
                self._running_tasks.end_without_client(known)
            else:
                self._lifecycle.withdraw(now, known)
        if not messages.names_running_machine(message):
            data = messages.encode("end", message.call, {"error": str(error)}, error.cause)
            self._sessions.reply(connection, data)

    def submit_arrivals(self, now: float) -> None:
        """Submit the new requests whose clients still wait, after all lines of the same read were received.

        If requests that are withdrawn in the same read were submitted as well, hundreds of them would use up
        the machines' capacity in the estimates.
        """
        arrivals = self._arrivals
        self._arrivals = []
        for request in arrivals:
            if not request.answered and self._lifecycle.is_client_waiting(now, request):
                request.submitted = True
                self._driver.submit(now, _task_arrived(now, request.task, request.spec, request.deadline))

    # ---- Connections ----------------------------------------------------------------------------------

    def on_send_failed(self, now: float, intent: SendToClient) -> None:
        """Handle a line that could not be written: its connection is closing, but not reported closed yet."""
        self._lifecycle.on_disconnected(now, intent.connection)
        if intent.peer:
            self._sessions.send_end_to_peer(now, intent.peer, intent.data)
        request = self._requests.get(intent.accepted_request) if intent.accepted_request else None
        # The client regards the request as withdrawn with its connection, so nobody would know of the task.
        if request is not None and self._running_tasks.end_without_client(request):
            self._counters.placed_without_client += 1


def _task_arrived(now: float, task: TaskId, spec: PlacementRequest, deadline: float) -> TaskArrived:
    remaining_ms = max(0.0, deadline - now)
    return TaskArrived(task, spec.class_index, spec.service, spec.cores, spec.memory, remaining_ms)
