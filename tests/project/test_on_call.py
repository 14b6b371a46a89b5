"""Checks that docs/on-call.md lists exactly the log events that the programs write."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "on-call.md"
LOGGING_METHODS = {"debug", "info", "warning", "error", "exception"}
LOGGER_NAMES = {"log", "_log", "logger"}
EXCLUDED_PACKAGES = {"lab", "v1"}


def program_files() -> list[Path]:
    package = ROOT / "kelpfront"
    return [
        path for path in package.rglob("*.py") if path.relative_to(package).parts[0] not in EXCLUDED_PACKAGES
    ]


def _texts(node: ast.expr) -> Iterator[str]:
    """Yield the string of a constant, or the strings of both branches of a conditional expression."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        yield node.value
    elif isinstance(node, ast.IfExp):
        yield from _texts(node.body)
        yield from _texts(node.orelse)


def _events_of_call(call: ast.Call) -> Iterator[str]:
    """Yield the event of a `log.info(event)`, `log.log(level, event)` or `LogLine(level, event)` call."""
    function = call.func
    if isinstance(function, ast.Attribute) and function.attr in LOGGING_METHODS and call.args:
        owner = function.value
        name = owner.id if isinstance(owner, ast.Name) else getattr(owner, "attr", "")
        if name in LOGGER_NAMES:
            yield from _texts(call.args[0])
    elif (isinstance(function, ast.Attribute) and function.attr == "log" and len(call.args) > 1) or (
        isinstance(function, ast.Name) and function.id == "LogLine" and len(call.args) > 1
    ):
        yield from _texts(call.args[1])


def _events_of_class(definition: ast.ClassDef) -> Iterator[str]:
    """Yield the value of `event: ClassVar[str] = "event"` in the class of a typed log record."""
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


# Events that a program looks up by the state of a task; the search for literals cannot find them.
EVENTS_BY_TASK_STATE = {"task refused", "task failed"}


def listed_events() -> set[str]:
    """Return the events in the first column of the tables whose first heading is `event`."""
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


def test_search_finds_each_form_of_a_log_call() -> None:
    events = logged_events()
    assert {"serving", "limit reached", "level changed", "task placed", "machine ejected"} <= events
    assert len(events) > 60


@pytest.mark.parametrize("event", sorted(logged_events() | EVENTS_BY_TASK_STATE))
def test_logged_event_is_on_the_on_call_page(event: str) -> None:
    assert event in listed_events()


def test_on_call_page_lists_no_event_that_is_never_logged() -> None:
    assert sorted(listed_events() - logged_events() - EVENTS_BY_TASK_STATE) == []
