"""What a machine accepts, whom it pushes out for it, and whom it evicts. Pure functions of what it holds."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from kelpfront.machine.messages import NO_CORES, NO_MEMORY

_SLACK = 1e-9  # sums of asks such as 0.1 + 0.2 must not refuse what just fits


@dataclass(frozen=True, slots=True)
class Capacity:
    """A machine's size, and how many times that it lets tasks ask for together."""

    cores: float
    memory: float
    over_cores: float
    over_memory: float


@dataclass(frozen=True, slots=True)
class Claim:
    """What a task that is held asks for and uses; `since` is when it was accepted."""

    task: str
    priority: int
    cores: float
    memory: float
    since: float
    used_memory: float = 0.0


@dataclass(frozen=True, slots=True)
class Verdict:
    """`reason` is empty where the ask fits, once `push_out` have gone."""

    reason: str = ""
    message: str = ""
    push_out: tuple[str, ...] = ()


def weigh(
    capacity: Capacity,
    claims: Collection[Claim],
    priority: int,
    cores: float,
    memory: float,
    pushes_out: bool,
) -> Verdict:
    """Whether a task fits beside what is held; where tasks are pushed out, the fewest of the least priority.

    Among equals the youngest go: they have done the least work.
    """
    room_cores = capacity.over_cores * capacity.cores + _SLACK
    room_memory = capacity.over_memory * capacity.memory + _SLACK
    asked_cores = sum(claim.cores for claim in claims) + cores
    asked_memory = sum(claim.memory for claim in claims) + memory
    if asked_cores <= room_cores and asked_memory <= room_memory:
        return Verdict()
    victims: list[str] = []
    if pushes_out:
        lower = [claim for claim in claims if claim.priority < priority]
        for claim in sorted(lower, key=lambda c: (c.priority, -c.since, c.task)):
            short_cores, short_memory = asked_cores > room_cores, asked_memory > room_memory
            if not (short_cores or short_memory):
                break
            if (short_cores and claim.cores > 0) or (short_memory and claim.memory > 0):
                victims.append(claim.task)
                asked_cores -= claim.cores
                asked_memory -= claim.memory
    if asked_cores <= room_cores and asked_memory <= room_memory:
        return Verdict(push_out=tuple(victims))
    if asked_cores > room_cores:
        return Verdict(NO_CORES, f"{asked_cores:g} cores asked for in all, {room_cores:g} accepted")
    return Verdict(NO_MEMORY, f"{asked_memory:g} of memory asked for in all, {room_memory:g} accepted")


def evict(capacity: Capacity, claims: Collection[Claim], other_memory: float = 0.0) -> tuple[str, ...]:
    """Tasks to stop where more memory is in use than there is.

    Least priority first, then those that are furthest over what they asked for.
    """
    used = other_memory + sum(claim.used_memory for claim in claims)
    victims: list[str] = []
    for claim in sorted(claims, key=lambda c: (c.priority, c.memory - c.used_memory, c.task)):
        if used <= capacity.memory:
            break
        victims.append(claim.task)
        used -= claim.used_memory
    return tuple(victims)
