"""Tests that the end of a task is told although the connection that carried it was closed."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest
from platforms import PlacerFixture, expect_ops
from waiting import until

from kelpfront.lab.platform import CALL, Json, Machine, Peer, accepts, line, offer
from kelpfront.platform import connection_pool, reconnector
from kelpfront.platform.messages import decode, machine_id
from kelpfront.platform.report_recovery import ReportRecovery

SECOND = "00000000000000a2"
UNANSWERED = "00000000000000a3"
CONNECT_S = 0.3  # in which a new connection is opened and accepted


class HangingMachine(Machine):
    """Releases tasks as the protocol says, and can hang: it then neither reads nor takes connections.

    A release goes out on the connection of the task's offer, and again on the next one that is opened.
    """

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.script = self._answer
        self.offered_on: dict[str, Peer] = {}
        self.releases: list[bytes] = []
        self.is_running = asyncio.Event()
        self.is_running.set()

    async def _answer(self, machine: Machine, peer: Peer, message: Json) -> None:
        if message["op"] == "offer":
            self.offered_on[message["call"]] = peer
        await accepts(machine, peer, message)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self.is_running.wait()
        for release in self.releases:
            writer.write(release)
        self.releases.clear()
        await super()._serve(reader, writer)

    def hang(self, *, takes_connections: bool = False) -> None:
        """Stop reading, and taking connections unless told otherwise."""
        if not takes_connections:
            self.is_running.clear()
        for peer in self.peers:
            peer.reader._transport.pause_reading()  # type: ignore[attr-defined]

    def run_on(self) -> None:
        """Go on."""
        self.is_running.set()
        for peer in list(self.peers):
            peer.reader._transport.resume_reading()  # type: ignore[attr-defined]

    def release(self, call: str) -> None:
        """Send the end of a task, without regard to whether its connection was closed meanwhile."""
        data = line("end", call, why=16)
        self.offered_on[call].say(data)
        self.releases.append(data)


@pytest.fixture
async def stage(tmp_path: Path) -> AsyncIterator[PlacerFixture]:
    made = PlacerFixture(tmp_path)
    yield made
    await made.stop()


def connections(stage: PlacerFixture) -> list[Any]:
    return list(stage.running.service.machines.pools[machine_id("m-1")].connections)


async def place_on_two_connections(stage: PlacerFixture) -> Peer:
    """Place two tasks that are offered at the same time; return their client."""
    placer = stage.running
    client = await placer.client()
    client.say(line("test", "00000000000000f0", why=0))
    await expect_ops(client, "tested")
    for call in (CALL, SECOND):
        placer.core.on_client_message(placer.now(), 1, decode(offer(call)))
    placer.core.submit_arrivals(placer.now())
    placer.service._runner.flush()
    await expect_ops(client, "accept", "accept")
    assert len(connections(stage)) == 2
    return client


async def test_an_end_written_to_a_closed_connection_is_told_beside_an_open_one(
    stage: PlacerFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an end that is lost with a closed connection and never repeated, as none is opened."""
    monkeypatch.setattr(connection_pool, "DRAIN_TIMEOUT_S", 0.0)  # the machine hangs for longer
    machine = HangingMachine("m-1")
    await stage.start(machine)
    client = await place_on_two_connections(stage)
    before = connections(stage)
    machine.hang()
    other = await stage.running.client()
    other.say(offer(UNANSWERED, left="400"))
    await until(lambda: not set(before) <= set(connections(stage)))
    await until(lambda: stage.running.core.counters.report_losses == 1)
    for call in (CALL, SECOND):
        machine.release(call)
    machine.run_on()
    ends = await expect_ops(client, "end", "end")
    assert {end["call"] for end in ends} == {CALL, SECOND}


async def test_an_end_written_after_its_connection_was_replaced_is_told(stage: PlacerFixture) -> None:
    """Guards against an end on a closed connection from a machine that accepts the next one before that."""
    machine = HangingMachine("m-1")
    await stage.start(machine)
    client = await place_on_two_connections(stage)
    before = connections(stage)
    machine.hang(takes_connections=True)
    other = await stage.running.client()
    other.say(offer(UNANSWERED))
    await expect_ops(other, "accept")  # the machine takes new connections
    assert not set(before) <= set(connections(stage))
    await asyncio.sleep(CONNECT_S)
    opened = machine.opened
    for call in (CALL, SECOND):
        machine.release(call)
    machine.run_on()
    ends = await expect_ops(client, "end", "end")
    assert {end["call"] for end in ends} == {CALL, SECOND}
    assert machine.opened == opened


