"""Tests of machines and placers killed right after an acceptance, as in docs/design/platform.md."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from placers import ready
from platforms import Placer, PlacerFixture, expect_ops, raw_config
from waiting import until

from kelpfront.lab.fleet.lists import ListService
from kelpfront.lab.fleet.ports import free_port
from kelpfront.lab.fleet.processes import PlacerProcess, bounded
from kelpfront.lab.fleet.settings import config_json
from kelpfront.lab.platform import CALL, Machine, event, line, member, offer

CLASSES = pytest.mark.parametrize("cls", ["easy", "keyed", "once"])
END_REPORT_LIMIT_S = 8.0  # within which the end of an accepted task has to be reported
QUIET_PERIOD_S = 0.5  # time in which nothing further may arrive

# A machine that accepts the first offer and is killed before it reads another byte or closes a connection.
MACHINE_KILLED_AFTER_ACCEPT = """
import asyncio, os, signal
from kelpfront.lab.platform import Machine, accepts, line

async def script(machine, peer, message):
    if message["op"] != "offer":
        await accepts(machine, peer, message)
        return
    os.write(peer.writer.get_extra_info("socket").fileno(), line("accept", message["call"], desc="here"))
    os.kill(os.getpid(), signal.SIGKILL)

async def main():
    machine = Machine("m-1", script)
    await machine.start()
    print(machine.address, flush=True)
    await asyncio.sleep(600)

asyncio.run(main())
"""


@pytest.fixture
async def stage(tmp_path: Path) -> AsyncIterator[PlacerFixture]:
    new_stage = PlacerFixture(tmp_path)
    yield new_stage
    await new_stage.stop()


@CLASSES
async def test_the_task_of_a_machine_killed_right_after_its_acceptance_is_reported_as_ended(
    stage: PlacerFixture, cls: str
) -> None:
    """With a machine process. Its task ends with it; the client is notified once, and no retry follows."""
    process = await asyncio.create_subprocess_exec(
        *bounded(512, 0, "-c", MACHINE_KILLED_AFTER_ACCEPT), stdout=asyncio.subprocess.PIPE
    )
    assert process.stdout is not None
    address = (await process.stdout.readline()).decode().strip()
    await stage.coordinator.start()
    raw = raw_config(member("m-1", address), coordinator=stage.coordinator.address)
    placer = stage.placer = Placer(stage.path / "config.json", raw)
    await placer.start()
    client = await placer.client()
    client.say(offer(cls=cls, left="2000"))
    (accepted,) = await expect_ops(client, "accept")
    assert accepted["desc"] == "here"
    await process.wait()
    killed_at = time.monotonic()
    (ended,) = await expect_ops(client, "end")
    assert ended["why"] == 41
    assert time.monotonic() - killed_at < END_REPORT_LIMIT_S
    other = Machine("m-2")
    await other.start()
    stage.machines["m-2"] = other
    stage.coordinator.events.append(event(2, member("m-2", other.address)))
    await until(lambda: placer.core.endpoints.index == 2)
    await asyncio.sleep(QUIET_PERIOD_S)
    assert other.offers() == []
    assert not placer.core.requests
    assert placer.core.counters.tasks_lost == 1


@CLASSES
@pytest.mark.parametrize("successor", ["its next life", "another placer"])
async def test_a_placer_killed_right_after_an_acceptance_leaves_a_task_that_is_adopted(
    tmp_path: Path, cls: str, successor: str
) -> None:
    """With two placer processes. The placer that adopts the task receives its end, and no retry follows."""
    machine, service = Machine("m-1"), ListService()
    await machine.start()
    whole = event(1, member("m-1", machine.address), whole=True)
    service.updates = [whole]
    await service.start()
    placers = []
    for number in range(2):
        addresses = f"127.0.0.1:{free_port()}", f"127.0.0.1:{service.port}"
        config = config_json(number, 2, *addresses, {"index": 1, "updates": [whole]})
        placers.append(PlacerProcess(f"p{number}", config, tmp_path))
    first, other = placers
    try:
        for placer in placers:
            await placer.start()
        client = await ready(first)
        client.say(offer(cls=cls))
        await expect_ops(client, "accept")
        await first.kill()
        assert await client.read() is None
        if successor == "its next life":
            await first.start()
            other = first
        client = await ready(other)
        opened = machine.opened
        client.say(offer(cls=cls, left="4294967", extras="cores:1;memory:2;service:b4;at:m-1"))
        await until(lambda: machine.opened > opened)  # to receive the end of the task
        await asyncio.sleep(QUIET_PERIOD_S)
        assert len(machine.offers()) == 1
        machine.peers[-1].say(line("end", CALL, why=16))
        (ended,) = await expect_ops(client, "end")
        assert (ended["call"], ended["why"]) == (CALL, 16)
        client.say(line("test", "00000000000000f0", why=0))
        await expect_ops(client, "tested")  # no second end precedes it
        assert other.alive
    finally:
        for placer in placers:
            await placer.kill()
        await service.stop()
        machine.die()
