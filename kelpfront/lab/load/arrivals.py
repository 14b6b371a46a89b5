"""When work is sent, decided before the run begins: an open loop does not wait for answers. No I/O, no clock.

A profile is a rate over time; arrivals of a profile that changes are drawn by thinning a Poisson process of
its highest rate (Lewis and Shedler 1979). A trace is a CSV file with a row for each piece of work.
"""

from __future__ import annotations

import csv
import math
import random
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from io import StringIO
from typing import Any, Literal

TRACE_MOST = 2_000_000  # rows
TRACE_COLUMNS = ("at_s", "class", "service", "cores", "memory", "patience")
Form = Literal["poisson", "bursts", "diurnal"]


class TraceError(ValueError):
    """A trace that cannot be used; the message has a line for each problem."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """One piece of work; `at_s` counts from the run's begin, and `patience` "" is the class's."""

    at_s: float
    cls: str
    service: str
    cores: float
    memory: float
    patience: str = ""


@dataclass(frozen=True, slots=True)
class Profile:
    """A rate over time.

    - poisson: `rate` all the time.
    - bursts: each `period_s` begins with `share` of it at `peak` times the rate of the rest; the mean is
      `rate`.
    - diurnal: a sine of one `period_s`, lowest at its begin, `peak` times the lowest at its middle; the mean
      is `rate`.
    """

    form: Form
    rate: float
    seconds: float
    period_s: float = 60.0
    peak: float = 4.0
    share: float = 0.1

    def __post_init__(self) -> None:
        allowed = (
            ("rate", self.rate, 0.0, math.inf),
            ("seconds", self.seconds, 0.0, math.inf),
            ("period", self.period_s, 0.0, math.inf),
        )
        for name, value, low, high in allowed:
            if not low < value < high:
                raise ValueError(f"{name}: {value:g} is not over 0")
        if not 1.0 <= self.peak < math.inf:
            raise ValueError(f"peak: {self.peak:g} is not 1 or more")
        if not 0.0 < self.share < 1.0:
            raise ValueError(f"share: {self.share:g} is not between 0 and 1")

    def at(self, second: float) -> float:
        """Arrivals a second."""
        if self.form == "poisson":
            return self.rate
        phase = second % self.period_s / self.period_s
        if self.form == "bursts":
            low = self.rate / (1.0 + self.share * (self.peak - 1.0))
            return low * self.peak if phase < self.share else low
        low = 2.0 * self.rate / (1.0 + self.peak)
        return low + (self.peak - 1.0) * low * (1.0 - math.cos(2.0 * math.pi * phase)) / 2.0

    @property
    def highest(self) -> float:
        return max(self.at(0.0), self.at(self.period_s / 2.0))

    def times(self, rng: random.Random, part: float = 1.0) -> Iterator[float]:
        """Seconds from the begin, of a part of all arrivals: parts drawn apart add up to the whole."""
        highest = self.highest * part
        at = 0.0
        while True:
            at += rng.expovariate(highest)
            if at >= self.seconds:
                return
            if self.form == "poisson" or rng.random() * highest < self.at(at) * part:
                yield at


def drawn(
    profile: Profile,
    mix: Mapping[str, float],
    services: int,
    size: tuple[float, float],
    rng: random.Random,
    part: float = 1.0,
) -> Iterator[Arrival]:
    """Arrivals of a profile with classes by their shares. Each service has one shape, as placers expect."""
    names, weights = list(mix), list(mix.values())
    for at in profile.times(rng, part):
        cls = rng.choices(names, weights)[0]
        yield Arrival(at, cls, f"{cls}-{rng.randrange(services)}", *size)


def read_trace(text: str, source: str, classes: Sequence[str]) -> list[Arrival]:
    """A trace's arrivals in the order of their times; TraceError names row, column and what is allowed."""
    reader = csv.reader(StringIO(text))
    try:
        return _read_rows(reader, source, classes)
    except csv.Error as error:
        raise TraceError(f"{source}:{reader.line_num}: is not CSV: {error}") from None


def _read_rows(reader: Any, source: str, classes: Sequence[str]) -> list[Arrival]:
    header = next(reader, None)
    if header is None or [name.strip() for name in header] != list(TRACE_COLUMNS):
        raise TraceError(f"{source}:1: the columns are {','.join(TRACE_COLUMNS)}")
    arrivals: list[Arrival] = []
    problems: list[str] = []
    for row in reader:
        line = reader.line_num
        if not row:
            continue
        if len(arrivals) >= TRACE_MOST:
            problems.append(f"{source}:{line}: more than {TRACE_MOST} rows")
            break
        if len(row) != len(TRACE_COLUMNS):
            problems.append(f"{source}:{line}: {len(row)} fields, {len(TRACE_COLUMNS)} are expected")
            continue
        cells = dict(zip(TRACE_COLUMNS, (cell.strip() for cell in row), strict=True))
        found = [
            _number(cells[name], f"{source}:{line}: {name}", problems, zero)
            for name, zero in (("at_s", True), ("cores", False), ("memory", False))
        ]
        if cells["class"] not in classes:
            problems.append(f"{source}:{line}: class: {cells['class']!r} is not one of {', '.join(classes)}")
        if not cells["service"]:
            problems.append(f"{source}:{line}: service: a name is needed")
        at_s, cores, memory = found
        arrivals.append(Arrival(at_s, cells["class"], cells["service"], cores, memory, cells["patience"]))
    if problems:
        more = f"\n{source}: and {len(problems) - 20} more" if len(problems) > 20 else ""
        raise TraceError("\n".join(problems[:20]) + more)
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _number(text: str, place: str, problems: list[str], zero: bool) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not (0.0 <= value < math.inf if zero else 0.0 < value < math.inf):
        problems.append(f"{place}: {text!r} is not a number {'of 0 or more' if zero else 'over 0'}")
        return 0.0
    return value


def write_trace(arrivals: Sequence[Arrival]) -> str:
    """As `read_trace` reads it."""
    out = StringIO()
    writer = csv.writer(out, lineterminator="\n")
    writer.writerow(TRACE_COLUMNS)
    for one in arrivals:
        writer.writerow([f"{one.at_s:.6f}", one.cls, one.service, one.cores, one.memory, one.patience])
    return out.getvalue()
