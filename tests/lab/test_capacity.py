"""docs/CAPACITY.md against its data: tables, sums, margins, mechanisms, read from the page itself."""

from __future__ import annotations

import json
import re
import shutil
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from kelpfront.cli.lab import lab
from kelpfront.lab.capacity import Capacity, Evidence, fit
from kelpfront.lab.capacitybook import Book, CapacityError, book_of
from kelpfront.lab.capacitypage import cell, filled, load, readings_table, tables
from kelpfront.lab.corecost import message_bytes
from kelpfront.platform.requests import MAX_REQUESTS

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"
NEAR = 0.012  # of a sum of numbers with three digits
Table = list[dict[str, str]]


def page_tables() -> dict[str, Table]:
    """The tables between markers, by name; a row by the heads of its columns."""
    found: dict[str, Table] = {}
    text = (DOCS / "CAPACITY.md").read_text()
    for name, body in re.findall(r"<!-- table: ([a-z-]+) -->\n(.*?)<!-- end -->", text, re.DOTALL):
        rows = [
            [cell.strip() for cell in line.strip()[1:-1].split("|")]
            for line in body.splitlines()
            if line.startswith("|")
        ]
        found[name] = [dict(zip(rows[0], row, strict=True)) for row in rows[2:]]
    return found


def number(text: str) -> float | None:
    """The first number of a cell; None where it has none."""
    found = re.match(r"(?:at most )?~?(-?[0-9][0-9,]*(?:\.[0-9]+)?(?:e-?[0-9]+)?)", text)
    return float(found.group(1).replace(",", "")) if found else None


@pytest.fixture(scope="module")
def page() -> dict[str, Table]:
    return page_tables()


@pytest.fixture(scope="module")
def capacity() -> Capacity:
    return load(DOCS / "capacity")


def test_the_page_has_the_tables_of_the_data(capacity: Capacity) -> None:
    text = (DOCS / "CAPACITY.md").read_text()
    assert filled(text, tables(capacity)) == text, "kelpfront lab capacity --write"


def test_each_sum_of_the_page_follows_from_its_slopes(page: dict[str, Table], capacity: Capacity) -> None:
    sizes = {row["size"].strip("`"): row for row in [*page["worked"], *page["worked-states"]]}
    checked = 0
    for role in capacity.book.roles:
        for row in page[role]:
            quantity = row[""].partition(", with jobs")[0]
            its = [one for one in page[f"{role}-figures"] if one["figure"].startswith(f"{quantity}: ")]
            with_jobs = ", with jobs" in row[""]
            its = [one for one in its if with_jobs or not one["figure"].startswith(f"{quantity}: jobs: ")]
            for state in (one.title for one in capacity.book.states):
                told, total = number(row[state]), 0.0
                scale = 0.0
                for one in its:
                    if not one["intercept"]:
                        continue
                    value = number(one["intercept"])
                    assert value is not None
                    if one["x size"]:
                        size = sizes[one["x size"].strip("`")]
                        x, slope = number(size.get(state) or size.get("value", "")), number(one["slope"])
                        assert x is not None and slope is not None
                        scale += abs(slope * x)
                        value += slope * x
                    total += value
                if told is not None:
                    assert told == pytest.approx(total, rel=NEAR, abs=NEAR * scale), (role, row[""], state)
                    checked += 1
                else:
                    assert row[state] == "*not measured*" and not any(one["intercept"] for one in its)
    assert checked > 150


def test_margins_are_budget_over_need_and_those_over_budget_come_first(page: dict[str, Table]) -> None:
    order = []
    for row in page["ledger"]:
        margin = number(row["margin"])
        if margin is None:
            assert row["margin"] in ("*missing*", "*not measured*")
            order.append((1, 0.0))
            continue
        need, budget = number(row["need over the sizes"]), number(row["budget"])
        assert need and budget and margin == pytest.approx(budget / need, rel=NEAR, abs=0.006)
        assert ("+ ?" in row["need over the sizes"]) == row["margin"].startswith("at most ")
        order.append((0 if margin < 1 else 2, margin))
    assert order == sorted(order) and {kind for kind, _ in order} == {0, 1, 2}


