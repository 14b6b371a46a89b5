"""Tasks as real processes: starts, stops, output, and daemonized child processes."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Any

import pytest
from agents import (
    START,
    answer_and_reason,
    command,
    has_ended,
    read_snapshot,
    running_agent,
    until_ended,
)
from waiting import until

from kelpfront.machine.messages import Hello


async def test_a_task_runs_and_its_end_is_reported_with_exit_code_and_cpu_time(tmp_path: Path) -> None:
    async with running_agent(tmp_path) as agent:
        script = "echo $KELPFRONT_JOB/$KELPFRONT_INDEX on $KELPFRONT_MACHINE; exit 7"
        assert answer_and_reason(await agent.offer("t1", script)) == ("running", "")
        await until(lambda: agent.record("t1", "exit"))
        await until_ended(agent, "t1")
        messages = await agent.read_stream()
        assert isinstance(messages[0], Hello)
        report = (await read_snapshot(agent))["t1"]
        assert report.exit_code == 7
        assert report.cpu_s is not None
        status, text = await agent.call("GET", "/v1/logs?task=t1&attempt=0")
        assert (status, text) == (200, b"climate/job-t1/0 on n1\n")


async def test_a_repeated_offer_gets_the_first_answer_and_starts_nothing(tmp_path: Path) -> None:
    async with running_agent(tmp_path) as agent:
        answers = await asyncio.gather(*(agent.offer("t1", START + "sleep 60") for _ in range(10)))
        assert {answer_and_reason(answer) for answer in answers} == {("running", "")}
        await agent.restart()
        assert answer_and_reason(await agent.offer("t1", START + "sleep 60")) == ("running", "")
        assert agent.lines("starts") == ["t1"]


@pytest.mark.parametrize(
    ("run", "reason"),
    [
        (command("true", env={}), ""),
        (command("true").__class__(("no-such-program",)), "no-such-program: No such file"),
        (command("true", workdir="/no/such/folder"), "/no/such/folder: No such file"),
        (command("true").__class__((__file__,)), "Permission denied"),
    ],
)
async def test_a_command_that_cannot_be_started_is_refused_with_the_reason(
    tmp_path: Path, run: Any, reason: str
) -> None:
    async with running_agent(tmp_path) as agent:
        answer = await agent.offer("t1", run=run)
        assert answer_and_reason(answer) == (("refused", "START_FAILED") if reason else ("running", ""))
        assert answer is not None
        assert reason in answer.message


async def test_offers_that_cannot_run_as_a_process_are_refused(tmp_path: Path) -> None:
    async with running_agent(tmp_path) as agent:
        assert answer_and_reason(await agent.offer("t1", run=None)) == ("refused", "NOT_HERE")
        assert answer_and_reason(await agent.offer("../../etc/t1")) == ("refused", "NOT_HERE")
        assert not list((agent.state / "tasks").iterdir())


async def test_a_task_that_exits_at_once_was_placed_and_its_end_is_reported(tmp_path: Path) -> None:
    async with running_agent(tmp_path) as agent:
        for number in range(20):
            assert answer_and_reason(await agent.offer(f"t{number}", "exit 0")) == ("running", "")
        for number in range(20):
            await until_ended(agent, f"t{number}")
        reports = await read_snapshot(agent)
        assert {report.exit_code for report in reports.values()} == {0}
        assert len(reports) == 20


async def test_a_task_that_ignores_sigterm_is_killed_after_its_grace_period(tmp_path: Path) -> None:
    async with running_agent(tmp_path) as agent:
        script = "trap 'echo term >> $OUT/terms' TERM; echo up >> $OUT/up; while :; do sleep 0.05; done"
        await agent.offer("t1", script)
        await agent.until_lines("up", 1)
        assert await agent.stop("t1") == "stopping"
        assert await agent.stop("t1") == "stopping"
        await until(lambda: agent.record("t1", "exit"))
        assert agent.lines("terms") == ["term"], "SIGTERM is sent only once"
        found = agent.record("t1", "exit")
        assert found is not None
        assert found["code"] == 128 + signal.SIGKILL
        await until_ended(agent, "t1")
        assert (await read_snapshot(agent))["t1"].cause == "stopped"


async def test_a_daemonized_process_is_stopped_with_its_task_and_its_cpu_time_is_counted(
    tmp_path: Path,
) -> None:
    async with running_agent(tmp_path) as agent:
        # The process has a new session and its parent has exited: only the supervisor, which is its
        # subreaper, can find it.
        burn = "i=0; while [ $i -lt 60000 ]; do i=$((i+1)); done"
        script = f"(setsid sh -c '{burn}; echo $$ > '$OUT'/away; exec sleep 60' &); sleep 60"
        await agent.offer("t1", script)
        (pid,) = await agent.until_lines("away", 1)
        assert not has_ended(int(pid))
        await agent.stop("t1")
        await until(lambda: agent.record("t1", "exit"))
        assert has_ended(int(pid))
        found = agent.record("t1", "exit")
        assert found is not None
        assert found["cpu_s"] > 0.02


async def test_a_task_ends_with_its_first_process_and_the_others_are_stopped(tmp_path: Path) -> None:
    async with running_agent(tmp_path) as agent:
        await agent.offer("t1", "(setsid sh -c 'echo $$ > '$OUT'/away; exec sleep 60' &); sleep 0.3; exit 3")
        (pid,) = await agent.until_lines("away", 1)
        await until(lambda: agent.record("t1", "exit"))
        found = agent.record("t1", "exit")
        assert found is not None
        assert found["code"] == 3
        assert has_ended(int(pid))


async def test_output_is_limited_in_size_and_its_last_bytes_are_retained(tmp_path: Path) -> None:
    async with running_agent(tmp_path, overrides=("tasks.log_size=8 KiB", "tasks.log_files=2")) as agent:
        await agent.offer("t1", "seq 1 200000; sleep 60")
        folder = agent.state / "tasks" / "t1@0"

        def text() -> str:
            log = folder / "output.log"
            try:
                return log.read_text()
            except FileNotFoundError:  # during a rotation
                return ""

        await until(lambda: text().endswith("\n200000\n"))
        assert sum(path.stat().st_size for path in folder.glob("output.log*")) <= 3 * 8192
        status, output = await agent.call("GET", "/v1/logs?task=t1&tailBytes=14")
        assert (status, output) == (200, b"199999\n200000\n")
        assert not has_ended(agent.pid("t1"))
