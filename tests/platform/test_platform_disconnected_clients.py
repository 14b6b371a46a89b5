"""No attempt begins for an client that has left: each way of leaving at each place where an attempt waits.

Clients are plain sockets, so that what they do has come to the placer's socket when the call returns, and
nothing of the placer ran meanwhile. What is judged is the order: first the client left, then an attempt would
have begun. No test looks at a clock, so a busy machine gives the same verdict.
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
from platforms import Dials, Stage, ops
from waiting import until

from kelpfront.lab.fleet.ports import free_port
from kelpfront.lab.fleet.processes import PlacerProcess
from kelpfront.lab.platform import CALL, Json, Machine, Peer, accepts, event, line, member, offer
from kelpfront.platform import client_connections
from kelpfront.platform.intents import AttemptKey, ClientPresence
from kelpfront.platform.messages import contains_withdrawal
from kelpfront.scheduling.events import AttemptOutcome

MARK = "00000000000000e1"  # of a set-up that comes after all that must not go out
WARM = [f"{number:016x}" for number in range(0xD1, 0xD3)]  # tasks that leave idle connections behind
PEER = "0" * 15  # before one digit: the ids of other lines


class Client:
    """A plain socket; each way of leaving has come to the placer's end when it returns."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # else words wait here for an ACK
        self.gone = False

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
        if not self.gone:
            self.gone = True
            getattr(self, how)()


LEAVES = pytest.mark.parametrize("how", ["withdraws", "half_closes", "closes", "resets"])


class Scene(Stage):
    """A stage with plain clients; `how` the one of CALL leaves right before its attempt `at` begins."""

    def __init__(self, path: Path) -> None:
        super().__init__(path)
        self.plain: list[Client] = []
        self.out: list[tuple[int, bool]] = []  # attempts of CALL that asked to go out, and whether they did

    def client(self) -> Client:
        self.plain.append(Client(self.running.service.port))
        return self.plain[-1]

    def leave_before(self, client: Client, how: str, number: int = 0) -> None:
        encode_offer = self.running.core.encode_offer

        def late(now: float, key: AttemptKey) -> bytes | None:
            if key == (CALL, number):
                client.leaves(how)
            data: bytes | None = encode_offer(now, key)
            if key.request_id == CALL:
                self.out.append((key.attempt_number, data is not None))
            return data

        self.running.core.encode_offer = late

    async def assert_nothing_sent(self, machine: Machine, but: int = 0) -> None:
        """Waits until CALL is over, and then for a set-up that comes later."""
        await until(lambda: self.running.core.requests.get(CALL) is None)
        marker = await self.running.client()
        marker.say(offer(MARK))
        assert (await ops(marker, "accept"))[0]["call"] == MARK
        assert sum(message["call"] == CALL for message in machine.offers()) == but

    async def warm(self, machine: Machine) -> None:
        """Leaves two idle connections to the machine."""
        told: list[Peer] = []

        async def waits_for_both(_machine: Machine, peer: Peer, message: Json) -> None:
            if message["op"] == "offer":
                told.append(peer)

        script, machine.script = machine.script, waits_for_both
        client = await self.running.client()
        client.say(b"".join(offer(call) for call in WARM))
        await until(lambda: len(told) == len(WARM))
        machine.script = script
        for peer, message in zip(told, machine.offers(), strict=True):
            peer.say(line("accept", message["call"], desc="warm"))
        await ops(client, "accept", "accept")


@pytest.fixture
async def scene(tmp_path: Path) -> AsyncIterator[Scene]:
    made = Scene(tmp_path)
    yield made
    for client in made.plain:
        client.sock.close()
    await made.stop()


def once_first() -> Json:
    """Settings under which a task of class `once` may come back to a machine that has refused it."""
    info = platforms.info()
    info["FamilyInfo"]["Precedence"] = [0, 2, 2]
    return info


def slow_info() -> Json:
    """Settings under which a connection may take long to come up, and clients wait for longer."""
    info = platforms.info()
    info["Permissions"]["ConnectTimeoutMs"] = 10_000.0
    for category in info["Categories"]:
        category |= {"DeadlineMs": 30_000.0, "AimMs": 20_000.0}
    return info


async def refuses_call(machine: Machine, peer: Peer, message: Json) -> None:
    if message["op"] == "offer" and message["call"] == CALL:
        peer.say(line("end", CALL, why=34, with_={"note": "nh"}))
    else:
        await accepts(machine, peer, message)


# ---- Right before the write, wherever the attempt waited --------------------------------------------------


@LEAVES
async def test_no_first_attempt_is_sent_for_a_client_that_has_left(scene: Scene, how: str) -> None:
    machine = Machine("m-1")
    await scene.start(machine)
    await scene.warm(machine)
    client = scene.client()
    scene.leave_before(client, how)
    client.say(offer())
    await scene.assert_nothing_sent(machine)
    assert scene.out == [(0, False)]


