"""What each role needs at the sizes that the design has to carry, and the margin to what it may spend. Pure.

A figure is `intercept + slope x size` and says where it comes from: a measured sweep, the program's own
encoder, the protocol, a guess; without any of them it is *not measured* and its sums say so. Sizes follow
from one another by products and sums, and a state (at rest, at the peak, after a failure) sets some of them
anew. Needs are sums of figures; a margin is budget over need, so that one under 1 is a need over budget.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

import msgspec

from kelpfront.lab.capacitybook import Book, CapacityError, Figure, Need, Size, SizeRow, Source

LEAST_SIZES = 3  # of a sweep of whole processes: two always lie on a line
ROUNDED = 1e-9  # of a size: a quotient that falls on the last point is not past it
STRAIGHT = 0.1  # of the range of a figure: a point farther from the line than that says that it is none
NOT_MEASURED = "not measured"


@dataclass(frozen=True, slots=True)
class Evidence:
    """What was measured and what the program itself says."""

    core: Mapping[str, Any] = field(default_factory=dict)
    slopes: Sequence[Mapping[str, Any]] = ()
    messages: Mapping[str, int] = field(default_factory=dict)
    constants: Mapping[str, float] = field(default_factory=dict)
    runs: Mapping[str, Any] = field(default_factory=dict)

    @property
    def points(self) -> Sequence[Mapping[str, Any]]:
        """The runs of the scale tool, one size and load each."""
        points: Sequence[Mapping[str, Any]] = self.runs.get("points", ())
        return points


@dataclass(frozen=True, slots=True)
class Line:
    """A figure with its numbers. `error` is the standard error of the slope, in the slope's unit."""

    status: str
    intercept: float = 0.0
    slope: float = 0.0
    error: float | None = None
    straight: bool = True
    note: str = ""
    command: str = ""
    commit: str = ""
    at: Mapping[str, float] = field(default_factory=dict)
    by: str = ""  # `scale` or `core`, of a measured one
    reach: float = math.inf  # the largest size that was measured

    @property
    def known(self) -> bool:
        return self.status != NOT_MEASURED


@dataclass(frozen=True, slots=True)
class Sum:
    """A sum of figures and the ids of those that are not measured: with any, it is a least.

    `beyond`: a slope in it is drawn out past the sizes that were measured. `run`: no sum, but what a run of
    whole processes at these very sizes came to, where that is more.
    """

    value: float
    unknown: tuple[str, ...]
    known: int
    beyond: bool = False
    run: bool = False


def fit(points: Sequence[tuple[float, float]]) -> tuple[float, float, float | None, bool]:
    """Intercept, slope, standard error of the slope, and whether the points lie on a line."""
    xs, ys = [x for x, _ in points], [y for _, y in points]
    slope, intercept = statistics.linear_regression(xs, ys)
    residuals = [y - intercept - slope * x for x, y in points]
    error = None
    if len(points) > 2:
        mean = statistics.mean(xs)
        spread = sum((x - mean) ** 2 for x in xs)
        error = math.sqrt(sum(one * one for one in residuals) / (len(points) - 2) / spread)
    off = max(abs(one) for one in residuals)
    return intercept, slope, error, off <= STRAIGHT * (max(ys) - min(ys))


