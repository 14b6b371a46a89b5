"""Days for the emulator: YAML checked by pydantic models, with random draws in ranges. No I/O.

A range is a number, or `[low, high]` from which the day's seed draws. Machines are chosen by `machines`
(names), `room`, `rack` or a `share` drawn at random. Problems name their place and what is allowed.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated, Any, Literal

from pydantic import Field, model_validator

from kelpfront.config import ConfigError
from kelpfront.config.reader import parse_config
from kelpfront.inventory import Inventory
from kelpfront.lab.checkedyaml import Checked, read_checked
from kelpfront.lab.setup import make_hosts
from kelpfront.lab.standins import Fault, FaultKind

Range = Annotated[float, Field(ge=0)] | tuple[Annotated[float, Field(ge=0)], Annotated[float, Field(ge=0)]]

PLAIN_SETTINGS = """
[cluster]
accepts_cores = 2.0
accepts_memory = 1.5
pushes_out = yes
[rules]
cold_from = 0.25
cold_for = 10 s
cold_multiple = 2.5
cold_window = 2 s
cold_offers = 30
[kind small]
cores = 16
memory = 32
[kind large]
cores = 32
memory = 64
[class web]
effect = safe
aim = 1 s
deadline = 5 s
worth = 1
start_worth = 2 s
[class ingest]
effect = keyed
group = room
window = 8 s
aim = 700 ms
deadline = 5 s
worth = 3
start_worth = 4 s
priority = 2
[class blend]
effect = unsafe
aim = 600 ms
deadline = 8 s
worth = 2
start_worth = 4 s
priority = 2
"""


class ScriptError(ValueError):
    """A script that cannot be used; the message has a line for each problem."""


class Happening(Checked):
    """What goes wrong, when, for how long, and with which machines."""

    at: Range = Field(description="Seconds from the day's begin.")
    lasts: Range = Field(description="Seconds.")


class MachineFault(Happening):
    kind: FaultKind = Field(description="As `kelpfront.lab.standins.Fault` says.")
    machines: tuple[str, ...] | None = Field(None, description="By name.")
    room: str | None = Field(None, description="All of a room; `any` draws one.")
    rack: str | None = Field(None, description="All of a rack; `any` draws one.")
    share: Range | None = Field(None, description="So many of all, drawn.")
    value: Range = Field(0.0, description="Milliseconds, a share, or offers a second, by kind.")
    class_: str = Field("", alias="class", description="Of class-fail, class-full and heavy.")
    times: Range = Field(1.0, description="Of heavy: how much longer tasks live.")
    how: Literal["error", "silence"] = Field("error", description="Of class-fail.")
    at_a_time: int | None = Field(None, ge=1, description="In waves of so many machines, not all at once.")
    every: Range = Field(0.0, description="Seconds from one wave to the next.")

    @model_validator(mode="after")
    def _one_choice(self) -> MachineFault:
        given = [name for name in ("machines", "room", "rack", "share") if getattr(self, name) is not None]
        if len(given) != 1:
            raise ValueError(f"machines, room, rack or share: one of them is needed, {len(given)} are given")
        if self.kind in ("class-fail", "class-full", "heavy") and not self.class_:
            raise ValueError(f"class: is needed for {self.kind}")
        return self


class PlacerKill(Happening):
    placer: int = Field(0, ge=0, description="Its number.")


class PlacerStall(Happening):
    """The process stands still: nothing of it runs, and what was due runs when it goes on."""

    placer: int = Field(0, ge=0, description="Its number.")


class Skew(Checked):
    """A party's wall clock is wrong for the whole day."""

    place: str = Field(description="A placer, a machine, or `owners`.")
    ms: tuple[float, float] | float = Field(description="Milliseconds ahead; behind where negative.")


class Hot(Happening):
    """One service of each class gets more than its part of the jobs."""

    share: Range = Field(description="Of all jobs that come meanwhile.")


class Herd(Checked):
    """Many owners at once."""

    at: Range = Field(description="Seconds from the day's begin.")
    jobs: int = Field(ge=1, le=100_000)
    within: Range = Field(0.0, description="Seconds over which they come.")


class Cut(Happening):
    """A partition: nothing goes from the one places to the others."""

    between: tuple[tuple[str, ...], tuple[str, ...]] = Field(
        description="Names of placers, machines, `owners`, or `room:NAME`."
    )
    one_way: bool = False


class Step(Checked):
    at: float = Field(ge=0, description="Seconds from the day's begin.")
    times: float = Field(ge=0, description="Of the day's rate.")


