"""Five bad clients send 700 requests each at once, beside a usual one. The placer goes over its memory limit.

The case plays the platform: it kills a placer that goes over `memory_mb`. What the usual client has asked by
then gets no answer.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
import time
from pathlib import Path

from standins2 import HOST, Owner, Stage, list_event, run_case

BAD_CLIENTS = 5
REQUESTS = 700  # of each: "hundreds of requests at once"
MOST_BYTES = 16 << 10  # "a message holds at most 16 KiB"
MEMORY_MB = 192  # "no more than 192 MB"
WEIGH_MS = 20.0
FLOOD_AT_S = 1.0
LENGTH_S = 14.0
ASK_EVERY_S = 0.1


def bad_request(client: int, number: int) -> bytes:
    """Return a request as large as a message may be, with a description that no machine can use."""
    fields = {"class": "safe", "left": "5000", "key": f"{client:08x}{number:08x}"}
    fields["extras"] = f"cores:1;memory:2;service:{client + 1:016x}"
    call = f"bad{client:05x}{number:08x}"
    head = {"op": "offer", "call": call, "with": fields, "desc": "\N{GRINNING FACE}"}
    padding = MOST_BYTES - len(json.dumps(head, ensure_ascii=False).encode()) - 1
    head["desc"] = "\N{GRINNING FACE}" + "x" * padding
    return json.dumps(head, ensure_ascii=False).encode() + b"\n"


async def flood(stage: Stage, port: int, client: int) -> None:
    """Play a bad client: it sends at full speed and reads whatever it is sent."""
    name = f"bad client {client}"
    data = b"".join(bad_request(client, number) for number in range(REQUESTS))
    told: dict[str, int] = {}
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(data)
        stage.record.add(name, "sends requests", count=REQUESTS, bytes=len(data))
        while raw := await reader.readline():
            message = json.loads(raw)
            word = f"{message['op']} {message.get('why', '')}"
            told[word] = told.get(word, 0) + 1
    stage.record.add(name, "its connection has ended", told=told)


async def play(stage: Stage) -> list[str]:
    """Play the case; return the breaches of the rule."""
    machines = [await stage.machine(f"s-{number}", "abc"[number], number, WEIGH_MS) for number in range(3)]
    events = [list_event(1, *(machine.entry() for machine in machines), whole=True)]
    coordinator = await stage.coordinator("coordinator", events)
    placer = await stage.placer(coordinator, limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024})
    owner = Owner(stage, placer.port)
    began_at = time.monotonic()
    stage.record.add("platform", "memory", mb=round(placer.memory_mb()))
    number, peak, flooded, broken = 0, 0.0, False, []
    while time.monotonic() < began_at + LENGTH_S and not broken:
        if stage.trouble and not flooded and time.monotonic() > began_at + FLOOD_AT_S:
            flooded = True
            for client in range(BAD_CLIENTS):
                stage.spawn(flood(stage, placer.port, client))
        if number < 100:
            await owner.ask(number, "safe", 0x9000 + number % 20, 5000)
            number += 1
        await asyncio.sleep(ASK_EVERY_S)
        used = placer.memory_mb()
        if used > peak + 10:
            stage.record.add("platform", "memory", mb=round(used))
        peak = max(peak, used)
        if peak > MEMORY_MB:
            broken.append(
                f"crash: {peak:.0f} MB used, {MEMORY_MB} MB allowed; the placer is killed for memory"
            )
            await placer.kill()
    await asyncio.sleep(0.5)
    unanswered = [call for call in owner.left_at if call not in owner.answers]
    stage.record.add("platform", "peak of memory", mb=round(peak))
    stage.record.add(owner.name, "has no answer to", count=len(unanswered))
    return broken


if __name__ == "__main__":
    sys.exit(run_case(play, Path(sys.argv[1])))  # record.txt of this folder
