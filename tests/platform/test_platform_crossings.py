"""Events that cross on the connections of a running placer: closes, answers, withdrawals, duplicates.

Each test forces the order of events. Where the event loop must not run between two events, the test causes
both in one iteration. docs/design/platform.md has the table of these crossings.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import platforms
import pytest
from platforms import DelayedConnections, PlacerFixture, expect_ops
from waiting import until

from kelpfront.lab.platform import CALL, Json, Machine, Peer, accepts, event, line, member, offer
from kelpfront.platform.messages import decode, machine_id
from kelpfront.scheduling.events import AttemptOutcome

SECOND = "00000000000000a2"
ABSENCE_WAIT_S = 0.5  # how long to wait for what must not happen; users count it after 0.1 s


@pytest.fixture
async def stage(tmp_path: Path) -> AsyncIterator[PlacerFixture]:
    made = PlacerFixture(tmp_path)
    yield made
    await made.stop()


def receive_from_client(stage: PlacerFixture, *lines: bytes, conn: int = 1) -> None:
    """Have the placer handle a client's lines in this iteration of the loop, not in the next."""
    placer = stage.running
    for data in lines:
        placer.core.on_client_message(placer.now(), conn, decode(data))
    placer.core.submit_arrivals(placer.now())
    placer.service._runner.flush()


def socket_of(writer: asyncio.StreamWriter) -> socket.socket:
    """Return a duplicate of a stream's socket, to act on it without the event loop."""
    return socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno()))


def fill(sock: socket.socket, data: bytes) -> None:
    """Send `data` again and again until the kernel's buffer is full."""
    with contextlib.suppress(BlockingIOError):
        while True:
            sock.send(data)


def connections_to(stage: PlacerFixture, name: str) -> list[Any]:
    return list(stage.running.service.machines.pools[machine_id(name)].connections)


def same_machine_retry_info() -> Json:
    """Return settings under which a task of class `once` may return to a machine that has rejected it."""
    info = platforms.info()
    info["FamilyInfo"]["Precedence"] = [0, 2, 2]
    return info


def reject_first_offer(*repeat_delays_s: float) -> Callable[[Machine, Peer, Json], Any]:
    """Return a script that rejects the first offer, repeats that after delays, and accepts the next offer."""

    async def script(machine: Machine, peer: Peer, message: Json) -> None:
        if message["op"] != "offer":
            return
        if len(machine.offers()) > 1:
            asyncio.get_running_loop().call_later(0.2, peer.say, line("accept", message["call"], desc="good"))
            return
        rejection = line("end", message["call"], why=34, with_={"note": "nh"})
        peer.say(rejection)
        for delay_s in repeat_delays_s:
            asyncio.get_running_loop().call_later(delay_s, peer.say, rejection)

    return script


# ---- Connections to machines ------------------------------------------------------------------------------


@pytest.mark.parametrize("how", ["ends", "resets"])
async def test_an_offer_is_not_written_to_a_connection_whose_end_is_unread(
    stage: PlacerFixture, how: str
) -> None:
    """Guards against a lost task: a non-idempotent offer on an idle connection that was just closed."""
    machine = Machine("m-1")
    placer = await stage.start(machine)
    client = await placer.client()
    client.say(offer())
    await expect_ops(client, "accept")
    with socket_of(machine.peers[0].writer) as sock:
        if how == "resets":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            machine.peers[0].writer.get_extra_info("socket").shutdown(socket.SHUT_RD)
        sock.shutdown(socket.SHUT_WR)
    receive_from_client(stage, offer(SECOND, cls="once"))
    (accepted,) = await expect_ops(client, "accept")
    assert accepted["call"] == SECOND
    assert machine.opened > 1
    assert len(machine.offers()) == 2


