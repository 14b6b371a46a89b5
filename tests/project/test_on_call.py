"""docs/on-call.md lists every log line of the programs, and no line that no program writes."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "on-call.md"
METHODS = {"debug", "info", "warning", "error", "exception"}
LOGS = {"log", "_log", "logger"}
NOT_PROGRAMS = {"lab", "v1"}


def program_files() -> list[Path]:
    package = ROOT / "kelpfront"
    return [path for path in package.rglob("*.py") if path.relative_to(package).parts[0] not in NOT_PROGRAMS]


def _texts(node: ast.expr) -> Iterator[str]:
    """The texts that an expression can be: itself, or those of a choice."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        yield node.value
    elif isinstance(node, ast.IfExp):
        yield from _texts(node.body)
        yield from _texts(node.orelse)


def _events_of_call(call: ast.Call) -> Iterator[str]:
    """`log.info("event", ...)`, `log.log(level, "event", ...)` and `LogLine(level, "event", ...)`."""
    function = call.func
    if isinstance(function, ast.Attribute) and function.attr in METHODS and call.args:
        owner = function.value
        name = owner.id if isinstance(owner, ast.Name) else getattr(owner, "attr", "")
        if name in LOGS:
            yield from _texts(call.args[0])
    elif (isinstance(function, ast.Attribute) and function.attr == "log" and len(call.args) > 1) or (
        isinstance(function, ast.Name) and function.id == "LogLine" and len(call.args) > 1
    ):
        yield from _texts(call.args[1])


def _events_of_class(definition: ast.ClassDef) -> Iterator[str]:
    """`event: ClassVar[str] = "event"` of a typed record."""
    for item in definition.body:
        if not isinstance(item, ast.AnnAssign) or item.value is None:
            continue
        if isinstance(item.target, ast.Name) and item.target.id == "event":
            yield from _texts(item.value)


def logged_events() -> set[str]:
    events: set[str] = set()
    for path in program_files():
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call):
                events.update(_events_of_call(node))
            elif isinstance(node, ast.ClassDef):
                events.update(_events_of_class(node))
    return events


# Events that a program takes from a table by the state of a task.
BY_STATE = {"task refused", "task failed"}


def listed_events() -> set[str]:
    """First cells of the rows of tables whose heading says that they list log lines."""
    events: set[str] = set()
    in_table = False
    for line in PAGE.read_text().splitlines():
        if not line.startswith("|"):
            in_table = False
        elif line.startswith("| event |"):
            in_table = True
        elif in_table:
            events.update(re.findall(r"`([^`]+)`", line.split("|")[1]))
    return events


def test_the_search_finds_each_form_of_a_log_line() -> None:
    events = logged_events()
    assert {"serving", "limit reached", "level changed", "task placed", "machine ejected"} <= events
    assert len(events) > 60


@pytest.mark.parametrize("event", sorted(logged_events() | BY_STATE))
def test_each_log_line_is_on_the_page_for_on_call(event: str) -> None:
    assert event in listed_events()


def test_no_row_of_the_page_is_about_a_line_that_is_not_written() -> None:
    assert sorted(listed_events() - logged_events() - BY_STATE) == []
