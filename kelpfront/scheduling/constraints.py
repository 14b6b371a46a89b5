"""The filter for machines on which a task may start, regardless of their load.

It covers drains, slow start, the required machine kind, the spread over failure domains, and idempotency.
"""

from __future__ import annotations

from typing import NamedTuple

from kelpfront.scheduling.attempts import AttemptTable
from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.idempotency import IdempotencyRules
from kelpfront.scheduling.model import Machine, Task
from kelpfront.scheduling.settings import FailureDomain
from kelpfront.scheduling.slow_start import SlowStart


class SpreadCounts(NamedTuple):
    """Numbers of open attempts of one service.

    Attributes:
        by_domain: attempts on listed machines, by the id of the failure domain.
        unlisted: attempts on machines that the endpoint list has not named yet.
    """

    by_domain: dict[int, int]
    unlisted: int


class Constraints:
    """Filters machines by the hard constraints of a task."""

    def __init__(
        self,
        context: SchedulingContext,
        attempts: AttemptTable,
        slow_start: SlowStart,
        idempotency: IdempotencyRules,
    ) -> None:
        self._context = context
        self._attempts = attempts
        self._slow_start = slow_start
        self._idempotency = idempotency

    def select(self, task: Task, machines: list[Machine]) -> list[Machine]:
        """Return the machines on which the task may start."""
        now, kind = self._context.now, task.task_class.required_kind
        may_offer = self._slow_start.may_offer
        selected = [m for m in machines if now >= m.draining_until]
        selected = [m for m in selected if now >= m.warming_until or may_offer(m)]
        if kind is not None:
            selected = [m for m in selected if m.endpoint.kind == kind]
        if task.task_class.spread_domain is not FailureDomain.NONE:
            selected = self._select_by_spread(task, selected)
        if task.possibly_executed:
            selected = [m for m in selected if self._idempotency.may_retry_on(task, m)]
        return selected

    def spread_counts(self, task: Task) -> SpreadCounts:
        """Count the open attempts of the task's service in its spread domain."""
        domain = task.task_class.spread_domain
        by_domain: dict[int, int] = {}
        unlisted = 0
        for attempt in self._attempts.of_service(task.service):
            if attempt.machine is None:
                unlisted += 1
            else:
                domain_id = attempt.machine.domain_id(domain)
                by_domain[domain_id] = by_domain.get(domain_id, 0) + 1
        return SpreadCounts(by_domain, unlisted)

    def _select_by_spread(self, task: Task, machines: list[Machine]) -> list[Machine]:
        """Return the machines whose failure domain may run one more task of the service.

        A task found on a machine that is not listed yet may be in any domain, so it counts in every domain.
        """
        domain = task.task_class.spread_domain
        counts = self.spread_counts(task)
        limit = task.task_class.max_per_domain - counts.unlisted
        if limit <= 0:
            return []
        full = {domain_id for domain_id, count in counts.by_domain.items() if count >= limit}
        return [m for m in machines if m.domain_id(domain) not in full] if full else machines