async def test_nothing_is_written_behind_bytes_that_a_machine_does_not_read(stage: PlacerFixture) -> None:
    """Guards against an offer that leaves a send buffer after its machine drains or its client has left."""
    placer = await stage.start(Machine("m-1"))
    client = await placer.client()
    client.say(offer())
    await expect_ops(client, "accept")
    machine = stage.machines["m-1"]
    machine.peers[0].reader._transport.pause_reading()  # type: ignore[attr-defined]
    (connection,) = connections_to(stage, "m-1")
    connection.writer.write(b"\n" * (16 << 20))
    assert connection.unsent_bytes
    client.say(offer(SECOND, cls="once"))
    (accepted,) = await expect_ops(client, "accept")
    assert accepted["call"] == SECOND
    assert machine.opened == 2


async def test_an_offer_that_does_not_fit_into_a_full_socket_counts_as_not_executed(
    stage: PlacerFixture,
) -> None:
    """Guards against a non-idempotent task that counts as lost, or is sent late, with no byte sent so far."""
    machine = Machine("m-1")
    placer = await stage.start(machine, settings=same_machine_retry_info())
    client = await placer.client()
    client.say(offer())
    await expect_ops(client, "accept")
    machine.peers[0].reader._transport.pause_reading()  # type: ignore[attr-defined]
    (connection,) = connections_to(stage, "m-1")
    with socket_of(connection.writer) as sock:
        sock.setblocking(False)  # noqa: FBT003 - takes it by position only
        fill(sock, b"\n" * 65_536)
        fill(sock, b"\n")  # to the last byte, so that no offer fits any more
        assert not connection.unsent_bytes
        receive_from_client(stage, offer(SECOND, cls="once"))
    (accepted,) = await expect_ops(client, "accept")
    assert accepted["call"] == SECOND
    assert machine.opened > 1
    assert placer.core.counters.attempt_outcomes[AttemptOutcome.UNREACHABLE] == 1


@pytest.mark.parametrize("how", ["closes", "withdraws"])
async def test_an_offer_still_in_the_placers_kernel_does_not_arrive_after_its_client_has_left(
    stage: PlacerFixture, how: str
) -> None:
    """Guards against an attempt that arrives seconds late on a connection that was broken or cut off."""
    machine = Machine("m-1")
    placer = await stage.start(machine, settings=same_machine_retry_info())
    client, other = await placer.client(), await placer.client()
    client.say(offer())
    await expect_ops(client, "accept")
    machine_transport = machine.peers[0].reader._transport  # type: ignore[attr-defined]
    machine_transport.pause_reading()
    (connection,) = connections_to(stage, "m-1")
    filler = line("info", "00000000000000f1")
    with socket_of(connection.writer) as sock:
        sock.setblocking(False)  # noqa: FBT003 - takes it by position only
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)
        sent, idle = 0, 0
        while idle < 10:  # the machine's receive buffer may grow a few times
            try:
                sent += sock.send((filler * 300)[sent % len(filler) :])
                idle = 0
            except BlockingIOError:
                idle += 1
                await asyncio.sleep(0.02)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 131_072)  # space for more, on this side only
        sock.send(filler[sent % len(filler) :])
        other.say(offer(SECOND, cls="once"))
        await until(lambda: placer.core.counters.attempts == 2)
        assert not connection.unsent_bytes
        assert connection.has_unacknowledged_bytes
    if how == "closes":
        other.cut()
    else:
        other.say(line("end", SECOND, why=16))
    await until(lambda: placer.core.counters.withdrawn)
    machine_transport.resume_reading()
    await until(lambda: machine.opened > 1)  # the placer reconnects because of the task that runs there
    third = await placer.client()
    third.say(offer("00000000000000a3"))
    await expect_ops(third, "accept")
    assert SECOND not in {message["call"] for message in machine.offers()}


@pytest.mark.parametrize("after_s", [0.005, 0.05])
async def test_a_second_rejection_of_one_attempt_does_not_end_the_next_on_the_same_machine(
    stage: PlacerFixture, after_s: float
) -> None:
    """Guards against mixing up the attempts of one request, which all have its id."""
    machine = Machine("m-1", reject_first_offer(after_s))
    placer = await stage.start(machine, settings=same_machine_retry_info())
    client = await placer.client()
    client.say(offer(cls="once"))
    (accepted,) = await expect_ops(client, "accept")
    assert accepted["desc"] == "good"
    assert len(machine.offers()) == 2
    assert machine.opened == 2
    counters = placer.core.counters
    assert counters.attempt_outcomes[AttemptOutcome.REJECTED] == 1
    assert counters.rejected == 0
    assert counters.unexpected_ends == 1


