"""Decides which background task runs next, and when. No I/O: the caller runs the steps.

Background work is done in steps that are short compared with a placer's timer interval. Each step is charged
to two token buckets, of CPU milliseconds and of bytes, after it has run and at its actual cost. A step that
costs more than is available leaves a debt, and nothing runs until the buckets have made up for it. Under
foreground load the buckets fill more slowly, but never at less than `MIN_BUDGET_SHARE` of their rate.

Of the tasks that are due, the one with the highest priority runs first. Tasks past their deadline run before
all others, the earliest deadline first. So a task is delayed past its deadline by at most one round of the
other tasks, at the rate that the minimum share allows (`max_start_delay_ms`).

The planner is not used yet: it is meant for issue 16 (durable state of the placer).
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

MIN_BUDGET_SHARE = 0.1
"""Share of the budget that remains under full foreground load, so that background work always completes."""
INTERVAL_JITTER = 0.1
"""Random variation of an interval, up or down, as a share of it: placers that started together must not
compact at the same time."""
MS_PER_S = 1000.0
PAYMENT_SLACK_MS = 1e-6
"""Added to the time until a debt is paid, so that rounding does not leave a bucket at exactly zero."""


def _require_positive(owner: str, field_name: str, value: float) -> None:
    if not 0.0 < value < math.inf:
        raise ValueError(f"{owner}{field_name}: expected a finite number greater than 0, got {value!r}")


def _require_not_negative(owner: str, field_name: str, value: float) -> None:
    if not 0.0 <= value < math.inf:
        raise ValueError(f"{owner}{field_name}: expected a finite number of at least 0, got {value!r}")


@dataclass(frozen=True, slots=True)
class BackgroundTask:
    """A kind of background work that repeats at an interval.

    Raises:
        ValueError: a time or a cost is out of range; the message names the task and the field.
    """

    name: str
    priority: int
    """The task with the lowest number runs first."""
    interval_ms: float
    deadline_ms: float
    """Delay after the due time from which the task runs before all others."""
    max_cpu_ms: float
    """Upper bound of the CPU time of one step."""
    max_bytes: float = 0.0
    """Upper bound of the bytes that one step reads and writes."""

    def __post_init__(self) -> None:
        owner = f"{self.name}: "
        _require_positive(owner, "interval_ms", self.interval_ms)
        _require_positive(owner, "max_cpu_ms", self.max_cpu_ms)
        _require_not_negative(owner, "deadline_ms", self.deadline_ms)
        _require_not_negative(owner, "max_bytes", self.max_bytes)


@dataclass(frozen=True, slots=True)
class Budget:
    """What background work may cost per second. At most one second's budget can be saved up.

    Raises:
        ValueError: a rate is not a finite number greater than 0.
    """

    cpu_ms: float
    bytes: float

    def __post_init__(self) -> None:
        _require_positive("", "cpu_ms", self.cpu_ms)
        _require_positive("", "bytes", self.bytes)


@dataclass(frozen=True, slots=True)
class StepCost:
    """The cost of one step."""

    cpu_ms: float
    bytes: float = 0.0


class TaskPhase(StrEnum):
    """The state of a background task."""

    WAITING = "waiting"
    DUE = "due"
    RUNNING = "running"


@dataclass(frozen=True, slots=True)
class TaskReport:
    """The state and the costs of a background task, for operators."""

    name: str
    priority: int
    phase: TaskPhase
    due_in_ms: float
    step_count: int
    cpu_ms: float
    bytes: int
    max_delay_ms: float
    """The longest delay of a step's start after it was due."""


class TokenBucket:
    """A token bucket that holds at most the tokens of one second. A negative balance is a debt."""

    def __init__(self, tokens_per_s: float, now: float) -> None:
        self.tokens = tokens_per_s
        self._tokens_per_ms = tokens_per_s / MS_PER_S
        self._capacity = tokens_per_s
        self._filled_at = now

    def fill(self, now: float, rate_share: float) -> None:
        """Add the tokens that arrived since the last call at a share of the rate."""
        elapsed_ms = max(0.0, now - self._filled_at)
        self._filled_at = max(self._filled_at, now)
        self.tokens = min(self._capacity, self.tokens + elapsed_ms * self._tokens_per_ms * rate_share)

    def spend(self, tokens: float) -> None:
        """Remove tokens; the balance may become negative."""
        self.tokens -= tokens

    def available_in_ms(self, rate_share: float) -> float:
        """Return the time until the balance is positive, at a share of the rate."""
        if self.tokens > 0.0:
            return 0.0
        return -self.tokens / (self._tokens_per_ms * rate_share) + PAYMENT_SLACK_MS


@dataclass(slots=True)
class _TaskState:
    """A task with its due time and its costs so far."""

    task: BackgroundTask
    due_at: float
    is_running: bool = False
    step_count: int = 0
    cpu_ms: float = 0.0
    bytes: float = 0.0
    max_delay_ms: float = 0.0

    @property
    def deadline_at(self) -> float:
        return self.due_at + self.task.deadline_ms

    def phase(self, now: float) -> TaskPhase:
        if self.is_running:
            return TaskPhase.RUNNING
        return TaskPhase.DUE if self.due_at <= now else TaskPhase.WAITING


def _deadline_order(state: _TaskState) -> tuple[float, str]:
    return state.deadline_at, state.task.name