class DayScript(Checked):
    """A day."""

    name: str = Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")
    about: str = ""
    seconds: float = Field(60.0, gt=0, le=86_400)
    settle: float = Field(20.0, ge=0, le=3_600, description="Seconds after the last job.")
    machines: int = Field(12, ge=1, le=5_000)
    placers: int = Field(2, ge=1, le=300)
    rooms: tuple[str, ...] = Field(("hall-a", "hall-b", "hall-c"), min_length=1)
    rate: float = Field(20.0, gt=0, le=10_000, description="Jobs a second, over all placers.")
    demand: tuple[Step, ...] = Field((), description="Jumps of the rate.")
    mix: dict[str, float] = Field(default_factory=dict, description="Class: share of the jobs; 1 if absent.")
    services: int = Field(4, ge=1, description="Of each class.")
    start_ms: float = Field(120.0, gt=0)
    life_ms: float = Field(8_000.0, gt=0)
    settings: str = Field(PLAIN_SETTINGS, description="INI, as for a placer.")
    faults: tuple[MachineFault, ...] = ()
    kills: tuple[PlacerKill, ...] = Field((), description="Placers that die and come back.")
    partitions: tuple[Cut, ...] = ()
    stalls: tuple[PlacerStall, ...] = Field((), description="Placers that stand still.")
    skews: tuple[Skew, ...] = Field((), description="Clocks that are wrong.")
    herds: tuple[Herd, ...] = ()
    hot: tuple[Hot, ...] = ()


@dataclass(frozen=True, slots=True)
class Partition:
    at_s: float
    for_s: float
    sources: tuple[str, ...]
    targets: tuple[str, ...]
    one_way: bool


@dataclass(frozen=True, slots=True)
class Kill:
    at_s: float
    for_s: float
    placer: int


@dataclass(frozen=True, slots=True)
class Burst:
    at_s: float
    within_s: float
    jobs: int


@dataclass(frozen=True, slots=True)
class Trouble:
    """What happens on one seed's day. `skews` is milliseconds by place."""

    faults: tuple[Fault, ...]
    partitions: tuple[Partition, ...]
    kills: tuple[Kill, ...]
    stalls: tuple[Kill, ...]
    skews: dict[str, float]
    herds: tuple[Burst, ...]
    hot: tuple[tuple[float, float, float], ...]  # from, until, share


class Day:
    """A checked script."""

    def __init__(self, script: DayScript) -> None:
        self.script = script
        self.name, self.seconds, self.settle_s = script.name, script.seconds, script.settle
        self.machines, self.placers, self.rooms = script.machines, script.placers, script.rooms
        self.mix, self.services = script.mix, script.services
        self.start_ms, self.life_ms, self.settings = script.start_ms, script.life_ms, script.settings

    def demand_at(self, second: float) -> float:
        """Jobs a second."""
        times = [step.times for step in self.script.demand if step.at <= second]
        return self.script.rate * (times[-1] if times else 1.0)

    def draw(self, rng: random.Random, machines: Iterable[str], inventory: Inventory) -> Trouble:
        """What happens on one seed's day, in the script's order."""
        names = sorted(machines)
        faults = []
        for fault in self.script.faults:
            at_s, for_s = _draw(rng, fault.at), _draw(rng, fault.lasts)
            hosts = self._chosen(rng, fault, names, inventory)
            value = _draw(rng, fault.value)
            every_s, times = _draw(rng, fault.every), _draw(rng, fault.times)
            size = fault.at_a_time or max(1, len(hosts))
            for wave, first in enumerate(range(0, len(hosts), size)):
                begins, its = at_s + wave * every_s, hosts[first : first + size]
                faults.append(Fault(fault.kind, begins, for_s, its, value, fault.class_, fault.how, times))
        partitions = [
            Partition(
                _draw(rng, cut.at),
                _draw(rng, cut.lasts),
                self._places(cut.between[0], inventory),
                self._places(cut.between[1], inventory),
                cut.one_way,
            )
            for cut in self.script.partitions
        ]
        kills = [Kill(_draw(rng, k.at), _draw(rng, k.lasts), k.placer) for k in self.script.kills]
        stalls = [Kill(_draw(rng, s.at), _draw(rng, s.lasts), s.placer) for s in self.script.stalls]
        skews = {skew.place: _draw(rng, skew.ms) for skew in self.script.skews}
        herds = [Burst(_draw(rng, h.at), _draw(rng, h.within), h.jobs) for h in self.script.herds]
        hot = []
        for its_hot in self.script.hot:
            begin = _draw(rng, its_hot.at)
            hot.append((begin, begin + _draw(rng, its_hot.lasts), _draw(rng, its_hot.share)))
        return Trouble(
            tuple(faults), tuple(partitions), tuple(kills), tuple(stalls), skews, tuple(herds), tuple(hot)
        )

    @staticmethod
    def _chosen(
        rng: random.Random, fault: MachineFault, names: list[str], inventory: Inventory
    ) -> tuple[str, ...]:
        hosts = inventory.hosts
        if fault.machines is not None:
            return fault.machines
        if fault.room is not None:
            room = (
                rng.choice(sorted({host.room for host in hosts.values()}))
                if fault.room == "any"
                else fault.room
            )
            return tuple(name for name in names if hosts[name].room == room)
        if fault.rack is not None:
            rack = (
                rng.choice(sorted({host.rack for host in hosts.values()}))
                if fault.rack == "any"
                else fault.rack
            )
            return tuple(name for name in names if hosts[name].rack == rack)
        assert fault.share is not None
        count = min(len(names), max(1, round(_draw(rng, fault.share) * len(names))))
        return tuple(sorted(rng.sample(names, count)))

    @staticmethod
    def _places(wanted: tuple[str, ...], inventory: Inventory) -> tuple[str, ...]:
        found: list[str] = []
        for name in wanted:
            if name.startswith("room:"):
                room = name.removeprefix("room:")
                found += [host.name for host in inventory.hosts.values() if host.room == room]
            else:
                found.append(name)
        return tuple(found)


