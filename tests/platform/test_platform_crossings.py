"""What comes between two lines of the placer in service: a close, an answer, a word that crosses its own.

Each test forces the order. Where the loop must not run between two things, both are done in one turn of it.
docs/design/platform.md has the table of these crossings.
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
from platforms import Dials, Stage, ops
from waiting import until

from kelpfront.lab.platform import CALL, Json, Machine, Peer, accepts, event, line, member, offer
from kelpfront.platform.messages import decode, machine_id
from kelpfront.scheduling.events import AttemptOutcome

SECOND = "00000000000000a2"
LATER_S = 0.5  # for what must not come: over the 0.1 s after which a user counts it


@pytest.fixture
async def stage(tmp_path: Path) -> AsyncIterator[Stage]:
    made = Stage(tmp_path)
    yield made
    await made.stop()


def tell_now(stage: Stage, *lines: bytes, conn: int = 1) -> None:
    """What an owner says, heard in this turn of the loop and not in the next."""
    placer = stage.running
    for data in lines:
        placer.core.on_client_message(placer.now(), conn, decode(data))
    placer.core.submit_arrivals(placer.now())
    placer.service._runner.flush()


def end_of(writer: asyncio.StreamWriter) -> socket.socket:
    """The socket of a stream, to act on it past the loop."""
    return socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno()))


def fill(sock: socket.socket, data: bytes) -> None:
    """Sends the same until the kernel takes no more of it."""
    with contextlib.suppress(BlockingIOError):
        while True:
            sock.send(data)


def wires(stage: Stage, name: str) -> list[Any]:
    return list(stage.running.service.machines.pools[machine_id(name)].connections)


def once_first() -> Json:
    """Settings under which a task of class `once` may come back to a machine that has refused it."""
    info = platforms.info()
    info["FamilyInfo"]["Precedence"] = [0, 2, 2]
    return info


def refuses_first(*copies_after_s: float) -> Callable[[Machine, Peer, Json], Any]:
    """The first offer is refused, and again after each of these times; the next is accepted 0.2 s later."""

    async def script(machine: Machine, peer: Peer, message: Json) -> None:
        if message["op"] != "offer":
            return
        if len(machine.offers()) > 1:
            asyncio.get_running_loop().call_later(0.2, peer.say, line("accept", message["call"], desc="good"))
            return
        refusal = line("end", message["call"], why=34, with_={"note": "nh"})
        peer.say(refusal)
        for after_s in copies_after_s:
            asyncio.get_running_loop().call_later(after_s, peer.say, refusal)

    return script


# ---- Connections to machines ------------------------------------------------------------------------------


@pytest.mark.parametrize("how", ["ends", "resets"])
async def test_a_set_up_is_not_written_on_a_connection_whose_end_lies_unread(stage: Stage, how: str) -> None:
    """Guards against an unsafe task lost on an idle connection that its machine has just closed."""
    machine = Machine("m-1")
    placer = await stage.start(machine)
    owner = await placer.owner()
    owner.say(offer())
    await ops(owner, "accept")
    with end_of(machine.peers[0].writer) as sock:
        if how == "resets":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            machine.peers[0].writer.get_extra_info("socket").shutdown(socket.SHUT_RD)
        sock.shutdown(socket.SHUT_WR)
    tell_now(stage, offer(SECOND, cls="once"))
    (accepted,) = await ops(owner, "accept")
    assert accepted["call"] == SECOND
    assert machine.opened > 1
    assert len(machine.offers()) == 2


async def test_nothing_is_written_behind_what_a_machine_does_not_take(stage: Stage) -> None:
    """Guards against a set-up that leaves a buffer when its machine drains and its owner is gone."""
    placer = await stage.start(Machine("m-1"))
    owner = await placer.owner()
    owner.say(offer())
    await ops(owner, "accept")
    machine = stage.machines["m-1"]
    machine.peers[0].reader._transport.pause_reading()  # type: ignore[attr-defined]
    (wire,) = wires(stage, "m-1")
    wire.writer.write(b"\n" * (16 << 20))
    assert wire.unsent_bytes
    owner.say(offer(SECOND, cls="once"))
    (accepted,) = await ops(owner, "accept")
    assert accepted["call"] == SECOND
    assert machine.opened == 2


async def test_a_set_up_that_a_full_socket_does_not_take_has_not_run(stage: Stage) -> None:
    """Guards against an unsafe task given up for lost, or sent late, of which not a byte has come."""
    machine = Machine("m-1")
    placer = await stage.start(machine, settings=once_first())
    owner = await placer.owner()
    owner.say(offer())
    await ops(owner, "accept")
    machine.peers[0].reader._transport.pause_reading()  # type: ignore[attr-defined]
    (wire,) = wires(stage, "m-1")
    with end_of(wire.writer) as sock:
        sock.setblocking(False)  # noqa: FBT003 - takes it by position only
        fill(sock, b"\n" * 65_536)
        fill(sock, b"\n")  # to the last byte: a request must not fit any more
        assert not wire.unsent_bytes
        tell_now(stage, offer(SECOND, cls="once"))
    (accepted,) = await ops(owner, "accept")
    assert accepted["call"] == SECOND
    assert machine.opened > 1
    assert placer.core.counters.attempt_outcomes[AttemptOutcome.UNREACHABLE] == 1


@pytest.mark.parametrize("how", ["closes", "withdraws"])
async def test_a_set_up_that_still_lies_in_our_kernel_does_not_come_after_its_owner_has_left(
    stage: Stage, how: str
) -> None:
    """As behind a connection that only seemed up, or was cut off: guards against an attempt seconds later."""
    machine = Machine("m-1")
    placer = await stage.start(machine, settings=once_first())
    owner, other = await placer.owner(), await placer.owner()
    owner.say(offer())
    await ops(owner, "accept")
    taken = machine.peers[0].reader._transport  # type: ignore[attr-defined]
    taken.pause_reading()
    (wire,) = wires(stage, "m-1")
    filler = line("info", "00000000000000f1")
    with end_of(wire.writer) as sock:
        sock.setblocking(False)  # noqa: FBT003 - takes it by position only
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)
        sent, idle = 0, 0
        while idle < 10:  # the machine's end may make room for more a few times
            try:
                sent += sock.send((filler * 300)[sent % len(filler) :])
                idle = 0
            except BlockingIOError:
                idle += 1
                await asyncio.sleep(0.02)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 131_072)  # room for more, on this side alone
        sock.send(filler[sent % len(filler) :])
        other.say(offer(SECOND, cls="once"))
        await until(lambda: placer.core.counters.attempts == 2)
        assert not wire.unsent_bytes
        assert wire.has_unacknowledged_bytes
    if how == "closes":
        other.cut()
    else:
        other.say(line("end", SECOND, why=16))
    await until(lambda: placer.core.counters.withdrawn)
    taken.resume_reading()
    await until(lambda: machine.opened > 1)  # the task that stands there is listened to anew
    third = await placer.owner()
    third.say(offer("00000000000000a3"))
    await ops(third, "accept")
    assert SECOND not in {message["call"] for message in machine.offers()}


@pytest.mark.parametrize("after_s", [0.005, 0.05])
async def test_a_second_refusal_of_one_attempt_does_not_end_the_next_on_the_same_machine(
    stage: Stage, after_s: float
) -> None:
    """Guards against attempts of one call being mixed up: all bear its id."""
    machine = Machine("m-1", refuses_first(after_s))
    placer = await stage.start(machine, settings=once_first())
    owner = await placer.owner()
    owner.say(offer(cls="once"))
    (accepted,) = await ops(owner, "accept")
    assert accepted["desc"] == "good"
    assert len(machine.offers()) == 2
    assert machine.opened == 2
    counters = placer.core.counters
    assert counters.attempt_outcomes[AttemptOutcome.REJECTED] == 1
    assert counters.rejected == 0
    assert counters.unexpected_ends == 1


@pytest.mark.parametrize("after_s", [0.005, 0.05])
async def test_a_second_acceptance_is_no_second_answer(stage: Stage, after_s: float) -> None:
    async def script(_machine: Machine, peer: Peer, message: Json) -> None:
        if message["op"] == "offer":
            copy = line("accept", message["call"], desc="good")
            peer.say(line("accept", "00000000000000ee", desc="of nobody") + copy)
            asyncio.get_running_loop().call_later(after_s, peer.say, copy)

    placer = await stage.start(Machine("m-1", script))
    owner = await placer.owner()
    owner.say(offer())
    await ops(owner, "accept")
    await until(lambda: placer.core.counters.unexpected_accepts == 2)  # of nobody, and the copy
    owner.say(line("test", "00000000000000f0", why=0))
    await ops(owner, "tested")  # and nothing before it


def slow_info(connect_ms: float = 10_000.0) -> Json:
    """Settings under which a connection may take long to come up, and owners wait for longer."""
    info = platforms.info()
    info["Permissions"]["ConnectTimeoutMs"] = connect_ms
    for category in info["Categories"]:
        category |= {"DeadlineMs": 30_000.0, "AimMs": 20_000.0}
    return info


async def test_a_set_up_that_waits_for_its_connection_takes_one_that_is_free(
    stage: Stage, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a connection that never comes up holding a set-up beside one that is idle."""
    answers: list[Peer] = []

    async def script(machine: Machine, peer: Peer, message: Json) -> None:
        if message["call"] == CALL:
            answers.append(peer)
        else:
            await accepts(machine, peer, message)

    placer = await stage.start(Machine("m-1", script), settings=slow_info())
    owner = await placer.owner()
    dials = Dials(stage, monkeypatch, prompt=1)
    owner.say(offer(left="20000"))
    await until(lambda: answers)
    owner.say(offer(SECOND, left="20000"))
    await until(lambda: dials.begun == 2)
    answers[0].say(line("accept", CALL, desc="late"))
    first, second = await ops(owner, "accept", "accept")
    assert (first["call"], second["call"]) == (CALL, SECOND)
    assert stage.machines["m-1"].opened == 1
    dials.up.set()