def _priority_order(state: _TaskState) -> tuple[int, float, str]:
    return state.task.priority, state.due_at, state.task.name


class Planner:
    """Plans one step at a time.

    The caller calls `start_next` at the time that `next_start_at` returns, runs the step, and then calls
    `complete` or `cancel`.

    Raises:
        ValueError: two tasks have the same name.
    """

    def __init__(self, tasks: Iterable[BackgroundTask], budget: Budget, seed: int, now: float) -> None:
        self._random = random.Random(seed)
        self._budget = budget
        self._cpu_bucket = TokenBucket(budget.cpu_ms, now)
        self._bytes_bucket = TokenBucket(budget.bytes, now)
        self._foreground_load = 0.0
        self._states: dict[str, _TaskState] = {}
        for task in tasks:
            if task.name in self._states:
                raise ValueError(f"{task.name}: duplicate task name")
            first_due_at = now + task.interval_ms * self._random.random()
            self._states[task.name] = _TaskState(task, first_due_at)

    @property
    def _budget_share(self) -> float:
        return max(MIN_BUDGET_SHARE, 1.0 - self._foreground_load)

    @property
    def _is_running(self) -> bool:
        return any(state.is_running for state in self._states.values())

    def _fill_buckets(self, now: float) -> None:
        self._cpu_bucket.fill(now, self._budget_share)
        self._bytes_bucket.fill(now, self._budget_share)

    def set_foreground_load(self, now: float, busy_share: float) -> None:
        """Set the share of time that foreground work takes; the background budget shrinks by it."""
        self._fill_buckets(now)
        self._foreground_load = min(1.0, max(0.0, busy_share))

    def expedite(self, now: float, name: str) -> None:
        """Make a task due now, such as a snapshot before a shutdown. It is still subject to the budget."""
        state = self._states[name]
        state.due_at = min(state.due_at, now)

    def start_next(self, now: float) -> str | None:
        """Start a step and return the name of its task.

        Returns None if nothing is due, the budget is spent, or a step is still running.
        """
        self._fill_buckets(now)
        has_budget = self._cpu_bucket.tokens > 0.0 and self._bytes_bucket.tokens > 0.0
        if not has_budget or self._is_running:
            return None
        due = [state for state in self._states.values() if state.due_at <= now]
        if not due:
            return None
        overdue = [state for state in due if state.deadline_at <= now]
        chosen = min(overdue, key=_deadline_order) if overdue else min(due, key=_priority_order)
        chosen.is_running = True
        chosen.max_delay_ms = max(chosen.max_delay_ms, now - chosen.due_at)
        return chosen.task.name

    def complete(self, now: float, name: str, cost: StepCost, *, has_more: bool = False) -> None:
        """Charge the budget for a step that ended, and schedule the next step of its task.

        Arguments:
            now: the current time.
            name: the task whose step ended.
            cost: what the step cost.
            has_more: whether the task has more steps; then the next one is due immediately.

        Raises:
            ValueError: no step of the task is running.
        """
        state = self._states[name]
        if not state.is_running:
            raise ValueError(f"{name}: is not running")
        self._fill_buckets(now)
        self._cpu_bucket.spend(cost.cpu_ms)
        self._bytes_bucket.spend(cost.bytes)
        state.is_running = False
        state.step_count += 1
        state.cpu_ms += cost.cpu_ms
        state.bytes += cost.bytes
        jitter = 1.0 + INTERVAL_JITTER * (2.0 * self._random.random() - 1.0)
        state.due_at = now if has_more else now + state.task.interval_ms * jitter

    def cancel(self, now: float, name: str) -> None:
        """Undo the start of a step that was cancelled before it did any work: it is due again, at no cost."""
        state = self._states[name]
        state.is_running = False
        state.due_at = min(state.due_at, now)

    def next_start_at(self, now: float) -> float:
        """Return when `start_next` can next start a step at this load; infinity while a step is running."""
        if self._is_running or not self._states:
            return math.inf
        self._fill_buckets(now)
        share = self._budget_share
        payment_ms = max(self._cpu_bucket.available_in_ms(share), self._bytes_bucket.available_in_ms(share))
        first_due_at = min(state.due_at for state in self._states.values())
        return max(now + payment_ms, first_due_at)

    def max_start_delay_ms(self, name: str) -> float:
        """Return the longest time that a task can wait after it is due.

        The bound holds as long as no step costs more than its maximum.
        """
        target = self._states[name].task
        tasks = [target, *(state.task for state in self._states.values() if state.task.name != name)]
        cpu_s = sum(task.max_cpu_ms for task in tasks) / (self._budget.cpu_ms * MIN_BUDGET_SHARE)
        bytes_s = sum(task.max_bytes for task in tasks) / (self._budget.bytes * MIN_BUDGET_SHARE)
        return target.deadline_ms + 2.0 * MS_PER_S * (cpu_s + bytes_s)

    def report(self, now: float) -> list[TaskReport]:
        """Return a report on each task, sorted by name."""
        return [
            TaskReport(
                name=name,
                priority=state.task.priority,
                phase=state.phase(now),
                due_in_ms=round(state.due_at - now, 3),
                step_count=state.step_count,
                cpu_ms=round(state.cpu_ms, 3),
                bytes=round(state.bytes),
                max_delay_ms=round(state.max_delay_ms, 3),
            )
            for name, state in sorted(self._states.items())
        ]
