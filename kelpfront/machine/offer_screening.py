"""The checks that answer an offer immediately, before it is queued for evaluation.

They cover tasks stopped before their offer arrived, tasks that already ran on this machine, draining, the
machine's kind, and the limits on tasks and pending offers. This module remembers the stops that arrived
before their offer.
"""

from __future__ import annotations

from kelpfront.machine.bounded_cache import BoundedCache
from kelpfront.machine.drain import Drain
from kelpfront.machine.load_meter import LoadMeter
from kelpfront.machine.messages import NO_CORES, NOT_HERE, QUEUE_FULL, RAN_HERE, Answer, Offer
from kelpfront.machine.model import NodeSettings
from kelpfront.machine.report_log import ReportLog

NO_ATTEMPT = -1  # less than any attempt number; attempts are counted from 0
MAX_EARLY_STOPS = 2_000  # a stop on another connection may arrive before its offer


class OfferScreening:
    """The checks of each offer to a node before its evaluation."""

    def __init__(self, settings: NodeSettings, load: LoadMeter, report_log: ReportLog, drain: Drain) -> None:
        self._settings = settings
        self._load = load
        self._report_log = report_log
        self._drain = drain
        self._early_stops: BoundedCache[str, int] = BoundedCache(MAX_EARLY_STOPS)  # task to attempt

    def remember_stop(self, task: str, attempt: int) -> None:
        """Remember a stop of a task that is not on this machine, unless the task has ended here."""
        if task not in self._report_log.ended:
            self._early_stops.put(task, attempt)

    def refusal(self, offer: Offer) -> Answer | None:
        """Return the answer to an offer that fails a check, or None if it is to be evaluated."""
        checks = (self._check_stopped, self._check_ran_here, self._check_drain_and_kind, self._check_limits)
        for check in checks:
            refusal = check(offer)
            if refusal is not None:
                return refusal
        return None

    def _check_stopped(self, offer: Offer) -> Answer | None:
        stopped_attempt = self._early_stops.get(offer.task)
        if (NO_ATTEMPT if stopped_attempt is None else stopped_attempt) >= offer.attempt:
            return Answer("refused", NOT_HERE, "stopped by its placer before it came")
        return None

    def _check_ran_here(self, offer: Offer) -> Answer | None:
        """Reject a non-idempotent task that already ran on this machine.

        Only a placer that has lost its state offers such a task again. The answer is an error because the
        placer would try another machine after a refusal, and the task would run twice.
        """
        if offer.effect != "unsafe":
            return None
        ended = self._report_log.ended.get(offer.task)
        if ended is None or not ended.report.ran:
            return None
        return Answer("error", RAN_HERE, f"attempt {ended.report.offer.attempt} of it ran here")

    def _check_drain_and_kind(self, offer: Offer) -> Answer | None:
        if self._drain.is_draining:
            return Answer("refused", NOT_HERE, "draining", self._load.report())
        kind = self._settings.kind
        if offer.needs_kind and offer.needs_kind != kind:
            return Answer("refused", NOT_HERE, f"kind {kind}, {offer.needs_kind} needed")
        return None

    def _check_limits(self, _: Offer) -> Answer | None:
        task_count, max_tasks = self._load.task_count, self._settings.max_tasks
        if max_tasks is not None and task_count >= max_tasks:
            message = f"{task_count} tasks are here, which is the most"
            return Answer("refused", NO_CORES, message, self._load.report())
        pending = self._load.pending_offers
        if pending >= self._settings.max_pending_offers:
            return Answer("refused", QUEUE_FULL, f"{pending} asks wait", self._load.report())
        return None
