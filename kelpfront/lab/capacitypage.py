"""The tables of docs/CAPACITY.md, made from the data in docs/capacity/ and what the program itself says."""

from __future__ import annotations

import importlib
import json
import math
import re
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

from kelpfront.lab.capacity import NOT_MEASURED, RUN, Capacity, Evidence, Line, Sum
from kelpfront.lab.capacitybook import Book, CapacityError, Need, book_of
from kelpfront.lab.corecost import message_bytes

DATA, CORE, SLOPES, RUNS = "capacity.json", "core-cost.json", "slopes.json", "runs.json"
PAGE = "CAPACITY.md"
NONE_YET = (f"*{NOT_MEASURED}*: `kelpfront lab fleet scale --sweep`",)
EXACT = 1e-9  # of a slope: an error below it is of the arithmetic
FLEETS = (4, 6, 8, 12, 16, 24, 32)  # placers that the table of seats compares
_TABLE = re.compile(r"(<!-- table: ([a-z-]+) -->\n).*?(<!-- end -->)", re.DOTALL)


def load(folder: Path) -> Capacity:
    """What is in docs/capacity/, worked out; CapacityError where a file is missing or cannot be summed."""
    try:
        book = book_of((folder / DATA).read_bytes())
        core = json.loads((folder / CORE).read_bytes())
        slopes, runs = folder / SLOPES, folder / RUNS
        swept = json.loads(slopes.read_bytes())["slopes"] if slopes.exists() else []
        played = json.loads(runs.read_bytes()) if runs.exists() else {}
    except (OSError, ValueError, KeyError) as error:
        raise CapacityError(f"{folder}: {error}") from None
    return Capacity(book, Evidence(core, swept, message_bytes(), _constants(book), played))


def _constants(book: Book) -> dict[str, float]:
    found: dict[str, float] = {}
    sizes = [*book.sizes.values(), *(size for state in book.states for size in state.sets.values())]
    for name in {size.code for size in sizes if size.code}:
        module, _, constant = name.partition(":")
        try:
            found[name] = float(getattr(importlib.import_module(module), constant))
        except (ImportError, AttributeError):
            raise CapacityError(f"sizes: {name} is not in the code") from None
    return found


# ---- Words ------------------------------------------------------------------------------------------------


def number(value: float) -> str:
    """Three digits that count, thousands apart."""
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def cell(found: Sum | None) -> str:
    """A sum; `+ ?` where a part of it is not measured, `~` where a slope is drawn out past its sweep."""
    if found is None:
        return ""
    if not found.known:
        return f"*{NOT_MEASURED}*" if found.unknown else "0"
    return ("~" if found.beyond else "") + number(found.value) + (" + ?" if found.unknown else "")


def margin_text(need: Need, found: Sum | None, margin: float | None) -> str:
    if margin is None:
        return "*missing*" if need.missing else f"*{NOT_MEASURED}*"
    text = f"{margin:,.2f}" if margin < 100 else f"{margin:,.0f}"
    if found is not None and found.beyond:
        text = f"~{text}"
    return f"at most {text}" if found is not None and found.unknown else text


def mechanism_text(need: Need) -> str:
    return ", ".join(f"`{path}`" for path in need.mechanism) or f"*missing*: {need.missing}"


def line_text(line: Line) -> str:
    """Where a figure comes from."""
    where = f"`kelpfront {line.command.removeprefix('kelpfront ')}`, `{line.commit}`" if line.command else ""
    bent = "" if line.straight else "; *not straight*"
    parts = [f"*{line.status}*" if not line.known else line.status, line.note, where]
    return ": ".join(part for part in parts if part) + bent


def table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = [head, ["---"] * len(head), *([*row, *[""] * (len(head) - len(row))] for row in rows)]
    return "".join(f"| {' | '.join(one)} |\n" for one in lines).replace("|  |", "| |")


# ---- Tables -----------------------------------------------------------------------------------------------


def ledger_table(capacity: Capacity) -> str:
    """All needs that have a budget or lack a mechanism, by margin."""
    titles = {state.name: state.title for state in capacity.book.states}
    rows = []
    for need, found, margin in capacity.ledger():
        budget = f"{number(capacity.size(need.budget, need.state))} {need.unit}" if need.budget else ""
        told = f"{cell(found)} {need.unit}" if found is not None else f"*{NOT_MEASURED}*: {need.would}"
        if found is not None and found.run:
            added = capacity.total(need.role, need.quantity, need.reading, need.state)
            told += f" (a run; the sum is {cell(added)})"
        mark = margin_text(need, found, margin)
        rows.append([need.what, titles[need.state], told, budget, mark, mechanism_text(need)])
    return table(["need", "state", "need over the sizes", "budget", "margin", "carried by"], rows)


def sizes_table(capacity: Capacity) -> str:
    """The rows of SIZES.md with what carries them and the margin of the worst of their needs."""
    rows = []
    for row, needs in capacity.rows():
        carried = [
            f"{margin_text(*one)}: {one[0].what}: {mechanism_text(one[0])}"
            for one in sorted(needs, key=capacity.ledger().index)
        ]
        worst = margin_text(*needs[0]) if needs else ""
        rows.append([row.what, row.size, worst, "; ".join(carried)])
    return table(["what", "size", "worst margin", "margin: need: mechanism"], rows)