async def test_a_connection_that_never_comes_up_costs_its_time_out_and_proves_that_nothing_ran(
    stage: Stage, monkeypatch: pytest.MonkeyPatch
) -> None:
    placer = await stage.start(Machine("m-1"), Machine("m-2"), settings=slow_info(50.0))
    dials = Dials(stage, monkeypatch, prompt=0)
    owner = await placer.owner()
    owner.say(offer(cls="once", left="20000"))
    await until(lambda: dials.begun == 1)
    dials.prompt = 10
    await ops(owner, "accept")
    assert placer.core.counters.attempt_outcomes[AttemptOutcome.UNREACHABLE] == 1
    assert sum(len(machine.offers()) for machine in stage.machines.values()) == 1


@pytest.mark.parametrize("comes_up", [True, False])
async def test_a_keyed_repeat_does_not_go_out_after_its_window(
    stage: Stage, monkeypatch: pytest.MonkeyPatch, *, comes_up: bool
) -> None:
    """The first attempt broke and may have run; the connection for the second takes longer than the window.

    Seen with a window of 0.9 s (deploy/sites/short-deadlines), zone+mass and join+mass, seed 301.
    """

    async def script(_machine: Machine, peer: Peer, message: Json) -> None:
        if message["op"] == "offer":
            peer.cut()

    info = slow_info()
    info["Categories"][1] |= {"WindowMs": 400.0, "Group": "all"}
    placer = await stage.start(Machine("m-1", script), Machine("m-2", script), settings=info)
    dials = Dials(stage, monkeypatch, prompt=1)
    owner = await placer.owner()
    owner.say(offer(cls="keyed", left="20000"))
    (failed,) = await ops(owner, "end")  # at once when the window is over, and long before its deadline
    assert failed["why"] == 41
    assert dials.begun >= 2
    assert placer.core.counters.attempt_outcomes[AttemptOutcome.NOT_SENT] == 1
    if comes_up:
        dials.up.set()
        await until(lambda: sum(machine.opened for machine in stage.machines.values()) >= 2)
        await asyncio.sleep(0.1)
    assert sum(len(machine.offers()) for machine in stage.machines.values()) == 1