@pytest.mark.parametrize("after_s", [0.005, 0.05])
async def test_a_duplicate_acceptance_causes_no_second_answer(stage: PlacerFixture, after_s: float) -> None:
    async def script(_machine: Machine, peer: Peer, message: Json) -> None:
        if message["op"] == "offer":
            copy = line("accept", message["call"], desc="good")
            peer.say(line("accept", "00000000000000ee", desc="of nobody") + copy)
            asyncio.get_running_loop().call_later(after_s, peer.say, copy)

    placer = await stage.start(Machine("m-1", script))
    client = await placer.client()
    client.say(offer())
    await expect_ops(client, "accept")
    await until(lambda: placer.core.counters.unexpected_accepts == 2)  # unknown id, duplicate
    client.say(line("test", "00000000000000f0", why=0))
    await expect_ops(client, "tested")  # and no other message before it


def slow_connect_info(connect_ms: float = 10_000.0) -> Json:
    """Return settings under which connecting may take long, and clients wait longer than that."""
    info = platforms.info()
    info["Permissions"]["ConnectTimeoutMs"] = connect_ms
    for category in info["Categories"]:
        category |= {"DeadlineMs": 30_000.0, "AimMs": 20_000.0}
    return info


async def test_a_request_that_waits_for_a_connection_uses_another_that_becomes_idle(
    stage: PlacerFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request that waits for a connection that is never established beside an idle one."""
    answers: list[Peer] = []

    async def script(machine: Machine, peer: Peer, message: Json) -> None:
        if message["call"] == CALL:
            answers.append(peer)
        else:
            await accepts(machine, peer, message)

    placer = await stage.start(Machine("m-1", script), settings=slow_connect_info())
    client = await placer.client()
    delayed_connections = DelayedConnections(stage, monkeypatch, prompt=1)
    client.say(offer(left="20000"))
    await until(lambda: answers)
    client.say(offer(SECOND, left="20000"))
    await until(lambda: delayed_connections.begun == 2)
    answers[0].say(line("accept", CALL, desc="late"))
    first, second = await expect_ops(client, "accept", "accept")
    assert (first["call"], second["call"]) == (CALL, SECOND)
    assert stage.machines["m-1"].opened == 1
    delayed_connections.up.set()


async def test_an_attempt_whose_connection_times_out_counts_as_not_executed(
    stage: PlacerFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    placer = await stage.start(Machine("m-1"), Machine("m-2"), settings=slow_connect_info(50.0))
    delayed_connections = DelayedConnections(stage, monkeypatch, prompt=0)
    client = await placer.client()
    client.say(offer(cls="once", left="20000"))
    await until(lambda: delayed_connections.begun == 1)
    delayed_connections.prompt = 10
    await expect_ops(client, "accept")
    assert placer.core.counters.attempt_outcomes[AttemptOutcome.UNREACHABLE] == 1
    assert sum(len(machine.offers()) for machine in stage.machines.values()) == 1


@pytest.mark.parametrize("is_established", [True, False])
async def test_a_retry_with_an_idempotency_key_is_not_sent_after_its_window(
    stage: PlacerFixture, monkeypatch: pytest.MonkeyPatch, *, is_established: bool
) -> None:
    """Guards against a retry after the idempotency window has expired.

    The first attempt breaks and may have run; connecting for the second takes longer than the window. This
    occurred with a window of 0.9 s (deploy/sites/short-deadlines), zone+mass and join+mass, seed 301.
    """

    async def script(_machine: Machine, peer: Peer, message: Json) -> None:
        if message["op"] == "offer":
            peer.cut()

    info = slow_connect_info()
    info["Categories"][1] |= {"WindowMs": 400.0, "Group": "all"}
    placer = await stage.start(Machine("m-1", script), Machine("m-2", script), settings=info)
    delayed_connections = DelayedConnections(stage, monkeypatch, prompt=1)
    client = await placer.client()
    client.say(offer(cls="keyed", left="20000"))
    (failed,) = await expect_ops(client, "end")  # as soon as the window has expired, long before the deadline
    assert failed["why"] == 41
    assert delayed_connections.begun >= 2
    assert placer.core.counters.attempt_outcomes[AttemptOutcome.NOT_SENT] == 1
    if is_established:
        delayed_connections.up.set()
        await until(lambda: sum(machine.opened for machine in stage.machines.values()) >= 2)
        await asyncio.sleep(0.1)
    assert sum(len(machine.offers()) for machine in stage.machines.values()) == 1


async def test_a_task_ends_at_its_machine_although_the_connection_breaks_during_the_end(
    stage: PlacerFixture,
) -> None:
    """Guards against a task that runs for nobody: its client has ended it and will not repeat that."""
    machine = Machine("m-1")
    placer = await stage.start(machine)
    client = await placer.client()
    client.say(offer())
    await expect_ops(client, "accept")

    async def cut_on_end(machine: Machine, peer: Peer, message: Json) -> None:
        if message["op"] == "end":
            machine.script = accepts
            peer.cut()

    machine.script = cut_on_end
    client.say(line("end", CALL, why=31))
    await expect_ops(client, "ended")
    await until(lambda: not placer.core.requests)
    assert machine.opened > 1


async def test_no_request_waits_for_a_connection_that_ends_as_soon_as_it_is_established(
    stage: PlacerFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request that waits for a connection although none is being opened.

    The connection ends before the offer can be written, so nothing ran and the request goes elsewhere.
    """
    opens = asyncio.open_connection

    async def open_and_see_it_end(host: str, port: int, **kwargs: Any) -> Any:
        reader, writer = await opens(host, port, **kwargs)
        if f"{host}:{port}" == stage.machines["m-1"].address:
            await until(lambda: stage.machines["m-1"].peers)
            stage.machines["m-1"].peers[-1].writer.close()
            await until(reader.at_eof)
        return reader, writer

    placer = await stage.start(Machine("m-1"))
    client = await placer.client()
    monkeypatch.setattr(asyncio, "open_connection", open_and_see_it_end)
    other = Machine("m-2")
    await other.start()
    stage.machines["m-2"] = other
    client.say(offer(cls="once", left="20000"))
    await until(lambda: placer.core.counters.attempt_outcomes[AttemptOutcome.UNREACHABLE])
    stage.coordinator.events.append(event(placer.core.endpoints.index + 1, member("m-2", other.address)))
    (accepted,) = await expect_ops(client, "accept")
    assert accepted["desc"] == "at m-2"
    assert stage.machines["m-1"].offers() == []


# ---- A client that has left --------------------------------------------------------------------------------


async def withdraws(client: Peer) -> None:
    client.say(line("end", CALL, why=16))


async def half_closes(client: Peer) -> None:
    client.writer.write_eof()


async def closes(client: Peer) -> None:
    client.writer.close()


async def resets(client: Peer) -> None:
    sock = client.writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.cut()


WAYS_OF_LEAVING = pytest.mark.parametrize("leave", [withdraws, half_closes, closes, resets])


@WAYS_OF_LEAVING
async def test_nothing_is_sent_for_a_client_that_left_before_the_connection_came_up(
    stage: PlacerFixture, monkeypatch: pytest.MonkeyPatch, leave: Callable[[Peer], Any]
) -> None:
    machine = Machine("m-1")
    placer = await stage.start(machine, settings=slow_connect_info())
    delayed_connections = DelayedConnections(stage, monkeypatch, prompt=0)
    client = await placer.client()
    client.say(offer(left="20000"))
    await until(lambda: delayed_connections.begun)
    await leave(client)
    delayed_connections.up.set()  # at once, before the placer has read that the client left
    await until(lambda: machine.opened)
    await until(lambda: placer.core.counters.withdrawn)
    await asyncio.sleep(ABSENCE_WAIT_S)
    assert machine.offers() == []


@WAYS_OF_LEAVING
async def test_nothing_is_sent_for_a_client_that_left_while_no_machine_was_ready(
    stage: PlacerFixture, leave: Callable[[Peer], Any]
) -> None:
    machine = Machine("m-1")
    placer = await stage.start(machine)
    index = placer.core.endpoints.index
    stage.coordinator.events.append(event(index + 1, member("m-1", machine.address, "Terminating")))
    await until(lambda: placer.core.endpoints.index == index + 1)
    client = await placer.client()
    client.say(offer())
    await until(lambda: placer.core.requests.unanswered_count)
    await leave(client)
    stage.coordinator.events.append(event(index + 2, member("m-1", machine.address)))
    await until(lambda: placer.core.endpoints.index == index + 2)
    await until(lambda: placer.core.counters.withdrawn)
    await asyncio.sleep(ABSENCE_WAIT_S)
    assert machine.offers() == []


@WAYS_OF_LEAVING
async def test_nothing_is_sent_for_a_client_that_left_between_two_attempts(
    stage: PlacerFixture, leave: Callable[[Peer], Any]
) -> None:
    """The first machine has rejected the request, and no other has capacity yet."""

    async def script(_machine: Machine, peer: Peer, message: Json) -> None:
        if message["op"] == "offer":
            peer.say(line("end", message["call"], why=34, with_={"note": "nc"}))

    machine, other = Machine("m-1", script), Machine("m-2")
    placer = await stage.start(machine)
    client = await placer.client()
    client.say(offer())
    await until(lambda: placer.core.counters.attempt_outcomes[AttemptOutcome.REJECTED])
    await other.start()
    stage.machines["m-2"] = other
    await leave(client)
    index = placer.core.endpoints.index
    stage.coordinator.events.append(event(index + 1, member("m-2", other.address)))
    await until(lambda: placer.core.endpoints.index == index + 1)
    await until(lambda: placer.core.counters.withdrawn)
    await asyncio.sleep(ABSENCE_WAIT_S)
    assert other.offers() == []
    assert len(machine.offers()) == 1


async def test_the_end_of_a_connection_is_noticed_behind_many_lines_of_one_read(stage: PlacerFixture) -> None:
    """The client sends more than one read takes, and no machine is ready: a paused reader hides the end."""
    machine = Machine("m-1")
    placer = await stage.start(machine)
    index = placer.core.endpoints.index
    stage.coordinator.events.append(event(index + 1, member("m-1", machine.address, "Terminating")))
    await until(lambda: placer.core.endpoints.index == index + 1)
    client = await placer.client()
    client.say(b"".join(offer(f"{number:016x}") for number in range(1, 1_001)))
    client.writer.write_eof()
    await until(lambda: placer.core.counters.requests == 1_000 and not placer.core.requests.unanswered_count)
    stage.coordinator.events.append(event(index + 2, member("m-1", machine.address)))
    await until(lambda: placer.core.endpoints.index == index + 2)
    await asyncio.sleep(ABSENCE_WAIT_S)
    assert machine.offers() == []


# ---- A client's connection that closes ---------------------------------------------------------------------


def client_writer(stage: PlacerFixture, conn: int) -> asyncio.StreamWriter:
    writer: asyncio.StreamWriter = stage.running.service.clients.connections[conn].writer
    return writer


def receive_from_machine(stage: PlacerFixture, data: bytes) -> None:
    """Have the placer handle a machine's line in this iteration of the loop, not in the next."""
    pool = stage.running.service.machines.pools[machine_id("m-1")]
    pool._on_message(next(iter(pool.connections)), decode(data))
    stage.running.service._runner.flush()


async def test_a_task_end_is_sent_on_another_connection_if_its_own_is_closing(stage: PlacerFixture) -> None:
    """Guards against a task end that is dropped silently before the close of its connection is reported."""
    placer = await stage.start(Machine("m-1"))
    first, second = await placer.client(), await placer.client()
    second.say(line("test", "00000000000000f0", why=0))
    await expect_ops(second, "tested")
    first.say(offer())
    await expect_ops(first, "accept")
    client_writer(stage, 1).close()
    receive_from_machine(stage, line("end", CALL, why=16))
    (ended,) = await expect_ops(second, "end")
    assert ended["call"] == CALL
    assert ended["why"] == 16


async def test_a_task_end_waits_if_no_connection_is_left(stage: PlacerFixture) -> None:
    placer = await stage.start(Machine("m-1"))
    client = await placer.client()
    client.say(offer())
    await expect_ops(client, "accept")
    client_writer(stage, 1).close()
    receive_from_machine(stage, line("end", CALL, why=16))
    (ended,) = await expect_ops(await placer.client(), "end")
    assert ended["call"] == CALL


async def test_a_task_whose_acceptance_cannot_be_delivered_is_ended(stage: PlacerFixture) -> None:
    """The client regards the request as withdrawn with its connection; the machine must be notified."""

    async def script(_machine: Machine, peer: Peer, message: Json) -> None:
        if message["op"] == "end":
            peer.say(line("end", message["call"], why=31))

    machine = Machine("m-1", script)
    placer = await stage.start(machine)
    client = await placer.client()
    client.say(offer())
    await until(machine.offers)
    client_writer(stage, 1).close()
    receive_from_machine(stage, line("accept", CALL, desc="late"))
    await until(lambda: any(m["op"] == "end" and m["call"] == CALL for m in machine.seen))
    await until(lambda: not placer.core.requests)
    assert placer.core.counters.placed_without_client == 1


# ---- Shutdown ---------------------------------------------------------------------------------------------


async def test_late_requests_to_a_draining_placer_are_rejected_at_once(stage: PlacerFixture) -> None:
    """Guards against requests that are unanswered when the placer is killed.

    While tasks run, a draining placer continues to run, and clients may still connect.
    """
    machine = Machine("m-1")
    placer = await stage.start(machine)
    client = await placer.client()
    client.say(offer())
    await expect_ops(client, "accept")
    placer.service._shutdown.set()
    client.say(offer(SECOND))
    await expect_ops(client, "accept")
    await until(lambda: placer.core.client_messages.is_closing)
    for number, peer in enumerate((client, await placer.client())):
        peer.say(offer(f"{number:016x}"))
        (rejected,) = await expect_ops(peer, "end")
        assert rejected["why"] == 42
    assert len(machine.offers()) == 2
    for call in (CALL, SECOND):
        machine.peers[0].say(line("end", call, why=16))
    await expect_ops(client, "end", "end")  # the tasks that ran are still tracked
    assert placer.task is not None
    await placer.task


async def test_a_draining_placer_answers_what_is_queued_connecting_and_sent(
    stage: PlacerFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Requests that wait for a machine with capacity, a connection, or an answer each get their answer."""
    pending_peers: list[Peer] = []

    async def script(machine: Machine, peer: Peer, message: Json) -> None:
        if message["op"] == "offer" and message["call"] == CALL:
            pending_peers.append(peer)
        else:
            await accepts(machine, peer, message)

    info = slow_connect_info()
    info["Categories"][0]["DeadlineMs"] = 3_000.0
    placer = await stage.start(Machine("m-1", script), settings=info)
    delayed_connections = DelayedConnections(stage, monkeypatch, prompt=1)
    client = await placer.client()
    client.say(offer(left="20000"))
    await until(lambda: pending_peers)
    client.say(offer(SECOND, left="20000"))
    await until(lambda: delayed_connections.begun == 2)
    client.say(
        offer("00000000000000a3", left="1500", extras="cores:22;memory:40;service:1")
    )  # no machine has the capacity
    await until(lambda: placer.core.requests.unanswered_count == 3)
    placer.service._shutdown.set()
    await until(lambda: placer.core.client_messages.is_closing)
    delayed_connections.up.set()
    pending_peers[0].say(line("accept", CALL, desc="late"))
    answers = {
        m["call"]: m["op"] for m in [await client.read(), await client.read(), await client.read()] if m
    }
    assert answers == {CALL: "accept", SECOND: "accept", "00000000000000a3": "end"}


async def test_a_buffered_answer_is_sent_before_the_placer_ends(stage: PlacerFixture) -> None:
    """A slow client receives what was written; one that never reads does not delay the shutdown for long."""
    placer = await stage.start(Machine("m-1"))
    slow, never = await placer.client(), await placer.client()
    for peer in (slow, never):
        peer.say(line("test", "00000000000000f0", why=0))
        await expect_ops(peer, "tested")
        peer.reader._transport.pause_reading()  # type: ignore[attr-defined]
    filler = line("ringing", CALL, desc="x" * 8_000)
    for conn in (1, 2):
        writer = client_writer(stage, conn)
        while writer.transport.get_write_buffer_size() < 100_000:
            writer.write(filler)
    client_writer(stage, 1).write(line("end", CALL, why=42))
    placer.service._shutdown.set()
    await until(lambda: not placer.service.clients.is_serving)
    slow.reader._transport.resume_reading()  # type: ignore[attr-defined]
    while (message := await slow.read()) is not None and message["op"] == "ringing":
        pass
    assert message is not None
    assert message["why"] == 42
    async with asyncio.timeout(10):
        assert placer.task is not None
        await placer.task


# ---- Answers and floods -----------------------------------------------------------------------------------


async def test_an_answer_counts_although_its_connection_is_reset_right_after_it(stage: PlacerFixture) -> None:
    async def script(_machine: Machine, peer: Peer, message: Json) -> None:
        if message["op"] == "offer":
            peer.say(line("accept", message["call"], desc="good"))
            sock = peer.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            peer.cut()

    machine = Machine("m-1", script)
    placer = await stage.start(machine)
    client = await placer.client()
    client.say(offer(cls="once"))
    (accepted,) = await expect_ops(client, "accept")
    assert accepted["desc"] == "good"
    await until(lambda: machine.opened > 1)  # the placer reconnects because of the running task


async def test_every_client_gets_an_answer_although_a_machine_hangs(stage: PlacerFixture) -> None:
    """The machine accepts connections and offers, but never answers. Harmless retries go elsewhere."""

    async def never_answer(_machine: Machine, peer: Peer, message: Json) -> None:
        pass

    await stage.start(Machine("m-1", never_answer), Machine("m-2"))
    client = await stage.running.client()
    calls = {f"{number:016x}": ("easy", "keyed", "once")[number % 3] for number in range(1, 13)}
    for call, cls in calls.items():
        client.say(offer(call, cls=cls, left="1500", extras="cores:1;memory:1;service:" + call[-2:]))
    answers = {m["call"]: m for m in [await client.read() for _ in calls] if m is not None}
    assert set(answers) == set(calls)
    assert all(answers[call]["op"] == "accept" for call, cls in calls.items() if cls == "easy")
    unanswered = {message["call"] for message in stage.machines["m-1"].offers()}
    assert all(answers[call]["why"] == 41 for call in unanswered if calls[call] == "once")


async def test_a_flood_of_requests_leaves_other_clients_served(stage: PlacerFixture) -> None:
    """500 connections are silent, and another client sends and withdraws 300 requests in one write."""
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    machine = Machine("m-1")
    placer = await stage.start(machine, limits=limits)
    other_client = await placer.client()
    other_client.say(offer())
    await expect_ops(other_client, "accept")
    silent = [await placer.client() for _ in range(500)]
    flooding_client = await placer.client()
    calls = [f"{number:016x}" for number in range(0x1000, 0x1000 + 300)]
    flooding_client.say(b"".join(offer(call) + line("end", call, why=16) for call in calls))
    flooding_client.say(line("test", "00000000000000f0", why=0))
    other_client.say(offer(SECOND))
    (accepted,) = await expect_ops(other_client, "accept")
    assert accepted["call"] == SECOND
    while (message := await flooding_client.read()) is not None and message["op"] != "tested":
        pass
    assert message is not None
    ends = [asyncio.create_task(peer.read()) for peer in silent]
    async with asyncio.timeout(10):
        assert set(await asyncio.gather(*ends)) == {None}
    assert {m["call"] for m in machine.offers()} == {CALL, SECOND}
