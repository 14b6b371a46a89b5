"""Case 2: a machine hangs for a moment, and owners are never told of the ends of tasks that it held."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from standins import Asked, CouldNotRunError, Machine, Record, Stage, now_ms, play, trouble

FOLDER = Path(__file__).resolve().parent
MACHINES = 20
TASKS = 60
MIN_CONNECTIONS = 2
SAFE = 0
HANG_S = 1.5
SHORT_MS = 1000.0
RELEASE_MS = 8000.0
SLACK_MS = 50.0


def make_stage(record: Record) -> Stage:
    """Return twenty machines in ten cells; a task takes 0.1 s to start."""
    machines = [Machine(record, f"m{n}", cell=1 + n // 2) for n in range(MACHINES)]
    for machine in machines:
        machine.start_ms = 100.0
    return Stage(record, machines)


async def place(stage: Stage) -> list[Asked]:
    """Place tasks, each of a service of its own."""
    asked = [stage.owner.ask(SAFE, 1 + number, 5000.0) for number in range(TASKS)]
    await asyncio.sleep(2.0)
    if not all(one.stands for one in asked):
        raise CouldNotRunError("not all tasks were placed")
    return asked


async def hang(stage: Stage, machine: Machine, asked: list[Asked]) -> None:
    """Let the machine hang while its tasks end, and ask for one more task of a service that it runs."""
    tasks = list(machine.tasks)
    service = next(one.service for one in asked if one.call == tasks[-1])
    if trouble():
        machine.hang()
    one_more = stage.owner.ask(SAFE, service, SHORT_MS)
    await asyncio.sleep(HANG_S / 2)
    for call in tasks:
        machine.end_task(call)
    await asyncio.sleep(HANG_S / 2)
    if trouble():
        machine.run_on()
    await asyncio.sleep(0.1)
    if one_more.call not in [call for _, call, _ in machine.offers]:
        raise CouldNotRunError("the machine was offered nothing meanwhile")


async def case(stage: Stage) -> bool:
    """Return whether the end of each task was told to its owner within the time that the pages set."""
    asked = await place(stage)
    machine = max(stage.machines, key=lambda machine: machine.connection_count)
    if machine.connection_count < MIN_CONNECTIONS:
        raise CouldNotRunError("too few connections were opened")
    await hang(stage, machine, asked)
    until = now_ms() + RELEASE_MS + 4000.0
    number = 1000
    while now_ms() < until:
        number += 1
        stage.owner.ask(SAFE, number, 5000.0)
        await asyncio.sleep(0.5)
    lost = []
    for one in asked:
        released = [at for at, op, _ in one.answers if op == "end"]
        ended = machine.ends.get(one.call)
        if ended is not None and not any(at <= ended + RELEASE_MS + SLACK_MS for at in released):
            lost.append(one)
            stage.record.add("check", "the end was not told", call=one.call, told=bool(released))
    stage.record.add("check", "counted", ended=len(machine.ends), lost=len(lost))
    return not lost


if __name__ == "__main__":
    sys.exit(play(case, make_stage, FOLDER / "record.txt"))
