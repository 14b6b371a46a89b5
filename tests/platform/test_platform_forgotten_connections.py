"""Tests that a machine which forgets its idle connections does not count as lost."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from core_stage import CoreFixture
from platforms import PlacerFixture, expect_ops
from waiting import until

from kelpfront.lab.platform import CALL, Json, Machine, Peer, accepts, line, member, offer
from kelpfront.platform.intents import HEALTH_CHECK_ATTEMPT, AbandonAttempt, AttemptKey, SendHealthCheck
from kelpfront.platform.messages import decode, machine_id
from kelpfront.scheduling import health_checks
from kelpfront.scheduling.actions import CheckHealth
from kelpfront.scheduling.events import AttemptOutcome

TASKS = 6
CHECKS = 5


class ForgetfulMachine(Machine):
    """Forgets connections that were idle for a while, and answers what comes on them by a reset."""

    def __init__(self, name: str, idle_s: float) -> None:
        super().__init__(name)
        self.script = self._answer
        self.idle_s = idle_s
        self.used_at: dict[asyncio.StreamReader, float] = {}
        self.reset_count = 0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.used_at[reader] = asyncio.get_running_loop().time()
        await super()._serve(reader, writer)

    async def _answer(self, machine: Machine, peer: Peer, message: Json) -> None:
        now = asyncio.get_running_loop().time()
        if now < self.used_at[peer.reader] + self.idle_s:
            self.used_at[peer.reader] = now
            await accepts(machine, peer, message)
            return
        self.reset_count += 1
        sock = peer.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        peer.cut()


@pytest.fixture
async def stage(tmp_path: Path) -> AsyncIterator[PlacerFixture]:
    made = PlacerFixture(tmp_path)
    yield made
    await made.stop()


async def test_a_machine_that_forgets_its_idle_connections_is_not_lost(
    stage: PlacerFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against resets of old connections that count as silence of the machine."""
    monkeypatch.setattr(health_checks, "MACHINE_LOST_AFTER_MS", 2_500.0)
    machine = ForgetfulMachine("m-1", idle_s=0.3)
    placer = await stage.start(machine)
    client = await placer.client()
    client.say(line("test", "00000000000000f0", why=0))
    await expect_ops(client, "tested")
    for number in range(TASKS):
        placer.core.on_client_message(placer.now(), 1, decode(offer(f"{number:016x}")))
    placer.core.submit_arrivals(placer.now())
    placer.service._runner.flush()
    await expect_ops(client, *["accept"] * TASKS)
    assert len(machine.peers) == TASKS
    await until(lambda: placer.core.counters.health_checks > CHECKS)
    assert machine.reset_count
    assert placer.core.counters.tasks_lost == 0
    client.say(line("test", "00000000000000f0", why=0))
    await expect_ops(client, "tested")  # and the end of no task before it


def test_a_health_check_is_repeated_once_on_a_new_connection() -> None:
    """Guards against an endless series of connections to a machine that resets each."""
    core = CoreFixture(member("m-1"))
    core.core.carry_out(core.now, CheckHealth(machine_id("m-1"), 600.0))
    core.collect_intents()
    (check,) = core.intents_of(SendHealthCheck)
    assert not check.on_new_connection
    key = AttemptKey(check.check_id, HEALTH_CHECK_ATTEMPT)
    for _ in range(2):
        core.core.on_attempt_failed(core.now, key, AttemptOutcome.RESET)
        core.collect_intents()
    _, repeated = core.intents_of(SendHealthCheck)
    assert repeated.on_new_connection
    assert len(core.core.health_checks) == 1
    assert not core.intents_of(AbandonAttempt)
    core.advance(600.0)
    assert [intent.key for intent in core.intents_of(AbandonAttempt)] == [key]


async def test_a_process_that_dies_is_still_found_dead(stage: PlacerFixture) -> None:
    """Guards against a machine that counts as alive although it refuses new connections."""
    placer = await stage.start(Machine("m-1"))
    client = await placer.client()
    client.say(offer())
    await expect_ops(client, "accept")
    stage.machines["m-1"].die()
    (ended,) = await expect_ops(client, "end")
    assert (ended["call"], ended["why"]) == (CALL, 41)
    assert placer.core.counters.tasks_lost == 1
