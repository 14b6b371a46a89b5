"""Admission, preemption and eviction: which offers fit on a machine and which tasks have to end.

These are pure functions of a machine's capacity and of what its tasks request and use. `evaluation` applies
the admission decisions and `node` the evictions.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from kelpfront.machine.messages import NO_CORES, NO_MEMORY

_ROUNDING_SLACK = 1e-9  # rounding in sums such as 0.1 + 0.2 must not cause an exact fit to be refused


@dataclass(frozen=True, slots=True)
class Capacity:
    """A machine's cores and memory, and the multiple of each that its tasks may request in total."""

    cores: float
    memory: float
    cores_overcommit: float
    memory_overcommit: float


@dataclass(frozen=True, slots=True)
class Request:
    """The priority and the resources of a task that is considered for admission."""

    priority: int
    cores: float
    memory: float


@dataclass(frozen=True, slots=True)
class Claim:
    """The priority and the resources of a task on the machine; `since` is the time of its admission."""

    task: str
    priority: int
    cores: float
    memory: float
    since: float
    used_memory: float = 0.0


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """The result of `decide_admission`.

    `reason` is empty if the request fits, or will fit once the tasks in `preempted` have ended.
    """

    reason: str = ""
    message: str = ""
    preempted: tuple[str, ...] = ()


@dataclass(slots=True)
class _Total:
    """The total of the requested cores and memory, and the maximum that the machine accepts."""

    cores: float
    memory: float
    max_cores: float
    max_memory: float

    @property
    def cores_short(self) -> bool:
        return self.cores > self.max_cores

    @property
    def memory_short(self) -> bool:
        return self.memory > self.max_memory

    @property
    def fits(self) -> bool:
        return not self.cores_short and not self.memory_short

    def is_relieved_by(self, claim: Claim) -> bool:
        """Return whether the end of a task frees some of a resource that is short."""
        frees_cores = self.cores_short and claim.cores > 0
        frees_memory = self.memory_short and claim.memory > 0
        return frees_cores or frees_memory


def decide_admission(
    capacity: Capacity, claims: Collection[Claim], request: Request, *, preempts: bool
) -> AdmissionDecision:
    """Decide whether a request fits in addition to the existing claims.

    With `preempts`, tasks of lower priority are preempted until the request fits: the lowest priority first
    and, within a priority, the latest admitted first, since it loses the least work.
    """
    total = _Total(
        sum(claim.cores for claim in claims) + request.cores,
        sum(claim.memory for claim in claims) + request.memory,
        capacity.cores_overcommit * capacity.cores + _ROUNDING_SLACK,
        capacity.memory_overcommit * capacity.memory + _ROUNDING_SLACK,
    )
    victims: tuple[str, ...] = ()
    if preempts and not total.fits:
        victims = _preempt(total, claims, request.priority)
    if total.fits:
        return AdmissionDecision(preempted=victims)
    if total.cores_short:
        message = f"{total.cores:g} cores asked for in all, {total.max_cores:g} accepted"
        return AdmissionDecision(NO_CORES, message)
    message = f"{total.memory:g} of memory asked for in all, {total.max_memory:g} accepted"
    return AdmissionDecision(NO_MEMORY, message)


def _preempt(total: _Total, claims: Collection[Claim], priority: int) -> tuple[str, ...]:
    """Select tasks of lower priority until the total fits, and subtract them from the total."""
    victims: list[str] = []
    lower = [claim for claim in claims if claim.priority < priority]
    for claim in sorted(lower, key=lambda claim: (claim.priority, -claim.since, claim.task)):
        if total.fits:
            break
        if total.is_relieved_by(claim):
            victims.append(claim.task)
            total.cores -= claim.cores
            total.memory -= claim.memory
    return tuple(victims)


def select_evictions(
    capacity: Capacity, claims: Collection[Claim], other_memory: float = 0.0
) -> tuple[str, ...]:
    """Return the tasks to stop when the memory in use exceeds the machine's memory.

    Tasks of the lowest priority are evicted first and, within a priority, those that exceed their request the
    most.
    """
    used_memory = other_memory + sum(claim.used_memory for claim in claims)
    victims: list[str] = []
    for claim in sorted(claims, key=_eviction_order):
        if used_memory <= capacity.memory:
            break
        victims.append(claim.task)
        used_memory -= claim.used_memory
    return tuple(victims)


def _eviction_order(claim: Claim) -> tuple[int, float, str]:
    return claim.priority, claim.memory - claim.used_memory, claim.task
