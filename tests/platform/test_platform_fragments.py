"""Tests of fragmented requests and of requests that no machine answers, as in docs/design/platform.md."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from core_stage import NOW, CoreFixture
from placers import ready
from platforms import PlacerFixture, expect_ops
from waiting import until

from kelpfront.lab.fleet.lists import ListService
from kelpfront.lab.fleet.ports import free_port
from kelpfront.lab.fleet.processes import PlacerProcess
from kelpfront.lab.fleet.settings import config_json
from kelpfront.lab.platform import CALL, Json, Machine, Peer, event, line, member, offer
from kelpfront.platform import idle_connections
from kelpfront.platform.intents import Offer
from kelpfront.platform.messages import RETRYABLE_CAUSES

SECOND = "00000000000000a2"
QUIET_PERIOD_S = 0.5  # time in which nothing further may arrive
CLASSES = pytest.mark.parametrize("cls", ["easy", "keyed", "once"])
DESC = "s=pi\u00e8ce \u2603 \U0001f980\r\n"


@pytest.fixture
async def stage(tmp_path: Path) -> AsyncIterator[PlacerFixture]:
    new_stage = PlacerFixture(tmp_path)
    yield new_stage
    await new_stage.stop()


def raw_offer(call: str = CALL, **changes: str) -> bytes:
    """Return an offer whose description has characters of two, three and four bytes."""
    return json.dumps(json.loads(offer(call, desc=DESC, **changes)), ensure_ascii=False).encode() + b"\n"


async def assert_silent(peer: Peer, quiet_s: float = QUIET_PERIOD_S) -> None:
    """Assert that the peer receives nothing more, neither a line nor the end of the stream."""
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(quiet_s):
            await peer.reader.read(1)


# ---- Fragments --------------------------------------------------------------------------------------------


async def test_two_requests_that_arrive_byte_by_byte_at_the_same_time_are_both_read(
    stage: PlacerFixture,
) -> None:
    machine = Machine("m-1")
    placer = await stage.start(machine)
    first, second = await placer.client(), await placer.client()
    for first_byte, second_byte in zip(raw_offer(), raw_offer(SECOND), strict=True):
        first.say(bytes([first_byte]))
        second.say(bytes([second_byte]))
        await asyncio.sleep(0.001)
    for peer, call in ((first, CALL), (second, SECOND)):
        (accepted,) = await expect_ops(peer, "accept")
        assert accepted["call"] == call
    assert {m["call"]: m["desc"] for m in machine.offers()} == {CALL: DESC, SECOND: DESC}


async def test_a_request_is_read_wherever_it_was_split_in_two(stage: PlacerFixture) -> None:
    """Splits at every third byte, also within characters; the request before the split one is answered."""
    machine = Machine("m-1")
    placer = await stage.start(machine)
    client = await placer.client()
    rest, cuts = b"", range(1, len(raw_offer()), 3)
    for number, cut in enumerate(cuts):
        data = raw_offer(f"{number:016x}")
        client.say(rest + data[:cut])
        rest = data[cut:]
        if number:
            (accepted,) = await expect_ops(client, "accept")
            assert accepted["call"] == f"{number - 1:016x}"
            machine.peers[0].say(line("end", accepted["call"], why=16))
            await expect_ops(client, "end")
    client.say(rest)
    await expect_ops(client, "accept")
    assert {m["desc"] for m in machine.offers()} == {DESC}
    assert len(machine.offers()) == len(cuts)


@pytest.mark.parametrize("has_sent", [True, False], ids=["spoke long ago", "opened long ago"])
async def test_a_line_just_begun_does_not_count_as_one_that_stopped(
    stage: PlacerFixture, *, has_sent: bool
) -> None:
    """Guards against closing a connection between two fragments of a request because it was idle for 2 s."""
    placer = await stage.start(Machine("m-1"))
    client = await placer.client()
    if has_sent:
        client.say(line("test", "00000000000000f0", why=0))
        await expect_ops(client, "tested")
    await until(lambda: placer.service.clients.connections)
    (connection,) = placer.service.clients.connections.values()
    connection.opened_at -= (
        10.0 if has_sent else idle_connections.NO_VALID_MESSAGE_S + 0.1
    )  # the longest that a sweep allows
    connection.last_valid_at -= 5.0
    data = raw_offer()
    client.say(data[:100])
    await until(lambda: connection.partial_line is not None)
    placer.service.clients.sweep()
    client.say(data[100:])
    await expect_ops(client, "accept")


async def test_the_timeout_of_a_request_counts_from_its_last_byte(tmp_path: Path) -> None:
    """With processes. The fragments are 2.2 s apart, which exceeds the request's time limit of 2 s."""
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
    try:
        for placer in placers:
            await placer.start()
        clients = [await ready(placer) for placer in placers]
        for number, client in enumerate(clients):
            client.say(raw_offer(f"{number:016x}", left="2000")[:150])
        await asyncio.sleep(2.2)
        for number, client in enumerate(clients):
            client.say(raw_offer(f"{number:016x}", left="2000")[150:])
        for client in clients:
            await expect_ops(client, "accept")
        assert all(0 < int(m["with"]["left"]) <= 2_000 for m in machine.offers())
    finally:
        for placer in placers:
            await placer.kill()
        await service.stop()
        machine.die()


