"""Decides which new work is admitted at the present level, and when a rejected client should retry. Pure.

Below `FULL` a task is admitted while the tasks ahead of it can be placed within a queueing time that depends
on its rank and the level: the queue limit is the placement rate times that time. So the queue stays short,
work is admitted wherever there is capacity for it, and work that would only time out is rejected at once. A
rejected task was never handed to the scheduler, so a retry is safe. The level comes from
`level_state_machine`, the counts from `overload_signals`; the order of admitted work is up to `fair_queue`.
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
    """How long a task may wait in the queue, in multiples of its rank's latency objective."""

    essential: float
    other: float


# The queue must not run empty while there is capacity, and must let most of its tasks start in time.
QUEUE_TIME_LIMITS: Mapping[Level, QueueTimeLimit] = {
    Level.CAREFUL: QueueTimeLimit(essential=2.0, other=0.7),
    Level.RECOVERING: QueueTimeLimit(essential=1.5, other=0.1),  # `other`: ranks that are not restored yet
    Level.ESSENTIAL: QueueTimeLimit(essential=1.5, other=0.1),
    Level.HOLDING: QueueTimeLimit(essential=0.5, other=0.0),
}
RESTORED_QUEUE_TIME_LIMIT = 0.7
"""The limit of ranks that are restored at `RECOVERING` and not essential."""
MIN_QUEUE_LIMIT = 8
"""Tasks that may always wait: with none at all nothing would show that tasks are placed again."""
FREE_CAPACITY_SHARE = 0.5
"""Share of the free capacity that extends the queue limit, since tasks that can start at once do not queue.
Not all of it: other placers see the same capacity."""
HOLDING_QUEUE_LIMIT = 0
"""The queue limit of ranks that are not essential, at `HOLDING`."""
START_TIME_SLACK = 1.5
"""Start times vary: tasks within this multiple of the typical start time are starting, not waiting."""
BLOCKED_OFFER_SHARE = 0.5
"""A class is blocked if machines reject this share of its offers as full: it waits for itself alone."""
FAIR_SHARE_FROM = 0.5
"""Fair shares apply once this share of the queue limit is taken; below it owners may take what they like."""
OWNER_ACTIVE_MS = 10_000.0
"""An owner counts as active for this time after its last request."""
MAX_ACTIVE_OWNERS = 1_000
"""Owners that are remembered; it limits memory, not the number of owners."""
MIN_RETRY_MS = 1_000.0
MAX_RETRY_MS = 30_000.0
UNKNOWN_RATE_RETRY_MS = MAX_RETRY_MS / 4
"""The retry delay, before jitter, while nothing is placed."""
RETRY_JITTER = (0.7, 1.6)
"""Range of a retry delay's random factor: clients that are rejected together must not return together."""
INITIAL_START_MS = 300.0
"""The typical start time until the first starts were measured."""
MAX_START_MS = 10 * INITIAL_START_MS
START_DECAY = 0.5
"""For a quick start the typical start time falls by this share of the difference."""
START_GROWTH = 1.02
"""For a slow start it rises by this factor at most: time in the queue must not count as time of a start."""


class RejectionReason(StrEnum):
    """Why work is rejected; a word of the API."""

    REDUCED_SERVICE = "ReducedService"
    CANNOT_BE_IN_TIME = "CannotBeInTime"
    OWNER_OVER_SHARE = "OwnerOverShare"


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A job that asks to be admitted."""

    class_index: int
    owner: str
    task_count: int
    remaining_ms: float
    """Time until the job's deadline."""
    is_retry: bool = field(default=False, kw_only=True)
    """Whether the owner has requested the same job before."""
    is_feasible: bool = field(default=True, kw_only=True)
    """Whether any machine of the cluster could run a task: otherwise the request is no sign of load."""


@dataclass(frozen=True, slots=True)
class Rejection:
    """Why work is not admitted now. `reason` is for programs, `text` for people."""

    reason: RejectionReason
    text: str
    retry_ms: float


