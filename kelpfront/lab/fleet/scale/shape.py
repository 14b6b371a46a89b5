"""What a scale run plays: sizes, where machines and placers stand, and the script of failures. Pure."""

from __future__ import annotations

import re
from dataclasses import dataclass, fields

from kelpfront.lab.platform import Json, member

# Each option, and what is allowed.
BOUNDS: dict[str, tuple[float, float]] = {
    "machines": (1, 4_000),
    "tasks": (0, 40_000),
    "placers": (1, 32),
    "real": (0, 32),
    "regions": (1, 4),
    "zones": (1, 16),
    "starts": (0, 200),
    "events": (0, 500),
    "seconds": (1, 900),
    "settle": (0, 60),
    "delay_ms": (0, 2_000),
    "drains": (0, 20),
    "watchers": (0, 4),
}
TASKS_OF_ONE = 8_000  # standing tasks of one placer; more are not taken
RACK = 20  # machines
KINDS = ("worker", "rack", "zone", "link")
FAULTS_MOST = 16
FAULTS_END_S = 180.0
KNOWN_WITHIN_S = 12.0  # what is silent for less may not be known; the run looks so long after the last
CORES, MEMORY_GB = 64, 256.0  # of a machine
TASK_CORES, TASK_MEMORY_GB = 0.2, 0.3
WATCHERS_FROM = 64  # numbers above those of placers
NET, PLACER_NET, LIST_NET = 64, 10, 20  # second octets: of machines as the first placer sees them, and others

_FAULT = re.compile(r"([a-z]+)@(\d+(?:\.\d+)?)\+(\d+(?:\.\d+)?)")


class ShapeError(ValueError):
    """An option that cannot be played."""


@dataclass(frozen=True, slots=True)
class Fault:
    """What falls silent `at_s` after the measured window, for `lasts_s` seconds."""

    kind: str
    at_s: float
    lasts_s: float

    @classmethod
    def of(cls, text: str) -> Fault:
        """KIND@AT+LASTS, as in rack@2+14; ShapeError says what is wrong."""
        found = _FAULT.fullmatch(text)
        if found is None:
            raise ShapeError(f"fault: KIND@SECONDS+SECONDS is wanted, as in rack@2+14, not {text!r}")
        kind, at_s, lasts_s = found.group(1), float(found.group(2)), float(found.group(3))
        if kind not in KINDS:
            raise ShapeError(f"fault: one of {', '.join(KINDS)} is wanted, not {kind!r}")
        if not 0.0 < lasts_s <= FAULTS_END_S - at_s:
            raise ShapeError(f"fault: {text}: it must last, and end within {FAULTS_END_S:g} s")
        return cls(kind, at_s, lasts_s)

    def __str__(self) -> str:
        return f"{self.kind}@{self.at_s:g}+{self.lasts_s:g}"


