"""The scheduler: dispatches each event to the component that handles it.

It assembles the components and makes no decisions. The usual path of a task is `retries`, `offers`,
`placement`; docs/design.md explains the mechanism.
"""

from __future__ import annotations

from typing import ClassVar

from kelpfront.scheduling.actions import SchedulerAction
from kelpfront.scheduling.answers import FinalAnswers
from kelpfront.scheduling.attempts import AttemptTable
from kelpfront.scheduling.capacity import Capacity
from kelpfront.scheduling.constraints import Constraints
from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.endpoints import EndpointUpdates
from kelpfront.scheduling.events import (
    AttemptClosed,
    EndpointList,
    EndpointListCurrent,
    EndpointListKind,
    EndpointListStale,
    HealthCheckCompleted,
    LivenessObserved,
    SchedulerEvent,
    TaskArrived,
    TaskFound,
    TaskPlaced,
    TaskStatusReported,
    TaskWithdrawn,
    TimerFired,
)
from kelpfront.scheduling.feedback import AttemptFeedback, StatusReports
from kelpfront.scheduling.filters import Filters
from kelpfront.scheduling.fleet import Fleet
from kelpfront.scheduling.guardrails import Guardrails
from kelpfront.scheduling.health_checks import HealthChecks
from kelpfront.scheduling.idempotency import IdempotencyRules
from kelpfront.scheduling.migrations import Migrations
from kelpfront.scheduling.model import AttemptKey
from kelpfront.scheduling.offer_backoff import OfferBackoff
from kelpfront.scheduling.offers import Offers, OfferTimeouts
from kelpfront.scheduling.outlier_detection import OutlierDetector
from kelpfront.scheduling.placement import Placement
from kelpfront.scheduling.retries import Retries
from kelpfront.scheduling.settings import SchedulerSettings
from kelpfront.scheduling.slow_start import SlowStart
from kelpfront.scheduling.tasks import TaskTable
from kelpfront.scheduling.timer_tokens import TimerKind, decode_token
from kelpfront.scheduling.utilization import Utilization


class Scheduler:
    """Makes the decisions of one placer: `handle` takes events in order and returns the resulting actions.

    Attributes:
        backoff_type, capacity_type, outliers_type, placement_type, utilization_type: the components that a
            subclass may replace to compare policies.
    """

    backoff_type: ClassVar[type[OfferBackoff]] = OfferBackoff
    capacity_type: ClassVar[type[Capacity]] = Capacity
    outliers_type: ClassVar[type[OutlierDetector]] = OutlierDetector
    placement_type: ClassVar[type[Placement]] = Placement
    utilization_type: ClassVar[type[Utilization]] = Utilization

    def __init__(self, settings: SchedulerSettings, seed: int) -> None:
        context = self._context = SchedulingContext(settings, seed)
        self._has_started = False
        fleet = self._fleet = Fleet(context)
        slow_start = SlowStart(context)
        guardrails = Guardrails(context, fleet)
        idempotency = IdempotencyRules(context, fleet)
        self._backoff = self.backoff_type(context)
        self._capacity = self.capacity_type(context, self._backoff)
        self._utilization = self.utilization_type(context, fleet)
        self._outliers = self.outliers_type(context, fleet, slow_start)
        self._health_checks = HealthChecks(context, fleet, self._outliers)
        attempts = self._attempts = AttemptTable(context, fleet, slow_start, self._health_checks)
        constraints = self._constraints = Constraints(context, attempts, slow_start, idempotency)
        filters = Filters(context, constraints, self._capacity, self._outliers, self._utilization)
        self._placement = self.placement_type(context, fleet, guardrails, filters, attempts)
        self._timeouts = OfferTimeouts(context, idempotency, slow_start)
        tasks = self._tasks = TaskTable(context)
        answers = FinalAnswers(context, tasks, attempts, idempotency)
        offers = Offers(context, attempts, self._placement, self._backoff, self._timeouts)
        self._retries = Retries(context, tasks, attempts, offers, answers)
        self._endpoints = EndpointUpdates(context, fleet, guardrails, slow_start, attempts)
        self._feedback = AttemptFeedback(context, fleet, self._capacity, self._outliers)
        migrations = Migrations(context, self._placement, self._backoff)
        self._status_reports = StatusReports(context, self._utilization, self._outliers, migrations)

    def handle(self, now: float, event: SchedulerEvent) -> list[SchedulerAction]:
        """Handle one event at time `now` and return the actions in the order in which to execute them.

        Duplicate and late events, and events about unknown tasks, attempts or machines, change nothing.
        """
        self._context.advance(now)
        self._fleet.expire_changes()
        if not self._has_started:
            self._has_started = True
            if self._context.settings.endpoint_list_on_request:
                self._endpoints.subscribe()
        self._on_task_event(event)
        return self._context.take_actions()

    def _on_task_event(self, event: SchedulerEvent) -> None:
        match event:
            case TaskArrived():
                self._retries.on_arrived(event)
            case AttemptClosed():
                self._on_attempt_closed(event)
            case TaskPlaced():
                self._on_placed(event)
            case TaskStatusReported():
                self._on_status_reported(event)
            case TaskFound():
                self._retries.on_found(event)
            case TaskWithdrawn():
                self._retries.on_withdrawn(event.task)
            case TimerFired():
                self._on_timer(event)
            case _:
                self._on_machine_event(event)

    def _on_machine_event(self, event: SchedulerEvent) -> None:
        match event:
            case EndpointList():
                self._on_endpoint_list(event)
            case EndpointListStale():
                self._backoff.on_list_stale()
            case EndpointListCurrent():
                self._backoff.on_list_current()
                self._retries.retry_waiting()
            case HealthCheckCompleted():
                self._utilization.apply_load_report(event.machine, event.load)
                self._health_checks.on_completed(event)
            case LivenessObserved():
                self._health_checks.on_observation(event)

    def _on_timer(self, event: TimerFired) -> None:
        token = decode_token(event.token)
        match token.kind:
            case TimerKind.RETRY_WAITING:
                self._retries.on_retry_timer()
            case TimerKind.POLL_ENDPOINT_LIST:
                self._endpoints.on_poll_timer()
            case TimerKind.TASK_DEADLINE:
                self._retries.on_deadline(token.task)
            case TimerKind.HEALTH_CHECK_SCAN:
                self._health_checks.on_scan_timer()

    def _on_endpoint_list(self, event: EndpointList) -> None:
        if event.kind is EndpointListKind.FAILED:
            self._endpoints.on_poll_failed()
            return
        self._endpoints.on_received(event)
        self._retries.retry_waiting()

    def _on_placed(self, event: TaskPlaced) -> None:
        attempt = self._attempts.accept(AttemptKey(event.task, event.attempt))
        if attempt is not None:
            self._feedback.on_accepted(attempt)
            self._timeouts.on_accepted(event.elapsed_ms)
            self._retries.on_accepted(attempt)

    def _on_attempt_closed(self, event: AttemptClosed) -> None:
        self._utilization.apply_load_report(event.machine, event.load)
        attempt = self._attempts.close(AttemptKey(event.task, event.attempt), event.machine)
        if attempt is not None:
            self._feedback.on_closed(attempt, event)
            self._retries.on_closed(attempt, event)

    def _on_status_reported(self, event: TaskStatusReported) -> None:
        attempt = self._attempts.get(AttemptKey(event.task, event.attempt))
        if attempt is not None:
            self._status_reports.on_reported(attempt, event)
