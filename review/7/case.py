"""A machine was lost for 5 s and is back; what it has taken since is dropped as the list tells of its start.

The machine takes three keyed tasks of a service after its new start. The list tells of that start 2.4 s after
it. From then on the placer must still count those three tasks, since nobody has told it that they ended.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

from standins2 import CouldNotRunError, Owner, Stage, crowded_racks, list_event, run_case, until

SERVICE = 0xB4D65521
LOST_S = 5.0  # "a zone is lost for 5 s"
TOLD_AFTER_S = 2.4  # the site's add_s: 1.2 to 2.5
MOST = 3  # of a service in one rack
LATE_TASKS = 4


async def play(stage: Stage) -> list[str]:
    """Play the case; return the breaches of the rule."""
    first = await stage.machine("s-00000001", "b", 1)  # the only one of its zone; the placer is in zone a
    others = [await stage.machine("s-00000002", "a", 2), await stage.machine("s-00000003", "c", 3)]
    machines = [first, *others]
    events = [list_event(1, *(machine.entry() for machine in machines), whole=True)]
    coordinator = await stage.coordinator("coordinator", events)
    placer = await stage.placer(coordinator)
    owner = Owner(stage, placer.port)
    await asyncio.sleep(1.0)
    if stage.trouble:
        first.signal(signal.SIGSTOP)
        await asyncio.sleep(LOST_S)
        await first.kill()
        await first.start()
        first.started_ms = int(stage.record.of(first.name, "up")[-1]["at"] * 1000)
    calls = [await owner.ask(number, "keyed", SERVICE, 5000) for number in range(len(machines) * MOST)]
    await until(lambda: all(call in owner.answers for call in calls), "the first tasks are answered")
    if sum(owner.answers[call]["op"] == "accept" for call in calls) < len(calls):
        raise CouldNotRunError("the first tasks were not all placed")
    await asyncio.sleep(TOLD_AFTER_S)
    if stage.trouble:
        coordinator.tell(first.entry())
    await asyncio.sleep(1.0)
    late = [await owner.ask(100 + number, "keyed", SERVICE, 5000) for number in range(LATE_TASKS)]
    await until(lambda: all(call in owner.answers for call in late), "the late tasks are answered")
    await asyncio.sleep(0.3)
    return crowded_racks(stage, machines, MOST)


if __name__ == "__main__":
    sys.exit(run_case(play, Path(sys.argv[1])))  # record.txt of this folder
