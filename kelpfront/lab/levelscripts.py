"""Days on which a placer must give something up: demand over time, and what goes wrong.

Demand is in times of what the fleet can take. Each script names its causes, from when to when: changes of
level beyond what these account for are swinging.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Literal

Kind = Literal["lose-room", "regain-room", "full", "silence", "late", "stale", "restart", "clock", "greedy"]

CHANGES_A_CAUSE = 5  # full, careful, essential, recovering, (careful,) full: there and all the way back
CHANGES_AN_HOUR = 4  # beyond real causes


@dataclass(frozen=True, slots=True)
class Fault:
    """`at_s` from the begin; what `value` and `what` mean depends on the kind."""

    at_s: float
    kind: Kind
    what: str = ""
    value: float = 0.0
    for_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Script:
    name: str
    about: str
    seconds: float
    demand: Callable[[float], float]
    faults: tuple[Fault, ...] = ()
    causes: tuple[tuple[float, float], ...] = field(default=())

    @property
    def changes_most(self) -> float:
        """The stated limit for one placer."""
        return CHANGES_A_CAUSE * len(self.causes) + max(1.0, CHANGES_AN_HOUR * self.seconds / 3600.0)


def _steps(*steps: tuple[float, float]) -> Callable[[float], float]:
    """Demand by time: (from second, times of the capacity)."""

    def demand(at_s: float) -> float:
        return [times for since, times in steps if since <= at_s][-1]

    return demand


def _hover(boundary: float, within: float, every_s: float) -> Callable[[float], float]:
    """Demand that moves at random within a share of a boundary."""
    rng = random.Random(f"hover/{boundary}")
    values = [boundary * (1 + within * rng.uniform(-1, 1)) for _ in range(1000)]
    return lambda at_s: values[int(at_s / every_s) % len(values)]


def _flaps(times: int, first_s: float, every_s: float, away_s: float) -> tuple[Fault, ...]:
    return tuple(
        fault
        for number in range(times)
        for fault in (
            Fault(first_s + number * every_s, "lose-room", "room-0"),
            Fault(first_s + number * every_s + away_s, "regain-room", "room-0"),
        )
    )


SCRIPTS: dict[str, Script] = {
    script.name: script
    for script in (
        Script("calm", "70 % of what the fleet takes, nothing wrong", 600, _steps((0, 0.7))),
        Script(
            "hover",
            "demand within 2 % of where a tenth goes unserved, the bound of entry, for 30 minutes",
            1800,
            _hover(1.0 / 0.9, 0.02, 15.0),
            causes=((0, 1800),),
        ),
        Script(
            "room-flaps",
            "one of three rooms lost for a minute five times, four minutes apart, at 85 %",
            1800,
            _steps((0, 0.85)),
            _flaps(5, 120, 240, 60),
            causes=((120, 1140),),
        ),
        Script(
            "class-full",
            "half of the machines refuse a class as full for five minutes, with room free",
            900,
            _steps((0, 0.7)),
            (Fault(120, "full", "ingest", 0.5, 300),),
            causes=((120, 420),),
        ),
        Script(
            "silent",
            "all machines silent for 3 s, then all answering a second late for 10 s",
            420,
            _steps((0, 0.7)),
            (Fault(120, "silence", "", 3.0), Fault(123, "late", "", 1000.0, 10)),
            causes=((120, 133),),
        ),
        Script(
            "stale-list",
            "what machines tell of their room is 8 s old for three minutes, at 90 %",
            600,
            _steps((0, 0.9)),
            (Fault(120, "stale", "", 8000.0, 180),),
            causes=((120, 300),),
        ),
        Script(
            "step",
            "demand steps from 70 % to 2.5 times for five minutes",
            900,
            _steps((0, 0.7), (120, 2.5), (420, 0.7)),
            causes=((120, 420),),
        ),
        Script(
            "herd",
            "two of three rooms lost for two minutes; all who were turned away come back",
            900,
            _steps((0, 0.8)),
            (
                Fault(120, "lose-room", "room-0"),
                Fault(120, "lose-room", "room-1"),
                Fault(240, "regain-room", "room-0"),
                Fault(240, "regain-room", "room-1"),
            ),
            causes=((120, 240),),
        ),
        Script(
            "restart",
            "demand of 2.5 times, and the placer is restarted in the middle of it",
            900,
            _steps((0, 0.7), (120, 2.5), (420, 0.7)),
            (Fault(270, "restart"),),
            causes=((120, 270), (270, 420)),
        ),
        Script(
            "clock",
            "demand of 2.5 times; the clock jumps an hour ahead, and ten minutes back",
            900,
            _steps((0, 0.7), (120, 2.5), (420, 0.7)),
            (Fault(200, "clock", "", 3_600_000.0), Fault(300, "clock", "", -600_000.0)),
            causes=((120, 420),),
        ),
        Script(
            "greedy",
            "one owner of ten asks for 50 times its share for five minutes",
            900,
            _steps((0, 0.5)),
            (Fault(120, "greedy", "", 50.0, 300),),
            causes=((120, 420),),
        ),
        Script(
            "step-and-room",
            "demand of 1.8 times, and in the middle of it a room is lost for two minutes",
            900,
            _steps((0, 0.7), (120, 1.8), (480, 0.7)),
            (Fault(240, "lose-room", "room-0"), Fault(360, "regain-room", "room-0")),
            causes=((120, 240), (240, 480)),
        ),
        Script(
            "greedy-and-full",
            "a greedy owner, while half of the machines refuse a class as full",
            900,
            _steps((0, 0.5)),
            (Fault(120, "greedy", "", 50.0, 300), Fault(180, "full", "ingest", 0.5, 200)),
            causes=((120, 420),),
        ),
    )
}


def constant(times: float, seconds: float) -> Script:
    """One demand throughout, for goodput."""
    return Script(
        f"demand-{times:g}",
        f"{times:g} times what the fleet takes",
        seconds,
        _steps((0, times)),
        (),
        ((0, seconds),),
    )
