"""Faults of the agent's state: locked, damaged, full, of a later version, or with invalid records."""

from __future__ import annotations

import asyncio
import os
import sqlite3
from pathlib import Path

import pytest
from agents import (
    START,
    answer_and_reason,
    command,
    read_snapshot,
    running_agent,
)
from waiting import until


async def test_a_second_agent_on_the_same_state_folder_exits_with_a_message(tmp_path: Path) -> None:
    async with running_agent(tmp_path) as agent:
        await agent.offer("t1")
        second = await agent.launch()
        assert await asyncio.wait_for(second.wait(), 30) == 1
        assert "another agent is using this state folder" in agent.log.read_text()
        assert answer_and_reason(await agent.offer("t2")) == ("running", "")


@pytest.mark.parametrize("damage", ["torn", "flipped", "garbage", "empty"])
async def test_a_damaged_state_is_quarantined_and_running_tasks_are_found(
    tmp_path: Path, damage: str
) -> None:
    async with running_agent(tmp_path) as agent:
        for number in range(30):
            await agent.offer(f"t{number}", START + "sleep 60", effect="unsafe")
        await agent.kill()
        path = agent.state / "state.db"
        db = sqlite3.connect(path)
        db.execute("PRAGMA wal_checkpoint(TRUNCATE)")  # so that the file itself contains the records
        db.close()
        for wal in agent.state.glob("state.db-*"):
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
        damaged = path.read_bytes()
        await agent.start()
        reports = await read_snapshot(agent)
        assert {report.phase for report in reports.values()} == {"running"}
        assert len(reports) == 30
        assert answer_and_reason(await agent.offer("t1", START + "sleep 60", effect="unsafe")) == (
            "running",
            "",
        )
        assert len(agent.lines("starts")) == 30
        if damage != "empty":  # an empty file is a state without records, not a damaged one
            assert "damaged" in agent.log.read_text()
            assert (agent.state / "damaged" / "1" / "state.db").read_bytes() == damaged, "the file is kept"


async def test_when_the_state_is_full_offers_are_refused_and_running_tasks_continue(tmp_path: Path) -> None:
    async with running_agent(tmp_path, overrides=("agent.state_size=64 KiB",)) as agent:
        large_environment = {"X": "y" * 3000}
        answers = []
        for number in range(30):
            run = command(f"OUT={agent.out}; {START} sleep 60", env=large_environment)
            answers.append(await agent.offer(f"t{number}", run=run))
        refused = [answer for answer in answers if answer and answer.answer == "refused"]
        ran = [answer for answer in answers if answer and answer.answer == "running"]
        assert ran
        assert refused
        assert "full" in refused[0].message
        assert len(agent.lines("starts")) == len(ran)
        first = answers.index(ran[0])
        assert await agent.stop(f"t{first}") == "stopping"
        await until(lambda: agent.record(f"t{first}", "exit"))
        await agent.restart(overrides=("agent.state_size=64 KiB",))
        reports = await read_snapshot(agent)
        assert sum(report.phase == "running" for report in reports.values()) == len(ran) - 1
        assert reports[f"t{first}"].phase == "ended"


async def test_an_agent_does_not_start_with_a_state_of_a_later_version(tmp_path: Path) -> None:
    async with running_agent(tmp_path) as agent:
        await agent.kill()
        db = sqlite3.connect(agent.state / "state.db")
        db.execute("UPDATE meta SET value='99' WHERE name='format'")
        db.commit()
        db.close()
        process = await agent.launch()
        assert await asyncio.wait_for(process.wait(), 30) == 1
        assert "written by a later version" in agent.log.read_text()


async def test_expired_folders_are_removed_and_an_invalid_record_is_ignored(tmp_path: Path) -> None:
    overrides = ("tasks.kept=3",)
    async with running_agent(tmp_path, overrides=overrides) as agent:
        for number in range(12):
            await agent.offer(f"t{number}", "exit 0")
        tasks = agent.state / "tasks"
        await until(lambda: len(list(tasks.iterdir())) <= 3 and not (agent.state / "trash").exists())
        await agent.kill()
        # An interrupted removal, and a record with an invalid uid.
        (agent.state / "trash" / "t0@0").mkdir(parents=True)
        db = sqlite3.connect(agent.state / "state.db")
        uids = """'"task":"t9'""", """'"task":"../t9'"""
        db.execute(f"UPDATE tasks SET offer = replace(CAST(offer AS TEXT), {uids[0]}, {uids[1]})")
        db.commit()
        db.close()
        await agent.start(overrides=overrides)
        assert not (agent.state / "trash").exists()
        assert "invalid task record ignored" in agent.log.read_text()
        assert set(await read_snapshot(agent)) == {"t9", "t10", "t11"}, "t9 is adopted from its folder"
        assert answer_and_reason(await agent.offer("new", START + "sleep 60")) == ("running", "")


async def test_the_number_of_tasks_is_limited_even_if_they_request_almost_no_capacity(tmp_path: Path) -> None:
    async with running_agent(tmp_path, overrides=("tasks.most=5",)) as agent:
        answers = [await agent.offer(f"t{n}", cores=1e-6, memory=1e-6) for n in range(7)]
        assert [answer.answer for answer in answers if answer] == ["running"] * 5 + ["refused"] * 2
        assert answers[-1] is not None
        assert "which is the most" in answers[-1].message
