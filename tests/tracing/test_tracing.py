"""Tests that traces match the messages that were sent, and that writing them does not change a run."""

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
from kelpfront.tracing.spans import PARENT_ANNOTATION, Span, parse_parent_span

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


def run_traced(path: Path, controller_class: type[JobController] = JobController, share: float = 1.0) -> Any:
    overrides = (f"tracing.file={path}", f"tracing.share={share}")
    return play(read_day(DAY, "test"), 2, controller_class=controller_class, overrides=overrides)


def test_each_task_has_one_trace_whose_attempts_match_the_offers_to_machines(tmp_path: Path) -> None:
    run = run_traced(tmp_path / "t.jsonl")
    traces = {trace.root.attributes["kelpfront.task"]: trace for trace in read_traces([tmp_path / "t.jsonl"])}
    accepted = {uid for line in run.lines if line["ev"] == "taken" for uid in line["tasks"]}
    assert set(traces) == accepted
    offers = Counter(line["task"] for line in run.lines if line["ev"] == "offer")
    answers = {line["task"]: line["answer"] for line in run.lines if line["ev"] == "answer-seen"}
    retried_count = 0
    for uid, trace in traces.items():
        sent = [span for span in trace.parts if any(event["name"] == "sent" for event in span.events)]
        # A machine that is down or does not read receives fewer offers than were sent.
        assert offers[uid] <= len(sent) <= 4
        retried_count += len(sent) > 1
        assert trace.root.attributes["kelpfront.answer"] == answers[uid]
        assert trace.failed == (
            answers[uid] != "Placed" or trace.root.attributes["kelpfront.state"] == "Lost"
        )
    assert retried_count > 3
    assert sum(offers.values()) > 0.8 * sum(len(trace.parts) - 1 for trace in traces.values()) / 2


def test_child_spans_are_contiguous_and_last_until_the_answer(tmp_path: Path) -> None:
    run_traced(tmp_path / "t.jsonl")
    for trace in read_traces([tmp_path / "t.jsonl"]):
        previous_end = trace.root.start
        for span in trace.parts:
            assert span.start == previous_end, [part.name for part in trace.parts]
            assert span.end >= span.start
            previous_end = span.end
        assert previous_end <= trace.root.end
        assert (previous_end - trace.root.start) / 1e6 >= trace.answered_ms - 1e-3
        assert all(span.trace == trace.root.trace for span in trace.parts)


def test_writing_traces_does_not_change_a_run_and_is_deterministic(tmp_path: Path) -> None:
    untraced_digest = play(read_day(DAY, "test"), 2).figures["digest"]
    for name in ("a", "b"):
        assert run_traced(tmp_path / name).figures["digest"] == untraced_digest
    assert (tmp_path / "a").read_bytes() == (tmp_path / "b").read_bytes()


def test_sampling_writes_complete_traces_of_a_share_of_the_tasks(tmp_path: Path) -> None:
    run = run_traced(tmp_path / "t.jsonl", share=0.3)
    traces = read_traces([tmp_path / "t.jsonl"])
    assert 0.15 < len(traces) / run.figures["jobs"] < 0.45
    assert all(trace.parts for trace in traces)


class AttemptLosingController(JobController):
    """A faulty controller that drops the record of an attempt when the next one begins."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        original_bind = self.dispatcher.bind

        def bind_and_drop_attempt(now: float, bind: Bind) -> None:
            original_bind(now, bind)
            task = self.context.task_table.by_scheduler_id[bind.task]
            if len(task.attempts) > 1:
                del task.attempts[0]

        self.dispatcher.bind = bind_and_drop_attempt  # type: ignore[method-assign]


def test_a_controller_that_loses_the_record_of_an_attempt_is_detected(tmp_path: Path) -> None:
    run = run_traced(tmp_path / "t.jsonl", AttemptLosingController)
    offers = Counter(line["task"] for line in run.lines if line["ev"] == "offer")
    attempts = {
        trace.root.attributes["kelpfront.task"]: sum(span.name.startswith("attempt") for span in trace.parts)
        for trace in read_traces([tmp_path / "t.jsonl"])
    }
    assert any(offers[uid] > count for uid, count in attempts.items())


def test_a_trace_is_written_under_the_clients_span(tmp_path: Path) -> None:
    tracer = Tracer(tmp_path / "t.jsonl", "p", TracerSettings(synchronous=True))
    parent = parse_parent_span({PARENT_ANNOTATION: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"})
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
    assert parse_parent_span({PARENT_ANNOTATION: text}) is None


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
        int(trace.root.attributes["kelpfront.task"])
        for trace in read_traces([path.with_name("t.jsonl.1"), path])
    ]
    assert kept == list(range(200 - len(kept), 200))


def test_a_full_disk_loses_traces_without_an_error() -> None:
    full_device = Path("/dev/full")
    if not full_device.exists():
        pytest.skip("needs /dev/full")
    tracer = Tracer(full_device, "p", TracerSettings(synchronous=True))
    tracer.write(Span("task", 0.0, 1.0))
    tracer.close()


def test_traces_are_rendered_as_text_and_malformed_files_are_named(tmp_path: Path) -> None:
    path = tmp_path / "t.jsonl"
    run_traced(path)
    traces = read_traces([path])
    shown = chosen(traces, 2, 1)
    assert [trace.failed for trace in shown] == [False, False, True]
    assert shown[0].answered_ms == max(trace.answered_ms for trace in traces if not trace.failed)
    rows = list(waterfall(shown[0]))
    assert len(rows) == 1 + len(shown[0].parts)
    assert any("#" in bar for _, _, bar in rows)
    result = CliRunner().invoke(main, ["lab", "traces", str(path), "--slowest", "1", "--failed", "1"])
    assert result.exit_code == 0
    assert "Placed" in result.output
    truncated = tmp_path / "cut.jsonl"
    shutil.copy(path, truncated)
    truncated.write_bytes(truncated.read_bytes()[:-20])
    assert len(read_traces([truncated])) >= len(traces) - 1
    broken = tmp_path / "broken.jsonl"
    broken.write_bytes(b'{"trace": 5}\n' + path.read_bytes())
    with pytest.raises(TracesError, match=r"broken\.jsonl:1: is no span"):
        read_traces([broken])
    assert CliRunner().invoke(main, ["lab", "traces", str(broken)]).exit_code == 1
