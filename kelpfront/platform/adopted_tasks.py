"""Adopted tasks that wait for their machine, and task ends that wait for their task. Pure.

After a restart, clients hand over the tasks that the previous incarnation placed, and `running_tasks` adopts
them. This module holds the tasks whose machine is not in the endpoint list yet, and the ends that machines
reported before the client handed the task over.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from kelpfront.platform.discovery_freshness import DiscoveryFreshness
from kelpfront.platform.limits import Limit, LimitMonitor
from kelpfront.platform.messages import Message
from kelpfront.platform.requests import PendingRequest
from kelpfront.platform.timeouts import MAX_UNLISTED_MACHINE_TIMEOUT_MS, UNLISTED_MACHINE_TIMEOUT_MS
from kelpfront.scheduling.events import MachineId
from kelpfront.timers import Timers

MAX_EARLY_ENDS = 1_024
"""Limit of stored ends of tasks that no client has handed over yet; past it, the oldest is dropped."""


class _EarlyEnd(msgspec.Struct, frozen=True):
    machine: MachineId
    message: Message


class _UnlistedTask(msgspec.Struct, frozen=True):
    machine: MachineId
    request: PendingRequest
    adopted_at: float


class AdoptedTasks:
    """Waiting adopted tasks; `on_lost` is called with each task whose machine is not listed in time."""

    def __init__(
        self,
        timers: Timers,
        freshness: DiscoveryFreshness,
        limits: LimitMonitor,
        on_lost: Callable[[float, PendingRequest], None],
    ) -> None:
        self._timers = timers
        self._freshness = freshness
        self._limits = limits
        self._on_lost = on_lost
        self._unlisted: dict[MachineId, dict[str, PendingRequest]] = {}
        self._early_ends: dict[str, _EarlyEnd] = {}

    def __len__(self) -> int:
        """Return the number of tasks that wait for their machine to be listed."""
        return sum(len(requests) for requests in self._unlisted.values())

    def wait_for_machine(self, now: float, machine: MachineId, request: PendingRequest) -> None:
        """Hold an adopted task until its machine is listed or the time to wait for that has expired."""
        self._unlisted.setdefault(machine, {})[request.request_id] = request
        self._set_timer(now, _UnlistedTask(machine, request, now))

    def on_machine_listed(self, machine: MachineId) -> Iterable[PendingRequest]:
        """Remove and return the tasks that wait for this machine."""
        return self._unlisted.pop(machine, {}).values()

    def _set_timer(self, now: float, task: _UnlistedTask) -> None:
        self._timers.set(
            now + UNLISTED_MACHINE_TIMEOUT_MS, lambda then: self._on_unlisted_timeout(then, task)
        )

    def _on_unlisted_timeout(self, now: float, task: _UnlistedTask) -> None:
        waiting = self._unlisted.get(task.machine, {})
        if task.request.request_id not in waiting:
            return
        # The task may still be running: if the coordinator has not answered since the adoption, a recently
        # added machine is not known yet.
        may_still_be_listed = self._freshness.last_answer_at <= task.adopted_at
        if may_still_be_listed and now < task.adopted_at + MAX_UNLISTED_MACHINE_TIMEOUT_MS:
            self._set_timer(now, task)
            return
        del waiting[task.request.request_id]
        if not waiting:
            del self._unlisted[task.machine]
        self._on_lost(now, task.request)

    def store_early_end(self, machine: MachineId, message: Message) -> None:
        """Store the end of a task that the machine reports before the client has handed the task over."""
        self._early_ends[message.call] = _EarlyEnd(machine, message)
        if len(self._early_ends) > MAX_EARLY_ENDS:
            self._limits.reached(Limit.EARLY_TASK_ENDS)
            del self._early_ends[next(iter(self._early_ends))]

    def pop_early_end(self, machine: MachineId, request_id: str) -> Message | None:
        """Remove and return the end that the machine has already reported for the task, if any."""
        end = self._early_ends.pop(request_id, None)
        return end.message if end is not None and end.machine == machine else None
