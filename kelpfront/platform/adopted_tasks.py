"""Tasks of a former incarnation whose machine is not listed yet, or whose end came before them. Pure.

Clients hand such tasks over; `running_tasks` adopts them. Here they wait until the endpoint list names their
machine, and ends that machines reported too early wait for their task.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from kelpfront.platform.discovery_freshness import DiscoveryFreshness
from kelpfront.platform.limits import Limit, LimitMonitor
from kelpfront.platform.messages import Message
from kelpfront.platform.requests import PendingRequest
from kelpfront.platform.timeouts import MAX_UNLISTED_MACHINE_MS, UNLISTED_MACHINE_MS
from kelpfront.scheduling.events import MachineId
from kelpfront.timers import Timers

MAX_EARLY_ENDS = 1_024
"""Ends of tasks that are still to be handed over."""


class _EarlyEnd(msgspec.Struct, frozen=True):
    machine: MachineId
    message: Message


class _UnlistedTask(msgspec.Struct, frozen=True):
    machine: MachineId
    request: PendingRequest
    adopted_at: float


class AdoptedTasks:
    """Adopted tasks that wait; `on_lost` is called with one whose machine nobody lists."""

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
        """Tasks that wait for their machine to be listed."""
        return sum(len(requests) for requests in self._unlisted.values())

    def wait_for_machine(self, now: float, machine: MachineId, request: PendingRequest) -> None:
        """Keep an adopted task until the machine is listed, or for as long as its end may be delayed."""
        self._unlisted.setdefault(machine, {})[request.request_id] = request
        self._set_timer(now, _UnlistedTask(machine, request, now))

    def on_machine_listed(self, machine: MachineId) -> Iterable[PendingRequest]:
        """Return the tasks that waited for it, which no longer wait."""
        return self._unlisted.pop(machine, {}).values()

    def _set_timer(self, now: float, task: _UnlistedTask) -> None:
        self._timers.set(now + UNLISTED_MACHINE_MS, lambda then: self._on_overdue(then, task))

    def _on_overdue(self, now: float, task: _UnlistedTask) -> None:
        waiting = self._unlisted.get(task.machine, {})
        if task.request.request_id not in waiting:
            return
        # It may run on: a list without an answer since then says nothing of a younger machine.
        may_be_listed = self._freshness.last_answer_at <= task.adopted_at
        if may_be_listed and now < task.adopted_at + MAX_UNLISTED_MACHINE_MS:
            self._set_timer(now, task)
            return
        del waiting[task.request.request_id]
        if not waiting:
            del self._unlisted[task.machine]
        self._on_lost(now, task.request)

    def store_early_end(self, machine: MachineId, message: Message) -> None:
        """Keep the end of a task that its machine reports before its client hands it over."""
        self._early_ends[message.call] = _EarlyEnd(machine, message)
        if len(self._early_ends) > MAX_EARLY_ENDS:
            self._limits.reached(Limit.EARLY_TASK_ENDS)
            del self._early_ends[next(iter(self._early_ends))]

    def pop_early_end(self, machine: MachineId, request_id: str) -> Message | None:
        """Return the end that the machine has already reported, which is then gone from here."""
        end = self._early_ends.pop(request_id, None)
        return end.message if end is not None and end.machine == machine else None
