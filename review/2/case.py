"""Case 2: a machine forgets idle connections, and owners are told that its tasks are over."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from standins import CouldNotRunError, Machine, Record, Stage, play, trouble

FOLDER = Path(__file__).resolve().parent
MACHINES = 8
TASKS = 48
MIN_CONNECTIONS = 4
IDLE_MS = 1000.0
WATCHED_S = 12.0


def make_stage(record: Record) -> Stage:
    """Return eight machines in four cells; a task takes 0.1 s to start."""
    machines = [Machine(record, f"m{n}", cell=1 + n // 2) for n in range(MACHINES)]
    for machine in machines:
        machine.start_ms = 100.0
    return Stage(record, machines)


async def case(stage: Stage) -> bool:
    """Return whether no owner was told that a task is over which runs on."""
    asked = [stage.owner.ask(n % 3, 1 + n // 3, 5000.0) for n in range(TASKS)]
    await asyncio.sleep(2.0)
    if sum(one.stands for one in asked) < TASKS // 2:
        raise CouldNotRunError("too few tasks were placed")
    forgetful = max(stage.machines, key=lambda machine: machine.connection_count)
    if forgetful.connection_count < MIN_CONNECTIONS:
        raise CouldNotRunError("too few connections were opened")
    await asyncio.sleep(1.0)
    if trouble():
        forgetful.forget_idle(IDLE_MS)
    await asyncio.sleep(WATCHED_S)
    running = stage.running()
    wrong = [one for one in asked if one.call in running and one.is_over]
    for one in wrong:
        name = running[one.call].name
        times = [(stage.record.since_start(at), op, why) for at, op, why in one.answers]
        stage.record.add("check", "told over, but runs", call=one.call, machine=name, answers=times)
    stage.record.add("check", "counted", placed=len(running), on_it=len(forgetful.tasks), wrong=len(wrong))
    return not wrong


if __name__ == "__main__":
    sys.exit(play(case, make_stage, FOLDER))