@pytest.mark.parametrize("how", ["ends", "resets"])
async def test_a_fragment_without_its_rest_is_ignored(stage: PlacerFixture, how: str) -> None:
    machine = Machine("m-1")
    placer = await stage.start(machine)
    client, other = await placer.client(), await placer.client()
    client.say(raw_offer()[:-1])  # all but the line feed
    await until(lambda: any(opened.partial_line for opened in placer.service.clients.connections.values()))
    if how == "resets":
        sock = client.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.cut()
    else:
        client.writer.write_eof()
        assert await client.read() is None  # closed without an answer, since the request was never complete
    await until(lambda: len(placer.service.clients.connections) == 1)
    other.say(offer(SECOND))
    await expect_ops(other, "accept")
    assert [m["call"] for m in machine.offers()] == [SECOND]
    assert placer.core.counters.requests == 1


@pytest.mark.parametrize("has_sent", [True, False])
async def test_a_connection_that_stopped_within_a_line_is_closed(
    stage: PlacerFixture, monkeypatch: pytest.MonkeyPatch, *, has_sent: bool
) -> None:
    monkeypatch.setattr(idle_connections, "FRAGMENT_S" if has_sent else "FIRST_LINE_S", 0.3)
    placer = await stage.start(Machine("m-1"))
    client = await placer.client()
    if has_sent:
        client.say(line("test", "00000000000000f0", why=0))
        await expect_ops(client, "tested")
    client.say(raw_offer()[:50])
    assert await client.read() is None


# ---- Unanswered -------------------------------------------------------------------------------------------


@CLASSES
@pytest.mark.parametrize("machines", ["silent", "none ready", "never reached"])
def test_a_request_that_no_machine_answers_has_one_answer_before_its_client_gives_up(
    cls: str, machines: str
) -> None:
    """In virtual time. A request that may have been executed is not answered with a retryable cause.

    One that waits for a connection to the end is answered as failed, though nothing was executed; the cost is
    that of a refusal.
    """
    phase = "Terminating" if machines == "none ready" else "Ready"
    stage = CoreFixture(*(member(f"m-{number}", phase=phase) for number in range(3)))
    stage.client(offer(cls=cls, left="1500"))
    written = 0
    while stage.now < NOW + 1_500.0 and not stage.sent_to_clients:
        for intent in stage.intents_of(Offer):
            written += machines == "silent" and stage.core.encode_offer(stage.now, intent.key) is not None
        stage.advance(1.0)
    assert stage.sent_to_clients
    assert stage.now < NOW + 1_500.0
    (answer,) = (message for _, message in stage.sent_to_clients)
    assert answer["op"] == "end"
    assert (machines == "silent") is (written > 0)
    if machines != "never reached":
        assert (answer["why"] in RETRYABLE_CAUSES) is (cls == "easy" or not written)
    stage.advance(20_000.0)
    assert len(stage.sent_to_clients) == 1
    assert not stage.core.requests


async def test_a_placer_whose_machines_are_all_unresponsive_answers_each_request_once(
    stage: PlacerFixture,
) -> None:
    """The machines accept connections and all messages, also health checks, but never answer."""

    async def silent(_machine: Machine, peer: Peer, message: Json) -> None:
        pass

    placer = await stage.start(*(Machine(f"m-{number}", silent) for number in range(3)))
    client = await placer.client()
    calls = {f"{number:016x}": ("easy", "keyed", "once")[number % 3] for number in range(1, 16)}
    for call, cls in calls.items():
        client.say(offer(call, cls=cls, left="1200", extras="cores:1;memory:1;service:" + call[-2:]))
    answers = [m for m in [await client.read() for _ in calls] if m is not None]
    assert sorted(m["call"] for m in answers) == sorted(calls)
    assert {m["op"] for m in answers} == {"end"}
    for machine in stage.machines.values():
        for peer in machine.peers:
            for call in calls:
                peer.say(line("accept", call, desc="late"))
    await assert_silent(client)
    assert not placer.core.requests
    offers = [(m.name, o["call"]) for m in stage.machines.values() for o in m.offers()]
    assert sum(calls[call] == "once" for _, call in offers) <= 5
