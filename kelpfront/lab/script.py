"""The scripted bad day: what goes wrong when, drawn from a seed. No I/O."""

from __future__ import annotations

import random
from collections.abc import Sequence

import msgspec

from kelpfront.inventory import Host
from kelpfront.lab.standins import Fault


class DayShape(msgspec.Struct, frozen=True):
    """How large a day is. `rate` is in tasks a second before demand jumps."""

    seed: int
    placers: int
    machines: int
    rate: float
    seconds: float


class PlacerFault(msgspec.Struct, frozen=True):
    """A placer is killed, and comes back."""

    at_s: float
    for_s: float
    placer: int


class Drain(msgspec.Struct, frozen=True):
    """An operator drains machines through every placer, and takes that back."""

    at_s: float
    for_s: float
    hosts: tuple[str, ...]


class Jump(msgspec.Struct, frozen=True):
    """Demand is `factor` times the usual."""

    at_s: float
    for_s: float
    factor: float


class BadDay(msgspec.Struct, frozen=True):
    faults: tuple[Fault, ...]
    placer_faults: tuple[PlacerFault, ...]
    drains: tuple[Drain, ...]
    jumps: tuple[Jump, ...]


def room_of_placer(number: int, rooms: Sequence[str]) -> str:
    return rooms[number % len(rooms)]


def bad_day(shape: DayShape, hosts: Sequence[Host], rooms: Sequence[str]) -> BadDay:
    """Everything that the users' pages name, one after another and some together."""
    rng = random.Random(f"bad-day/{shape.seed}")
    length = shape.seconds
    names = [host.name for host in hosts]

    def some(share: float) -> tuple[str, ...]:
        return tuple(sorted(rng.sample(names, max(1, round(share * len(names))))))

    def at(share: float) -> float:
        return round(length * (share + rng.uniform(-0.02, 0.02)), 3)

    def during(share: float) -> float:
        return round(max(1.0, length * share * rng.uniform(0.8, 1.2)), 3)

    racks = sorted({(host.room, host.rack) for host in hosts})
    rack = rng.choice(racks)
    lost_room = rng.choice(list(rooms))
    room_at, room_for = at(0.47), during(0.12)
    faults = [
        Fault("neighbour", at(0.06), during(0.25), some(0.2), rng.uniform(0.3, 0.7)),
        Fault("class-fail", at(0.12), during(0.2), some(0.4), rng.uniform(0.6, 0.95), "ingest", "error"),
        Fault("class-fail", at(0.16), during(0.12), some(0.25), 0.9, "blend", "silence"),
        Fault("silence", at(0.2), during(0.1), some(0.1)),
        Fault(
            "crash",
            at(0.3),
            during(0.1),
            tuple(host.name for host in hosts if (host.room, host.rack) == rack),
        ),
        Fault("crash", room_at, room_for, tuple(host.name for host in hosts if host.room == lost_room)),
        Fault("reset", at(0.62), during(0.1), some(0.2), 0.3),
        Fault("class-full", at(0.66), during(0.15), some(0.5), rng.uniform(0.5, 2.0), "web"),
        Fault("drain", at(0.74), during(0.1), some(0.12)),
        Fault("late", at(0.8), during(0.1), some(0.15), rng.uniform(500, 1500)),
        Fault("list-lag", at(0.85), during(0.1), tuple(names), rng.uniform(1000, 3000)),
    ]
    placer_faults = [
        PlacerFault(room_at, room_for, number)
        for number in range(shape.placers)
        if room_of_placer(number, rooms) == lost_room
    ]
    others = [n for n in range(shape.placers) if room_of_placer(n, rooms) != lost_room]
    if others:
        placer_faults.append(PlacerFault(at(0.38), 1.5, rng.choice(others)))
    return BadDay(
        tuple(faults),
        tuple(placer_faults),
        (Drain(at(0.56), during(0.08), some(0.08)), Drain(at(0.9), during(0.05), some(0.05))),
        (Jump(at(0.6), during(0.08), rng.uniform(1.7, 2.5)),),
    )
