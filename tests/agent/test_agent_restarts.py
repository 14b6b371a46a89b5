"""The agent is killed at every step of a task's lifecycle, and recovers its tasks after the restart."""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path

import pytest
from agents import (
    START,
    AgentProcess,
    answer_and_reason,
    read_snapshot,
    running_agent,
    until_empty,
    until_ended,
)
from waiting import until

from kelpfront.lab.agents import POINTS
from kelpfront.machine.messages import Gone, Hello, Snapshot, Taken


async def test_tasks_survive_an_agent_restart_and_exits_during_it_are_reported_once(tmp_path: Path) -> None:
    async with running_agent(tmp_path) as agent:
        await agent.offer("stays", START + "sleep 60")
        await agent.offer("ends", START + "sleep 0.3; exit 5")
        pid = agent.pid("stays")
        await agent.kill()
        await until(lambda: agent.record("ends", "exit"))
        await agent.start()
        messages = await agent.read_stream()
        assert isinstance(messages[0], Hello)
        assert not messages[0].resumed
        reports = await read_snapshot(agent)
        assert reports["stays"].phase == "running"
        assert agent.pid("stays") == pid
        assert (reports["ends"].phase, reports["ends"].exit_code) == ("ended", 5)
        assert agent.lines("starts") == ["stays", "ends"]
        # A placer that resumes after the snapshot has received it: no agent sends it the reports again.
        seen = f"&boot={messages[0].boot}&from={messages[0].next_seq}"
        assert not [m for m in await agent.read_stream(query=seen) if isinstance(m, Snapshot | Gone)]
        assert set(await read_snapshot(agent)) == {"stays"}
        await agent.restart()
        assert set(await read_snapshot(agent)) == {"stays"}


async def test_message_numbers_increase_over_restarts(tmp_path: Path) -> None:
    """With reused numbers, an agent could resume a stream after messages that the placer has not received."""
    async with running_agent(tmp_path) as agent:
        numbers: list[int] = []
        hellos: list[Hello] = []
        for _ in range(3):
            await agent.offer(f"t{len(numbers)}")
            messages = await agent.read_stream()
            hello = messages[0]
            assert isinstance(hello, Hello)
            hellos.append(hello)
            seqs = [m.seq for m in messages if isinstance(m, Snapshot | Taken)]
            numbers.append(max([hello.next_seq - 1, *seqs]))
            await agent.restart()
        assert numbers == sorted(set(numbers))
        query = f"&boot={hellos[-1].boot}&from={numbers[-1] + 1}"
        later = await agent.read_stream(query=query)
        assert isinstance(later[0], Hello)
        assert not later[0].resumed


@pytest.mark.parametrize("point", POINTS)
async def test_an_agent_killed_at_any_step_starts_no_task_twice_and_loses_none(
    tmp_path: Path, point: str
) -> None:
    """The agent starts and stops one task, is killed at one point of this, and is restarted."""
    async with running_agent(tmp_path, kill_at=(point, 1)) as agent:
        script = START + "trap 'echo term >> $OUT/terms; exit 0' TERM; while :; do sleep 0.02; done"
        answer = await agent.offer("t1", script, effect="unsafe")
        died = answer is None
        if died:
            await agent.wait_ended()
            await agent.start()
        reports = await read_snapshot(agent)
        if point in ("intent", "intent-durable", "folder"):
            report = reports.get("t1")
            assert report is None or (report.phase, report.ran) == ("ended", False)
            assert agent.lines("starts") == []
            # If the intent was recorded, a repeated offer gets the recorded answer; otherwise it is new.
            repeated = await agent.offer("t1", script, effect="unsafe")
            assert answer_and_reason(repeated) == (
                ("running", "") if report is None else ("refused", "START_FAILED")
            )
            return
        await agent.until_lines("starts", 1)
        assert answer_and_reason(await agent.offer("t1", script, effect="unsafe")) == ("running", "")
        stopped = await agent.stop("t1")
        if stopped is None:
            died = True
            await agent.wait_ended()
            await agent.start()
            if point == "stop":  # the agent died before the stop was recorded, and without an answer
                assert await agent.stop("t1") == "stopping"
        exited = await survives_end_of_task(agent, "t1")
        if not exited:
            died = True
            await agent.start()
        assert died, f"{point} was never passed"
        await until(lambda: agent.record("t1", "exit"))
        await until_ended(agent, "t1")
        report = (await read_snapshot(agent))["t1"]
        assert (report.phase, report.cause, report.ran) == ("ended", "stopped", True)
        assert agent.lines("starts") == ["t1"]
        assert agent.lines("terms") == ["term"]
        assert answer_and_reason(await agent.offer("t1", script, 1, effect="unsafe")) == ("error", "RAN_HERE")