def _draw(rng: random.Random, value: Any) -> float:
    if isinstance(value, tuple):
        low, high = sorted(value)
        return round(rng.uniform(low, high), 6)
    return float(value)


def read_day(text: str, source: str) -> Day:
    """A day of YAML; ScriptError names every problem with its place."""
    script = read_checked(text, source, DayScript, ScriptError, "the day")
    try:
        config = parse_config(script.settings, f"{source}: settings")
    except ConfigError as error:
        raise ScriptError(str(error)) from None
    known = set(config.classes)
    wrong = [name for name in script.mix if name not in known]
    wrong += [fault.class_ for fault in script.faults if fault.class_ and fault.class_ not in known]
    if wrong:
        raise ScriptError(f"{source}: class {wrong[0]!r} is not one of {', '.join(sorted(known))}")
    _check_places(script, source)
    numbers = [(f"kills.{number}", kill.placer) for number, kill in enumerate(script.kills)]
    numbers += [(f"stalls.{number}", stall.placer) for number, stall in enumerate(script.stalls)]
    for its, placer in numbers:
        if placer >= script.placers:
            raise ScriptError(f"{source}: {its}.placer: there are {script.placers}, from 0")
    for number, fault in enumerate(script.faults):
        if fault.room not in (None, "any", *script.rooms):
            raise ScriptError(f"{source}: faults.{number}.room: {fault.room!r} is not one of {script.rooms}")
    return Day(script)


def _check_places(script: DayScript, source: str) -> None:
    """Trouble for a machine, rack or place that the day does not have would silently be none."""
    hosts = make_hosts(script.machines, script.rooms, [("any", 1.0, 1.0)])
    machines, racks = {host.name for host in hosts}, {host.rack for host in hosts} | {"any"}
    ends = machines | {f"p{number}" for number in range(script.placers)} | {"owners"}
    ends |= {f"room:{room}" for room in script.rooms}
    named = [
        (f"faults.{number}.machines", name, machines)
        for number, fault in enumerate(script.faults)
        for name in fault.machines or ()
    ]
    named += [
        (f"faults.{number}.rack", fault.rack, racks)
        for number, fault in enumerate(script.faults)
        if fault.rack is not None
    ]
    named += [
        (f"partitions.{number}.between", name, ends)
        for number, cut in enumerate(script.partitions)
        for name in (*cut.between[0], *cut.between[1])
    ]
    named += [(f"skews.{number}.place", skew.place, ends) for number, skew in enumerate(script.skews)]
    for place, name, known in named:
        if name not in known:
            raise ScriptError(f"{source}: {place}: {name!r} is not one of {_some(known)}")


def _some(names: set[str], most: int = 12) -> str:
    shown = sorted(names)
    return ", ".join(shown[:most]) + (f" and {len(shown) - most} more" if len(shown) > most else "")


def schema() -> dict[str, Any]:
    """The JSON schema of a day, for editors."""
    found: dict[str, Any] = DayScript.model_json_schema(by_alias=True)
    return found