@dataclass(frozen=True, slots=True)
class Shape:
    """Sizes over the fleet; starts and events a second; times in seconds where no unit is named."""

    machines: int = 100
    tasks: int = 500
    placers: int = 4
    real: int = 2
    regions: int = 2
    zones: int = 7
    starts: float = 0.0
    events: float = 0.0
    seconds: float = 10.0
    settle: float = 6.0
    delay_ms: float = 20.0
    drains: int = 3
    restart: bool = True
    watchers: int = 0  # of each region; without any, placers test machines themselves
    faults: tuple[Fault, ...] = ()

    def __post_init__(self) -> None:
        for name, (least, most) in BOUNDS.items():
            value = getattr(self, name)
            if not least <= value <= most:
                raise ShapeError(f"{name}: {least:g} to {most:g} is allowed, not {value:g}")
        if self.real > self.placers:
            raise ShapeError(f"real: at most the {self.placers} placers, not {self.real}")
        if self.regions > self.zones:
            raise ShapeError(f"regions: at most the {self.zones} zones, not {self.regions}")
        if self.drains > self.machines // 2:
            raise ShapeError(f"drains: at most half of the {self.machines} machines, not {self.drains}")
        if self.tasks > TASKS_OF_ONE * self.placers:
            most_tasks = TASKS_OF_ONE * self.placers
            raise ShapeError(f"tasks: at most {most_tasks} on {self.placers} placers, not {self.tasks}")
        if len(self.faults) > FAULTS_MOST:
            raise ShapeError(f"fault: at most {FAULTS_MOST}, not {len(self.faults)}")
        for first, second in zip(self.faults, self.faults[1:], strict=False):
            if second.at_s < first.at_s + first.lasts_s:
                raise ShapeError(f"fault: {second} begins before {first} is over")

    @property
    def command(self) -> str:
        """The command line that plays it again."""
        plain = Shape()
        words = ["kelpfront lab fleet scale"]
        for one in fields(self):
            value = getattr(self, one.name)
            if one.name == "faults":
                words += [f"--fault {fault}" for fault in value]
            elif one.name == "restart":
                words += [] if value else ["--no-restart"]
            elif value != getattr(plain, one.name):
                words.append(f"--{one.name.replace('_', '-')} {value:g}")
        return " ".join(words)

    def sizes(self) -> Json:
        """What was played, for the results."""
        return {
            one.name: [str(fault) for fault in self.faults]
            if one.name == "faults"
            else getattr(self, one.name)
            for one in fields(self)
        }

    @classmethod
    def of(cls, sizes: Json) -> Shape:
        """From what `sizes` gives."""
        return cls(**sizes | {"faults": tuple(Fault.of(text) for text in sizes["faults"])})

    # ---- Where what stands ----------------------------------------------------------------------------

    @property
    def watcher_numbers(self) -> range:
        """By which lists and workers know watchers, among placers: the region of each is by its number."""
        first = WATCHERS_FROM - WATCHERS_FROM % self.regions
        return range(first, first + self.watchers * self.regions)

    @property
    def zone_names(self) -> list[str]:
        return [f"z{number}" for number in range(self.zones)]

    def zone_of(self, machine: int) -> int:
        return machine % self.zones

    def region_of_zone(self, zone: int) -> int:
        return zone * self.regions // self.zones

    def region_of(self, machine: int) -> int:
        return self.region_of_zone(self.zone_of(machine))

    def cell_of(self, machine: int) -> int:
        return self.zone_of(machine) * 1_000 + machine // self.zones // RACK

    def region_of_placer(self, placer: int) -> int:
        return placer % self.regions

    def zone_of_placer(self, placer: int) -> int:
        """A zone of its own region; those of one region take turns."""
        region = self.region_of_placer(placer)
        own = [zone for zone in range(self.zones) if self.region_of_zone(zone) == region]
        return own[placer // self.regions % len(own)]

    def tasks_of(self, placer: int) -> int:
        """How many tasks that stand are handed over to it."""
        return self.tasks // self.placers + (placer < self.tasks % self.placers)

    def machine_of_task(self, placer: int, number: int) -> int:
        """Evenly spread; each placer begins elsewhere."""
        return (number + placer * self.machines // self.placers) % self.machines

    def silenced(self, kind: str) -> list[int]:
        """The machines that fall silent in a fault; none for the link, which stands between."""
        every = range(self.machines)
        match kind:
            case "worker":
                return [self.machines // 2]
            case "rack":
                cell = self.cell_of(self.machines // 2)
                return [machine for machine in every if self.cell_of(machine) == cell]
            case "zone":
                return [machine for machine in every if self.zone_of(machine) == self.zones - 1]
        return []

    def drained(self) -> list[int]:
        """The machines that are told to drain in the measured window: none that falls silent afterwards."""
        silent = {machine for fault in self.faults for machine in self.silenced(fault.kind)}
        left = [machine for machine in range(self.machines) if machine not in silent]
        return left[: self.drains]

    def member(
        self, machine: int, port: int, phase: str = "Ready", cores: float = 40.0, placer: int = 0
    ) -> Json:
        """Its entry in the list; each placer sees machines at addresses of its own, so that bytes are told
        apart by who sent them."""
        return member(
            machine_name(machine),
            f"{address_of(NET + placer, machine)}:{port}",
            phase,
            locality=f"z{self.zone_of(machine)}",
            cell=self.cell_of(machine),
            spare=[cores, 200.0],
        )


def address_of(net: int, number: int) -> str:
    return f"127.{net}.{number >> 8}.{number & 255}"


def number_of(address: str) -> tuple[int, int]:
    """The net and the number of an address."""
    _, net, high, low = address.split(".")
    return int(net), (int(high) << 8) + int(low)


def machine_name(machine: int) -> str:
    return f"s-{machine:08x}"


def machine_number(name: str) -> int:
    return int(name[2:], 16)


def standing_call(placer: int, number: int) -> str:
    """The id of a task that stood before the run."""
    return f"{placer:04x}{number:012x}"


def new_call(placer: int, number: int) -> str:
    return f"{0x8000 | placer:04x}{number:012x}"


def seen_by(body: bytes, placer: int) -> bytes:
    """A list as one placer sees it: machines at its own addresses."""
    return body.replace(b'"127.%d.' % NET, b'"127.%d.' % (NET + placer))
