"""Traces: what they hold is what went over the sockets, and writing them changes nothing."""

from __future__ import annotations

import json
import shutil
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from kelpfront.cli.main import main
from kelpfront.controller.job_controller import JobController
from kelpfront.lab.timeline.emulation import play
from kelpfront.lab.timeline.script import read_day
from kelpfront.lab.traces import TracesError, chosen, read_traces, waterfall
from kelpfront.scheduling.actions import Bind
from kelpfront.tracing.export import Tracer, TracerSettings
from kelpfront.tracing.spans import PARENT_ANNOTATION, Span, parent_of

DAY = """
name: traced
seconds: 6
settle: 14
machines: 3
placers: 1
rate: 20
life_ms: 900
faults:
  - {kind: crash, at: 1, lasts: 2, share: 0.4}
  - {kind: silence, at: 3, lasts: 2, share: 0.4}
  - {kind: class-fail, at: 1, lasts: 4, share: 0.7, class: web, value: 0.6}
"""


def traced(path: Path, controller_class: type[JobController] = JobController, share: float = 1.0) -> Any:
    overrides = (f"tracing.file={path}", f"tracing.share={share}")
    return play(read_day(DAY, "test"), 2, controller_class=controller_class, overrides=overrides)


def test_each_task_has_one_trace_and_its_attempts_are_the_offers_that_machines_saw(tmp_path: Path) -> None:
    played = traced(tmp_path / "t.jsonl")
    traces = {one.root.attributes["kelpfront.task"]: one for one in read_traces([tmp_path / "t.jsonl"])}
    asked = {uid for line in played.lines if line["ev"] == "taken" for uid in line["tasks"]}
    assert set(traces) == asked
    offers = Counter(line["task"] for line in played.lines if line["ev"] == "offer")
    answers = {line["task"]: line["answer"] for line in played.lines if line["ev"] == "answer-seen"}
    several = 0
    for uid, one in traces.items():
        sent = [span for span in one.parts if any(event["name"] == "sent" for event in span.events)]
        # A machine that is down or does not read hears of less than went out.
        assert offers[uid] <= len(sent) <= 4
        several += len(sent) > 1
        assert one.root.attributes["kelpfront.answer"] == answers[uid]
        assert one.failed == (answers[uid] != "Placed" or one.root.attributes["kelpfront.state"] == "Lost")
    assert several > 3
    assert sum(offers.values()) > 0.8 * sum(len(one.parts) - 1 for one in traces.values()) / 2


def test_parts_of_a_trace_follow_each_other_and_reach_the_answer(tmp_path: Path) -> None:
    traced(tmp_path / "t.jsonl")
    for one in read_traces([tmp_path / "t.jsonl"]):
        at = one.root.start
        for span in one.parts:
            assert span.start == at, [part.name for part in one.parts]
            assert span.end >= span.start
            at = span.end
        assert at <= one.root.end
        assert (at - one.root.start) / 1e6 >= one.answered_ms - 1e-3
        assert all(span.trace == one.root.trace for span in one.parts)


def test_writing_traces_changes_no_run_and_is_deterministic(tmp_path: Path) -> None:
    without = play(read_day(DAY, "test"), 2).figures["digest"]
    for name in ("a", "b"):
        assert traced(tmp_path / name).figures["digest"] == without
    assert (tmp_path / "a").read_bytes() == (tmp_path / "b").read_bytes()


def test_a_share_of_the_tasks_has_complete_traces(tmp_path: Path) -> None:
    played = traced(tmp_path / "t.jsonl", share=0.3)
    found = read_traces([tmp_path / "t.jsonl"])
    assert 0.15 < len(found) / played.figures["jobs"] < 0.45
    assert all(one.parts for one in found)


