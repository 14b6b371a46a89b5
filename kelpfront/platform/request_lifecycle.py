"""How a placement request ends: with its only answer, or because its client no longer waits. Pure.

The scheduler decides on answers. Whether a client still waits is determined right before a request is
submitted and right before each offer is sent, from all data that has arrived from the client.
"""

from __future__ import annotations

from collections.abc import Callable

from kelpfront.platform import messages
from kelpfront.platform.attempts import Attempts
from kelpfront.platform.core_state import CoreState
from kelpfront.platform.intents import ClientPresence, ConnectionId
from kelpfront.platform.messages import Cause
from kelpfront.platform.requests import PendingRequest
from kelpfront.platform.scheduler_driver import SchedulerDriver
from kelpfront.platform.sessions import Session
from kelpfront.scheduling.events import AttemptOutcome, TaskId, TaskWithdrawn

PresenceLookup = Callable[[ConnectionId, str], ClientPresence]
"""Returns whether the client on the connection still waits for the request of that id."""


class RequestLifecycle:
    """Answers and withdraws requests.

    Attributes:
        find_presence: looks up whether a client still waits.
    """

    def __init__(self, state: CoreState, driver: SchedulerDriver, attempts: Attempts) -> None:
        self._requests = state.requests
        self._sessions = state.sessions
        self._counters = state.counters
        self._driver = driver
        self._attempts = attempts
        self.find_presence: PresenceLookup = _always_waiting

    def reject(self, now: float, task: TaskId) -> None:
        """Send the final answer that the request was not placed and a retry is harmless."""
        if self._answer(now, task, Cause.CONGESTION):
            self._counters.rejected += 1

    def fail(self, now: float, task: TaskId) -> None:
        """Send the final answer that the request was not placed, although the task may have been executed."""
        if self._answer(now, task, Cause.TEMPORARY_FAILURE):
            self._counters.failed += 1

    def _answer(self, now: float, task: TaskId, cause: Cause) -> bool:
        request = self._requests.of_task(task)
        if request is None or request.answered:
            return False
        self._finish(now, request)
        self._sessions.reject(request, messages.encode("end", request.request_id, {}, cause))
        return True

    def _finish(self, now: float, request: PendingRequest) -> None:
        """End a request and abandon its attempt if one is in flight."""
        request.answered = True
        if request.attempt is not None:
            self._attempts.abandon(now, request.attempt, AttemptOutcome.CANCELLED)
        else:
            self._attempts.forget_request(request)

    def withdraw(self, now: float, request: PendingRequest) -> None:
        """End a request that its client has withdrawn, without an answer."""
        self._counters.withdrawn += 1
        if request.submitted:
            self._driver.submit(now, TaskWithdrawn(request.task))
        if not request.answered:
            self._finish(now, request)

    def on_disconnected(self, now: float, connection: ConnectionId) -> None:
        """Withdraw the open requests of a closed connection; its running tasks continue."""
        self._withdraw_all(now, self._sessions.close(connection))

    def _withdraw_all(self, now: float, session: Session | None) -> None:
        if session is None:
            return
        for request in list(session.requests.values()):
            if not request.answered:
                self.withdraw(now, request)

    def is_client_waiting(self, now: float, request: PendingRequest) -> bool:
        """Return whether the client still waits; withdraw the request if it does not.

        If the client has disconnected, its other open requests are withdrawn too. Its session stays open
        until the lines that arrived before the disconnection have been processed.
        """
        presence = self.find_presence(request.connection, request.request_id)
        if presence is ClientPresence.WAITING:
            return True
        self._counters.clients_left_before_send += 1
        if presence is ClientPresence.DISCONNECTED:
            self._withdraw_all(now, self._sessions.get(request.connection))
        if not request.answered:
            self.withdraw(now, request)
        return False


def _always_waiting(_connection: ConnectionId, _request_id: str) -> ClientPresence:
    return ClientPresence.WAITING