def role_table(capacity: Capacity, role: str) -> str:
    """One role: its quantities by state, without and with the work on jobs."""
    book, rows = capacity.book, []
    for quantity, title in book.quantities.items():
        its = [figure for figure in book.figures if (figure.role, figure.quantity) == (role, quantity)]
        if not its:
            continue
        readings = ["control", "both"] if any(figure.jobs for figure in its) else ["control"]
        if all(figure.jobs for figure in its):
            readings = ["both"]
        for reading in readings:
            jobs = ", with jobs" if reading == "both" else ""
            cells = [cell(capacity.total(role, quantity, reading, state.name)) for state in book.states]
            rows.append([f"{title}{jobs}", its[0].unit, *cells])
    return table(["", "unit", *(state.title for state in book.states)], rows)


def figures_table(capacity: Capacity, role: str) -> str:
    """Each figure of a role as intercept + slope x size, with its spread and where it comes from."""
    rows = []
    for figure in capacity.book.figures:
        if figure.role != role:
            continue
        line = capacity.lines[figure.id]
        spread = "" if line.error is None else f"± {number(line.error)}"
        if line.error is not None and line.error < EXACT * abs(line.slope):
            spread = "± 0"
        slope = f"{number(line.slope)} {spread}".strip() if figure.size else ""
        intercept = number(line.intercept)
        told = line_text(line)
        if capacity.replaced(figure):
            told = f"held by {figure.replaced_by}"
        if not line.known or capacity.replaced(figure):
            intercept = slope = ""
        jobs = "jobs: " if figure.jobs else ""
        about = f"{capacity.book.quantities[figure.quantity]}: {jobs}{figure.what}"
        size = f"`{figure.size}`" if figure.size else ""
        rows.append([about, figure.unit, intercept, slope, size, told])
    return table(["figure", "unit", "intercept", "slope", "x size", "from"], rows)


def worked_table(capacity: Capacity, by_state: bool) -> str:
    """Sizes: those that differ between states, by state, or those that are the same in all."""
    book, rows = capacity.book, []
    for name, size in book.sizes.items():
        values = [number(capacity.size(name, state.name)) for state in book.states]
        if (len(set(values)) > 1) != by_state:
            continue
        parts = " x ".join(size.times) + "".join(f" / {one}" for one in size.over)
        made = " + ".join(part for part in (parts, *size.plus) if part)
        why = "; ".join(part for part in (made, size.given_by) if part)
        rows.append([f"`{name}`", size.unit, *(values if by_state else values[:1]), why])
    titles = [state.title for state in book.states] if by_state else ["value"]
    return table(["size", "unit", *titles, "from"], rows)


def states_table(capacity: Capacity) -> str:
    return table(["state", "what it is"], [[state.title, state.why] for state in capacity.book.states])


def seats_table(capacity: Capacity) -> str:
    """What the number of placers changes."""
    rows = []
    for placers in FLEETS:
        other = capacity.beside({"placers": placers})
        survivors = other.size("survivors", "peak")
        held = other.size("tasks_of_survivors", "peak") if survivors > 0 else float("inf")
        most = other.size("calls_most", "peak")
        sums = [
            other.total("placer", "bytes", "control", "peak"),
            other.total("placer", "bytes", "both", "peak"),
            other.total("placer", "processor", "both", "peak"),
            other.total("worker", "bytes", "control", "peak"),
            other.total("list", "bytes", "control", "peak"),
        ]
        rows.append(
            [
                str(placers),
                number(other.size("own_tasks", "peak")),
                number(other.size("own_tasks", "region")),
                f"{number(held)} ({number(most / held)})" if survivors > 0 else "nobody is left",
                *(cell(one) for one in sums),
            ]
        )
    head = [
        "placers",
        "own tasks, peak",
        "a region's placers lost",
        f"and one more (margin to {number(capacity.size('calls_most', 'peak'))})",
        "bytes/s a placer",
        "with jobs",
        "% of a core, with jobs",
        "bytes/s a worker",
        "bytes/s a region's list",
    ]
    return table(head, rows)


def readings_table(capacity: Capacity) -> str:
    """What a placer may spend for control beside what it needs, by both readings."""
    rows = []
    budgets = {"bytes": "budget_bytes_s", "processor": "budget_percent", "memory": "budget_mb"}
    for quantity, budget in budgets.items():
        its = next(one for one in capacity.book.figures if (one.role, one.quantity) == ("placer", quantity))
        for reading, words in (("control", "without"), ("both", "with")):
            row = [f"{capacity.book.quantities[quantity]}, {words} the work on jobs", its.unit]
            for state in ("rest", "peak"):
                allowed, found = (
                    capacity.size(budget, state),
                    capacity.spent("placer", quantity, reading, state),
                )
                assert found is not None
                most = ("at most " if found.unknown else "") + ("~" if found.beyond else "")
                row += [cell(found), f"{most}{allowed / found.value:.2f}"]
            rows.append([*row[:2], number(allowed), *row[2:]])
    jobs = [
        one for one in capacity.book.figures if (one.role, one.quantity) == ("placer", "bytes") and one.jobs
    ]
    each = sum(capacity.lines[one.id].slope for one in jobs)
    least = each * capacity.size("starts_s", "peak") / capacity.size("budget_bytes_s", "peak")
    told = (
        f"\nA start costs a placer {number(each)} bytes with its owner and its machine; the work on jobs "
        f"alone is within the bytes from {math.ceil(least)} placers on.\n"
    )
    head = ["a placer", "unit", "may spend", "at rest", "margin", "peak", "margin"]
    return table(head, rows) + told


