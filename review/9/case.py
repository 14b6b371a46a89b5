"""The coordinator is silent for long, and a machine begins to drain meanwhile.

What the coordinator would have told counts as told 7 s after its silence began. The placer holds its offers
back for 3 s from then on, and afterwards sends work to the machine that drains.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from standins2 import SLACK_S, Owner, Stage, list_event, run_case

COUNTS_AS_TOLD_S = 7.0  # "no later than 7 s after that began"
GRACE_S = 0.5  # DrainGraceMs of the settings
MACHINES = 9  # of which one drains
SILENT_S = 13.0
DRAINS_AFTER_S = 1.0
ASKS_FOR_S = 12.5
ASK_EVERY_S = 1 / 18  # the site's new tasks


async def play(stage: Stage) -> list[str]:
    """Play the case; return the breaches of the rule."""
    machines = [
        await stage.machine(f"s-{number:08x}", "abc"[number % 3], number // 3) for number in range(MACHINES)
    ]
    first = machines[0]
    events = [list_event(1, *(machine.entry() for machine in machines), whole=True)]
    coordinator = await stage.coordinator("coordinator", events)
    placer = await stage.placer(coordinator)
    owner = Owner(stage, placer.port)
    await asyncio.sleep(1.0)
    began_at = time.time()
    coordinator.mute = stage.trouble
    stage.record.add("coordinator", "falls silent" if stage.trouble else "goes on")
    told_at = 0.0
    number = 0
    while time.time() < began_at + ASKS_FOR_S:
        if not told_at and time.time() >= began_at + DRAINS_AFTER_S:
            told_at = stage.begin_drain(coordinator, first)
        await owner.ask(number, "safe", 0x1000 + number, 5000)
        number += 1
        await asyncio.sleep(ASK_EVERY_S)
    await asyncio.sleep(max(0.0, began_at + SILENT_S - time.time()))
    coordinator.mute = False
    stage.record.add("coordinator", "answers again")
    await asyncio.sleep(2.0)
    if stage.trouble:
        told_at = max(told_at, began_at + COUNTS_AS_TOLD_S)
    limit = told_at + GRACE_S + SLACK_S
    late = [event for event in stage.record.of(first.name, "offered") if event["at"] > limit]
    return [
        f"drain: {e['call']} sent {e['at'] - told_at:.2f} s after the drain counted as told" for e in late
    ]


if __name__ == "__main__":
    sys.exit(run_case(play, Path(sys.argv[1])))  # record.txt of this folder
