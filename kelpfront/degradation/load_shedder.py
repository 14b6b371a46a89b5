"""Decides which new work is admitted at the current level, and when a rejected client should retry.

At every level other than `FULL` a task is admitted while the tasks ahead of it can be placed within a
queueing time that depends on its rank and the level: the queue limit is the placement rate times that time.
The queue therefore stays short, work is admitted while there is capacity for it, and work that would only
time out is rejected at once. A rejected task was never passed to the scheduler, so a retry is safe. The level
comes from `level_state_machine` and the counts from `overload_signals`. `fair_queue` orders the admitted
work.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from kelpfront.degradation.level_state_machine import LevelStateMachine
from kelpfront.degradation.model import Level
from kelpfront.degradation.overload_signals import Backlog, OverloadSignals
from kelpfront.degradation.priority_order import PriorityOrder


@dataclass(frozen=True, slots=True)
class QueueTimeLimit:
    """How long a task may wait in the queue, as a multiple of its rank's latency objective."""

    essential: float
    other: float


# Long enough that the queue does not run empty while there is capacity, and short enough that most queued
# tasks start in time.
QUEUE_TIME_LIMITS: Mapping[Level, QueueTimeLimit] = {
    Level.CAREFUL: QueueTimeLimit(essential=2.0, other=0.7),
    Level.RECOVERING: QueueTimeLimit(essential=1.5, other=0.1),  # `other`: ranks not yet restored
    Level.ESSENTIAL: QueueTimeLimit(essential=1.5, other=0.1),
    Level.HOLDING: QueueTimeLimit(essential=0.5, other=0.0),
}
RESTORED_QUEUE_TIME_LIMIT = 0.7
"""The queue time limit of non-essential ranks that are restored at `RECOVERING`, as a multiple of their
latency objective."""
MIN_QUEUE_LIMIT = 8
"""Number of tasks that may be queued even while none is placed: with an empty queue the placer would not
notice that tasks can be placed again."""
FREE_CAPACITY_SHARE = 0.5
"""Share of the free task slots that counts towards the queue limit, since tasks that can start at once do not
queue. It is below 1 because other placers see the same free capacity."""
HOLDING_QUEUE_LIMIT = 0
"""The queue limit of non-essential ranks at `HOLDING`, in tasks."""
START_TIME_SLACK = 1.5
"""Start times vary: a task within this multiple of the typical start time counts as starting, not queued."""
BLOCKED_OFFER_SHARE = 0.5
"""A class is blocked if machines reject at least this share of its offers as full. Its tasks then count as a
separate queue, so they do not hold up other classes."""
FAIR_SHARE_THRESHOLD = 0.5
"""Fair shares are enforced once the queue is filled to this share of its limit; below it an owner may queue
any number of tasks."""
OWNER_ACTIVE_MS = 10_000.0
"""How long an owner counts as active after its last request."""
MAX_ACTIVE_OWNERS = 1_000
"""Number of active owners that are remembered. It bounds memory; more owners may still submit work."""
MIN_RETRY_MS = 1_000.0
MAX_RETRY_MS = 30_000.0
UNKNOWN_RATE_RETRY_MS = MAX_RETRY_MS / 4
"""The retry delay, before jitter, while no task is placed."""
RETRY_JITTER = (0.7, 1.6)
"""Range of the random factor of a retry delay, so that clients rejected together do not retry together."""
INITIAL_START_MS = 300.0
"""The typical start time before any start was measured."""
MAX_START_MS = 10 * INITIAL_START_MS
START_DECAY = 0.5
"""After a start faster than the typical start time, that time falls by this share of the difference."""
START_GROWTH = 1.02
"""After a slower start it rises by at most this factor, so that time in the queue does not count as start
time."""


class RejectionReason(StrEnum):
    """Why work is rejected. The values are part of the API."""

    REDUCED_SERVICE = "ReducedService"
    CANNOT_BE_IN_TIME = "CannotBeInTime"
    OWNER_OVER_SHARE = "OwnerOverShare"


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A request to admit the tasks of a job."""

    class_index: int
    owner: str
    task_count: int
    remaining_ms: float
    """Time until the job's deadline."""
    is_retry: bool = field(default=False, kw_only=True)
    """Whether the owner has already requested the same job."""
    is_feasible: bool = field(default=True, kw_only=True)
    """Whether any machine of the cluster could run a task of the job. Infeasible requests are not counted as
    load."""