class Capacity:
    """The book worked out with its evidence."""

    def __init__(self, book: Book, evidence: Evidence) -> None:
        self.book, self.evidence = book, evidence
        self._states = {state.name: state for state in book.states}
        self.lines: dict[str, Line] = {}
        for figure in book.figures:
            self.lines[figure.id] = self._line(figure)
        for figure in book.figures:
            if figure.beside:
                self.lines[figure.id] = self._moved(figure)

    # ---- Figures --------------------------------------------------------------------------------------

    def _line(self, figure: Figure) -> Line:
        for source in figure.sources:
            line = self._from(source, figure)
            if line is not None:
                return line
        return Line(NOT_MEASURED, note=figure.would)

    def _from(self, source: Source, figure: Figure) -> Line | None:
        if source.scale:
            return self._scale(source)
        if source.runs:
            return self._runs(source)
        if source.core or source.resident:
            return self._core(source)
        if source.messages or source.intercept_messages:
            told = self.evidence.messages
            if not told:
                return None
            slope = sum(told[name] * count for name, count in source.messages.items())
            base = sum(told[name] * count for name, count in source.intercept_messages.items())
            note = " + ".join(_counted(name, count) for name, count in source.messages.items())
            return Line("encoded", base * source.factor, slope * source.factor, note=note)
        if source.plain:
            status = "guess" if source.guess else "published" if source.published else "counted"
            note = source.guess or source.published
            return Line(status, source.plain[0], source.plain[1], note=note)
        raise CapacityError(f"{figure.id}: a source that says nothing")

    def _scale(self, source: Source) -> Line | None:
        for one in self.evidence.slopes:
            its = (one["figure"], one["of"], one["sweep"]) == (source.scale, source.of, source.sweep)
            sizes = {size for size, _ in one["points"]}
            if its and len(sizes) >= LEAST_SIZES:
                at = {name: float(value) for name, value in one.get("at", {}).items() if _is_number(value)}
                times = at["placers"] if source.own else 1.0
                if source.of == "placer" and "placers" in at:
                    at = {name: value / at["placers"] if name in OWN else value for name, value in at.items()}
                error, left_out = one.get("se"), one.get("left_out", 0)
                note = f"{len(one['points'])} points at {', '.join(f'{size:,g}' for size in sorted(sizes))}"
                if left_out:
                    note += f", {left_out} runs that broke a rule left out"
                return Line(
                    "measured",
                    0.0 if source.slope_only else one["intercept"] * source.factor,
                    one["slope"] * source.factor * times,
                    None if error is None else error * source.factor * times,
                    bool(one.get("straight", True)),
                    note,
                    one.get("command", ""),
                    _commits(one.get("commit", "")),
                    at,
                    "scale",
                    max(sizes) / times,
                )
        return None

    def _runs(self, source: Source) -> Line | None:
        """By own tasks, of each real placer of the runs that are meant."""
        points, commits = [], set()
        for point in self.evidence.points:
            sizes = point["sizes"]
            own = sizes["tasks"] / sizes["placers"]
            if own < sizes["machines"] or any(sizes[name] != value for name, value in source.at.items()):
                continue
            points += [(own, float(one[source.runs]) * source.factor) for one in point["real"]]
            commits.add(point["commit"])
        tasks = sorted({own for own, _ in points})
        if len(tasks) < LEAST_SIZES:
            return None
        intercept, slope, error, straight = fit(points)
        held = ", ".join(f"{value:,g} {name}" for name, value in source.at.items())
        note = f"{len(points)} points at {', '.join(f'{own:,g}' for own in tasks)} own tasks, {held}"
        commit = ", ".join(sorted(commits))
        intercept = 0.0 if source.slope_only else intercept
        command = "lab fleet scale --sweep"
        return Line(
            "measured", intercept, slope, error, straight, note, command, commit, {}, "scale", max(tasks)
        )

    def _core(self, source: Source) -> Line | None:
        core = self.evidence.core
        if not core:
            return None
        command, commit = core["command"], core["commit"]
        if source.resident:
            held = core["resident_mb"]
            return Line("measured", held, note="one process", command=command, commit=commit, by="core")
        if source.row:
            return self._core_row(source, core)
        rows, other = core["results"], "tasks" if source.sweep == "machines" else "machines"
        held = statistics.mode(row[other] for row in rows)
        swept = [row for row in rows if row[other] == held and row[source.sweep] >= source.least]
        points = [(float(row[source.sweep]), row[source.core] * source.factor) for row in swept]
        intercept, slope, error, straight = fit(points)
        note = f"core without sockets, {len(points)} points at {held:,} {other}"
        if f"{source.core}_low" in swept[0]:
            wide = max(
                (row[f"{source.core}_high"] - row[f"{source.core}_low"]) / row[source.core]
                for row in swept
                if row[source.core]
            )
            note += f", rounds apart by up to {100 * wide:.0f} %"
        if source.slope_only:
            intercept = 0.0
        return Line(
            "measured", intercept, slope, error, straight, note, command, commit, {other: held}, "core"
        )

    def _core_row(self, source: Source, core: Mapping[str, Any]) -> Line:
        """One point as the cost of each: the sweep has no size of the kind."""
        machines, tasks = source.row
        row = next(one for one in core["results"] if (one["machines"], one["tasks"]) == (machines, tasks))
        low, high = (row[f"{source.core}_{which}"] * source.factor for which in ("low", "high"))
        note = f"core without sockets, {machines:,} machines, {tasks:,} tasks, rounds {low:.3g} to {high:.3g}"
        slope = row[source.core] * source.factor
        return Line("measured", 0.0, slope, None, True, note, core["command"], core["commit"], by="core")

    def _moved(self, figure: Figure) -> Line:
        """Counted from the level that the sweep of its main figure held this figure's size at."""
        line, main = self.lines[figure.id], self.lines[figure.beside]
        if not line.known:
            return line
        level = main.at.get(SWEPT.get(figure.size, figure.size), 0.0)
        return replace(line, intercept=-line.slope * level)

    # ---- Sizes and sums -------------------------------------------------------------------------------

    def size(self, name: str, state: str) -> float:
        """A size in a state; CapacityError where it is none or leads back to itself."""
        return self._size(name, self._states[state].sets, ())

    def beside(self, sets: Mapping[str, float]) -> Capacity:
        """The same with some sizes given in all states."""
        sizes = self.book.sizes | {name: Size(value=value) for name, value in sets.items()}
        return Capacity(msgspec.structs.replace(self.book, sizes=sizes), self.evidence)

    def _size(self, name: str, sets: Mapping[str, Size], way: tuple[str, ...]) -> float:
        if name in way:
            raise CapacityError(f"sizes: {name} leads back to itself by {', '.join(way)}")
        one = sets.get(name) or self.book.sizes.get(name)
        if one is None:
            raise CapacityError(f"sizes: {name} is none" + (f", wanted by {way[-1]}" if way else ""))
        way = (*way, name)
        if one.code:
            value = self.evidence.constants[one.code] * one.code_factor
        elif one.value is not None:
            value = one.value
        else:
            value = 1.0 if one.times else 0.0
        for other in one.times:
            value *= self._size(other, sets, way)
        for other in one.over:
            value /= self._size(other, sets, way)
        return value + sum(self._size(other, sets, way) for other in one.plus)

    def replaced(self, figure: Figure) -> bool:
        """Whether another figure holds it already: whole processes were measured."""
        return bool(figure.replaced_by) and self.lines[figure.replaced_by].by == "scale"

    def value(self, figure: Figure, state: str) -> float:
        line = self.lines[figure.id]
        return line.intercept + (line.slope * self.size(figure.size, state) if figure.size else 0.0)

    def total(self, role: str, quantity: str, reading: str, state: str) -> Sum | None:
        """What a role needs; None where no figure speaks of it. Reading `both`: with the work on jobs."""
        its = [
            figure
            for figure in self.book.figures
            if (figure.role, figure.quantity) == (role, quantity) and (reading == "both" or not figure.jobs)
        ]
        return self._sum(its, state) if its else None

    def _sum(self, figures: Sequence[Figure], state: str) -> Sum:
        value, unknown, known, beyond = 0.0, [], 0, False
        for figure in figures:
            if self.replaced(figure):
                continue
            if self.lines[figure.id].known:
                known += 1
                value += self.value(figure, state)
                reach = self.lines[figure.id].reach
                beyond |= bool(figure.size) and self.size(figure.size, state) > reach * (1 + ROUNDED)
            elif not figure.size or self.size(figure.size, state):
                unknown.append(figure.id)
        return Sum(value, tuple(unknown), known, beyond)

    def spent(self, role: str, quantity: str, reading: str, state: str) -> Sum | None:
        """The sum, or the most that runs at the state's very sizes came to where that is more."""
        found = self.total(role, quantity, reading, state)
        both = self.total(role, quantity, "both", state)
        if found is None or both is None or role != "placer" or quantity not in RUN:
            return found
        if found.value != both.value:  # a run has the work on jobs in it
            return found
        figure, factor = RUN[quantity]
        wanted = {its: self.size(ours, state) for its, ours in LOADS.items()}
        played = [
            factor * float(point["mean"][figure])
            for point in self.evidence.points
            if all(math.isclose(point["sizes"][its], size) for its, size in wanted.items())
        ]
        most = max(played, default=0.0)
        return Sum(most, (), 1, run=True) if most > found.value else found

    def need(self, need: Need) -> Sum | None:
        """What a row of the ledger comes to; None where nothing speaks of it."""
        if need.size:
            return Sum(self.size(need.size, need.state), (), 1)
        kind = need.known or need.given_up
        if kind:
            failures = [one for point in self.evidence.points for one in point["failures"]]
            mine = [one for one in failures if one["kind"] == kind and one["known_s"]]
            most = max(
                (float(one["known_s"]["most"] if need.known else one["tasks"]) for one in mine), default=0
            )
            return Sum(most, (), 1) if mine else None
        if need.figures:
            return self._sum([one for one in self.book.figures if one.id in need.figures], need.state)
        return self.spent(need.role, need.quantity, need.reading, need.state) if need.role else None

    def margin(self, need: Need) -> float | None:
        """Budget over need; None where either is not known. With unmeasured parts it is a most."""
        found = self.need(need)
        if found is None or not found.known or not found.value or not need.budget:
            return None
        return self.size(need.budget, need.state) / found.value

    def ledger(self) -> list[tuple[Need, Sum | None, float | None]]:
        """By margin: first what is over budget, then what nothing carries or nobody measured."""
        rows = [(need, self.need(need), self.margin(need)) for need in self.book.needs]

        def order(row: tuple[Need, Sum | None, float | None]) -> tuple[int, float]:
            margin = row[2]
            if margin is None:
                return 1, 0.0 if row[0].missing else 1.0
            return (0 if margin < 1.0 else 2), margin

        return sorted(rows, key=order)

    def rows(self) -> list[tuple[SizeRow, list[tuple[Need, Sum | None, float | None]]]]:
        """Each row of SIZES.md with its needs, in the order of its worst."""
        ledger = self.ledger()
        by_row = [(row, [one for one in ledger if one[0].row == row.what]) for row in self.book.rows]
        return sorted(by_row, key=lambda one: ledger.index(one[1][0]) if one[1] else len(ledger))


RUN = {"bytes": ("bytes_s", 1.0), "processor": ("cpu_share", 100.0), "memory": ("rss_mb", 1.0)}
"""What a run calls a placer's quantity, and by what it comes to the page's unit."""
LOADS = {
    "machines": "machines_seen",
    "tasks": "tasks",
    "placers": "placers_up",
    "starts": "starts_s",
    "events": "events_s",
}
"""Sizes of a run, and the page's for them."""
OWN = ("tasks", "starts")
"""Sizes of a sweep over the fleet that a placer has its part of."""
SWEPT = {
    "own_tasks": "tasks",
    "own_starts_s": "starts",
    "events_s": "events",
    "machines_seen": "machines",
    "machines_holding": "machines",
}
"""By what name the sweeps call a size of the page."""


def _counted(name: str, count: float) -> str:
    return name if count == 1 else f"{count:g} {name}"


def _commits(value: str | Sequence[str]) -> str:
    return value if isinstance(value, str) else ", ".join(value)


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)
