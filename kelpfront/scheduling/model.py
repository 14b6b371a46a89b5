"""The records of machines, tasks and attempts that the components of a scheduler share.

They make no decisions. Times are in milliseconds on the clock of the events; cores and memory are in the
units of the deployment. A module name in parentheses after an attribute is the module that changes it.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from kelpfront.scheduling.events import Endpoint, MachineId, MachineState, OutcomeReason, TaskId
from kelpfront.scheduling.settings import FailureDomain, TaskClass

VIEW_LAG_MS = 1500.0
"""Maximum time until the endpoint list shows an offer: the delay of reports, the list and the network."""


class AttemptKey(NamedTuple):
    """The id of a task and the number of one of its attempts."""

    task: TaskId
    number: int


class CapacityChange(NamedTuple):
    """The change of a machine's requested capacity by one offer or by the end of one attempt."""

    at: float
    cores: float
    memory: float


@dataclass(frozen=True, slots=True)
class CapacityBlock:
    """A block on offers to a machine that rejected an offer for lack of capacity.

    Attributes:
        until: when the block ends.
        min_request: the smallest request that is blocked, in memory for NO_MEMORY and otherwise in cores.
    """

    until: float
    min_request: float


@dataclass(slots=True, eq=False)
class OutlierRecord:
    """Failures and ejection of a machine, for one class of tasks or for all.

    Attributes:
        failure_score: weighted count of recent failures; each success halves it.
        ejection_ms: length of the last ejection; the next one doubles it, and a success halves it.
        ejected_until: when the last ejection ends.
    """

    failure_score: float = 0.0
    ejection_ms: float = 0.0
    ejected_until: float = -math.inf


@dataclass(slots=True, eq=False)
class Machine:
    """A machine as seen through the endpoint list, its responses and this scheduler's offers.

    Attributes:
        requested_cores: cores requested on the machine: the listed value plus this scheduler's changes that
            the list cannot show yet.
        requested_memory: the same for memory.
        counters: the guardrail counter of each size rank (guardrails).
        slow_start_slot: the slot of the shared clock to which `slow_start_offers` applies (slow_start).
        slow_start_offers: offers to the machine that this scheduler has left in that slot (slow_start).
        open_attempts: this scheduler's attempts on the machine that have not ended (attempts).
        unaccepted_count: number of open attempts that the machine has not accepted (attempts).
        reported_cores: cores in use in the last load report, or None if it had no such value (utilization).
        cores_since_report: this scheduler's changes that the report may not include (utilization).
        capacity_blocks: blocked request sizes, by the reason of the rejection (capacity).
        draining_until: end of the time for which the machine's own report of a drain counts (feedback).
        last_migration_at: when a task was last migrated off the machine (migrations).
        outlier_records: failures by class name, or for all classes (outlier_detection).
        last_contact_at: when something was last received from the machine (health_checks, feedback).
        missed_health_checks: consecutive health checks without a response (health_checks).
        last_check_ended_at: when the last health check ended (health_checks).
        last_observed_at: latest time at which failure detectors sent what the machine responded to
            (health_checks).
        check_required_from: observations replace a health check only after one has ended since this time
            (health_checks).
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
        """Add the request of an offer, or subtract what the end of an attempt frees."""
        self.recent_changes.append(CapacityChange(now, cores, memory))
        self.recent_cores += cores
        self.recent_memory += memory
        self.cores_since_report += cores
        self.memory_since_report += memory
        self._update_requested()

    def expire_changes(self, now: float) -> None:
        """Drop the changes by this scheduler that the endpoint list shows by now."""
        while self.recent_changes and self.recent_changes[0].at <= now - VIEW_LAG_MS:
            change = self.recent_changes.popleft()
            self.recent_cores -= change.cores
            self.recent_memory -= change.memory
        self._update_requested()

    @property
    def last_alive_at(self) -> float:
        """When the machine was last known to be alive, by contact or by observation."""
        return max(self.last_contact_at, self.last_observed_at)

    @property
    def silent_since(self) -> float:
        """When it was last in contact, or last observed if observations may replace a health check."""
        last_contact_at = self.last_contact_at
        if self.last_observed_at <= last_contact_at:
            return last_contact_at
        is_check_required = self.check_required_from > max(last_contact_at, self.last_check_ended_at)
        return last_contact_at if is_check_required else self.last_observed_at

    def record_observation(self, now: float, observed_at: float, *, check_anyway: bool) -> None:
        """Record that a failure detector received a response to what it sent at `observed_at` or later."""
        self.last_observed_at = max(self.last_observed_at, observed_at)
        if check_anyway:
            self.check_required_from = now

    def end_health_check(self, now: float) -> None:
        """Record that the health check in progress has ended, with or without a response."""
        self.is_being_checked = False
        self.last_check_ended_at = now

    def reset_incarnation(self) -> None:
        """Drop the state of the incarnation before a restart, as it does not apply to the new one."""
        self.outlier_records.clear()
        self.recent_changes.clear()
        self.recent_cores = 0.0
        self.recent_memory = 0.0
        self.load_reported_at = -math.inf
        self.draining_until = -math.inf
        self._update_requested()

    def domain_id(self, domain: FailureDomain) -> int:
        """Return the id of the machine's failure domain at this level; 0 for `NONE` and `ALL`."""
        if domain is FailureDomain.MACHINE:
            return self.id
        if domain is FailureDomain.CELL:
            return self.endpoint.cell
        if domain is FailureDomain.ZONE:
            return self.endpoint.zone
        return 0

    def _update_requested(self) -> None:
        # Computed on each change, because one placement decision reads the sums of all machines repeatedly.
        cores = self.listed_cores + self.recent_cores
        memory = self.listed_memory + self.recent_memory
        self.requested_cores = cores if cores > 0 else 0.0
        self.requested_memory = memory if memory > 0 else 0.0


@dataclass(slots=True, eq=False)
class Attempt:
    """One offer of a task to a machine.

    Attributes:
        machine: the machine of the attempt; None for a task found on a machine that is not listed yet.
        is_accepted: whether the machine has acknowledged the attempt.
        is_reported: whether the machine has sent a status report on the attempt, which shows that it runs.
    """

    task: Task
    number: int
    machine: Machine | None
    sent_at: float
    is_accepted: bool = False
    is_reported: bool = False

    @property
    def key(self) -> AttemptKey:
        """The key of the attempt in the table of open attempts."""
        return AttemptKey(self.task.id, self.number)


@dataclass(slots=True, eq=False)
class Task:
    """A task that waits for placement or runs.

    Attributes:
        deadline: when its final answer is due.
        attempted_machines: machines on which an attempt has ended; a dict, because most tasks have none and
            an empty set takes three times the memory of an empty dict.
        possibly_executed: ended attempts that may have been executed.
        is_answered: whether no answer is due any more: the task is placed, ended, withdrawn, rejected or
            failed.
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