async def survives_end_of_task(agent: AgentProcess, task: str) -> bool:
    """Return whether the agent still runs shortly after the end of a task."""
    assert agent.process is not None
    while agent.process.returncode is None:
        try:
            if task not in await agent.tasks():
                await asyncio.sleep(0.2)  # the agent passes the last points right after the task's removal
                return agent.process.returncode is None
        except Exception:
            await agent.wait_ended()
        await asyncio.sleep(0.02)
    return False


async def test_a_recorded_stop_is_executed_although_the_agent_dies(tmp_path: Path) -> None:
    async with running_agent(tmp_path, kill_at=("stop-written", 1)) as agent:
        await agent.offer(
            "t1", START + "trap 'echo term >> $OUT/terms; exit 0' TERM; while :; do sleep 0.02; done"
        )
        await agent.until_lines("starts", 1)
        assert await agent.stop("t1") is None
        await agent.wait_ended()
        await agent.start()
        await until(lambda: agent.record("t1", "exit"))
        assert agent.lines("terms") == ["term"]


async def test_an_agent_restarted_repeatedly_under_load_loses_no_task_and_starts_none_twice(
    tmp_path: Path,
) -> None:
    async with running_agent(tmp_path) as agent:
        running = True
        answers: dict[str, str] = {}

        async def offer_tasks() -> None:
            number = 0
            while running:
                number += 1
                task = f"t{number}"
                try:
                    answer = await agent.offer(task, START + "sleep 0.5; echo $KELPFRONT_TASK >> $OUT/ends")
                except Exception:
                    answer = None
                answers[task] = "" if answer is None else answer.answer
                await asyncio.sleep(0.02)

        offering = asyncio.create_task(offer_tasks())
        for _ in range(8):
            await asyncio.sleep(0.25)
            await agent.restart()
        running = False
        await offering
        starts = agent.lines("starts")
        assert len(starts) == len(set(starts)), "started twice"
        ran = {task for task, answer in answers.items() if answer == "running"}
        assert ran <= set(starts), "lost"
        await until(lambda: sorted(agent.lines("ends")) == sorted(agent.lines("starts")))
        for task in starts:
            await until(lambda task=task: agent.record(task, "exit"))  # type: ignore[misc]
        await until_empty(agent)
        reports = await read_snapshot(agent)
        assert set(starts) <= set(reports)
        assert {reports[task].exit_code for task in starts} == {0}


async def test_after_a_reboot_of_the_host_its_tasks_are_lost_and_never_started_again(tmp_path: Path) -> None:
    async with running_agent(tmp_path, boot="boot-1") as agent:
        await agent.offer("t1", START + "sleep 60")
        await until(lambda: agent.lines("starts"))  # the task is running before its shell has written
        program = agent.pid("t1")
        await agent.kill()  # before the supervisor, which another one would replace
        os.kill(agent.pid("t1", "claim"), signal.SIGKILL)  # before its program, whose end it would record
        os.killpg(program, signal.SIGKILL)
        (agent.state / "tasks" / "t1@0" / "claim.json").unlink()  # as if not on disk at the power failure
        for path in (agent.state / "tasks" / "t1@0").glob("exit.json"):
            path.unlink()
        await agent.start(boot="boot-2", uptime_ms=500.0)
        report = (await read_snapshot(agent))["t1"]
        assert (report.phase, report.cause, report.ran) == ("ended", "lost", True)
        assert agent.lines("starts") == ["t1"]
        assert (await agent.get("/v1/agent"))["warm"] < 0.5, "a host that has just booted is in slow start"
