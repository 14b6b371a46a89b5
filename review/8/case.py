"""One of five machines falls silent for 6 s. Its tasks are given up, though they stand, and no longer count.

Nothing was heard of the machine for 2.5 s before it fell silent, as nothing about its tasks had changed.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

from standins2 import CouldNotRunError, Owner, Stage, crowded_racks, list_event, run_case, until

SERVICE = 0xB4D65521
QUIET_S = 2.5  # from the last word of the machine until it falls silent
SILENT_S = 6.0  # "for 6 s ... a fifth of the machines fall silent"
MOST = 3  # of a service in one rack
LATE_TASKS = 4


async def play(stage: Stage) -> list[str]:
    """Play the case; return the breaches of the rule."""
    # The first is the only one of its zone, so a fifth of the machines and a zone are one and the same.
    machines = [
        await stage.machine(f"s-{number:08x}", zone, number) for number, zone in enumerate("baacc", start=1)
    ]
    events = [list_event(1, *(machine.entry() for machine in machines), whole=True)]
    coordinator = await stage.coordinator("coordinator", events)
    placer = await stage.placer(coordinator)
    owner = Owner(stage, placer.port)
    calls = [await owner.ask(number, "keyed", SERVICE, 5000) for number in range(len(machines) * MOST)]
    await until(lambda: all(call in owner.answers for call in calls), "the first tasks are answered")
    if any(owner.answers[call]["op"] != "accept" for call in calls):
        raise CouldNotRunError("the first tasks were not all placed")
    await asyncio.sleep(QUIET_S)
    silent = machines[0]
    if stage.trouble:
        silent.signal(signal.SIGSTOP)
    await asyncio.sleep(SILENT_S)
    if stage.trouble:
        silent.signal(signal.SIGCONT)
    await asyncio.sleep(0.2)
    late = [await owner.ask(100 + number, "keyed", SERVICE, 5000) for number in range(LATE_TASKS)]
    await until(lambda: all(call in owner.answers for call in late), "the late tasks are answered")
    await asyncio.sleep(0.3)
    return crowded_racks(stage, machines, MOST)


if __name__ == "__main__":
    sys.exit(run_case(play, Path(sys.argv[1])))  # record.txt of this folder