class LosesAttempts(JobController):
    """The record of an attempt is dropped when the next begins."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        bind_only = self.dispatcher.bind

        def bind_and_lose(now: float, bind: Bind) -> None:
            bind_only(now, bind)
            task = self.context.task_table.by_scheduler_id[bind.task]
            if len(task.attempts) > 1:
                del task.attempts[0]

        self.dispatcher.bind = bind_and_lose  # type: ignore[method-assign]


def test_a_controller_that_loses_the_record_of_an_attempt_is_detected(tmp_path: Path) -> None:
    played = traced(tmp_path / "t.jsonl", LosesAttempts)
    offers = Counter(line["task"] for line in played.lines if line["ev"] == "offer")
    attempts = {
        one.root.attributes["kelpfront.task"]: sum(span.name.startswith("attempt") for span in one.parts)
        for one in read_traces([tmp_path / "t.jsonl"])
    }
    assert any(offers[uid] > count for uid, count in attempts.items())


def test_the_clients_trace_continues_in_the_controllers(tmp_path: Path) -> None:
    tracer = Tracer(tmp_path / "t.jsonl", "p", TracerSettings(synchronous=True))
    parent = parent_of({PARENT_ANNOTATION: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"})
    tracer.write(Span("task", 1.0, 2.0, {"kelpfront.task": "x"}), parent)
    tracer.write(Span("task", 1.0, 2.0, {"kelpfront.task": "y"}))
    tracer.close()
    first, second = (json.loads(line) for line in (tmp_path / "t.jsonl").read_text().splitlines())
    assert (first["trace"], first["parent"]) == ("0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331")
    assert "parent" not in second
    assert second["trace"] != first["trace"]
    assert (first["start"], first["end"]) == (1_000_000, 2_000_000)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331",
        "00-00000000000000000000000000000000-b7ad6b7169203331-01",
        "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
        "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
        "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01",
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-more",
        "00-xyz7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
    ],
)
def test_a_malformed_trace_context_is_ignored(text: str) -> None:
    assert parent_of({PARENT_ANNOTATION: text}) is None


def test_the_file_stays_within_its_size_limit(tmp_path: Path) -> None:
    path = tmp_path / "t.jsonl"
    tracer = Tracer(path, "p", TracerSettings(max_bytes=5_000, synchronous=True))
    for number in range(200):
        tracer.write(Span("task", 0.0, 1.0, {"kelpfront.task": str(number)}))
    tracer.close()
    assert path.stat().st_size <= 5_000
    assert path.with_name("t.jsonl.1").stat().st_size <= 5_000
    assert sorted(file.name for file in tmp_path.iterdir()) == ["t.jsonl", "t.jsonl.1"]
    kept = [
        int(one.root.attributes["kelpfront.task"]) for one in read_traces([path.with_name("t.jsonl.1"), path])
    ]
    assert kept == list(range(200 - len(kept), 200))


def test_a_full_disk_costs_traces_and_nothing_else() -> None:
    full = Path("/dev/full")
    if not full.exists():
        pytest.skip("needs /dev/full")
    tracer = Tracer(full, "p", TracerSettings(synchronous=True))
    tracer.write(Span("task", 0.0, 1.0))
    tracer.close()


def test_traces_are_rendered_as_text_and_malformed_files_named(tmp_path: Path) -> None:
    path = tmp_path / "t.jsonl"
    traced(path)
    found = read_traces([path])
    shown = chosen(found, 2, 1)
    assert [one.failed for one in shown] == [False, False, True]
    assert shown[0].answered_ms == max(one.answered_ms for one in found if not one.failed)
    rows = list(waterfall(shown[0]))
    assert len(rows) == 1 + len(shown[0].parts)
    assert any("#" in bar for _, _, bar in rows)
    result = CliRunner().invoke(main, ["lab", "traces", str(path), "--slowest", "1", "--failed", "1"])
    assert result.exit_code == 0
    assert "Placed" in result.output
    cut = tmp_path / "cut.jsonl"
    shutil.copy(path, cut)
    cut.write_bytes(cut.read_bytes()[:-20])
    assert len(read_traces([cut])) >= len(found) - 1
    broken = tmp_path / "broken.jsonl"
    broken.write_bytes(b'{"trace": 5}\n' + path.read_bytes())
    with pytest.raises(TracesError, match=r"broken\.jsonl:1: is no span"):
        read_traces([broken])
    assert CliRunner().invoke(main, ["lab", "traces", str(broken)]).exit_code == 1