@LEAVES
async def test_no_attempt_is_sent_for_a_client_that_left_when_its_connection_comes_up(
    scene: Scene, monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    machine = Machine("m-1")
    await scene.start(machine, settings=slow_info())
    dials = Dials(scene, monkeypatch, prompt=0)
    client = scene.client()
    scene.leave_before(client, how)
    client.say(offer(left="20000"))
    await until(lambda: dials.begun)
    dials.up.set()
    await scene.assert_nothing_sent(machine)
    assert scene.out == [(0, False)]


@LEAVES
async def test_no_attempt_is_sent_for_a_client_that_left_when_another_connection_becomes_free(
    scene: Scene, monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    answers: list[Peer] = []

    async def script(machine: Machine, peer: Peer, message: Json) -> None:
        if message["call"] == WARM[0]:
            answers.append(peer)
        else:
            await accepts(machine, peer, message)

    machine = Machine("m-1", script)
    placer = await scene.start(machine, settings=slow_info())
    dials = Dials(scene, monkeypatch, prompt=1)
    first = await placer.client()
    first.say(offer(WARM[0], left="20000"))
    await until(lambda: answers)
    client = scene.client()
    scene.leave_before(client, how)
    client.say(offer(left="20000"))
    await until(lambda: dials.begun == 2)
    answers[0].say(line("accept", WARM[0], desc="late"))
    await scene.assert_nothing_sent(machine)
    assert scene.out == [(0, False)]
    dials.up.set()


@LEAVES
async def test_no_further_attempt_is_sent_when_a_rejection_and_the_clients_leaving_cross(
    scene: Scene, how: str
) -> None:
    machine = Machine("m-1", refuses_call)
    await scene.start(machine, settings=once_first())
    await scene.warm(machine)
    client = scene.client()
    scene.leave_before(client, how, number=1)
    client.say(offer(cls="once"))
    await scene.assert_nothing_sent(machine, but=1)
    assert scene.out == [(0, True), (1, False)]


@LEAVES
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
    assert scene.out == [(0, False)]


async def no_machine_ready(scene: Scene, machine: Machine) -> None:
    index = scene.running.core.endpoints.index + 1
    scene.coordinator.events.append(event(index, member("m-1", machine.address, "Terminating")))
    await until(lambda: scene.running.core.endpoints.index == index)


# ---- What a placer finds at once --------------------------------------------------------------------------


@LEAVES
async def test_a_request_of_a_client_that_came_and_left_while_the_placer_did_not_run_is_not_decided(
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
    """A reset takes back what was not read: nothing was ever asked for."""
    return len(scene.running.service.clients.connections) == 1


@LEAVES
async def test_a_client_that_left_as_its_rejection_came_gets_no_further_attempt(
    scene: Scene, how: str
) -> None:
    """Both lie in the placer's sockets when it runs again, and the refusal is read first."""
    machine = Machine("m-1")
    placer = await scene.start(machine, settings=once_first())
    await scene.warm(machine)
    client = scene.client()

    async def refuses_as_it_leaves(machine: Machine, peer: Peer, message: Json) -> None:
        if message["call"] == CALL and not client.gone:
            peer.say(line("end", CALL, why=34, with_={"note": "nh"}))
            client.leaves(how)
        else:
            await accepts(machine, peer, message)

    machine.script = refuses_as_it_leaves
    client.say(offer(cls="once"))
    await until(lambda: client.gone)
    await scene.assert_nothing_sent(machine, but=1)
    assert placer.core.counters.attempt_outcomes[AttemptOutcome.REJECTED] == 1
    assert placer.core.counters.rejected == 0


@LEAVES
async def test_a_client_that_left_while_its_connection_is_not_read_gets_no_attempt(
    scene: Scene, how: str
) -> None:
    """The placer's reader is full, so that neither end nor FIN nor reset can be heard, however long."""
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
    client.say(line("test", PEER + "1", why=0))  # the FIN lies behind unread bytes
    client.leaves(how)
    scene.coordinator.events.append(event(placer.core.endpoints.index + 1, member("m-1", machine.address)))
    await scene.assert_nothing_sent(machine)
    transport.resume_reading()


@pytest.mark.parametrize("read_size", [4_096, client_connections.READ_BYTES])
@LEAVES
async def test_a_client_that_left_behind_many_lines_gets_no_attempt(
    scene: Scene, monkeypatch: pytest.MonkeyPatch, how: str, read_size: int
) -> None:
    """The word lies among lines that wait for their turn, or in what was taken from the kernel unread."""
    monkeypatch.setattr(client_connections, "READ_BYTES", read_size)
    machine = Machine("m-1")
    placer = await scene.start(machine)
    await scene.warm(machine)
    client = scene.client()
    await until(lambda: len(placer.service.clients.connections) == 2)
    client.say(offer() + line("test", PEER + "1", why=0) * 600)
    client.leaves(how)
    await until(lambda: placer.core.counters.withdrawn or (how == "resets" and is_disconnect_unread(scene)))
    await scene.assert_nothing_sent(machine)


async def test_lines_ahead_of_a_close_are_still_processed(scene: Scene) -> None:
    """Guards against tasks handed over that are dropped as their client is found to have left."""
    machine = Machine("m-1")
    placer = await scene.start(machine)
    client = scene.client()
    await until(lambda: placer.service.clients.connections)
    held = [f"{number:016x}" for number in range(0x1000, 0x1000 + 400)]
    extras = "cores:1;memory:2;service:00000000b4d65521;at:m-1"
    client.say(offer() + b"".join(offer(call, extras=extras) for call in held))
    client.half_closes()
    await until(lambda: placer.core.counters.adopted_tasks == len(held))
    assert placer.core.counters.clients_left_before_send == 1
    assert not placer.core.requests.unanswered_count


# ---- A process that stood still ---------------------------------------------------------------------------


@contextlib.contextmanager
def stopped(placer: PlacerProcess) -> Iterator[None]:
    placer.stop()
    yield
    placer.go_on()


def state_of(pid: int) -> str:
    return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]


@LEAVES
async def test_a_process_that_stood_still_sends_nothing_for_clients_that_left_meanwhile(
    tmp_path: Path, how: str
) -> None:
    machine = Machine("m-1")
    await machine.start()
    raw = platforms.raw_config(member("m-1", machine.address))
    raw["listen"] = f"127.0.0.1:{free_port()}"
    placer = PlacerProcess("p1", raw, tmp_path)
    await placer.start()
    peer: Peer | None = None
    client: Client | None = None
    try:

        async def up() -> Peer:
            while True:
                with contextlib.suppress(OSError):
                    return Peer(*await asyncio.open_connection("127.0.0.1", placer.port))
                await asyncio.sleep(0.05)

        peer = await asyncio.wait_for(up(), 30.0)
        peer.say(offer(WARM[0]))  # leaves an idle connection to the machine
        await ops(peer, "accept")
        client = Client(placer.port)
        client.say(line("test", PEER + "1", why=0))
        await asyncio.get_running_loop().run_in_executor(None, client.sock.recv, 4_096)
        with stopped(placer):
            await until(lambda: state_of(placer.pid) == "T")
            client.say(offer())
            client.leaves(how)
        peer.say(offer(MARK))
        assert (await ops(peer, "accept"))[0]["call"] == MARK
        peer.say(line("test", PEER + "2", why=0))
        await ops(peer, "tested")
        assert [message["call"] for message in machine.offers()] == [WARM[0], MARK]
    finally:
        for one in (peer.cut if peer else None, client.sock.close if client else None):
            if one is not None:
                one()
        await placer.kill()
        machine.die()


# ---- The words that give a set-up up ----------------------------------------------------------------------


@pytest.mark.parametrize(
    ("unread", "wanted"),
    [
        (b"", False),
        (line("end", CALL, why=16), True),
        (line("end", CALL, why=16)[:-1], False),  # not whole yet
        (line("test", CALL, why=0), False),
        (line("end", MARK, why=16), False),
        (b"rest of a line}\n", False),
        (line("test", MARK, why=0) + line("end", CALL, why=16) + b"{", True),
        (b"spoilt " + CALL.encode() + b"\n" + line("end", CALL, why=16), False),
    ],
)
def test_only_a_complete_line_withdraws_a_request(unread: bytes, *, wanted: bool) -> None:
    assert contains_withdrawal(unread, CALL) is wanted


async def test_a_client_that_waits_counts_as_waiting(scene: Scene) -> None:
    """Guards against a look that takes a live client for one that has left: unread words are no end."""
    machine = Machine("m-1")
    placer = await scene.start(machine)
    await scene.warm(machine)
    client = scene.client()
    seen: list[Any] = []
    presence: Callable[[int, str], ClientPresence] = placer.core.lifecycle.find_presence

    def looks(conn: int, call: str) -> ClientPresence:
        if call == CALL and not seen:
            client.say(line("test", PEER + "1", why=0) + line("end", PEER + "2", why=16))
        seen.append(presence(conn, call))
        return ClientPresence(seen[-1])

    placer.core.lifecycle.find_presence = looks
    client.say(offer())
    await until(lambda: any(message["call"] == CALL for message in machine.offers()))
    assert set(seen) == {ClientPresence.WAITING}
    assert len(seen) == 2