def test_each_row_of_the_sizes_names_modules_that_exist_or_says_missing(page: dict[str, Table]) -> None:
    data = json.loads((DOCS / "capacity/capacity.json").read_text())
    assert sorted(row["what"] for row in page["sizes"]) == sorted(row["what"] for row in data["rows"])
    assert len(page["sizes"]) == 8
    place = [row["need"] for row in page["ledger"]].index
    worst = []
    for row in page["sizes"]:
        needs = [need for need in data["needs"] if need["row"] == row["what"]]
        assert needs, row["what"]
        worst.append(min(place(need["what"]) for need in needs))
        for need in needs:
            assert f": {need['what']}: " in row["margin: need: mechanism"]
            if not need["mechanism"]:
                assert f"*missing*: {need['missing']}" in row["margin: need: mechanism"]
            for path in need["mechanism"]:
                assert (ROOT / path).is_file(), path
    assert worst == sorted(worst)


def test_each_figure_says_where_it_comes_from(page: dict[str, Table], capacity: Capacity) -> None:
    for role in capacity.book.roles:
        for row in page[f"{role}-figures"]:
            told = row["from"]
            kind = told.partition(":")[0]
            if kind == "measured":
                assert re.search(r"`kelpfront .*`, `[0-9a-f]{7,}(, [0-9a-f]{7,})*`", told), row
            elif kind in ("guess", "published", "encoded", "*not measured*"):
                assert len(told) > len(kind) + 2, row
            else:
                assert kind == "counted" or kind.startswith("held by "), row
            assert bool(row["intercept"]) == (kind != "*not measured*" and not kind.startswith("held by "))


def test_bytes_of_messages_are_those_of_the_program(capacity: Capacity) -> None:
    assert json.loads((DOCS / "capacity/core-cost.json").read_text())["message_bytes"] == message_bytes()
    assert capacity.size("calls_most", "peak") == MAX_REQUESTS


# ---- The model --------------------------------------------------------------------------------------------


def small(**changes: object) -> Book:
    plain = {
        "rows": [{"what": "machines", "size": "9"}],
        "sizes": {"machines": {"value": 9}, "tasks": {"times": ["machines"], "plus": ["machines"]}},
        "states": [{"name": "peak", "title": "peak", "why": ""}],
        "roles": {"placer": "A placer"},
        "quantities": {"memory": "memory"},
        "figures": [
            figure("loaded", "", [{"resident": True}], replaced_by="main"),
            figure("main", "machines", [{"scale": "rss_mb", "sweep": "machines"}]),
        ],
        "needs": [],
    }
    return book_of(json.dumps(plain | changes).encode())


def figure(ident: str, size: str, sources: list[object], **more: object) -> dict[str, object]:
    plain = {"id": ident, "role": "placer", "quantity": "memory", "what": ident, "unit": "MB", "size": size}
    return plain | {"sources": sources, "would": "a run"} | more


CORE = {"resident_mb": 30.0, "command": "core-cost", "commit": "abcdef0", "results": []}
SLOPE: dict[str, Any] = {
    "figure": "rss_mb",
    "of": "placer",
    "sweep": "machines",
    "intercept": 40.0,
    "slope": 2.0,
    "se": 0.1,
}
SLOPE |= {"points": [[1, 42], [5, 50], [9, 58]], "commit": ["abcdef0"]}


def test_what_is_not_measured_makes_a_sum_a_least() -> None:
    found = Capacity(small(), Evidence(CORE)).total("placer", "memory", "control", "peak")
    assert found is not None and (found.value, found.unknown) == (30.0, ("main",))


def test_a_sweep_of_whole_processes_takes_the_place_of_the_core() -> None:
    worked = Capacity(small(), Evidence(CORE, [SLOPE | {"left_out": 2}]))
    found = worked.total("placer", "memory", "control", "peak")
    assert found is not None and (found.value, found.unknown) == (40.0 + 2.0 * 9, ())
    assert worked.lines["main"].note == "3 points at 1, 5, 9, 2 runs that broke a rule left out"


