"""Killed supervisors and fork servers are replaced, and tasks keep running."""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path

from agents import (
    START,
    answer_and_reason,
    has_ended,
    read_snapshot,
    running_agent,
    until_ended,
)
from waiting import until


async def test_a_killed_supervisor_is_replaced_and_its_task_keeps_running(tmp_path: Path) -> None:
    async with running_agent(tmp_path) as agent:
        script = START + "while [ ! -e $OUT/go ]; do sleep 0.02; done; echo written; sleep 0.2; exit 3"
        await agent.offer("t1", script)
        await agent.until_lines("starts", 1)
        os.kill(agent.pid("t1", "claim"), signal.SIGKILL)
        await until(lambda: agent.record("t1", "watch-1"))
        assert (await read_snapshot(agent))["t1"].phase == "running"
        os.kill(agent.pid("t1", "watch-1"), signal.SIGKILL)
        await until(lambda: agent.record("t1", "watch-2"))
        (agent.out / "go").touch()
        await until(lambda: agent.record("t1", "exit"))
        await until_ended(agent, "t1")
        report = (await read_snapshot(agent))["t1"]
        assert (report.phase, report.exit_code, report.ran) == ("ended", None, True)
        assert "not known" in report.message
        assert agent.lines("starts") == ["t1"]
        assert (await agent.call("GET", "/v1/logs?task=t1"))[1] == b"written\n"


async def test_a_task_whose_supervisor_died_is_stopped_with_its_session(tmp_path: Path) -> None:
    async with running_agent(tmp_path) as agent:
        await agent.offer("t1", "sleep 61 & echo $! > $OUT/child; trap '' TERM; while :; do sleep 0.05; done")
        (child,) = await agent.until_lines("child", 1)
        await agent.kill()
        os.kill(agent.pid("t1", "claim"), signal.SIGKILL)
        await agent.start()
        await until(lambda: agent.record("t1", "watch-1"))
        assert await agent.stop("t1") == "stopping"
        await until(lambda: agent.record("t1", "exit"))
        assert has_ended(agent.pid("t1"))
        assert has_ended(int(child))
        assert not has_ended(os.getpid())
        assert not has_ended(1)


async def test_a_process_that_reused_the_pid_is_not_treated_as_the_task(tmp_path: Path) -> None:
    """The records get the pid of a live process with another start time, as if the pid had been reused."""
    async with running_agent(tmp_path) as agent:
        await agent.offer("t1", START + "sleep 60")
        await agent.kill()
        claim, started = agent.pid("t1", "claim"), agent.pid("t1")
        os.kill(claim, signal.SIGKILL)
        os.killpg(started, signal.SIGKILL)
        await until(lambda: has_ended(claim) and has_ended(started))
        folder = agent.state / "tasks" / "t1@0"
        for name in ("claim", "started"):
            record = agent.record("t1", name)
            assert record is not None
            text = (folder / f"{name}.json").read_text()
            (folder / f"{name}.json").write_text(
                text.replace(f'"pid": {record["pid"]}', f'"pid": {os.getpid()}')
            )
        await agent.start()
        report = (await read_snapshot(agent))["t1"]
        assert (report.phase, report.ran, report.exit_code) == ("ended", True, None)
        assert not has_ended(os.getpid())


async def test_a_killed_fork_server_is_replaced_and_tasks_start_again(tmp_path: Path) -> None:
    async with running_agent(tmp_path) as agent:
        await agent.offer("t1", START + "sleep 60")
        children = await asyncio.to_thread(_children, agent.process.pid if agent.process else 0)
        for pid in children:
            os.kill(pid, signal.SIGKILL)
        assert answer_and_reason(await agent.offer("t2", START + "sleep 60")) in (
            ("running", ""),
            ("refused", "START_FAILED"),
        )
        assert answer_and_reason(await agent.offer("t3", START + "sleep 60")) == ("running", "")
        await until(lambda: "t3" in agent.lines("starts"))  # the task writes it once it is scheduled
        starts = agent.lines("starts")
        assert len(starts) == len(set(starts))


def _children(pid: int) -> list[int]:
    from kelpfront.agent.process import all_stats

    return [stat.pid for stat in all_stats() if stat.parent_pid == pid]
