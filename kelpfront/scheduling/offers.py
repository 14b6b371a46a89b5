"""Offers of tasks to machines, with their time-outs.

`placement` chooses the machine, `offer_backoff` decides when no offers are made, and `retries` decides what
follows an offer.
"""

from __future__ import annotations

import math

from kelpfront.scheduling.actions import Bind
from kelpfront.scheduling.attempts import AttemptTable
from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.idempotency import IdempotencyRules
from kelpfront.scheduling.model import Machine, Task
from kelpfront.scheduling.offer_backoff import OfferBackoff
from kelpfront.scheduling.placement import Placement
from kelpfront.scheduling.settings import Idempotency
from kelpfront.scheduling.slow_start import SlowStart

ACCEPT_TIME_WEIGHT = 0.05
"""Weight of one sample in the moving average of acceptance times, so that it spans some dozens of samples."""


class OfferTimeouts:
    """Decides how long an offer may wait for its connection and for its acceptance."""

    def __init__(
        self, context: SchedulingContext, idempotency: IdempotencyRules, slow_start: SlowStart
    ) -> None:
        self._context = context
        self._idempotency = idempotency
        self._slow_start = slow_start
        self._mean_accept_ms = min(cls.latency_objective_ms for cls in context.settings.classes)

    def on_accepted(self, elapsed_ms: float) -> None:
        """Add a sample to the average time that machines take to accept an offer."""
        if math.isfinite(elapsed_ms):
            self._mean_accept_ms += ACCEPT_TIME_WEIGHT * (elapsed_ms - self._mean_accept_ms)

    def timeout_ms(self, task: Task) -> float:
        """Return the time-out of an attempt that has been opened.

        The last possible attempt gets all of the time until the deadline. Any other gets half of the
        remaining time, or more as long as twice the mean acceptance time is left for the next attempt.
        """
        settings = self._context.settings
        idempotency = task.task_class.idempotency
        remaining_ms = task.deadline - self._context.now
        is_last_attempt = task.attempt_count >= settings.max_attempts
        if idempotency is Idempotency.NON_IDEMPOTENT or is_last_attempt:
            return remaining_ms
        if idempotency is Idempotency.IDEMPOTENCY_KEY:
            remaining_ms = min(remaining_ms, task.task_class.idempotency_window_ms)
        return max(settings.timer_resolution_ms, remaining_ms / 2, remaining_ms - 2 * self._mean_accept_ms)

    def send_within_ms(self, task: Task, machine: Machine) -> float:
        """Return for how long an offer may wait for a connection to the machine."""
        within_ms = self._idempotency.remaining_window_ms(task.task_class, task.possibly_executed)
        if self._slow_start.is_warming(machine):
            within_ms = min(within_ms, self._slow_start.max_connect_ms)
        return within_ms


class Offers:
    """Offers tasks to the machines that `placement` chooses."""

    def __init__(
        self,
        context: SchedulingContext,
        attempts: AttemptTable,
        placement: Placement,
        backoff: OfferBackoff,
        timeouts: OfferTimeouts,
    ) -> None:
        self._context = context
        self._attempts = attempts
        self._placement = placement
        self._backoff = backoff
        self._timeouts = timeouts

    def make(self, task: Task) -> bool:
        """Offer the task to a machine; return False if no machine can be offered the task now."""
        machine = None if self._backoff.should_defer(task) else self._placement.choose(task)
        if machine is None:
            return False
        self._attempts.open(task, machine)
        timeout_ms = self._timeouts.timeout_ms(task)
        send_within_ms = self._timeouts.send_within_ms(task, machine)
        self._context.emit(Bind(task.id, machine.id, timeout_ms, send_within_ms))
        return True
