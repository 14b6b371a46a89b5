"""No attempt begins for a client that has left: each way of leaving, at each point where an attempt waits.

Clients are plain sockets: when a call returns, its effect has arrived at the placer's socket, and no code of
the placer has run meanwhile. The tests check an order: the client leaves before an attempt would begin. No
test uses a clock, so a busy host does not change the result.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Callable, Iterator
from pathlib import Path
from typing import Any

import platforms
import pytest
from platforms import DelayedConnections, PlacerFixture, expect_ops
from waiting import until

from kelpfront.lab.fleet.ports import free_port
from kelpfront.lab.fleet.processes import PlacerProcess
from kelpfront.lab.platform import CALL, Coordinator, Json, Machine, Peer, accepts, event, line, member, offer
from kelpfront.platform import client_connections
from kelpfront.platform.intents import AttemptKey, ClientPresence
from kelpfront.platform.messages import contains_withdrawal
from kelpfront.scheduling.events import AttemptOutcome

MARKER_ID = "00000000000000e1"  # request sent after everything that must not be sent
WARM_UP_IDS = [f"{number:016x}" for number in range(0xD1, 0xD3)]  # their connections stay idle
OTHER_ID_PREFIX = "0" * 15  # prefix of the ids of other lines; one digit follows


class Client:
    """A plain socket; when a method returns, its effect has arrived at the placer's socket."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # else lines wait here for an ACK
        self.has_left = False

    def say(self, data: bytes) -> None:
        self.sock.sendall(data)

    def withdraws(self) -> None:
        self.say(line("end", CALL, why=16))

    def half_closes(self) -> None:
        self.sock.shutdown(socket.SHUT_WR)

    def closes(self) -> None:
        self.sock.close()

    def resets(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    def leaves(self, how: str) -> None:
        if not self.has_left:
            self.has_left = True
            getattr(self, how)()


WAYS_OF_LEAVING = pytest.mark.parametrize("how", ["withdraws", "half_closes", "closes", "resets"])


class Scene(PlacerFixture):
    """A stage with plain clients, one of which can leave right before an attempt of its request."""

    def __init__(self, path: Path) -> None:
        super().__init__(path)
        self.plain_clients: list[Client] = []
        self.send_results: list[tuple[int, bool]] = []  # attempts of CALL to be sent, and whether they were

    def client(self) -> Client:
        self.plain_clients.append(Client(self.running.service.port))
        return self.plain_clients[-1]

    def leave_before(self, client: Client, how: str, number: int = 0) -> None:
        encode_offer = self.running.core.encode_offer

        def encode_after_leaving(now: float, key: AttemptKey) -> bytes | None:
            if key == (CALL, number):
                client.leaves(how)
            data: bytes | None = encode_offer(now, key)
            if key.request_id == CALL:
                self.send_results.append((key.attempt_number, data is not None))
            return data

        self.running.core.encode_offer = encode_after_leaving

    async def assert_nothing_sent(self, machine: Machine, expected_count: int = 0) -> None:
        """Wait until CALL has ended and a later request is placed; earlier offers have arrived by then."""
        await until(lambda: self.running.core.requests.get(CALL) is None)
        marker = await self.running.client()
        marker.say(offer(MARKER_ID))
        assert (await expect_ops(marker, "accept"))[0]["call"] == MARKER_ID
        assert sum(message["call"] == CALL for message in machine.offers()) == expected_count

    async def warm(self, machine: Machine) -> None:
        """Open two connections to the machine and leave them idle."""
        waiting_peers: list[Peer] = []

        async def collect_offers(_machine: Machine, peer: Peer, message: Json) -> None:
            if message["op"] == "offer":
                waiting_peers.append(peer)

        script, machine.script = machine.script, collect_offers
        client = await self.running.client()
        client.say(b"".join(offer(call) for call in WARM_UP_IDS))
        await until(lambda: len(waiting_peers) == len(WARM_UP_IDS))
        machine.script = script
        for peer, message in zip(waiting_peers, machine.offers(), strict=True):
            peer.say(line("accept", message["call"], desc="warm"))
        await expect_ops(client, "accept", "accept")


@pytest.fixture
async def scene(tmp_path: Path) -> AsyncIterator[Scene]:
    made = Scene(tmp_path)
    yield made
    for client in made.plain_clients:
        client.sock.close()
    await made.stop()


def same_machine_retry_info() -> Json:
    """Return settings under which a task of class `once` may return to a machine that has rejected it."""
    info = platforms.info()
    info["FamilyInfo"]["Precedence"] = [0, 2, 2]
    return info


def slow_connect_info() -> Json:
    """Return settings under which connecting may take long, and clients wait longer than that."""
    info = platforms.info()
    info["Permissions"]["ConnectTimeoutMs"] = 10_000.0
    for category in info["Categories"]:
        category |= {"DeadlineMs": 30_000.0, "AimMs": 20_000.0}
    return info


async def reject_call(machine: Machine, peer: Peer, message: Json) -> None:
    if message["op"] == "offer" and message["call"] == CALL:
        peer.say(line("end", CALL, why=34, with_={"note": "nh"}))
    else:
        await accepts(machine, peer, message)


# ---- Right before the write, wherever the attempt waited --------------------------------------------------


@WAYS_OF_LEAVING
async def test_no_first_attempt_is_sent_for_a_client_that_has_left(scene: Scene, how: str) -> None:
    machine = Machine("m-1")
    await scene.start(machine)
    await scene.warm(machine)
    client = scene.client()
    scene.leave_before(client, how)
    client.say(offer())
    await scene.assert_nothing_sent(machine)
    assert scene.send_results == [(0, False)]


@WAYS_OF_LEAVING
async def test_no_attempt_is_sent_for_a_client_that_left_when_its_connection_comes_up(
    scene: Scene, monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    machine = Machine("m-1")
    await scene.start(machine, settings=slow_connect_info())
    delayed_connections = DelayedConnections(scene, monkeypatch, prompt=0)
    client = scene.client()
    scene.leave_before(client, how)
    client.say(offer(left="20000"))
    await until(lambda: delayed_connections.begun)
    delayed_connections.up.set()
    await scene.assert_nothing_sent(machine)
    assert scene.send_results == [(0, False)]


@WAYS_OF_LEAVING
async def test_no_attempt_is_sent_for_a_client_that_left_when_another_connection_becomes_free(
    scene: Scene, monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    answers: list[Peer] = []

    async def script(machine: Machine, peer: Peer, message: Json) -> None:
        if message["call"] == WARM_UP_IDS[0]:
            answers.append(peer)
        else:
            await accepts(machine, peer, message)

    machine = Machine("m-1", script)
    placer = await scene.start(machine, settings=slow_connect_info())
    delayed_connections = DelayedConnections(scene, monkeypatch, prompt=1)
    first = await placer.client()
    first.say(offer(WARM_UP_IDS[0], left="20000"))
    await until(lambda: answers)
    client = scene.client()
    scene.leave_before(client, how)
    client.say(offer(left="20000"))
    await until(lambda: delayed_connections.begun == 2)
    answers[0].say(line("accept", WARM_UP_IDS[0], desc="late"))
    await scene.assert_nothing_sent(machine)
    assert scene.send_results == [(0, False)]
    delayed_connections.up.set()


@WAYS_OF_LEAVING
async def test_no_further_attempt_is_sent_when_a_rejection_crosses_with_the_client_leaving(
    scene: Scene, how: str
) -> None:
    machine = Machine("m-1", reject_call)
    await scene.start(machine, settings=same_machine_retry_info())
    await scene.warm(machine)
    client = scene.client()
    scene.leave_before(client, how, number=1)
    client.say(offer(cls="once"))
    await scene.assert_nothing_sent(machine, expected_count=1)
    assert scene.send_results == [(0, True), (1, False)]


@WAYS_OF_LEAVING
async def test_no_attempt_is_sent_for_a_client_that_left_when_a_machine_becomes_ready(
    scene: Scene, how: str
) -> None:
    machine = Machine("m-1")
    placer = await scene.start(machine)
    await scene.warm(machine)
    await no_machine_ready(scene, machine)
    client = scene.client()
    scene.leave_before(client, how)
    client.say(offer())
    await until(lambda: placer.core.requests.unanswered_count)
    scene.coordinator.events.append(event(placer.core.endpoints.index + 1, member("m-1", machine.address)))
    await scene.assert_nothing_sent(machine)
    assert scene.send_results == [(0, False)]


async def no_machine_ready(scene: Scene, machine: Machine) -> None:
    index = scene.running.core.endpoints.index + 1
    scene.coordinator.events.append(event(index, member("m-1", machine.address, "Terminating")))
    await until(lambda: scene.running.core.endpoints.index == index)


# ---- Events that a placer reads in one iteration ----------------------------------------------------------


@WAYS_OF_LEAVING
async def test_a_request_of_a_client_that_left_before_the_placer_read_it_is_not_submitted(
    scene: Scene, how: str
) -> None:
    machine = Machine("m-1")
    placer = await scene.start(machine)
    await scene.warm(machine)
    client = scene.client()
    await until(lambda: len(placer.service.clients.connections) == 2)
    attempts = placer.core.counters.attempts
    client.say(offer())
    client.leaves(how)
    await until(lambda: placer.core.counters.withdrawn or (how == "resets" and is_disconnect_unread(scene)))
    assert placer.core.counters.attempts == attempts
    await scene.assert_nothing_sent(machine)


def is_disconnect_unread(scene: Scene) -> bool:
    """Return whether one connection is left: a reset discards unread data, also an unread request."""
    return len(scene.running.service.clients.connections) == 1


@WAYS_OF_LEAVING
async def test_a_client_that_left_while_a_rejection_arrived_gets_no_further_attempt(
    scene: Scene, how: str
) -> None:
    """Both events are in the placer's sockets when it runs again, and the rejection is read first."""
    machine = Machine("m-1")
    placer = await scene.start(machine, settings=same_machine_retry_info())
    await scene.warm(machine)
    client = scene.client()

    async def reject_while_client_leaves(machine: Machine, peer: Peer, message: Json) -> None:
        if message["call"] == CALL and not client.has_left:
            peer.say(line("end", CALL, why=34, with_={"note": "nh"}))
            client.leaves(how)
        else:
            await accepts(machine, peer, message)

    machine.script = reject_while_client_leaves
    client.say(offer(cls="once"))
    await until(lambda: client.has_left)
    await scene.assert_nothing_sent(machine, expected_count=1)
    assert placer.core.counters.attempt_outcomes[AttemptOutcome.REJECTED] == 1
    assert placer.core.counters.rejected == 0


@WAYS_OF_LEAVING
async def test_a_client_that_left_while_its_connection_is_not_read_gets_no_attempt(
    scene: Scene, how: str
) -> None:
    """The placer's reader is full, so that it reads neither a withdrawal nor a FIN nor a reset."""
    machine = Machine("m-1")
    placer = await scene.start(machine)
    await scene.warm(machine)
    await no_machine_ready(scene, machine)
    client = scene.client()
    client.say(offer())
    await until(lambda: placer.core.requests.unanswered_count)
    conn = placer.core.requests.get(CALL).connection
    transport: Any = placer.service.clients.connections[conn].writer.transport
    transport.pause_reading()
    client.say(line("test", OTHER_ID_PREFIX + "1", why=0))  # the FIN arrives after unread bytes
    client.leaves(how)
    scene.coordinator.events.append(event(placer.core.endpoints.index + 1, member("m-1", machine.address)))
    await scene.assert_nothing_sent(machine)
    transport.resume_reading()


@pytest.mark.parametrize("read_size", [4_096, client_connections.MAX_READ_BYTES])
@WAYS_OF_LEAVING
async def test_a_client_that_left_behind_many_lines_gets_no_attempt(
    scene: Scene, monkeypatch: pytest.MonkeyPatch, how: str, read_size: int
) -> None:
    """The withdrawal is among pending lines, or in data that was read from the kernel, not processed."""
    monkeypatch.setattr(client_connections, "MAX_READ_BYTES", read_size)
    machine = Machine("m-1")
    placer = await scene.start(machine)
    await scene.warm(machine)
    client = scene.client()
    await until(lambda: len(placer.service.clients.connections) == 2)
    client.say(offer() + line("test", OTHER_ID_PREFIX + "1", why=0) * 600)
    client.leaves(how)
    await until(lambda: placer.core.counters.withdrawn or (how == "resets" and is_disconnect_unread(scene)))
    await scene.assert_nothing_sent(machine)


async def test_lines_ahead_of_a_close_are_still_processed(scene: Scene) -> None:
    """Guards against dropping tasks that a client hands over right before it leaves."""
    machine = Machine("m-1")
    placer = await scene.start(machine)
    client = scene.client()
    await until(lambda: placer.service.clients.connections)
    handed_over = [f"{number:016x}" for number in range(0x1000, 0x1000 + 400)]
    extras = "cores:1;memory:2;service:00000000b4d65521;at:m-1"
    client.say(offer() + b"".join(offer(call, extras=extras) for call in handed_over))
    client.half_closes()
    await until(lambda: placer.core.counters.adopted_tasks == len(handed_over))
    assert placer.core.counters.clients_left_before_send == 1
    assert not placer.core.requests.unanswered_count


# ---- A process that was stopped ---------------------------------------------------------------------------


@contextlib.contextmanager
def stopped(placer: PlacerProcess) -> Iterator[None]:
    placer.stop()
    yield
    placer.go_on()


def state_of(pid: int) -> str:
    return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]


@WAYS_OF_LEAVING
async def test_a_process_that_was_stopped_sends_nothing_for_clients_that_left_meanwhile(
    tmp_path: Path, how: str
) -> None:
    machine = Machine("m-1")
    await machine.start()
    coordinator = Coordinator()
    await coordinator.start()
    raw = platforms.raw_config(member("m-1", machine.address), coordinator=coordinator.address)
    raw["listen"] = f"127.0.0.1:{free_port()}"
    placer = PlacerProcess("p1", raw, tmp_path)
    await placer.start()
    peer: Peer | None = None
    client: Client | None = None
    try:

        async def connect() -> Peer:
            while True:
                with contextlib.suppress(OSError):
                    return Peer(*await asyncio.open_connection("127.0.0.1", placer.port))
                await asyncio.sleep(0.05)

        peer = await asyncio.wait_for(connect(), 30.0)
        peer.say(offer(WARM_UP_IDS[0]))  # opens a connection to the machine, which stays idle
        await expect_ops(peer, "accept")
        client = Client(placer.port)
        client.say(line("test", OTHER_ID_PREFIX + "1", why=0))
        await asyncio.get_running_loop().run_in_executor(None, client.sock.recv, 4_096)
        with stopped(placer):
            await until(lambda: state_of(placer.pid) == "T")
            client.say(offer())
            client.leaves(how)
        peer.say(offer(MARKER_ID))
        assert (await expect_ops(peer, "accept"))[0]["call"] == MARKER_ID
        peer.say(line("test", OTHER_ID_PREFIX + "2", why=0))
        await expect_ops(peer, "tested")
        assert [message["call"] for message in machine.offers()] == [WARM_UP_IDS[0], MARKER_ID]
    finally:
        for close in (peer.cut if peer else None, client.sock.close if client else None):
            if close is not None:
                close()
        await placer.kill()
        machine.die()
        await coordinator.stop()


# ---- Lines that withdraw a request ------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("unread", "wanted"),
    [
        (b"", False),
        (line("end", CALL, why=16), True),
        (line("end", CALL, why=16)[:-1], False),  # not complete yet
        (line("test", CALL, why=0), False),
        (line("end", MARKER_ID, why=16), False),
        (b"rest of a line}\n", False),
        (line("test", MARKER_ID, why=0) + line("end", CALL, why=16) + b"{", True),
        (b"spoilt " + CALL.encode() + b"\n" + line("end", CALL, why=16), False),
    ],
)
def test_only_a_complete_line_withdraws_a_request(unread: bytes, *, wanted: bool) -> None:
    assert contains_withdrawal(unread, CALL) is wanted


async def test_a_client_that_waits_counts_as_waiting(scene: Scene) -> None:
    """Guards against mistaking a waiting client for one that has left: unread lines are no disconnection."""
    machine = Machine("m-1")
    placer = await scene.start(machine)
    await scene.warm(machine)
    client = scene.client()
    seen: list[Any] = []
    presence: Callable[[int, str], ClientPresence] = placer.core.lifecycle.find_presence

    def find_presence_and_send(conn: int, call: str) -> ClientPresence:
        if call == CALL and not seen:
            client.say(
                line("test", OTHER_ID_PREFIX + "1", why=0) + line("end", OTHER_ID_PREFIX + "2", why=16)
            )
        seen.append(presence(conn, call))
        return ClientPresence(seen[-1])

    placer.core.lifecycle.find_presence = find_presence_and_send
    client.say(offer())
    await until(lambda: any(message["call"] == CALL for message in machine.offers()))
    assert set(seen) == {ClientPresence.WAITING}
    assert len(seen) == 2