def test_a_slope_by_the_fleets_size_is_one_by_a_placers_part_and_counts_from_where_the_main_sweep_stood() -> (
    None
):
    own = {"scale": "rss_mb", "sweep": "tasks", "own": True, "slope_only": True}
    main = figure("main", "machines", [{"scale": "rss_mb", "sweep": "machines"}])
    beside = figure("tasks", "own_tasks", [own], beside="main")
    sizes = {"machines": {"value": 9}, "own_tasks": {"value": 50}}
    slopes = [
        SLOPE | {"at": {"tasks": 80, "placers": 4}},
        SLOPE | {"sweep": "tasks", "intercept": 7.0, "slope": 0.5, "at": {"machines": 9, "placers": 4}},
    ]
    worked = Capacity(small(sizes=sizes, figures=[main, beside]), Evidence(CORE, slopes))
    found = worked.total("placer", "memory", "control", "peak")
    assert found is not None and found.value == 40.0 + 2.0 * 9 + 0.5 * 4 * (50 - 80 / 4)
    assert worked.lines["tasks"].error == pytest.approx(0.4)


def test_a_slope_past_its_sweep_is_told() -> None:
    worked = Capacity(small(), Evidence(CORE, [SLOPE]))
    for machines, beyond in ((9, False), (10, True)):
        found = worked.beside({"machines": machines}).total("placer", "memory", "control", "peak")
        assert found is not None and found.beyond is beyond
        assert cell(found) == ("~60" if beyond else "58")


def test_own_tasks_count_by_runs_in_which_all_machines_hold_some_and_no_others() -> None:
    own: list[object] = [{"runs": "rss_mb", "at": {"machines": 9, "events": 2}, "slope_only": True}]
    book = small(figures=[figure("tasks", "machines", own)])

    def run(tasks: float, placers: int, rss: float, events: int = 2) -> dict[str, object]:
        sizes = {"machines": 9, "tasks": tasks, "placers": placers, "events": events}
        return {"sizes": sizes, "real": [{"rss_mb": rss}, {"rss_mb": rss}], "commit": "abcdef0"}

    points: list[object] = [
        run(20, 2, 50),
        run(40, 2, 60),
        run(120, 4, 70),
        run(8, 2, 10),
        run(40, 2, 99, events=0),
    ]
    line = Capacity(book, Evidence(CORE, runs={"points": points})).lines["tasks"]
    assert line.slope == pytest.approx(1.0) and (line.intercept, line.commit) == (0.0, "abcdef0")
    assert line.note.startswith("6 points at 10, 20, 30 own tasks")
    assert not Capacity(book, Evidence(CORE, runs={"points": points[1:]})).lines["tasks"].known


def test_a_sweep_of_two_sizes_is_no_slope() -> None:
    worked = Capacity(small(), Evidence(CORE, [SLOPE | {"points": [[1, 42], [9, 58], [9, 59]]}]))
    assert not worked.lines["main"].known


def test_runs_stand_on_the_page_and_a_failures_longest_wait_is_its_need(capacity: Capacity) -> None:
    waits = [{"p50": 5.0, "p99": 7.25, "most": 7.5}, {"p50": 6.0, "p99": 7.0, "most": 7.125}]
    failures = [
        {"kind": "zone", "machines": 157, "lasts_s": 16.0, "tasks": 3_140, "known_s": wait, "untold": 2}
        for wait in waits
    ]
    sizes = {"machines": 1_100, "tasks": 22_000, "placers": 8, "starts": 66.0, "events": 132.0}
    mean = {"bytes_s": 77_001.0, "cpu_share": 0.0625, "rss_mb": 51.25}
    drains = {"told": 3, "in_force_ms": {"p50": 30.0, "p99": 80.0, "most": 81.0}, "untold": 0}
    point = {"sweep": "failures", "command": "scale", "commit": "abcdef0", "sizes": sizes, "mean": mean}
    point |= {"workers": {"tests_a_worker_s": 1.5}, "breaks": ["double: 1"]}
    row = {"of": "workers", "figure": "tests_s", "by_real": {"1": 1.0}, "differs": 0.25, "held": False}
    runs = {"points": [point | {"failures": failures, "drains": drains}], "held": {"rows": [row]}}
    made = tables(Capacity(capacity.book, replace(capacity.evidence, runs=runs)))
    assert "| 1,100, 22,000, 8 | 66, 132 | 77,001 | " in made["runs"] and "| 6.25 | " in made["runs"]
    assert "| 1.5 | double: 1 | `scale`, `abcdef0` |" in made["runs"]
    assert "| zone, silent for 16 s | 157 machines, 3,140 tasks | 5 | 7.25 | 7.5 | 2 | " in made["known"]
    assert "| a drain in force | 3 drains, 8 placers | 0.03 | 0.08 | 0.081 | 0 | " in made["known"]
    assert (
        "| a zone vanishes: until the last owner is told | a zone | 7.5 s | 8 s | 1.07 | " in made["ledger"]
    )
    assert "| 25.0 % | **no** |" in made["held"]
    failures[0] |= {"kind": "link", "tasks": 9_219}
    made = tables(Capacity(capacity.book, replace(capacity.evidence, runs=runs)))
    assert (
        "| the regions lose each other: tasks given up that run on there | regions cut | 9,219 tasks | | "
        in (made["ledger"])
    )


