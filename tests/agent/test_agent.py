"""The node agent with real processes: restarts at every point, tasks that misbehave, disks that fill."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sqlite3
import sys
from pathlib import Path
from typing import Any

import pytest
from agents import Agent, agent, command, is_gone
from waiting import until

from kelpfront.lab.agents import POINTS
from kelpfront.machine.messages import Answer, Gone, Hello, Snapshot, Taken, TaskReport

START = "echo $KELPFRONT_TASK >> $OUT/starts; "


def kind(answer: Answer | None) -> tuple[str, str]:
    assert answer is not None
    return answer.answer, answer.reason


async def snapshot(its: Agent, query: str = "") -> dict[str, TaskReport]:
    """What a placer that comes anew is told of its tasks."""
    messages = await its.read_stream(query=query)
    assert isinstance(messages[0], Hello)
    (found,) = [message for message in messages if isinstance(message, Snapshot)]
    return {report.offer.task: report for report in found.tasks}


# ---- Starts and ends --------------------------------------------------------------------------------------


async def test_a_task_runs_and_its_end_is_told_with_its_code_and_cpu(tmp_path: Path) -> None:
    async with agent(tmp_path) as its:
        script = "echo $KELPFRONT_JOB/$KELPFRONT_INDEX on $KELPFRONT_MACHINE; exit 7"
        assert kind(await its.offer("t1", script)) == ("running", "")
        await until(lambda: its.record("t1", "exit"))
        await until_told(its, "t1")
        messages = await its.read_stream()
        assert isinstance(messages[0], Hello)
        report = (await snapshot(its))["t1"]
        assert report.exit_code == 7 and report.cpu_s is not None
        status, text = await its.call("GET", "/v1/logs?task=t1&attempt=0")
        assert (status, text) == (200, b"climate/job-t1/0 on n1\n")


async def test_an_offer_that_comes_again_gets_the_first_answer_and_starts_nothing(tmp_path: Path) -> None:
    async with agent(tmp_path) as its:
        answers = await asyncio.gather(*(its.offer("t1", START + "sleep 60") for _ in range(10)))
        assert {kind(answer) for answer in answers} == {("running", "")}
        await its.restart()
        assert kind(await its.offer("t1", START + "sleep 60")) == ("running", "")
        assert its.lines("starts") == ["t1"]


@pytest.mark.parametrize(
    ("run", "why"),
    [
        (command("true", env={}), ""),
        (command("true").__class__(("no-such-program",)), "no-such-program: No such file"),
        (command("true", workdir="/no/such/folder"), "/no/such/folder: No such file"),
        (command("true").__class__((__file__,)), "Permission denied"),
    ],
)
async def test_what_cannot_be_started_is_refused_with_the_reason(tmp_path: Path, run: Any, why: str) -> None:
    async with agent(tmp_path) as its:
        answer = await its.offer("t1", run=run)
        assert kind(answer) == (("refused", "START_FAILED") if why else ("running", ""))
        assert answer is not None and why in answer.message


async def test_offers_that_no_process_can_be_made_of_are_refused(tmp_path: Path) -> None:
    async with agent(tmp_path) as its:
        assert kind(await its.offer("t1", run=None)) == ("refused", "NOT_HERE")
        assert kind(await its.offer("../../etc/t1")) == ("refused", "NOT_HERE")
        assert not list((its.state / "tasks").iterdir())


async def test_a_task_that_exits_at_once_was_placed_and_is_over(tmp_path: Path) -> None:
    async with agent(tmp_path) as its:
        for number in range(20):
            assert kind(await its.offer(f"t{number}", "exit 0")) == ("running", "")
        for number in range(20):
            await until_told(its, f"t{number}")
        reports = await snapshot(its)
        assert {report.exit_code for report in reports.values()} == {0} and len(reports) == 20


async def test_a_task_that_ignores_sigterm_is_killed_after_its_grace(tmp_path: Path) -> None:
    async with agent(tmp_path) as its:
        script = "trap 'echo term >> $OUT/terms' TERM; echo up >> $OUT/up; while :; do sleep 0.05; done"
        await its.offer("t1", script)
        await its.until_lines("up", 1)
        assert await its.stop("t1") == "stopping"
        assert await its.stop("t1") == "stopping"
        await until(lambda: its.record("t1", "exit"))
        assert its.lines("terms") == ["term"], "stopped once"
        found = its.record("t1", "exit")
        assert found is not None and found["code"] == 128 + signal.SIGKILL
        await until_told(its, "t1")
        assert (await snapshot(its))["t1"].cause == "stopped"


async def test_what_forks_away_is_stopped_with_its_task_and_counted(tmp_path: Path) -> None:
    async with agent(tmp_path) as its:
        # In a session of its own, its parent gone: only the supervisor, as its reaper, still knows it.
        burn = "i=0; while [ $i -lt 60000 ]; do i=$((i+1)); done"
        script = f"(setsid sh -c '{burn}; echo $$ > '$OUT'/away; exec sleep 60' &); sleep 60"
        await its.offer("t1", script)
        (pid,) = await its.until_lines("away", 1)
        assert not is_gone(int(pid))
        await its.stop("t1")
        await until(lambda: its.record("t1", "exit"))
        assert is_gone(int(pid))
        found = its.record("t1", "exit")
        assert found is not None and found["cpu_s"] > 0.02


async def test_a_task_ends_with_its_first_process_and_nothing_of_it_stays(tmp_path: Path) -> None:
    async with agent(tmp_path) as its:
        await its.offer("t1", "(setsid sh -c 'echo $$ > '$OUT'/away; exec sleep 60' &); sleep 0.3; exit 3")
        (pid,) = await its.until_lines("away", 1)
        await until(lambda: its.record("t1", "exit"))
        found = its.record("t1", "exit")
        assert found is not None and found["code"] == 3 and is_gone(int(pid))


async def test_output_is_bounded_and_its_end_is_kept(tmp_path: Path) -> None:
    async with agent(tmp_path, overrides=("tasks.log_size=8 KiB", "tasks.log_files=2")) as its:
        await its.offer("t1", "seq 1 200000; sleep 60")
        folder = its.state / "tasks" / "t1@0"

        def text() -> str:
            log = folder / "output.log"
            try:
                return log.read_text()
            except FileNotFoundError:  # between two files
                return ""

        await until(lambda: text().endswith("\n200000\n"))
        assert sum(path.stat().st_size for path in folder.glob("output.log*")) <= 3 * 8192
        status, output = await its.call("GET", "/v1/logs?task=t1&tailBytes=14")
        assert (status, output) == (200, b"199999\n200000\n")
        assert not is_gone(its.pid("t1"))


# ---- Restarts ---------------------------------------------------------------------------------------------


async def test_tasks_run_on_and_exits_meanwhile_are_told_once(tmp_path: Path) -> None:
    async with agent(tmp_path) as its:
        await its.offer("stays", START + "sleep 60")
        await its.offer("ends", START + "sleep 0.3; exit 5")
        pid = its.pid("stays")
        await its.kill()
        await until(lambda: its.record("ends", "exit"))
        await its.start()
        messages = await its.read_stream()
        assert isinstance(messages[0], Hello) and not messages[0].resumed
        reports = await snapshot(its)
        assert reports["stays"].phase == "running" and its.pid("stays") == pid
        assert (reports["ends"].phase, reports["ends"].exit_code) == ("ended", 5)
        assert its.lines("starts") == ["stays", "ends"]
        # A placer that asks for what came after has seen it: it is not told again, by the next agent either.
        seen = f"&boot={messages[0].boot}&from={messages[0].next_seq}"
        assert not [m for m in await its.read_stream(query=seen) if isinstance(m, Snapshot | Gone)]
        assert set(await snapshot(its)) == {"stays"}
        await its.restart()
        assert set(await snapshot(its)) == {"stays"}


async def test_message_numbers_go_on_over_restarts(tmp_path: Path) -> None:
    """A placer that asks for what it has not seen must not be taken for one that has seen it."""
    async with agent(tmp_path) as its:
        numbers: list[int] = []
        hellos: list[Hello] = []
        for _ in range(3):
            await its.offer(f"t{len(numbers)}")
            messages = await its.read_stream()
            hello = messages[0]
            assert isinstance(hello, Hello)
            hellos.append(hello)
            seqs = [m.seq for m in messages if isinstance(m, Snapshot | Taken)]
            numbers.append(max([hello.next_seq - 1, *seqs]))
            await its.restart()
        assert numbers == sorted(set(numbers))
        query = f"&boot={hellos[-1].boot}&from={numbers[-1] + 1}"
        later = await its.read_stream(query=query)
        assert isinstance(later[0], Hello) and not later[0].resumed


@pytest.mark.parametrize("point", POINTS)
async def test_killed_at_every_point_it_starts_nothing_twice_and_loses_nothing(
    tmp_path: Path, point: str
) -> None:
    """One task is started and stopped; the agent dies at a point in that, and is started again."""
    async with agent(tmp_path, kill_at=(point, 1)) as its:
        script = START + "trap 'echo term >> $OUT/terms; exit 0' TERM; while :; do sleep 0.02; done"
        answer = await its.offer("t1", script, effect="unsafe")
        died = answer is None
        if died:
            await its.gone()
            await its.start()
        reports = await snapshot(its)
        if point in ("intent", "intent-durable", "folder"):
            report = reports.get("t1")
            assert report is None or (report.phase, report.ran) == ("ended", False)
            assert its.lines("starts") == []
            # Where a record was made the answer is known; else nothing is, and the offer is a new one.
            again = await its.offer("t1", script, effect="unsafe")
            assert kind(again) == (("running", "") if report is None else ("refused", "START_FAILED"))
            return
        await its.until_lines("starts", 1)
        assert kind(await its.offer("t1", script, effect="unsafe")) == ("running", "")
        stopped = await its.stop("t1")
        if stopped is None:
            died = True
            await its.gone()
            await its.start()
            if point == "stop":  # it died before the stop was written down: its placer has no answer
                assert await its.stop("t1") == "stopping"
        exited = await until_ended(its, "t1")
        if not exited:
            died = True
            await its.start()
        assert died, f"{point} was never passed"
        await until(lambda: its.record("t1", "exit"))
        await until_told(its, "t1")
        report = (await snapshot(its))["t1"]
        assert (report.phase, report.cause, report.ran) == ("ended", "stopped", True)
        assert its.lines("starts") == ["t1"] and its.lines("terms") == ["term"]
        assert kind(await its.offer("t1", script, 1, effect="unsafe")) == ("error", "RAN_HERE")


async def until_ended(its: Agent, task: str) -> bool:
    """Whether the agent lived to see the end of a task."""
    assert its.process is not None
    while its.process.returncode is None:
        try:
            if task not in await its.tasks():
                await asyncio.sleep(0.2)  # the last points come right after this
                return its.process.returncode is None
        except Exception:
            await its.gone()
        await asyncio.sleep(0.02)
    return False


async def until_told(its: Agent, task: str) -> None:
    async with asyncio.timeout(30):
        while task in await its.tasks():  # noqa: ASYNC110 - of another process
            await asyncio.sleep(0.02)


async def until_empty(its: Agent) -> None:
    async with asyncio.timeout(30):
        while await its.tasks():  # noqa: ASYNC110 - of another process
            await asyncio.sleep(0.02)


async def test_a_stop_that_was_answered_is_carried_out_over_a_restart(tmp_path: Path) -> None:
    async with agent(tmp_path, kill_at=("stop-written", 1)) as its:
        await its.offer(
            "t1", START + "trap 'echo term >> $OUT/terms; exit 0' TERM; while :; do sleep 0.02; done"
        )
        await its.until_lines("starts", 1)
        assert await its.stop("t1") is None
        await its.gone()
        await its.start()
        await until(lambda: its.record("t1", "exit"))
        assert its.lines("terms") == ["term"]


async def test_restarted_again_and_again_under_load(tmp_path: Path) -> None:
    async with agent(tmp_path) as its:
        running = True
        answers: dict[str, str] = {}

        async def load() -> None:
            number = 0
            while running:
                number += 1
                task = f"t{number}"
                try:
                    answer = await its.offer(task, START + "sleep 0.5; echo $KELPFRONT_TASK >> $OUT/ends")
                except Exception:
                    answer = None
                answers[task] = "" if answer is None else answer.answer
                await asyncio.sleep(0.02)

        loading = asyncio.create_task(load())
        for _ in range(8):
            await asyncio.sleep(0.25)
            await its.restart()
        running = False
        await loading
        starts = its.lines("starts")
        assert len(starts) == len(set(starts)), "started twice"
        ran = {task for task, answer in answers.items() if answer == "running"}
        assert ran <= set(starts), "lost"
        await until(lambda: sorted(its.lines("ends")) == sorted(its.lines("starts")))
        for task in starts:
            await until(lambda task=task: its.record(task, "exit"))  # type: ignore[misc]
        await until_empty(its)
        reports = await snapshot(its)
        assert set(starts) <= set(reports)
        assert {reports[task].exit_code for task in starts} == {0}


async def test_after_a_boot_of_the_host_its_tasks_are_lost_and_never_started_again(tmp_path: Path) -> None:
    async with agent(tmp_path, boot="boot-1") as its:
        await its.offer("t1", START + "sleep 60")
        await until(lambda: its.lines("starts"))  # it runs before its shell has written
        os.killpg(its.pid("t1"), signal.SIGKILL)
        os.kill(its.pid("t1", "claim"), signal.SIGKILL)
        await its.kill()
        (its.state / "tasks" / "t1@0" / "claim.json").unlink()  # what was not on disk when the power went
        for path in (its.state / "tasks" / "t1@0").glob("exit.json"):
            path.unlink()
        await its.start(boot="boot-2", uptime_ms=500.0)
        report = (await snapshot(its))["t1"]
        assert (report.phase, report.cause, report.ran) == ("ended", "lost", True)
        assert its.lines("starts") == ["t1"]
        assert (await its.get("/v1/agent"))["warm"] < 0.5, "a host that has just come up is cold"


# ---- Supervisors ------------------------------------------------------------------------------------------


async def test_a_supervisor_that_is_killed_is_replaced_and_the_task_lives(tmp_path: Path) -> None:
    async with agent(tmp_path) as its:
        script = START + "while [ ! -e $OUT/go ]; do sleep 0.02; done; echo written; sleep 0.2; exit 3"
        await its.offer("t1", script)
        await its.until_lines("starts", 1)
        os.kill(its.pid("t1", "claim"), signal.SIGKILL)
        await until(lambda: its.record("t1", "watch-1"))
        assert (await snapshot(its))["t1"].phase == "running"
        os.kill(its.pid("t1", "watch-1"), signal.SIGKILL)
        await until(lambda: its.record("t1", "watch-2"))
        (its.out / "go").touch()
        await until(lambda: its.record("t1", "exit"))
        await until_told(its, "t1")
        report = (await snapshot(its))["t1"]
        assert (report.phase, report.exit_code, report.ran) == ("ended", None, True)
        assert "not known" in report.message and its.lines("starts") == ["t1"]
        assert (await its.call("GET", "/v1/logs?task=t1"))[1] == b"written\n"


async def test_a_task_whose_supervisor_died_is_stopped_with_all_of_its_session(tmp_path: Path) -> None:
    async with agent(tmp_path) as its:
        await its.offer("t1", "sleep 61 & echo $! > $OUT/child; trap '' TERM; while :; do sleep 0.05; done")
        (child,) = await its.until_lines("child", 1)
        await its.kill()
        os.kill(its.pid("t1", "claim"), signal.SIGKILL)
        await its.start()
        await until(lambda: its.record("t1", "watch-1"))
        assert await its.stop("t1") == "stopping"
        await until(lambda: its.record("t1", "exit"))
        assert is_gone(its.pid("t1")) and is_gone(int(child))
        assert not is_gone(os.getpid()) and not is_gone(1)


async def test_a_pid_that_was_given_out_again_is_not_the_task(tmp_path: Path) -> None:
    """The record of a process is changed to another that lives and has the pid: it is not the task."""
    async with agent(tmp_path) as its:
        await its.offer("t1", START + "sleep 60")
        await its.kill()
        claim, started = its.pid("t1", "claim"), its.pid("t1")
        os.kill(claim, signal.SIGKILL)
        os.killpg(started, signal.SIGKILL)
        await until(lambda: is_gone(claim) and is_gone(started))
        folder = its.state / "tasks" / "t1@0"
        for name in ("claim", "started"):
            record = its.record("t1", name)
            assert record is not None
            text = (folder / f"{name}.json").read_text()
            (folder / f"{name}.json").write_text(
                text.replace(f'"pid": {record["pid"]}', f'"pid": {os.getpid()}')
            )
        await its.start()
        report = (await snapshot(its))["t1"]
        assert (report.phase, report.ran, report.exit_code) == ("ended", True, None)
        assert not is_gone(os.getpid())


async def test_the_forkserver_is_replaced_and_starts_go_on(tmp_path: Path) -> None:
    async with agent(tmp_path) as its:
        await its.offer("t1", START + "sleep 60")
        stat = await asyncio.to_thread(_children, its.process.pid if its.process else 0)
        for pid in stat:
            os.kill(pid, signal.SIGKILL)
        assert kind(await its.offer("t2", START + "sleep 60")) in (
            ("running", ""),
            ("refused", "START_FAILED"),
        )
        assert kind(await its.offer("t3", START + "sleep 60")) == ("running", "")
        await until(lambda: "t3" in its.lines("starts"))  # the task itself writes it, once it has processor
        starts = its.lines("starts")
        assert len(starts) == len(set(starts))


def _children(pid: int) -> list[int]:
    from kelpfront.agent.process import all_stats

    return [stat.pid for stat in all_stats() if stat.parent_pid == pid]


# ---- State ------------------------------------------------------------------------------------------------


async def test_a_second_agent_on_the_same_state_says_so_and_ends(tmp_path: Path) -> None:
    async with agent(tmp_path) as its:
        await its.offer("t1")
        second = await its.launch()
        assert await asyncio.wait_for(second.wait(), 30) == 1
        assert "another agent has this state folder" in its.log.read_text()
        assert kind(await its.offer("t2")) == ("running", "")


@pytest.mark.parametrize("damage", ["torn", "flipped", "garbage", "empty"])
async def test_a_damaged_state_is_set_aside_and_what_runs_is_found(tmp_path: Path, damage: str) -> None:
    async with agent(tmp_path) as its:
        for number in range(30):
            await its.offer(f"t{number}", START + "sleep 60", effect="unsafe")
        await its.kill()
        path = its.state / "state.db"
        db = sqlite3.connect(path)
        db.execute("PRAGMA wal_checkpoint(TRUNCATE)")  # so that the file has the records
        db.close()
        for wal in its.state.glob("state.db-*"):
            wal.unlink()
        data = path.read_bytes()
        half = len(data) // 2
        path.write_bytes(
            {
                "torn": data[: half + 17],
                "flipped": data[:200] + bytes(b ^ 0xFF for b in data[200:half]) + data[half:],
                "garbage": os.urandom(len(data)),
                "empty": b"",
            }[damage]
        )
        kept = path.read_bytes()
        await its.start()
        reports = await snapshot(its)
        assert {report.phase for report in reports.values()} == {"running"} and len(reports) == 30
        assert kind(await its.offer("t1", START + "sleep 60", effect="unsafe")) == ("running", "")
        assert len(its.lines("starts")) == 30
        if damage != "empty":  # an empty file is a state without records, not a damaged one
            assert "damaged" in its.log.read_text()
            assert (its.state / "damaged" / "1" / "state.db").read_bytes() == kept, "nothing is deleted"


async def test_where_the_state_is_full_tasks_are_refused_and_those_that_run_go_on(tmp_path: Path) -> None:
    async with agent(tmp_path, overrides=("agent.state_size=64 KiB",)) as its:
        big = {"X": "y" * 3000}
        answers = []
        for number in range(30):
            run = command(f"OUT={its.out}; {START} sleep 60", env=big)
            answers.append(await its.offer(f"t{number}", run=run))
        refused = [answer for answer in answers if answer and answer.answer == "refused"]
        ran = [answer for answer in answers if answer and answer.answer == "running"]
        assert ran and refused and "full" in refused[0].message
        assert len(its.lines("starts")) == len(ran)
        first = answers.index(ran[0])
        assert await its.stop(f"t{first}") == "stopping"
        await until(lambda: its.record(f"t{first}", "exit"))
        await its.restart(overrides=("agent.state_size=64 KiB",))
        reports = await snapshot(its)
        assert sum(report.phase == "running" for report in reports.values()) == len(ran) - 1
        assert reports[f"t{first}"].phase == "ended"


async def test_a_state_of_a_later_version_is_left_alone(tmp_path: Path) -> None:
    async with agent(tmp_path) as its:
        await its.kill()
        db = sqlite3.connect(its.state / "state.db")
        db.execute("UPDATE meta SET value='99' WHERE name='format'")
        db.commit()
        db.close()
        process = await its.launch()
        assert await asyncio.wait_for(process.wait(), 30) == 1
        assert "written by a later version" in its.log.read_text()


async def test_old_folders_go_whole_and_a_record_that_is_none_is_passed_over(tmp_path: Path) -> None:
    few = ("tasks.kept=3",)
    async with agent(tmp_path, overrides=few) as its:
        for number in range(12):
            await its.offer(f"t{number}", "exit 0")
        tasks = its.state / "tasks"
        await until(lambda: len(list(tasks.iterdir())) <= 3 and not (its.state / "trash").exists())
        await its.kill()
        # A removal that was cut short, and a record that no task can have.
        (its.state / "trash" / "t0@0").mkdir(parents=True)
        db = sqlite3.connect(its.state / "state.db")
        wrong = """'"task":"t9'""", """'"task":"../t9'"""
        db.execute(f"UPDATE tasks SET offer = replace(CAST(offer AS TEXT), {wrong[0]}, {wrong[1]})")
        db.commit()
        db.close()
        await its.start(overrides=few)
        assert not (its.state / "trash").exists()
        assert "invalid task record ignored" in its.log.read_text()
        assert set(await snapshot(its)) == {"t9", "t10", "t11"}, "t9 by its folder"
        assert kind(await its.offer("new", START + "sleep 60")) == ("running", "")


async def test_tasks_that_ask_for_next_to_nothing_are_bounded_all_the_same(tmp_path: Path) -> None:
    async with agent(tmp_path, overrides=("tasks.most=5",)) as its:
        answers = [await its.offer(f"t{n}", cores=1e-6, memory=1e-6) for n in range(7)]
        assert [answer.answer for answer in answers if answer] == ["running"] * 5 + ["refused"] * 2
        assert answers[-1] is not None and "which is the most" in answers[-1].message


# ---- Clocks, cold hosts, drains, orphans ------------------------------------------------------------------


async def test_a_clock_that_steps_back_changes_nothing(tmp_path: Path) -> None:
    async with agent(tmp_path, wall_steps=(0.3, -3600.0)) as its:
        await its.offer("t1", START + "sleep 60")
        await asyncio.sleep(0.5)
        assert kind(await its.offer("t2", START + "sleep 60")) == ("running", "")
        before = await its.read_stream()
        await its.restart(wall_ahead_s=-7200.0)
        reports = await snapshot(its)
        assert {report.phase for report in reports.values()} == {"running"} and len(reports) == 2
        after = await its.read_stream()
        assert isinstance(before[0], Hello) and isinstance(after[0], Hello)
        assert after[0].next_seq > before[0].next_seq and after[0].boot == before[0].boot
        assert its.lines("starts") == ["t1", "t2"]


async def test_a_burst_right_after_coming_up_is_started_at_the_cold_pace(tmp_path: Path) -> None:
    cold = ("host.warm_from=agent", "host.cold_from=0.1", "host.cold_for=60 s", "starts.rate=100")
    async with agent(tmp_path, overrides=cold) as its:
        hello = (await its.read_stream())[0]
        assert isinstance(hello, Hello) and hello.age_ms < 30_000.0
        began = asyncio.get_running_loop().time()
        answers = await asyncio.gather(*(its.offer(f"t{n}", START + "sleep 60") for n in range(20)))
        took = asyncio.get_running_loop().time() - began
        assert {kind(answer) for answer in answers} == {("running", "")}
        # At a tenth of 100 a second, 20 starts take near 2 s; warm they would take 0.2 s.
        assert took > 1.0
        assert (await its.get("/v1/agent"))["warm"] < 0.3


async def test_drained_it_takes_nothing_sends_its_tasks_away_and_stays_so_over_a_restart(
    tmp_path: Path,
) -> None:
    async with agent(tmp_path, overrides=("drain.pace=50 ms",)) as its:
        for number in range(4):
            await its.offer(f"t{number}", START + "sleep 60")
        assert (await its.call("POST", "/v1/drain", b'{"on": true}'))[0] == 200
        assert kind(await its.offer("late")) == ("refused", "NOT_HERE")
        await its.restart(overrides=("drain.pace=50 ms",))
        assert (await its.get("/v1/agent"))["state"] == "draining"
        assert kind(await its.offer("later")) == ("refused", "NOT_HERE")
        await until_empty(its)
        reports = await snapshot(its)
        assert {report.cause for report in reports.values()} == {"sent-away"} and len(reports) == 4
        await its.call("POST", "/v1/drain", b'{"on": false}')
        assert kind(await its.offer("now")) == ("running", "")


async def test_tasks_of_a_placer_that_stays_away_are_stopped(tmp_path: Path) -> None:
    async with agent(tmp_path, overrides=("tasks.orphans=2 s",)) as its:
        await its.offer("left", START + "sleep 60", placer="gone")
        await its.offer("kept", START + "sleep 60", placer="p0")
        reading = asyncio.create_task(its.read_stream(seconds=20.0, placer="p0"))
        await until(lambda: its.record("left", "exit"))
        await until_told(its, "left")
        assert not is_gone(its.pid("kept"))
        reading.cancel()
        report = {
            r.offer.task: r
            for m in await its.read_stream(placer="gone")
            if isinstance(m, Snapshot)
            for r in m.tasks
        }["left"]
        assert (report.phase, report.cause) == ("ended", "lost")


async def test_reported_use_is_near_what_processes_count_themselves(tmp_path: Path) -> None:
    async with agent(tmp_path) as its:
        burn = (
            "import os, resource, sys, time\n"
            "t = os.times()\n"
            "while sum(os.times()[:2]) < 0.6:\n"
            "    if os.fork() == 0:\n"
            "        x = sum(range(300000)); os._exit(0)\n"
            "    os.wait()\n"
            "    x = sum(range(300000))\n"
            "u = os.times()\n"
            f"open('{its.out}/own', 'a').write(f'{{sum(u[:4])}}\\n')\n"
        )
        run = command("true").__class__((sys.executable, "-S", "-c", burn))
        await its.offer("t1", run=run)
        (own,) = await its.until_lines("own", 1)
        await until(lambda: its.record("t1", "exit"))
        await until_told(its, "t1")
        reported = (await snapshot(its))["t1"].cpu_s
        assert reported is not None and abs(reported - float(own)) <= 0.05 * float(own) + 0.03


async def test_the_command_line_serves_shows_drains_and_leaves_tasks_running(tmp_path: Path) -> None:
    its = Agent(tmp_path)
    serve = [sys.executable, "-m", "kelpfront", "agent", "serve", "-c", str(its.config)]

    async def cli(*args: str) -> tuple[int, str]:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "kelpfront",
            "agent",
            args[0],
            "-c",
            str(its.config),
            *args[1:],
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        out, _ = await asyncio.wait_for(process.communicate(), 30)
        return process.returncode or 0, out.decode()

    try:
        assert (await cli("status"))[0] == 5, "there is none yet"
        for life in range(2):
            its.process = await asyncio.create_subprocess_exec(
                *serve, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL
            )
            assert its.process.stdout is not None
            its.url = json.loads(await its.process.stdout.readline())["url"]
            if not life:
                assert kind(await its.offer("t1", START + "sleep 60")) == ("running", "")
            code, text = await cli("ps")
            assert code == 0 and "climate/job-t1" in text and "running" in text
            code, text = await cli("status", "--json")
            assert json.loads(text)["tasks"] == {"running": 1}
            its.process.terminate()
            assert await asyncio.wait_for(its.process.wait(), 30) == 0
        assert its.lines("starts") == ["t1"] and not is_gone(its.pid("t1"))
    finally:
        await its.end_all()


async def test_offers_that_wait_when_the_agent_ends_are_not_started_later(tmp_path: Path) -> None:
    async with agent(tmp_path, overrides=("starts.weigh=400 ms",)) as its:
        waiting = [asyncio.create_task(its.offer(f"t{n}", START + "sleep 60")) for n in range(5)]
        await asyncio.sleep(0.6)
        assert its.process is not None
        its.process.terminate()
        await its.gone()
        answers = await asyncio.gather(*waiting)
        ran = [answer for answer in answers if answer is not None and answer.answer == "running"]
        await its.start()
        await asyncio.sleep(0.5)
        assert len(its.lines("starts")) == len(ran) < 5