@dataclass(frozen=True, slots=True)
class Rejection:
    """Why a job is not admitted, and when to retry. `reason` is for programs, `text` for people."""

    reason: RejectionReason
    text: str
    retry_ms: float


@dataclass(frozen=True, slots=True)
class AdmissionInputs:
    """The state that admission depends on, owned and updated by the controller and only read here."""

    priority_order: PriorityOrder
    state_machine: LevelStateMachine
    signals: OverloadSignals
    backlog: Backlog


@dataclass(frozen=True, slots=True)
class _Queue:
    """The queue that a request would join."""

    classes: tuple[int, ...]
    placement_rate: float
    tasks_ahead: int
    limit: float


class ActiveOwners:
    """The owners with a recent request, at most `MAX_ACTIVE_OWNERS`, and the weights of all owners."""

    def __init__(self, weights: Mapping[str, float]) -> None:
        self._weights = dict(weights)
        self._last_request_at: OrderedDict[str, float] = OrderedDict()

    def weight(self, owner: str) -> float:
        """Return an owner's configured weight; the default is 1."""
        return self._weights.get(owner, 1.0)

    def record_request(self, now: float, owner: str) -> None:
        """Mark an owner as active, and forget inactive or surplus owners."""
        self._last_request_at[owner] = now
        self._last_request_at.move_to_end(owner)
        while self._must_drop_oldest(now):
            self._last_request_at.popitem(last=False)

    def _must_drop_oldest(self, now: float) -> bool:
        if not self._last_request_at:
            return False
        oldest_request_at = next(iter(self._last_request_at.values()))
        is_inactive = oldest_request_at < now - OWNER_ACTIVE_MS
        return is_inactive or len(self._last_request_at) > MAX_ACTIVE_OWNERS

    def share(self, owner: str) -> float:
        """Return an owner's weight as a share of the active owners' total weight."""
        total_weight = sum(self.weight(name) for name in self._last_request_at)
        return self.weight(owner) / total_weight if total_weight else 1.0


