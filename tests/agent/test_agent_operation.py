"""Operation of a node agent: clock steps, slow start, drain, orphaned tasks, reported use, command line."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

from agents import (
    START,
    AgentProcess,
    answer_and_reason,
    command,
    has_ended,
    read_snapshot,
    running_agent,
    until_empty,
    until_ended,
)
from waiting import until

from kelpfront.machine.messages import Hello, Snapshot


async def test_a_clock_that_steps_back_does_not_affect_tasks(tmp_path: Path) -> None:
    async with running_agent(tmp_path, wall_steps=(0.3, -3600.0)) as agent:
        await agent.offer("t1", START + "sleep 60")
        await asyncio.sleep(0.5)
        assert answer_and_reason(await agent.offer("t2", START + "sleep 60")) == ("running", "")
        before = await agent.read_stream()
        await agent.restart(wall_ahead_s=-7200.0)
        reports = await read_snapshot(agent)
        assert {report.phase for report in reports.values()} == {"running"}
        assert len(reports) == 2
        after = await agent.read_stream()
        assert isinstance(before[0], Hello)
        assert isinstance(after[0], Hello)
        assert after[0].next_seq > before[0].next_seq
        assert after[0].boot == before[0].boot
        assert agent.lines("starts") == ["t1", "t2"]


async def test_a_burst_right_after_the_boot_is_started_at_the_slow_start_rate(tmp_path: Path) -> None:
    slow_start = ("host.warm_from=agent", "host.cold_from=0.1", "host.cold_for=60 s", "starts.rate=100")
    async with running_agent(tmp_path, overrides=slow_start) as agent:
        hello = (await agent.read_stream())[0]
        assert isinstance(hello, Hello)
        assert hello.age_ms < 30_000.0
        started_at = asyncio.get_running_loop().time()
        answers = await asyncio.gather(*(agent.offer(f"t{n}", START + "sleep 60") for n in range(20)))
        elapsed_s = asyncio.get_running_loop().time() - started_at
        assert {answer_and_reason(answer) for answer in answers} == {("running", "")}
        # At 10 starts per second, a tenth of the full rate, 20 starts take about 2 s; at full rate 0.2 s.
        assert elapsed_s > 1.0
        assert (await agent.get("/v1/agent"))["warm"] < 0.3


async def test_a_drained_agent_refuses_offers_evicts_its_tasks_and_stays_drained_over_a_restart(
    tmp_path: Path,
) -> None:
    async with running_agent(tmp_path, overrides=("drain.pace=50 ms",)) as agent:
        for number in range(4):
            await agent.offer(f"t{number}", START + "sleep 60")
        assert (await agent.call("POST", "/v1/drain", b'{"on": true}'))[0] == 200
        assert answer_and_reason(await agent.offer("late")) == ("refused", "NOT_HERE")
        await agent.restart(overrides=("drain.pace=50 ms",))
        assert (await agent.get("/v1/agent"))["state"] == "draining"
        assert answer_and_reason(await agent.offer("later")) == ("refused", "NOT_HERE")
        await until_empty(agent)
        reports = await read_snapshot(agent)
        assert {report.cause for report in reports.values()} == {"sent-away"}
        assert len(reports) == 4
        await agent.call("POST", "/v1/drain", b'{"on": false}')
        assert answer_and_reason(await agent.offer("now")) == ("running", "")


async def test_tasks_of_a_placer_that_stays_disconnected_are_stopped(tmp_path: Path) -> None:
    async with running_agent(tmp_path, overrides=("tasks.orphans=2 s",)) as agent:
        await agent.offer("left", START + "sleep 60", placer="gone")
        await agent.offer("kept", START + "sleep 60", placer="p0")
        reading = asyncio.create_task(agent.read_stream(seconds=20.0, placer="p0"))
        await until(lambda: agent.record("left", "exit"))
        await until_ended(agent, "left")
        assert not has_ended(agent.pid("kept"))
        reading.cancel()
        report = {
            r.offer.task: r
            for m in await agent.read_stream(placer="gone")
            if isinstance(m, Snapshot)
            for r in m.tasks
        }["left"]
        assert (report.phase, report.cause) == ("ended", "lost")


async def test_reported_cpu_time_matches_the_accounting_of_the_processes(tmp_path: Path) -> None:
    async with running_agent(tmp_path) as agent:
        burn = (
            "import os, resource, sys, time\n"
            "t = os.times()\n"
            "while sum(os.times()[:2]) < 0.6:\n"
            "    if os.fork() == 0:\n"
            "        x = sum(range(300000)); os._exit(0)\n"
            "    os.wait()\n"
            "    x = sum(range(300000))\n"
            "u = os.times()\n"
            f"open('{agent.out}/own', 'a').write(f'{{sum(u[:4])}}\\n')\n"
        )
        run = command("true").__class__((sys.executable, "-S", "-c", burn))
        await agent.offer("t1", run=run)
        (counted,) = await agent.until_lines("own", 1)
        await until(lambda: agent.record("t1", "exit"))
        await until_ended(agent, "t1")
        reported = (await read_snapshot(agent))["t1"].cpu_s
        assert reported is not None
        assert abs(reported - float(counted)) <= 0.05 * float(counted) + 0.03


async def test_the_command_line_shows_an_agents_tasks_and_sigterm_leaves_them_running(tmp_path: Path) -> None:
    agent = AgentProcess(tmp_path)
    serve = [sys.executable, "-m", "kelpfront", "agent", "serve", "-c", str(agent.config)]

    async def cli(*args: str) -> tuple[int, str]:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "kelpfront",
            "agent",
            args[0],
            "-c",
            str(agent.config),
            *args[1:],
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        out, _ = await asyncio.wait_for(process.communicate(), 30)
        return process.returncode or 0, out.decode()

    try:
        assert (await cli("status"))[0] == 5, "no agent runs yet"
        for start_count in range(2):
            agent.process = await asyncio.create_subprocess_exec(
                *serve, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL
            )
            assert agent.process.stdout is not None
            agent.url = json.loads(await agent.process.stdout.readline())["url"]
            if not start_count:
                assert answer_and_reason(await agent.offer("t1", START + "sleep 60")) == ("running", "")
            code, text = await cli("ps")
            assert code == 0
            assert "climate/job-t1" in text
            assert "running" in text
            code, text = await cli("status", "--json")
            assert json.loads(text)["tasks"] == {"running": 1}
            agent.process.terminate()
            assert await asyncio.wait_for(agent.process.wait(), 30) == 0
        assert agent.lines("starts") == ["t1"]
        assert not has_ended(agent.pid("t1"))
    finally:
        await agent.end_all()


async def test_offers_pending_at_shutdown_are_not_started_by_the_next_agent(tmp_path: Path) -> None:
    async with running_agent(tmp_path, overrides=("starts.weigh=400 ms",)) as agent:
        pending = [asyncio.create_task(agent.offer(f"t{n}", START + "sleep 60")) for n in range(5)]
        await asyncio.sleep(0.6)
        assert agent.process is not None
        agent.process.terminate()
        await agent.wait_ended()
        answers = await asyncio.gather(*pending)
        ran = [answer for answer in answers if answer is not None and answer.answer == "running"]
        await agent.start()
        await asyncio.sleep(0.5)
        assert len(agent.lines("starts")) == len(ran) < 5
