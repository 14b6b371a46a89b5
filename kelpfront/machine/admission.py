"""Which offers fit on a machine, what is preempted for them, and what is evicted when memory runs out.

Pure functions of a machine's capacity and of what its tasks request and use. `evaluation` applies them; tasks
are stopped elsewhere.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from kelpfront.machine.messages import NO_CORES, NO_MEMORY

_ROUNDING_SLACK = 1e-9  # sums of requests such as 0.1 + 0.2 must not refuse what just fits


@dataclass(frozen=True, slots=True)
class Capacity:
    """A machine's size, and how many times that its tasks may request together."""

    cores: float
    memory: float
    cores_overcommit: float
    memory_overcommit: float


@dataclass(frozen=True, slots=True)
class Request:
    """What a task that is to be admitted requests."""

    priority: int
    cores: float
    memory: float


@dataclass(frozen=True, slots=True)
class Claim:
    """What a task on the machine requests and uses; `since` is when it was admitted."""

    task: str
    priority: int
    cores: float
    memory: float
    since: float
    used_memory: float = 0.0


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """`reason` is empty where the request fits, once the tasks in `preempted` have ended."""

    reason: str = ""
    message: str = ""
    preempted: tuple[str, ...] = ()


@dataclass(slots=True)
class _Total:
    """The cores and memory requested in all, beside what the machine accepts."""

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
        """Whether the end of a task frees some of what is short."""
        frees_cores = self.cores_short and claim.cores > 0
        frees_memory = self.memory_short and claim.memory > 0
        return frees_cores or frees_memory


def decide_admission(
    capacity: Capacity, claims: Collection[Claim], request: Request, *, preempts: bool
) -> AdmissionDecision:
    """Decide whether a request fits beside the tasks that are here.

    Where the machine preempts, as few tasks as possible end for it, those of the least priority first. Among
    equals the youngest end: they have done the least work.
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
    """Choose tasks of lower priority until the total fits, and take them off it."""
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
    """Return the tasks to stop where more memory is in use than there is.

    Those of the least priority come first, then those that are furthest over what they requested.
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
