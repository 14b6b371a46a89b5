"""Dispatches machines' messages: answers to offers, task ends and status, health check answers. No I/O.

`attempt_matching` decides which attempt a message is about; `running_tasks`, `health_checks` and the
scheduler handle it.
"""

from __future__ import annotations

from kelpfront.platform import messages
from kelpfront.platform.attempt_matching import AttemptMatch, match_message
from kelpfront.platform.attempts import Attempts
from kelpfront.platform.core_state import CoreState
from kelpfront.platform.health_checks import HealthCheckResult, HealthChecks
from kelpfront.platform.intents import RecoverReports
from kelpfront.platform.messages import Cause, InvalidMessageError, Message
from kelpfront.platform.requests import Attempt, PendingRequest
from kelpfront.platform.running_tasks import RunningTasks
from kelpfront.platform.scheduler_driver import SchedulerDriver
from kelpfront.scheduling.events import MachineId, TaskStatusReported

HEALTHY = 1
"""Value of `why` in the health check answer of a healthy machine."""


class MachineMessages:
    """Matches machines' messages to attempts and health checks."""

    def __init__(
        self,
        state: CoreState,
        driver: SchedulerDriver,
        attempts: Attempts,
        running_tasks: RunningTasks,
        health_checks: HealthChecks,
    ) -> None:
        self._requests = state.requests
        self._counters = state.counters
        self._outbox = state.outbox
        self._driver = driver
        self._attempts = attempts
        self._running_tasks = running_tasks
        self._health_checks = health_checks

    def on_message(
        self, now: float, machine: MachineId, message: Message, attempt_number: int | None
    ) -> None:
        """Handle a machine's message.

        All attempts of a request have the same id; a late duplicate answer to one attempt, some milliseconds
        after the first, must not count for the next attempt.

        Args:
            now: the time, in Unix milliseconds.
            machine: the machine that sent the message.
            message: the message.
            attempt_number: the attempt of the request that was sent on the connection of the message.

        Raises:
            InvalidMessageError: the message is invalid, and its connection no longer usable.
        """
        if message.op == "tested":
            result = HealthCheckResult(message.why == HEALTHY, messages.parse_load(message))
            self._health_checks.on_answer(now, message.call, result)
            return
        request = self._requests.get(message.call)
        attempt = self._attempts.in_flight_on(machine, request)
        match = match_message(message, attempt, attempt_number)
        if attempt is None or match is not AttemptMatch.CURRENT:
            self._on_unexpected(machine, request, message)
            if match is AttemptMatch.AMBIGUOUS:
                self._outbox.put(RecoverReports(machine))
            return
        match message.op:
            case "accept":
                self._on_accept(now, attempt, message)
            case "end":
                self._running_tasks.on_machine_ended(now, attempt, message)
            case "info":
                self._on_status(now, attempt, message)

    def _on_unexpected(self, machine: MachineId, request: PendingRequest | None, message: Message) -> None:
        match message.op:
            case "accept":
                self._counters.unexpected_accepts += 1
            case "end":
                self._counters.unexpected_ends += 1
                if request is None and not self._requests.has_ended(message.call):
                    self._running_tasks.on_unknown_task_ended(machine, message)
            case "info":
                self._counters.unexpected_status_reports += 1

    def _on_accept(self, now: float, attempt: Attempt, message: Message) -> None:
        if attempt.accepted:
            self._counters.unexpected_accepts += 1
            return
        if not message.desc:
            raise InvalidMessageError("accept: desc is missing", Cause.MISSING_FIELD)
        self._running_tasks.on_accepted(now, attempt, message.desc)

    def _on_status(self, now: float, attempt: Attempt, message: Message) -> None:
        report = messages.parse_status(message)
        if report is None:
            return
        event = TaskStatusReported(
            attempt.request.task, attempt.number, attempt.machine, report.topic, report.value
        )
        self._driver.submit(now, event)
