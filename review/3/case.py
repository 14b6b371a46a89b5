"""Case 3: a placer restarted while the coordinator is silent offers tasks to a machine that drains."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from standins import Machine, Record, Stage, now_ms, play, settings, trouble

FOLDER = Path(__file__).resolve().parent
OUTAGE_MS = 8000.0
TOLD_AFTER_MS = 7000.0
SLACK_MS = 50.0
SAFE = 0


def make_stage(record: Record) -> Stage:
    """Return four machines in two cells."""
    return Stage(record, [Machine(record, f"m{n}", cell=1 + n // 2) for n in range(4)])


async def case(stage: Stage) -> bool:
    """Return whether the machine got nothing new later than the grace after the placer counts as told."""
    record, coordinator = stage.record, stage.coordinator
    for number in range(10):
        stage.owner.ask(SAFE, number, 5000.0)
        await asyncio.sleep(0.1)
    began = coordinator.fall_silent() if trouble() else now_ms()
    await stage.placer.kill()
    stage.owner.close()
    await stage.placer.start()
    await asyncio.sleep(1.0)
    draining = stage.machines[0]
    draining.phase = "Terminating"
    draining.drains_itself = True
    index = await coordinator.publish(draining.member())
    await stage.connect()
    number = 100
    while now_ms() < began + OUTAGE_MS + 1000.0:
        number += 1
        stage.owner.ask(SAFE, number, 5000.0)
        await asyncio.sleep(0.04)
        if coordinator.is_silent and now_ms() >= began + OUTAGE_MS:
            await coordinator.speak()
    await asyncio.sleep(1.0)
    told = coordinator.told[index]
    if trouble():
        told = min(told, began + TOLD_AFTER_MS)
    limit = told + settings()["Rules"]["DrainGraceMs"] + SLACK_MS
    late = [(at, call) for at, call, _ in draining.offers if at > limit]
    for at, call in late:
        record.add("check", "offered to a draining machine", call=call, after_told_ms=round(at - told, 1))
    record.add("check", "counted", offers_to_it=len(draining.offers), late=len(late))
    return not late


if __name__ == "__main__":
    sys.exit(play(case, make_stage, FOLDER / "record.txt"))