class LoadShedder:
    """Decides which new work one placer admits. Times are elapsed milliseconds."""

    def __init__(self, inputs: AdmissionInputs, owner_weights: Mapping[str, float], seed: int) -> None:
        self.owners = ActiveOwners(owner_weights)
        self.typical_start_ms = INITIAL_START_MS
        self.free_task_slots = 0.0  # as last observed; 0 while the placer's own process is overloaded
        self._inputs = inputs
        self._random = random.Random(seed)

    def on_task_started(self, waited_ms: float) -> None:
        """Update the typical start time with a task that was placed `waited_ms` after its request."""
        if waited_ms < self.typical_start_ms:
            self.typical_start_ms += (waited_ms - self.typical_start_ms) * START_DECAY
        else:
            self.typical_start_ms = min(self.typical_start_ms * START_GROWTH, waited_ms, MAX_START_MS)

    def queue_limit(self, rank: int, placement_rate: float) -> float:
        """Return the number of queued tasks of a rank and above at which new tasks of the rank are rejected.

        Arguments:
            rank: the rank of the task's class.
            placement_rate: tasks placed per second.
        """
        order = self._inputs.priority_order
        if self._level is Level.HOLDING and rank < order.first_essential_rank:
            return HOLDING_QUEUE_LIMIT
        objective_multiple = self._queue_time_limit(rank)
        start_ms = START_TIME_SLACK * self.typical_start_ms
        queue_ms = start_ms + objective_multiple * order.rank_latency_objective_ms[rank]
        placed_in_time = placement_rate * queue_ms / 1000.0
        startable_now = FREE_CAPACITY_SHARE * min(1.0, objective_multiple) * self.free_task_slots
        return MIN_QUEUE_LIMIT + max(placed_in_time, startable_now)

    def decide(self, now: float, request: AdmissionRequest) -> Rejection | None:
        """Decide whether a job is admitted; None means that it is. At `FULL` every job is admitted."""
        self.owners.record_request(now, request.owner)
        if self._level is Level.FULL:
            return None
        queue = self._queue_of(now, request.class_index)
        return (
            self._reject_beyond_limit(queue)
            or self._reject_too_late(queue, request)
            or self._reject_over_share(queue, request)
        )

    @property
    def _level(self) -> Level:
        return self._inputs.state_machine.level

    def _queue_time_limit(self, rank: int) -> float:
        """Return how long a task of a rank may wait, as a multiple of the rank's latency objective."""
        limits = QUEUE_TIME_LIMITS[self._level]
        order = self._inputs.priority_order
        if rank >= order.first_essential_rank:
            return limits.essential
        first_restored_rank = order.rank_count - self._inputs.state_machine.restored_rank_count
        if self._level is Level.RECOVERING and rank >= first_restored_rank:
            return RESTORED_QUEUE_TIME_LIMIT
        return limits.other

    def _queue_of(self, now: float, class_index: int) -> _Queue:
        """Return the queue that a class waits in: its own if blocked, else that of all unblocked classes."""
        signals, backlog = self._inputs.signals, self._inputs.backlog
        rank_of_class = self._inputs.priority_order.rank_of_class
        all_classes = range(len(rank_of_class))
        blocked_classes = frozenset(
            index for index in all_classes if signals.rejected_offer_share(index) >= BLOCKED_OFFER_SHARE
        )
        if class_index in blocked_classes:
            classes: tuple[int, ...] = (class_index,)
            placement_rate = signals.class_placement_rate(now, class_index)
            tasks_ahead = backlog.count_of_class(class_index)
        else:
            classes = tuple(index for index in all_classes if index not in blocked_classes)
            placement_rate = signals.placement_rate(now)
            tasks_ahead = backlog.count_ahead_of(class_index, blocked_classes)
        limit = self.queue_limit(rank_of_class[class_index], placement_rate)
        return _Queue(classes, placement_rate, tasks_ahead, limit)

    def _reject_beyond_limit(self, queue: _Queue) -> Rejection | None:
        if queue.tasks_ahead < queue.limit:
            return None
        text = (
            f"level {self._level.api_name}: {queue.tasks_ahead} tasks wait ahead, "
            f"{queue.limit:.0f} may at {queue.placement_rate:.1f} placed a second"
        )
        tasks_to_wait_for = queue.tasks_ahead - queue.limit / 2
        retry_ms = self._retry_ms(tasks_to_wait_for, queue.placement_rate)
        return Rejection(RejectionReason.REDUCED_SERVICE, text, retry_ms)

    def _reject_too_late(self, queue: _Queue, request: AdmissionRequest) -> Rejection | None:
        """Reject a job that would not be placed before its deadline."""
        wait_ms = 0.0
        if queue.placement_rate > 0:
            tasks_to_wait_for = queue.tasks_ahead - MIN_QUEUE_LIMIT - self.free_task_slots
            wait_ms = max(0.0, tasks_to_wait_for / queue.placement_rate * 1000.0)
        if wait_ms <= request.remaining_ms:
            return None
        text = (
            f"level {self._level.api_name}: it would wait {wait_ms / 1000:.1f} s, "
            f"and {request.remaining_ms / 1000:.1f} s of its patience are left"
        )
        retry_ms = self._retry_ms(queue.tasks_ahead, queue.placement_rate)
        return Rejection(RejectionReason.CANNOT_BE_IN_TIME, text, retry_ms)

    def _reject_over_share(self, queue: _Queue, request: AdmissionRequest) -> Rejection | None:
        """Reject a job whose owner already has its fair share of a queue that is filling up."""
        backlog = self._inputs.backlog
        own_tasks = backlog.count_of_owner(request.owner, queue.classes)
        owner_share = self.owners.share(request.owner)
        fair_count = queue.limit * owner_share
        fair_shares_apply = backlog.count_of_classes(queue.classes) >= FAIR_SHARE_THRESHOLD * queue.limit
        is_over_share = own_tasks >= max(1.0, fair_count)
        if not (fair_shares_apply and is_over_share):
            return None
        text = (
            f"level {self._level.api_name}: {own_tasks} tasks of {request.owner} wait, "
            f"its share is {fair_count:.0f} of {queue.limit:.0f}"
        )
        retry_ms = self._retry_ms(own_tasks, queue.placement_rate * owner_share)
        return Rejection(RejectionReason.OWNER_OVER_SHARE, text, retry_ms)

    def _retry_ms(self, tasks_to_wait_for: float, placement_rate: float) -> float:
        """Return the delay, with jitter, after which the client should retry."""
        wait_ms = UNKNOWN_RATE_RETRY_MS
        if placement_rate > 0:
            wait_ms = tasks_to_wait_for / placement_rate * 1000.0
        lowest, highest = RETRY_JITTER
        jitter = lowest + (highest - lowest) * self._random.random()
        return min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait_ms) * jitter)