async def test_a_task_ends_at_its_machine_though_the_connection_breaks_under_the_word(stage: Stage) -> None:
    """Guards against a task that stands for nobody: its owner has ended it and will not ask again."""
    machine = Machine("m-1")
    placer = await stage.start(machine)
    owner = await placer.owner()
    owner.say(offer())
    await ops(owner, "accept")

    async def breaks(machine: Machine, peer: Peer, message: Json) -> None:
        if message["op"] == "end":
            machine.script = accepts
            peer.cut()

    machine.script = breaks
    owner.say(line("end", CALL, why=31))
    await ops(owner, "ended")
    await until(lambda: not placer.core.requests)
    assert machine.opened > 1


async def test_a_connection_that_ends_as_it_comes_up_holds_no_set_up(
    stage: Stage, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a set-up that waits for a connection when none is under way: it goes elsewhere.

    The end is there before the set-up could be written, so nothing ran.
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
    owner = await placer.owner()
    monkeypatch.setattr(asyncio, "open_connection", open_and_see_it_end)
    other = Machine("m-2")
    await other.start()
    stage.machines["m-2"] = other
    owner.say(offer(cls="once", left="20000"))
    await until(lambda: placer.core.counters.attempt_outcomes[AttemptOutcome.UNREACHABLE])
    stage.coordinator.events.append(event(placer.core.endpoints.index + 1, member("m-2", other.address)))
    (accepted,) = await ops(owner, "accept")
    assert accepted["desc"] == "at m-2"
    assert stage.machines["m-1"].offers() == []


# ---- An owner that has left -------------------------------------------------------------------------------


async def withdraws(owner: Peer) -> None:
    owner.say(line("end", CALL, why=16))


async def half_closes(owner: Peer) -> None:
    owner.writer.write_eof()


async def closes(owner: Peer) -> None:
    owner.writer.close()


async def resets(owner: Peer) -> None:
    sock = owner.writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    owner.cut()


LEAVES = pytest.mark.parametrize("leave", [withdraws, half_closes, closes, resets])


@LEAVES
async def test_nothing_goes_out_for_who_left_before_the_connection_came_up(
    stage: Stage, monkeypatch: pytest.MonkeyPatch, leave: Callable[[Peer], Any]
) -> None:
    machine = Machine("m-1")
    placer = await stage.start(machine, settings=slow_info())
    dials = Dials(stage, monkeypatch, prompt=0)
    owner = await placer.owner()
    owner.say(offer(left="20000"))
    await until(lambda: dials.begun)
    await leave(owner)
    dials.up.set()  # at once, and not when it has been heard
    await until(lambda: machine.opened)
    await until(lambda: placer.core.counters.withdrawn)
    await asyncio.sleep(LATER_S)
    assert machine.offers() == []


@LEAVES
async def test_nothing_goes_out_for_who_left_while_no_machine_was_ready(
    stage: Stage, leave: Callable[[Peer], Any]
) -> None:
    machine = Machine("m-1")
    placer = await stage.start(machine)
    index = placer.core.endpoints.index
    stage.coordinator.events.append(event(index + 1, member("m-1", machine.address, "Terminating")))
    await until(lambda: placer.core.endpoints.index == index + 1)
    owner = await placer.owner()
    owner.say(offer())
    await until(lambda: placer.core.requests.unanswered_count)
    await leave(owner)
    stage.coordinator.events.append(event(index + 2, member("m-1", machine.address)))
    await until(lambda: placer.core.endpoints.index == index + 2)
    await until(lambda: placer.core.counters.withdrawn)
    await asyncio.sleep(LATER_S)
    assert machine.offers() == []


@LEAVES
async def test_nothing_goes_out_for_who_left_between_two_attempts(
    stage: Stage, leave: Callable[[Peer], Any]
) -> None:
    """The first machine has refused, and no other has room yet."""

    async def script(_machine: Machine, peer: Peer, message: Json) -> None:
        if message["op"] == "offer":
            peer.say(line("end", message["call"], why=34, with_={"note": "nc"}))

    machine, other = Machine("m-1", script), Machine("m-2")
    placer = await stage.start(machine)
    owner = await placer.owner()
    owner.say(offer())
    await until(lambda: placer.core.counters.attempt_outcomes[AttemptOutcome.REJECTED])
    await other.start()
    stage.machines["m-2"] = other
    await leave(owner)
    index = placer.core.endpoints.index
    stage.coordinator.events.append(event(index + 1, member("m-2", other.address)))
    await until(lambda: placer.core.endpoints.index == index + 1)
    await until(lambda: placer.core.counters.withdrawn)
    await asyncio.sleep(LATER_S)
    assert other.offers() == []
    assert len(machine.offers()) == 1


async def test_the_end_of_a_connection_is_seen_behind_what_its_owner_sent_in_one_go(stage: Stage) -> None:
    """More than is read in one go, while nothing can be offered: the end lies behind a paused reader."""
    machine = Machine("m-1")
    placer = await stage.start(machine)
    index = placer.core.endpoints.index
    stage.coordinator.events.append(event(index + 1, member("m-1", machine.address, "Terminating")))
    await until(lambda: placer.core.endpoints.index == index + 1)
    owner = await placer.owner()
    owner.say(b"".join(offer(f"{number:016x}") for number in range(1, 1_001)))
    owner.writer.write_eof()
    await until(lambda: placer.core.counters.requests == 1_000 and not placer.core.requests.unanswered_count)
    stage.coordinator.events.append(event(index + 2, member("m-1", machine.address)))
    await until(lambda: placer.core.endpoints.index == index + 2)
    await asyncio.sleep(LATER_S)
    assert machine.offers() == []


# ---- An owner's connection that closes --------------------------------------------------------------------


def front_end(stage: Stage, conn: int) -> asyncio.StreamWriter:
    writer: asyncio.StreamWriter = stage.running.service.clients.connections[conn].writer
    return writer


def machine_tells_now(stage: Stage, data: bytes) -> None:
    """What the machine says, heard in this turn of the loop and not in the next."""
    pool = stage.running.service.machines.pools[machine_id("m-1")]
    pool._on_message(next(iter(pool.connections)), decode(data))
    stage.running.service._runner.flush()


async def test_a_release_goes_by_another_connection_where_its_own_is_closing(stage: Stage) -> None:
    """Guards against a release that is owed and was dropped without a word, its close not reported yet."""
    placer = await stage.start(Machine("m-1"))
    first, second = await placer.owner(), await placer.owner()
    second.say(line("test", "00000000000000f0", why=0))
    await ops(second, "tested")
    first.say(offer())
    await ops(first, "accept")
    front_end(stage, 1).close()
    machine_tells_now(stage, line("end", CALL, why=16))
    (ended,) = await ops(second, "end")
    assert ended["call"] == CALL
    assert ended["why"] == 16


async def test_a_release_waits_where_no_connection_is_left(stage: Stage) -> None:
    placer = await stage.start(Machine("m-1"))
    owner = await placer.owner()
    owner.say(offer())
    await ops(owner, "accept")
    front_end(stage, 1).close()
    machine_tells_now(stage, line("end", CALL, why=16))
    (ended,) = await ops(await placer.owner(), "end")
    assert ended["call"] == CALL


async def test_a_task_whose_answer_can_no_longer_be_written_does_not_stand_for_nobody(stage: Stage) -> None:
    """Its owner counts it as given up with its connection; the machine has to hear so."""

    async def script(_machine: Machine, peer: Peer, message: Json) -> None:
        if message["op"] == "end":
            peer.say(line("end", message["call"], why=31))

    machine = Machine("m-1", script)
    placer = await stage.start(machine)
    owner = await placer.owner()
    owner.say(offer())
    await until(machine.offers)
    front_end(stage, 1).close()
    machine_tells_now(stage, line("accept", CALL, desc="late"))
    await until(lambda: any(m["op"] == "end" and m["call"] == CALL for m in machine.seen))
    await until(lambda: not placer.core.requests)
    assert placer.core.counters.placed_without_client == 1


# ---- The end of a life ------------------------------------------------------------------------------------


async def test_what_comes_late_to_a_placer_that_ends_is_refused_at_once(stage: Stage) -> None:
    """Guards against set-ups that a kill finds unanswered: tasks stand, it lives on, and owners may come."""
    machine = Machine("m-1")
    placer = await stage.start(machine)
    owner = await placer.owner()
    owner.say(offer())
    await ops(owner, "accept")
    placer.service._shutdown.set()
    owner.say(offer(SECOND))
    await ops(owner, "accept")
    await until(lambda: placer.core.client_messages.is_closing)
    for number, peer in enumerate((owner, await placer.owner())):
        peer.say(offer(f"{number:016x}"))
        (refused,) = await ops(peer, "end")
        assert refused["why"] == 42
    assert len(machine.offers()) == 2
    for call in (CALL, SECOND):
        machine.peers[0].say(line("end", call, why=16))
    await ops(owner, "end", "end")  # and what stood is still looked after
    assert placer.task is not None
    await placer.task


async def test_told_to_end_a_placer_answers_what_is_queued_dialled_and_written(
    stage: Stage, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Waiting for a machine with room, for a connection, and for an answer: each gets its own."""
    held: list[Peer] = []

    async def script(machine: Machine, peer: Peer, message: Json) -> None:
        if message["op"] == "offer" and message["call"] == CALL:
            held.append(peer)
        else:
            await accepts(machine, peer, message)

    info = slow_info()
    info["Categories"][0]["DeadlineMs"] = 3_000.0
    placer = await stage.start(Machine("m-1", script), settings=info)
    dials = Dials(stage, monkeypatch, prompt=1)
    owner = await placer.owner()
    owner.say(offer(left="20000"))
    await until(lambda: held)
    owner.say(offer(SECOND, left="20000"))
    await until(lambda: dials.begun == 2)
    owner.say(offer("00000000000000a3", left="1500", extras="cores:22;memory:40;service:1"))  # no room for it
    await until(lambda: placer.core.requests.unanswered_count == 3)
    placer.service._shutdown.set()
    await until(lambda: placer.core.client_messages.is_closing)
    dials.up.set()
    held[0].say(line("accept", CALL, desc="late"))
    answers = {m["call"]: m["op"] for m in [await owner.read(), await owner.read(), await owner.read()] if m}
    assert answers == {CALL: "accept", SECOND: "accept", "00000000000000a3": "end"}


async def test_an_answer_in_the_buffer_is_out_before_the_placer_ends(stage: Stage) -> None:
    """An owner that reads slowly gets what was written; one that never reads holds nobody up for long."""
    placer = await stage.start(Machine("m-1"))
    slow, never = await placer.owner(), await placer.owner()
    for peer in (slow, never):
        peer.say(line("test", "00000000000000f0", why=0))
        await ops(peer, "tested")
        peer.reader._transport.pause_reading()  # type: ignore[attr-defined]
    filler = line("ringing", CALL, desc="x" * 8_000)
    for conn in (1, 2):
        writer = front_end(stage, conn)
        while writer.transport.get_write_buffer_size() < 100_000:
            writer.write(filler)
    front_end(stage, 1).write(line("end", CALL, why=42))
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


async def test_an_answer_counts_though_its_connection_is_reset_right_behind_it(stage: Stage) -> None:
    async def script(_machine: Machine, peer: Peer, message: Json) -> None:
        if message["op"] == "offer":
            peer.say(line("accept", message["call"], desc="good"))
            sock = peer.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            peer.cut()

    machine = Machine("m-1", script)
    placer = await stage.start(machine)
    owner = await placer.owner()
    owner.say(offer(cls="once"))
    (accepted,) = await ops(owner, "accept")
    assert accepted["desc"] == "good"
    await until(lambda: machine.opened > 1)  # its task stands: the machine is reached again


async def test_a_machine_that_hangs_costs_no_owner_its_answer(stage: Stage) -> None:
    """It takes connections and set-ups and says nothing. What may be repeated goes elsewhere."""

    async def hangs(_machine: Machine, peer: Peer, message: Json) -> None:
        pass

    await stage.start(Machine("m-1", hangs), Machine("m-2"))
    owner = await stage.running.owner()
    calls = {f"{number:016x}": ("easy", "keyed", "once")[number % 3] for number in range(1, 13)}
    for call, cls in calls.items():
        owner.say(offer(call, cls=cls, left="1500", extras="cores:1;memory:1;service:" + call[-2:]))
    answers = {m["call"]: m for m in [await owner.read() for _ in calls] if m is not None}
    assert set(answers) == set(calls)
    assert all(answers[call]["op"] == "accept" for call, cls in calls.items() if cls == "easy")
    hung = {message["call"] for message in stage.machines["m-1"].offers()}
    assert all(answers[call]["why"] == 41 for call in hung if calls[call] == "once")


async def test_a_flood_leaves_usual_owners_served_and_is_answered_or_closed(stage: Stage) -> None:
    """500 connections that say nothing, and 300 set-ups withdrawn in one breath by one that reads on."""
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    machine = Machine("m-1")
    placer = await stage.start(machine, limits=limits)
    usual = await placer.owner()
    usual.say(offer())
    await ops(usual, "accept")
    silent = [await placer.owner() for _ in range(500)]
    flood = await placer.owner()
    calls = [f"{number:016x}" for number in range(0x1000, 0x1000 + 300)]
    flood.say(b"".join(offer(call) + line("end", call, why=16) for call in calls))
    flood.say(line("test", "00000000000000f0", why=0))
    usual.say(offer(SECOND))
    (accepted,) = await ops(usual, "accept")
    assert accepted["call"] == SECOND
    while (message := await flood.read()) is not None and message["op"] != "tested":
        pass
    assert message is not None
    ends = [asyncio.create_task(peer.read()) for peer in silent]
    async with asyncio.timeout(10):
        assert set(await asyncio.gather(*ends)) == {None}
    assert {m["call"] for m in machine.offers()} == {CALL, SECOND}
