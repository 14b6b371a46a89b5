"""The table of open attempts, indexed by key, service and machine, and those on machines not listed yet.

Opening an attempt reserves its cores and memory on the machine. When an attempt ends, `feedback` updates the
state of the machine, and `retries` decides what happens to the task.
"""

from __future__ import annotations

from collections.abc import Collection

from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.events import MachineId
from kelpfront.scheduling.fleet import Fleet
from kelpfront.scheduling.health_checks import HealthChecks
from kelpfront.scheduling.model import Attempt, AttemptKey, Machine, Task
from kelpfront.scheduling.slow_start import SlowStart


class AttemptTable:
    """All attempts that have not ended."""

    def __init__(
        self, context: SchedulingContext, fleet: Fleet, slow_start: SlowStart, health_checks: HealthChecks
    ) -> None:
        self._context = context
        self._fleet = fleet
        self._slow_start = slow_start
        self._health_checks = health_checks
        self._attempts: dict[AttemptKey, Attempt] = {}
        self._by_service: dict[int, dict[AttemptKey, Attempt]] = {}
        self._unlisted: dict[MachineId, dict[AttemptKey, Attempt]] = {}

    def __contains__(self, key: AttemptKey) -> bool:
        return key in self._attempts

    def get(self, key: AttemptKey) -> Attempt | None:
        """Return an open attempt, or None."""
        return self._attempts.get(key)

    def of_service(self, service: int) -> Collection[Attempt]:
        """Return the open attempts of a service."""
        attempts = self._by_service.get(service)
        return attempts.values() if attempts is not None else ()

    def unaccepted_of(self, task: Task) -> list[Attempt]:
        """Return the open attempts of a task that their machines have not accepted."""
        keys = (AttemptKey(task.id, number) for number in range(task.attempt_count))
        open_attempts = (self._attempts.get(key) for key in keys)
        return [attempt for attempt in open_attempts if attempt is not None and not attempt.is_accepted]

    def open(self, task: Task, machine: Machine) -> None:
        """Open the next attempt of a task on a machine, and reserve its cores and memory there."""
        attempt = Attempt(task, task.attempt_count, machine, self._context.now)
        self._add(attempt)
        task.attempt_count += 1
        machine.last_offer_at = self._context.now
        self._slow_start.use_offer(machine)
        self._health_checks.count_offer()
        self._fleet.record_change(machine, task.cores, task.memory)

    def open_found(self, task: Task, machine_id: MachineId) -> None:
        """Open attempt 0 of a task that already runs, possibly on a machine that is not listed yet."""
        attempt = Attempt(task, 0, self._fleet.get(machine_id), self._context.now, is_accepted=True)
        self._add(attempt)
        if attempt.machine is None:
            self._unlisted.setdefault(machine_id, {})[attempt.key] = attempt

    def assign_unlisted(self, machine: Machine) -> None:
        """Assign to a newly listed machine the attempts of tasks that were found there earlier."""
        for attempt in self._unlisted.pop(machine.id, {}).values():
            attempt.machine = machine
            self._add(attempt)

    def accept(self, key: AttemptKey) -> Attempt | None:
        """Mark an attempt as accepted and return it; None if it is unknown or already accepted."""
        attempt = self._attempts.get(key)
        if attempt is None or attempt.is_accepted:
            return None
        attempt.is_accepted = True
        if attempt.machine is not None:
            attempt.machine.unaccepted_count -= 1
        return attempt

    def close(self, key: AttemptKey, machine_id: MachineId) -> Attempt | None:
        """Remove an attempt that has ended on the machine and return it; None if it is unknown."""
        attempt = self._attempts.pop(key, None)
        if attempt is None:
            return None
        service = attempt.task.service
        of_service = self._by_service[service]
        del of_service[key]
        if not of_service:
            del self._by_service[service]
        if attempt.machine is None:
            self._forget_unlisted(machine_id, key)
        else:
            attempt.machine.open_attempts.pop(key, None)
            attempt.machine.unaccepted_count -= not attempt.is_accepted
        return attempt

    def _forget_unlisted(self, machine_id: MachineId, key: AttemptKey) -> None:
        attempts = self._unlisted.get(machine_id, {})
        attempts.pop(key, None)
        if not attempts:
            self._unlisted.pop(machine_id, None)

    def _add(self, attempt: Attempt) -> None:
        key = attempt.key
        self._attempts[key] = attempt
        self._by_service.setdefault(attempt.task.service, {})[key] = attempt
        if attempt.machine is not None:
            self._health_checks.on_attempt_opened(attempt.machine)
            attempt.machine.open_attempts[key] = attempt
            attempt.machine.unaccepted_count += not attempt.is_accepted
        self._health_checks.schedule_scan()
