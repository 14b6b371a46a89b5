"""Tests of a placer's log records and counters, and of the operators' page that lists them."""

from __future__ import annotations

import ast
from pathlib import Path

from kelpfront.platform.counters import Counters
from kelpfront.platform.limits import Limit, LimitMonitor
from kelpfront.platform.log_records import LimitReached, LogRecord, LogRecords, MachineEjected
from kelpfront.scheduling.events import AttemptOutcome

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs/operators/platform.md"
LEVELS = {"debug", "info", "warning", "error", "exception"}


def logged_events() -> set[str]:
    """Return the event names of all log calls in the package and of all log records of the core."""
    events = {record.event for record in LogRecord.__subclasses__()}
    for path in (ROOT / "kelpfront/platform").glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
                continue
            is_log = isinstance(node.func.value, ast.Name) and node.func.value.id == "log"
            if is_log and node.func.attr in LEVELS and isinstance(node.args[0], ast.Constant):
                events.add(str(node.args[0].value))
    return events


def test_each_log_line_is_on_the_operators_page() -> None:
    page = PAGE.read_text()
    events = logged_events()
    assert len(events) > 15
    assert [event for event in sorted(events) if f"`{event}`" not in page] == []


def test_each_counter_and_each_limit_is_on_the_operators_page() -> None:
    page = PAGE.read_text()
    counters = Counters().__dataclass_fields__
    names = {name for name in counters if not name.endswith("_outcomes")} | {limit.value for limit in Limit}
    names |= {outcome.name.lower() for outcome in AttemptOutcome}
    assert [name for name in sorted(names) if f"`{name}`" not in page] == []


def test_a_record_is_one_event_with_its_fields() -> None:
    record = MachineEjected("1f", "web", "timed out", 500.0)
    assert record.event == "machine ejected"
    assert record.fields() == {"machine": "1f", "scope": "web", "cause": "timed out", "ejection_ms": 500.0}


def test_only_counters_that_are_not_zero_are_logged() -> None:
    counters = Counters(requests=2)
    counters.attempt_outcomes[AttemptOutcome.TIMED_OUT] += 1
    counters.task_outcomes[AttemptOutcome.ENDED] += 3
    assert counters.log_fields() == {"requests": 2, "attempts_timed_out": 1, "tasks_ended": 3}


def test_a_limit_is_logged_once_and_counted_each_time() -> None:
    log = LogRecords()
    limits = LimitMonitor(log)
    for _ in range(3):
        limits.reached(Limit.DESCRIPTORS)
    assert log.drain() == [LimitReached("descriptors")]
    assert limits.fields() == {"limit_descriptors": 3}
