"""The small bench over a placer's core: what it counts, never how fast."""

from __future__ import annotations

import json

import pytest
from click.testing import CliRunner

from kelpfront.cli.lab import lab
from kelpfront.lab.corecost import TESTED, LoneCore, measure_point, message_bytes
from kelpfront.scheduling.events import AttemptOutcome


def test_each_machine_that_holds_own_tasks_is_asked_every_5_s_and_no_other() -> None:
    assert measure_point(20, 40, 5)["tests_per_s"] == 20 / 5
    assert measure_point(20, 7, 5)["tests_per_s"] == 7 / 5
    assert measure_point(20, 0, 5)["tests_per_s"] == 0


def test_the_core_takes_what_the_bench_hands_it() -> None:
    lone = LoneCore(20, 2_100)
    assert lone.core.counters.adopted_tasks == len(lone.core.requests) == 2_100
    for body in [lone.spare_changes(number) for number in range(3)]:
        lone.hear(body)
    assert lone.core.endpoints.index == 4 and not lone.core.endpoints.has_gap
    for _ in range(5):
        lone.start(lone.next_start())
    assert (
        lone.accepted
        == lone.core.counters.accepted
        == lone.core.counters.task_outcomes[AttemptOutcome.ENDED]
        == 5
    )
    assert len(lone.core.requests) == 2_100


def test_messages_are_as_long_as_the_protocol_page_has_them() -> None:
    sizes = message_bytes()
    shown = '{"op":"end","call":"9b1f03aa5c7e2d41","with":{},"why":16}\n'
    assert sizes["end"] == len(shown)
    assert sizes["set_up_at"] - sizes["set_up"] == len(";at:s-00c41f7a")
    assert sizes["tested"] == len(TESTED % b"9b1f03aa5c7e2d41")
    assert sizes["event"] > sizes["member"] > 100


@pytest.mark.parametrize("wrong", [["--machines", "0"], ["--machines", "1,,2"], ["--tasks", "-1"]])
def test_sizes_that_cannot_be_are_named(wrong: list[str]) -> None:
    result = CliRunner().invoke(lab, ["core-cost", *wrong])
    assert result.exit_code == 1 and wrong[0] in result.output


def test_the_command_prints_each_size_and_the_messages() -> None:
    line = [
        "core-cost",
        "--machines",
        "10",
        "--tasks",
        "0,20",
        "--at",
        "10",
        "--events",
        "3",
        "--rounds",
        "1",
    ]
    result = CliRunner().invoke(lab, [*line, "--json"])
    assert result.exit_code == 0, result.output
    found = json.loads(result.output)
    assert [(row["machines"], row["tasks"]) for row in found["results"]] == [(10, 20), (10, 0)]
    assert all(row["starts_accepted"] == 1 for row in found["results"])
    assert found["message_bytes"] == message_bytes() and found["resident_mb"] > 0
