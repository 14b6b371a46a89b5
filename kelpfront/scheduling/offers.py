"""Offers of tasks to machines, with their time-outs.

The machine is chosen by `placement`, and `offer_backoff` says when nothing is offered. What follows an offer
is decided by `retries`.
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
"""Weight of one acceptance in the usual time until one: some dozens decide, not the last few."""


class OfferTimeouts:
    """Decides how long an offer may wait for its connection and for its acceptance."""

    def __init__(
        self, context: SchedulingContext, idempotency: IdempotencyRules, slow_start: SlowStart
    ) -> None:
        self._context = context
        self._idempotency = idempotency
        self._slow_start = slow_start
        self._usual_accept_ms = min(cls.latency_objective_ms for cls in context.settings.classes)

    def on_accepted(self, elapsed_ms: float) -> None:
        """Learn how long machines take to accept an offer."""
        if math.isfinite(elapsed_ms):
            self._usual_accept_ms += ACCEPT_TIME_WEIGHT * (elapsed_ms - self._usual_accept_ms)

    def timeout_ms(self, task: Task) -> float:
        """Return the time-out of an attempt that has been opened.

        Half of the time that is left where another attempt may follow, more if twice the usual time to accept
        remains after it; else all of it.
        """
        settings = self._context.settings
        idempotency = task.task_class.idempotency
        left_ms = task.deadline - self._context.now
        is_last_attempt = task.attempt_count >= settings.max_attempts
        if idempotency is Idempotency.NON_IDEMPOTENT or is_last_attempt:
            return left_ms
        if idempotency is Idempotency.IDEMPOTENCY_KEY:
            left_ms = min(left_ms, task.task_class.idempotency_window_ms)
        return max(settings.timer_resolution_ms, left_ms / 2, left_ms - 2 * self._usual_accept_ms)

    def send_within_ms(self, task: Task, machine: Machine) -> float:
        """Return for how long an offer may wait for a connection to the machine."""
        within_ms = self._idempotency.window_left_ms(task.task_class, task.possibly_executed)
        if self._slow_start.is_warming(machine):
            within_ms = min(within_ms, self._slow_start.max_connect_ms)
        return within_ms


class Offers:
    """Offers a task to the machine that is chosen for it."""

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
        """Offer the task to a machine; return False if there is none for it now."""
        machine = None if self._backoff.holds_back(task) else self._placement.choose(task)
        if machine is None:
            return False
        self._attempts.open(task, machine)
        timeout_ms = self._timeouts.timeout_ms(task)
        send_within_ms = self._timeouts.send_within_ms(task, machine)
        self._context.emit(Bind(task.id, machine.id, timeout_ms, send_within_ms))
        return True