@pytest.mark.parametrize("resets", [False, True], ids=["closes", "resets"])
async def test_a_connection_closed_as_idle_is_not_replaced(
    stage: PlacerFixture,
    resets: bool,  # noqa: FBT001 - set by the table
) -> None:
    """Guards against a new connection for each idle one, which becomes idle too, as long as tasks run."""
    machine = HangingMachine("m-1")
    await stage.start(machine)
    client = await place_on_two_connections(stage)
    for peer in machine.peers if resets else []:
        sock = peer.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    pool = stage.running.service.machines.pools[machine_id("m-1")]
    pool._max_idle_s = 0.0
    pool.sweep()
    assert len(pool.connections) == 1
    await until(lambda: not pool.draining)
    await asyncio.sleep(CONNECT_S)
    assert machine.opened == 2
    assert stage.running.core.counters.report_losses == 0
    machine.peers[0].say(line("end", CALL, why=16))
    await expect_ops(client, "end")


async def test_a_half_closed_connection_is_not_kept_for_ever(
    stage: PlacerFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a descriptor that a machine holds by never closing its side."""
    monkeypatch.setattr(connection_pool, "DRAIN_TIMEOUT_S", 0.2)
    machine = HangingMachine("m-1")
    await stage.start(machine)
    client = await place_on_two_connections(stage)
    machine.hang(takes_connections=True)
    client.say(offer(UNANSWERED, left="400"))
    pool = stage.running.service.machines.pools[machine_id("m-1")]
    await until(lambda: pool.draining)
    await until(lambda: not pool.draining)
    await until(lambda: machine.opened > 2)  # a new one for the reports that may be lost
    assert stage.running.service.budget.in_use == len(pool.connections) + pool._opening_count


async def test_a_machine_that_stops_listening_keeps_its_tasks_while_a_connection_is_open(
    stage: PlacerFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against refusals that count as a dead process, although it answers on another connection."""
    monkeypatch.setattr(reconnector, "REPORT_RECOVERY_INTERVAL_MS", 20.0)
    refusals: list[str] = []
    machine = HangingMachine("m-1")
    placer = await stage.start(machine)
    client = await place_on_two_connections(stage)
    assert machine.server is not None
    machine.server.close()
    real_open = asyncio.open_connection

    async def open_connection(*args: Any, **kwargs: Any) -> Any:
        try:
            return await real_open(*args, **kwargs)
        except ConnectionRefusedError:
            refusals.append("refused")
            raise

    monkeypatch.setattr(asyncio, "open_connection", open_connection)
    pool = placer.service.machines.pools[machine_id("m-1")]
    pool.close_idle(connections(stage)[0])
    pool.keep_connected()
    await until(lambda: len(refusals) > 3)
    assert placer.core.counters.tasks_lost == 0
    client.say(line("test", "00000000000000f0", why=0))
    await expect_ops(client, "tested")  # and the end of no task before it


async def test_an_end_lost_with_an_evicted_connection_is_told(stage: PlacerFixture) -> None:
    """Guards against the same loss where a connection is closed to free its descriptor."""
    machine = HangingMachine("m-1")
    await stage.start(machine)
    client = await place_on_two_connections(stage)
    machine.hang()
    pool = stage.running.service.machines.pools[machine_id("m-1")]
    pool.close_idle(connections(stage)[0])
    for call in (CALL, SECOND):
        machine.release(call)
    stage.running.service.budget.serve_waiting()
    machine.run_on()
    ends = await expect_ops(client, "end", "end")
    assert {end["call"] for end in ends} == {CALL, SECOND}


def test_only_a_connection_opened_after_a_loss_makes_up_for_it() -> None:
    """Guards against counting a connection whose opening began before the other was closed."""
    recovery = ReportRecovery()
    before = recovery.begin_opening()
    recovery.on_reports_lost()
    recovery.on_opened(before)
    assert recovery.is_needed
    after = recovery.begin_opening()
    recovery.on_reports_lost()
    recovery.on_opened(after)
    assert recovery.is_needed
    recovery.on_opened(recovery.begin_opening())
    assert not recovery.is_needed