def _where(point: Mapping[str, Any]) -> str:
    return f"`{point['command']}`, `{point['commit']}`"


def runs_table(capacity: Capacity) -> str:
    """Runs of whole processes beside what the page's figures add up to for their sizes."""
    head = ["machines, tasks, placers", "starts, events a second"]
    for quantity in ("bytes/s", "% of a core", "MB"):
        head += [f"{quantity}, run", "sum"]
    head += ["tests/s a worker, run", "rules broken"]
    rows = []
    for point in capacity.evidence.points:
        sizes, mean = point["sizes"], point["mean"]
        loads = {"machines": "machines", "tasks": "tasks", "placers": "placers", "starts": "peak_starts_s"}
        sets = {ours: float(sizes[its]) for its, ours in loads.items()} | {"events_s": float(sizes["events"])}
        sets["machines_holding"] = min(sets["machines"], sets["tasks"] / sets["placers"])
        other = capacity.beside(sets)
        row = [
            ", ".join(number(sizes[name]) for name in ("machines", "tasks", "placers")),
            f"{number(sizes['starts'])}, {number(sizes['events'])}",
        ]
        for quantity, (figure, factor) in RUN.items():
            row += [number(factor * mean[figure]), cell(other.total("placer", quantity, "both", "peak"))]
        broken = ", ".join(point["breaks"]) or "none"
        rows.append([*row, number(point["workers"]["tests_a_worker_s"]), broken, _where(point)])
    return table([*head, "from"], rows or [NONE_YET])


def held_table(capacity: Capacity) -> str:
    """Hollow placers against real ones: what list and workers saw of either."""
    held = capacity.evidence.runs.get("held") or {"rows": []}
    rows = []
    for one in held["rows"]:
        values = "; ".join(f"{real} real: {number(value)}" for real, value in one["by_real"].items())
        differs = f"{100 * one['differs']:.1f} %"
        rows.append([f"{one['of']}: {one['figure']}", values, differs, "yes" if one["held"] else "**no**"])
    return table(["seen by", "with so many real placers", "differs by", "under a tenth"], rows or [NONE_YET])


def known_table(capacity: Capacity) -> str:
    """How long owners waited to be told of tasks that vanished, and a drain to be in force everywhere."""
    rows = []
    for point in capacity.evidence.points:
        for one in point["failures"]:
            known = [
                number(one["known_s"][name]) if one["known_s"] else "" for name in ("p50", "p99", "most")
            ]
            what = f"{one['kind']}, silent for {number(one['lasts_s'])} s"
            count = f"{number(one['machines'])} machines, {number(one['tasks'])} tasks"
            rows.append([what, count, *known, number(one["untold"]), _where(point)])
        drains = point["drains"]
        if drains["told"] and point["sweep"] in ("peak", "failures"):
            force = [number(drains["in_force_ms"][name] / 1000.0) for name in ("p50", "p99", "most")]
            count = f"{drains['told']} drains, {number(point['sizes']['placers'])} placers"
            rows.append(["a drain in force", count, *force, number(drains["untold"]), _where(point)])
    return table(["what", "how many", "p50, s", "p99, s", "most, s", "untold", "from"], rows or [NONE_YET])


def tables(capacity: Capacity) -> dict[str, str]:
    """By the name that the page has in its markers."""
    made: dict[str, Callable[[Capacity], str]] = {
        "ledger": ledger_table,
        "sizes": sizes_table,
        "worked": lambda one: worked_table(one, by_state=False),
        "worked-states": lambda one: worked_table(one, by_state=True),
        "states": states_table,
        "readings": readings_table,
        "seats": seats_table,
        "runs": runs_table,
        "held": held_table,
        "known": known_table,
    }
    found = {name: make(capacity) for name, make in made.items()}
    for role in capacity.book.roles:
        found[role] = role_table(capacity, role)
        found[f"{role}-figures"] = figures_table(capacity, role)
    return found


def filled(page: str, made: Mapping[str, str]) -> str:
    """The page with its tables made anew; CapacityError names a marker without table, or a table without."""
    named = [found.group(2) for found in _TABLE.finditer(page)]
    if wrong := sorted(set(made) ^ set(named)):
        raise CapacityError(f"tables that are on one side only: {', '.join(wrong)}")
    return _TABLE.sub(lambda found: f"{found.group(1)}{made[found.group(2)]}{found.group(3)}", page)
