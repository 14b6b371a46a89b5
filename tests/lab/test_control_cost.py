"""The figures of what a placer spends for control count what its core does."""

from __future__ import annotations

from kelpfront.lab.controlcost import asking_at_rest, handed_over, list_events
from kelpfront.lab.fleet.settings import config_json
from kelpfront.platform.requests import max_adopted_tasks


def test_each_machine_with_own_tasks_is_tested_every_five_seconds() -> None:
    few, more = asking_at_rest(20, 30, 20.0), asking_at_rest(40, 30, 20.0)
    assert few["tests_a_s"] == 4.0
    assert more["tests_a_s"] == 6.0  # those of 30 that hold tasks
    assert few["out_bytes_a_s"] == 4 * 58
    assert few["out_with_headers"] == 4 * (58 + 52)


def test_a_list_event_is_counted_as_it_comes() -> None:
    assert 270 < list_events(20, 10, 20)["bytes"] < 290


def test_tasks_beyond_the_bound_are_counted() -> None:
    most = max_adopted_tasks(config_json(0, 1, "127.0.0.1:1", "127.0.0.1:1", {})["limits"]["memory_mb"])
    figures = handed_over(10, most + 8)
    assert (figures["held"], figures["limit_adopted_tasks"]) == (most, 8)