@dataclass(frozen=True, slots=True)
class AdmissionInputs:
    """What admission depends on. The controller owns and updates it; the load shedder only reads it."""

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
    """Owners with a recent request, `MAX_ACTIVE_OWNERS` at most, and the weights of owners."""

    def __init__(self, weights: Mapping[str, float]) -> None:
        self._weights = dict(weights)
        self._last_request_at: OrderedDict[str, float] = OrderedDict()

    def weight(self, owner: str) -> float:
        """Return an owner's weight; owners without a setting have 1."""
        return self._weights.get(owner, 1.0)

    def record_request(self, now: float, owner: str) -> None:
        """Note that an owner is active."""
        self._last_request_at[owner] = now
        self._last_request_at.move_to_end(owner)
        while self._has_surplus(now):
            self._last_request_at.popitem(last=False)

    def _has_surplus(self, now: float) -> bool:
        if not self._last_request_at:
            return False
        oldest_request_at = next(iter(self._last_request_at.values()))
        is_inactive = oldest_request_at < now - OWNER_ACTIVE_MS
        return is_inactive or len(self._last_request_at) > MAX_ACTIVE_OWNERS

    def share(self, owner: str) -> float:
        """Return an owner's share by weight among the active owners."""
        total_weight = sum(self.weight(name) for name in self._last_request_at)
        return self.weight(owner) / total_weight if total_weight else 1.0


class LoadShedder:
    """The admission of new work at one placer. Times are elapsed milliseconds."""

    def __init__(self, inputs: AdmissionInputs, owner_weights: Mapping[str, float], seed: int) -> None:
        self.owners = ActiveOwners(owner_weights)
        self.typical_start_ms = INITIAL_START_MS
        self.free_task_slots = 0.0  # as last observed; 0 while the placer's own process is overloaded
        self._inputs = inputs
        self._random = random.Random(seed)

    def on_task_started(self, waited_ms: float) -> None:
        """Adjust the typical start time by a task that was placed so long after its admission."""
        if waited_ms < self.typical_start_ms:
            self.typical_start_ms += (waited_ms - self.typical_start_ms) * START_DECAY
        else:
            self.typical_start_ms = min(self.typical_start_ms * START_GROWTH, waited_ms, MAX_START_MS)

    def queue_limit(self, rank: int, placement_rate: float) -> float:
        """Return how many tasks of a rank and above may wait for another one to be admitted.

        Arguments:
            rank: the rank of the task's class.
            placement_rate: tasks placed per second.
        """
        order = self._inputs.priority_order
        if self._level is Level.HOLDING and rank < order.first_essential_rank:
            return HOLDING_QUEUE_LIMIT
        objectives = self._queue_time_limit(rank)
        start_ms = START_TIME_SLACK * self.typical_start_ms
        queue_ms = start_ms + objectives * order.rank_latency_objective_ms[rank]
        placed_in_time = placement_rate * queue_ms / 1000.0
        startable_now = FREE_CAPACITY_SHARE * min(1.0, objectives) * self.free_task_slots
        return MIN_QUEUE_LIMIT + max(placed_in_time, startable_now)

    def decide(self, now: float, request: AdmissionRequest) -> Rejection | None:
        """Decide whether a job is admitted; None means that it is. At `FULL` every job is."""
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
        """Return how long a task of a rank may wait, in multiples of the latency objective."""
        limits = QUEUE_TIME_LIMITS[self._level]
        order = self._inputs.priority_order
        if rank >= order.first_essential_rank:
            return limits.essential
        first_restored_rank = order.rank_count - self._inputs.state_machine.restored_rank_count
        if self._level is Level.RECOVERING and rank >= first_restored_rank:
            return RESTORED_QUEUE_TIME_LIMIT
        return limits.other

    def _queue_of(self, now: float, class_index: int) -> _Queue:
        """Return the queue that a class waits in: its own if it is blocked, else that of all others."""
        signals, backlog = self._inputs.signals, self._inputs.backlog
        rank_of_class = self._inputs.priority_order.rank_of_class
        all_classes = range(len(rank_of_class))
        blocked_classes = frozenset(
            one for one in all_classes if signals.rejected_offer_share(one) >= BLOCKED_OFFER_SHARE
        )
        if class_index in blocked_classes:
            classes: tuple[int, ...] = (class_index,)
            placement_rate = signals.class_placement_rate(now, class_index)
            tasks_ahead = backlog.count_of_class(class_index)
        else:
            classes = tuple(one for one in all_classes if one not in blocked_classes)
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
        """Reject a job of an owner that holds more than its fair share of a queue that fills up."""
        backlog = self._inputs.backlog
        own_tasks = backlog.count_of_owner(request.owner, queue.classes)
        owner_share = self.owners.share(request.owner)
        fair_count = queue.limit * owner_share
        fair_shares_apply = backlog.count_of_classes(queue.classes) >= FAIR_SHARE_FROM * queue.limit
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
        """Return the delay after which a retry makes sense, with jitter."""
        wait_ms = UNKNOWN_RATE_RETRY_MS
        if placement_rate > 0:
            wait_ms = tasks_to_wait_for / placement_rate * 1000.0
        lowest, highest = RETRY_JITTER
        jitter = lowest + (highest - lowest) * self._random.random()
        return min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait_ms) * jitter)
