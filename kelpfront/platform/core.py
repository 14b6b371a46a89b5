"""The core of one placer: handles events of clients, machines and the endpoint list. Sans I/O.

The core consists of components with one responsibility each. This module creates them, forwards each event to
the component in charge, and has the scheduler's actions carried out, as the simulator does for the bench's
adapter. All choices are the scheduler's: machines, timeouts, retries and rejections. Times are Unix
milliseconds. After each call, `outbox` holds what is to be sent, in order.
"""

from __future__ import annotations

import itertools
from collections.abc import Sequence

from kelpfront.platform.adopted_tasks import AdoptedTasks
from kelpfront.platform.attempts import AttemptEnd, Attempts
from kelpfront.platform.client_messages import ClientMessages
from kelpfront.platform.config import Config
from kelpfront.platform.core_state import CoreState
from kelpfront.platform.counters import Counters
from kelpfront.platform.discovery_freshness import DiscoveryFreshness
from kelpfront.platform.endpoint_events import EndpointEvent
from kelpfront.platform.endpoint_table import EndpointTable
from kelpfront.platform.endpoint_updates import EndpointUpdates
from kelpfront.platform.health_checks import HealthChecks
from kelpfront.platform.intents import (
    HEALTH_CHECK_ATTEMPT,
    AttemptKey,
    ConnectionId,
    Outbox,
    SendToClient,
)
from kelpfront.platform.limits import LimitMonitor
from kelpfront.platform.log_records import LogRecords, MachineEjected
from kelpfront.platform.machine_messages import MachineMessages
from kelpfront.platform.machine_tasks import MachineTasks
from kelpfront.platform.messages import Message
from kelpfront.platform.request_lifecycle import PresenceLookup, RequestLifecycle
from kelpfront.platform.requests import PendingRequest, RequestTable
from kelpfront.platform.running_tasks import RunningTasks
from kelpfront.platform.scheduler_driver import SchedulerDriver
from kelpfront.platform.sessions import Sessions
from kelpfront.scheduling.actions import (
    Bind,
    CancelAttempt,
    CheckHealth,
    DeclareMachineLost,
    Fail,
    LogMachineEjected,
    Migrate,
    Reject,
    SchedulerAction,
    SetTimer,
)
from kelpfront.scheduling.events import AttemptOutcome, HealthCheckCompleted, MachineId, TimerFired
from kelpfront.scheduling.scheduler import Scheduler
from kelpfront.scheduling.settings import SchedulerSettings
from kelpfront.timers import Timers