def test_a_run_at_the_very_sizes_of_a_state_is_the_need_where_it_is_more(capacity: Capacity) -> None:
    sizes = {"machines": 1_100, "tasks": 22_000, "placers": 8, "starts": 66.0, "events": 132.0}
    high, low = ({"bytes_s": share * 1e6, "cpu_share": share, "rss_mb": 1.0} for share in (0.5, 0.25))
    points = [{"sizes": sizes, "mean": mean} for mean in (low, high)]
    points += [{"sizes": sizes | {"placers": 16}, "mean": high | {"cpu_share": 0.75}}]
    worked = Capacity(capacity.book, replace(capacity.evidence, runs={"points": points}))
    found = worked.spent("placer", "processor", "both", "peak")
    assert found is not None and (found.value, found.run) == (50.0, True)
    assert "| processor, with the work on jobs | % of a core | 1.5 | " in readings_table(worked)
    assert "| 50 | 0.03 |" in readings_table(worked)
    for quantity, reading, state in (
        ("processor", "control", "peak"),
        ("memory", "both", "peak"),
        ("processor", "both", "rest"),
    ):
        added = worked.total("placer", quantity, reading, state)
        assert worked.spent("placer", quantity, reading, state) == added and added is not None
        assert not added.run


def test_points_off_the_line_are_told() -> None:
    intercept, slope, error, straight = fit([(0, 1), (1, 3), (2, 5)])
    assert [intercept, slope, error] == pytest.approx([1, 2, 0]) and straight
    assert fit([(0, 0), (10, 1), (20, 4), (30, 9)])[3] is False


@pytest.mark.parametrize(
    ("changes", "told"),
    [
        ({"sizes": {"machines": {"plus": ["machines"]}}}, "leads back to itself"),
        ({"sizes": {"machines": {"times": ["zones"]}}}, "zones is none"),
        ({"figures": [figure("a", "", []), figure("a", "", [])]}, "an id twice"),
        ({"figures": [figure("a", "zones", [])]}, "none of the sizes"),
        ({"figures": [figure("a", "", [], beside="b")]}, "b is no figure"),
        ({"needs": [{"row": "machines", "what": "w", "mechanism": []}]}, "what is missing"),
        ({"needs": [{"row": "zones", "what": "w", "mechanism": ["x"]}]}, "no row"),
        ({"states": [], "other": 1}, "other"),
    ],
)
def test_data_that_cannot_be_summed_is_named(changes: dict[str, object], told: str) -> None:
    with pytest.raises(CapacityError, match=told):
        Capacity(small(**changes), Evidence(CORE)).size("machines", "peak")


def test_a_page_that_was_changed_by_hand_is_found(tmp_path: Path) -> None:
    shutil.copytree(DOCS / "capacity", tmp_path / "capacity")
    text = (DOCS / "CAPACITY.md").read_text()
    (tmp_path / "CAPACITY.md").write_text(text)
    line = ["capacity", "--docs", str(tmp_path)]
    assert CliRunner().invoke(lab, [*line, "--check"]).exit_code == 0
    first_need = re.compile(r"(<!-- table: ledger -->\n.*\n.*\n\|[^|]*\|[^|]*\| )")
    changed, changes = first_need.subn(r"\g<1>7", text, count=1)
    assert changes == 1
    (tmp_path / "CAPACITY.md").write_text(changed)
    result = CliRunner().invoke(lab, [*line, "--check"])
    assert result.exit_code == 1 and "--write" in result.output
    assert CliRunner().invoke(lab, [*line, "--write"]).exit_code == 0
    assert (tmp_path / "CAPACITY.md").read_text() == text
    (tmp_path / "CAPACITY.md").write_text(text.replace("<!-- table: seats -->", ""))
    result = CliRunner().invoke(lab, [*line, "--check"])
    assert result.exit_code == 1 and "seats" in result.output
