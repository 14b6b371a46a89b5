"""The records of machines, tasks and attempts that the parts of a scheduler work on.

Nothing is decided here. Times are milliseconds on the clock of the events; cores and memory are in the units
of the deployment. A machine's fields stand in groups, each with the module that changes them.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from kelpfront.scheduling.events import Endpoint, MachineId, MachineState, OutcomeReason, TaskId
from kelpfront.scheduling.settings import FailureDomain, TaskClass

VIEW_LAG_MS = 1500.0
"""How long an own offer may be missing from the endpoint list: reports, the list and the network are late."""


class AttemptKey(NamedTuple):
    """A task and the number of one of its attempts."""

    task: TaskId
    number: int


class CapacityChange(NamedTuple):
    """What one offer or one end of an attempt changed of the requested capacity of a machine."""

    at: float
    cores: float
    memory: float


@dataclass(frozen=True, slots=True)
class CapacityBlock:
    """A machine has rejected offers for want of capacity: it gets none as large until a time.

    Attributes:
        until: when the block ends.
        minimum: the smallest request that is blocked, in cores or memory by the reason of the rejection.
    """

    until: float
    minimum: float


@dataclass(slots=True, eq=False)
class OutlierRecord:
    """Failures of a machine, for one class of tasks or for all, and its ejection.

    Attributes:
        failure_score: recent failures, less what successes took off.
        ejection_ms: length of the last ejection, which the next one doubles.
        ejected_until: when the last ejection ends.
    """

    failure_score: float = 0.0
    ejection_ms: float = 0.0
    ejected_until: float = -math.inf


@dataclass(slots=True, eq=False)
class Machine:
    """A machine as the endpoint list, its answers and this scheduler's own offers show it.

    Attributes:
        requested_cores: cores requested there: the list's figure, with own changes that it cannot show yet.
        requested_memory: the same of memory.
        counters: the guardrail counter of each size rank (guardrails).
        slow_start_slot: the slot of the common clock for which `slow_start_offers` counts (slow_start).
        open_attempts: own attempts there that have not ended (attempts).
        unaccepted_count: how many of them it has not accepted yet (attempts).
        reported_cores: cores in use by its last load report, if that said so (utilization).
        cores_since_report: own changes since that report, which it may lack.
        capacity_blocks: for each reason of a rejection, what is not offered to it (capacity).
        draining_until: it has said itself that it drains, which is taken for true until then (feedback).
        last_migration_at: when a task was last moved away from it (migrations).
        outlier_records: failures by class name, or for all classes (outlier_detection).
        last_contact_at: when something was last received from it (health_checks, feedback).
        missed_health_checks: health checks in a row without an answer (health_checks).
        last_check_ended_at: when the last health check ended.
        last_observed_at: when failure detectors last had an answer from it.
        check_required_from: observations count as a health check only once one has ended after this time.
    """

    id: MachineId
    endpoint: Endpoint
    cores: float
    memory: float
    is_ready: bool = False
    listed_cores: float = 0.0
    listed_memory: float = 0.0
    recent_changes: deque[CapacityChange] = field(default_factory=deque)
    recent_cores: float = 0.0
    recent_memory: float = 0.0
    requested_cores: float = 0.0
    requested_memory: float = 0.0
    last_offer_at: float = -math.inf
    counters: dict[int, float] = field(default_factory=dict)
    warming_until: float = -math.inf
    slow_start_slot: int = -1
    slow_start_offers: int = 0
    open_attempts: dict[AttemptKey, Attempt] = field(default_factory=dict)
    unaccepted_count: int = 0
    reported_cores: float | None = None
    reported_memory: float | None = None
    cores_since_report: float = 0.0
    memory_since_report: float = 0.0
    load_reported_at: float = -math.inf
    capacity_blocks: dict[OutcomeReason, CapacityBlock] = field(default_factory=dict)
    draining_until: float = -math.inf
    last_migration_at: float = -math.inf
    outlier_records: dict[str, OutlierRecord] = field(default_factory=dict)
    last_contact_at: float = -math.inf
    is_being_checked: bool = False
    missed_health_checks: int = 0
    last_check_ended_at: float = -math.inf
    last_observed_at: float = -math.inf
    check_required_from: float = -math.inf

    def apply_endpoint(self, endpoint: Endpoint) -> None:
        """Apply an endpoint-list update for this machine."""
        self.endpoint = endpoint
        self.is_ready = endpoint.state is MachineState.READY
        self.listed_cores = self.cores - endpoint.free_cores
        self.listed_memory = self.memory - endpoint.free_memory
        self._update_requested()

    def record_change(self, now: float, cores: float, memory: float) -> None:
        """Add what an own offer requests, or what the end of an own attempt frees."""
        self.recent_changes.append(CapacityChange(now, cores, memory))
        self.recent_cores += cores
        self.recent_memory += memory
        self.cores_since_report += cores
        self.memory_since_report += memory
        self._update_requested()

    def expire_changes(self, now: float) -> None:
        """Drop own changes that the endpoint list shows by now."""
        while self.recent_changes and self.recent_changes[0].at <= now - VIEW_LAG_MS:
            change = self.recent_changes.popleft()
            self.recent_cores -= change.cores
            self.recent_memory -= change.memory
        self._update_requested()

    @property
    def last_alive_at(self) -> float:
        """When any path last showed it alive."""
        return max(self.last_contact_at, self.last_observed_at)

    @property
    def silent_since(self) -> float:
        """When it was last in contact, or last observed where an observation counts as a health check."""
        last_contact_at = self.last_contact_at
        if self.last_observed_at <= last_contact_at:
            return last_contact_at
        is_check_required = self.check_required_from > max(last_contact_at, self.last_check_ended_at)
        return last_contact_at if is_check_required else self.last_observed_at

    def record_observation(self, now: float, observed_at: float, *, check_anyway: bool) -> None:
        """Add that a failure detector had an answer to what it sent at `observed_at` or later."""
        self.last_observed_at = max(self.last_observed_at, observed_at)
        if check_anyway:
            self.check_required_from = now

    def end_health_check(self, now: float) -> None:
        """Add that the health check under way has ended, with or without an answer."""
        self.is_being_checked = False
        self.last_check_ended_at = now

    def reset_incarnation(self) -> None:
        """Forget the incarnation before a restart: what was known of it says nothing of the new one."""
        self.outlier_records.clear()
        self.recent_changes.clear()
        self.recent_cores = 0.0
        self.recent_memory = 0.0
        self.load_reported_at = -math.inf
        self.draining_until = -math.inf
        self._update_requested()

    def domain_id(self, domain: FailureDomain) -> int:
        """Return the number of the failure domain that the machine is in; 0 for `NONE` and `ALL`."""
        if domain is FailureDomain.MACHINE:
            return self.id
        if domain is FailureDomain.CELL:
            return self.endpoint.cell
        if domain is FailureDomain.ZONE:
            return self.endpoint.zone
        return 0

    def _update_requested(self) -> None:
        # Kept on each change: one choice of a machine reads the sums of all machines, several times.
        cores = self.listed_cores + self.recent_cores
        memory = self.listed_memory + self.recent_memory
        self.requested_cores = cores if cores > 0 else 0.0
        self.requested_memory = memory if memory > 0 else 0.0


@dataclass(slots=True, eq=False)
class Attempt:
    """One offer of a task to a machine.

    Attributes:
        machine: where it is; None for a task that was found on a machine which no list has named yet.
        is_accepted: whether the machine has acknowledged it.
        is_reported: whether the machine has sent a status report on it, so that it runs there.
    """

    task: Task
    number: int
    machine: Machine | None
    sent_at: float
    is_accepted: bool = False
    is_reported: bool = False

    @property
    def key(self) -> AttemptKey:
        """The key of the attempt in tables."""
        return AttemptKey(self.task.id, self.number)


@dataclass(slots=True, eq=False)
class Task:
    """A task that is to be placed, or runs.

    Attributes:
        deadline: when its final answer is due.
        attempted_machines: machines where an attempt has ended; a dict, as most tasks have none and an empty
            set takes three times the memory.
        possibly_executed: ended attempts of which it is not known that they were not executed.
        is_answered: whether it needs no further answer: it is placed, over, withdrawn or given up.
    """

    id: TaskId
    task_class: TaskClass
    service: int
    cores: float
    memory: float
    deadline: float = math.inf
    attempt_count: int = 0
    attempted_machines: dict[MachineId, None] = field(default_factory=dict)
    possibly_executed: list[Attempt] = field(default_factory=list)
    is_answered: bool = False