class PlacerCore:
    """The core of one placer. Its methods fill `outbox` and `log`; `timers` holds the pending timers.

    Attributes:
        outbox: intents to be carried out on sockets.
        log: records to be logged.
        timers: pending timers.
        counters: counts since the start.
        limits: counts how often limits were reached.
        requests: placement requests and running tasks.
        endpoints: the machines of the endpoint list.
        sessions: clients' connections.
        health_checks: health checks in flight.
        freshness: whether the endpoint list is up to date.
        adopted_tasks: adopted tasks whose machine is not listed yet.
        lifecycle: answers and withdraws requests.
        client_messages: handles clients' messages.
    """

    def __init__(
        self, config: Config, scheduler: Scheduler, find_presence: PresenceLookup | None = None
    ) -> None:
        self.outbox = Outbox()
        self.log = LogRecords()
        self.timers = Timers()
        self.counters = Counters()
        self.limits = LimitMonitor(self.log)
        self.requests = RequestTable(self.limits, config.memory_mb)
        self.endpoints = EndpointTable()
        self.sessions = Sessions(self.outbox, self.limits)
        self._machine_tasks = MachineTasks(self.endpoints, self.outbox)
        self._numbers = itertools.count(1)
        self._driver = SchedulerDriver(scheduler, self.carry_out)
        self.health_checks = HealthChecks(self._driver.submit, self.outbox, self.timers)
        self.freshness = DiscoveryFreshness(self.timers, self._driver.submit, self.log)
        self.adopted_tasks = AdoptedTasks(self.timers, self.freshness, self.limits, self._on_task_lost)
        self._create_components(config.settings)
        if find_presence is not None:
            self.lifecycle.find_presence = find_presence

    def _create_components(self, settings: SchedulerSettings) -> None:
        """Create the components that handle requests, in the order of their dependencies."""
        state = CoreState(
            self.requests,
            self.endpoints,
            self._machine_tasks,
            self.sessions,
            self.outbox,
            self.timers,
            self.counters,
            self.log,
            self._numbers,
        )
        driver = self._driver
        attempts = Attempts(settings, driver, state, self.freshness)
        running_tasks = RunningTasks(state, driver, attempts, self.adopted_tasks)
        self._attempts = attempts
        self._running_tasks = running_tasks
        self.lifecycle = RequestLifecycle(state, driver, attempts)
        self.client_messages = ClientMessages(settings, state, driver, self.lifecycle, running_tasks)
        self._machine_messages = MachineMessages(state, driver, attempts, running_tasks, self.health_checks)
        self._endpoint_updates = EndpointUpdates(state, driver, running_tasks)

    # ---- Clients --------------------------------------------------------------------------------------

    def on_client_message(
        self, now: float, connection: ConnectionId, message: Message, unread_ms: float = 0.0
    ) -> bool:
        """Handle a client's message that was unread for `unread_ms` milliseconds.

        Returns:
            Whether it was valid. Only valid messages keep their connection from being closed as silent.
        """
        return self.client_messages.on_message(now, connection, message, unread_ms)

    def submit_arrivals(self, now: float) -> None:
        """Submit the new requests to the scheduler, once all lines of the same read have been received."""
        self.client_messages.submit_arrivals(now)

    def on_client_disconnected(self, now: float, connection: ConnectionId) -> None:
        """Handle a closed connection: its open requests are withdrawn, its tasks continue to run."""
        self.lifecycle.on_disconnected(now, connection)

    def on_send_failed(self, now: float, intent: SendToClient) -> None:
        """Handle a line that could not be written to a client."""
        self.client_messages.on_send_failed(now, intent)

    # ---- Machines -------------------------------------------------------------------------------------

    def encode_offer(self, now: float, key: AttemptKey) -> bytes | None:
        """Return the bytes of an offer, right before they are written; None if it must not be sent."""
        attempt = self.requests.unanswered_attempt(key)
        if attempt is None or attempt.sent or now >= attempt.deadline:
            return None
        if not self.lifecycle.is_client_waiting(now, attempt.request):
            return None
        return self._attempts.encode_offer(now, attempt)

    def on_attempt_failed(self, now: float, key: AttemptKey, outcome: AttemptOutcome) -> None:
        """Close an attempt that received no answer, or repeat a health check whose connection ended.

        The outcome is UNREACHABLE if no connection was established and nothing was sent, RESET if the
        connection ended after the write, or NOT_SENT if sending was not tried.
        """
        if key.attempt_number == HEALTH_CHECK_ATTEMPT:
            self.health_checks.on_connection_lost(key.request_id)
            return
        attempt = self.requests.unanswered_attempt(key)
        if attempt is not None:
            self._attempts.close(now, attempt, AttemptEnd(outcome))

    def on_machine_message(
        self, now: float, machine: MachineId, message: Message, attempt_number: int | None = None
    ) -> None:
        """Handle a machine's message; see `MachineMessages.on_message`."""
        self._machine_messages.on_message(now, machine, message, attempt_number)

    def on_machine_disconnected(self, machine: MachineId) -> None:
        """Resend the task ends that the closed connection may not have delivered."""
        self._running_tasks.resend_ends(machine)

    def on_machine_process_dead(self, now: float, machine: MachineId) -> None:
        """End the tasks of a machine whose process is dead."""
        self._running_tasks.on_machine_process_dead(now, machine)

    def has_running_tasks(self, machine: MachineId) -> bool:
        """Return whether tasks run on the machine."""
        return self._machine_tasks.has_tasks_on(machine)

    def _on_task_lost(self, now: float, request: PendingRequest) -> None:
        self._running_tasks.end_lost_task(now, request)

    # ---- The endpoint list ----------------------------------------------------------------------------

    def apply_endpoint_events(self, now: float, index: int, events: Sequence[EndpointEvent]) -> None:
        """Apply endpoint events from an answer of the coordinator or from the configuration."""
        self._endpoint_updates.apply(now, index, events)

    # ---- The scheduler's actions ----------------------------------------------------------------------

    def carry_out(self, now: float, action: SchedulerAction) -> None:
        """Carry out an action of the scheduler.

        `Subscribe` and `FetchEndpointList` need no work here, because the coordinator is polled continuously.
        """
        match action:
            case Bind():
                self._attempts.bind(now, action)
            case Reject(task):
                self.lifecycle.reject(now, task)
            case Fail(task):
                self.lifecycle.fail(now, task)
            case CancelAttempt():
                self._attempts.cancel(now, action)
            case Migrate(task):
                self._running_tasks.migrate(now, task)
            case CheckHealth():
                self._check_health(now, action)
            case DeclareMachineLost(machine):
                self._running_tasks.on_machine_process_dead(now, machine)
            case SetTimer(at, token):
                self.timers.set(at, lambda then: self._driver.submit(then, TimerFired(token)))
            case LogMachineEjected(machine, scope, cause, ejection_ms):
                self.log.add(MachineEjected(f"{machine:x}", scope, cause, ejection_ms))

    def _check_health(self, now: float, action: CheckHealth) -> None:
        if action.machine in self.endpoints.machines:
            self.counters.health_checks += 1
            check_id = f"{next(self._numbers):016x}"
            self.health_checks.send(now, action.machine, check_id, action.timeout_ms)
        else:
            self._driver.enqueue(
                HealthCheckCompleted(action.machine, ok=False, elapsed_ms=0.0, no_response=True)
            )
