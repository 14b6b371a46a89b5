"""A placer that was stopped counts request timeouts from the arrival of requests, not from their read."""

from __future__ import annotations

import asyncio
import json
import os
import selectors
import signal
import socket
import sys
import time
from collections.abc import AsyncIterator
from pathlib import Path

import platforms
import pytest

from kelpfront.lab.platform import Json, Machine, Peer, line, member, offer
from kelpfront.platform.read_timing import OVERSLEEP_S, TimedSelector, UnreadTime

REQUEST_TIMEOUT_MS = 1500.0
STOPPED_S = 1.2


class Clock:
    """A clock that only the test advances."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class SimulatedSelector(TimedSelector):
    """A TimedSelector whose polls take as long as the test specifies, by a fake clock."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self.time = clock

    def iterate(self, timeout: float | None, took: float, then_busy: float = 0.0) -> None:
        left, right = socket.socketpair()
        with left, right:
            self.register(left, selectors.EVENT_READ)
            right.send(b"x")  # makes the real poll return at once; its duration is simulated
            began = self.time.now
            clock, self.clock = self.clock, self._after(began, took)
            self.select(timeout)
            self.clock = clock
            self.unregister(left)
        self.time.now = began + took + then_busy

    @staticmethod
    def _after(began: float, took: float):  # type: ignore[no-untyped-def]
        times = iter((began, began + took))
        return lambda: next(times)


def test_data_that_ends_a_wait_has_just_arrived() -> None:
    selector = SimulatedSelector(Clock())
    selector.iterate(None, took=5.0)
    assert selector.unread_since == 105.0
    selector.iterate(1.0, took=0.8)
    assert selector.unread_since == 105.8
    selector.close()


def test_data_read_after_a_busy_iteration_may_have_arrived_since_the_previous_poll() -> None:
    selector = SimulatedSelector(Clock())
    selector.iterate(None, took=1.0, then_busy=0.7)
    selector.iterate(0, took=0.0)
    assert selector.unread_since == 101.0
    selector.iterate(5.0, took=0.001)  # the data was there already: the wait ended at once
    assert selector.unread_since == pytest.approx(101.7)
    selector.close()


def test_a_poll_that_exceeds_its_timeout_means_that_the_process_was_stopped() -> None:
    selector = SimulatedSelector(Clock())
    selector.iterate(0.25, took=0.25 + OVERSLEEP_S + 3.0)
    assert selector.unread_since == 100.0
    selector.iterate(0, took=0.0)  # the previous poll was interrupted by SIGCONT and reported nothing
    assert selector.unread_since == 100.0
    selector.close()


def test_unread_time_counts_from_the_iteration_of_the_read_and_for_first_reads_from_the_accept() -> None:
    clock = Clock()
    selector = SimulatedSelector(clock)
    selector.iterate(None, took=1.0, then_busy=0.5)  # the poll returns at 101
    selector.iterate(0, took=0.0)  # the connection is accepted in this iteration, with data since 101
    unread = UnreadTime(selector)
    selector.iterate(0, took=0.0)
    unread.on_read()
    assert unread.unread_ms() == pytest.approx(500.0)  # the data may be as old as the connection
    for _ in range(3):
        selector.iterate(10.0, took=4.0)
    selector.iterate(0, took=0.0)
    unread.on_read()
    assert unread.unread_ms() == pytest.approx(0.0)
    clock.now += 0.3
    unread.on_read()  # returns the rest of the same data
    assert unread.unread_ms() == pytest.approx(300.0)
    selector.close()


def test_the_rest_of_a_backlog_may_have_arrived_with_its_beginning() -> None:
    """Guards against late answers to the last of many requests that arrived while the placer was stopped."""
    clock = Clock()
    selector = SimulatedSelector(clock)
    unread = UnreadTime(selector)
    for _ in range(4):
        selector.iterate(None, took=1.0)
    selector.iterate(0.25, took=3.0)  # stopped; the data arrives meanwhile
    began_at = selector.unread_since
    for has_backlog in (True, True, False):
        selector.iterate(0, took=0.0, then_busy=0.1)
        unread.on_read(has_backlog=has_backlog)
        assert unread.unread_ms() == pytest.approx((clock.now - began_at) * 1000.0)
    selector.iterate(None, took=1.0)
    selector.iterate(0, took=0.0)
    unread.on_read()
    assert unread.unread_ms() == pytest.approx(0.0)
    selector.close()


async def answer_only_health_checks(_machine: Machine, peer: Peer, message: Json) -> None:
    if message["op"] == "test":
        peer.say(line("tested", message["call"], why=1, with_={"load": "x0:12;x1:20"}))


@pytest.fixture
async def placer(tmp_path: Path) -> AsyncIterator[tuple[asyncio.subprocess.Process, int]]:
    machine = Machine("m-1", answer_only_health_checks)
    await machine.start()
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    path = tmp_path / "config.json"
    path.write_text(
        json.dumps(platforms.raw_config(member("m-1", machine.address), listen=f"127.0.0.1:{port}"))
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "kelpfront.platform",
        env=os.environ | {"LB_CONFIG": str(path)},
        stderr=asyncio.subprocess.DEVNULL,
    )
    yield process, port
    process.kill()
    await process.wait()
    machine.die()


@pytest.mark.parametrize("count", [1, 200])
async def test_a_process_that_was_stopped_answers_before_clients_give_up(
    placer: tuple[asyncio.subprocess.Process, int], count: int
) -> None:
    """Guards against answers that are late by the time for which a placer was stopped.

    By then, the clients have given up.
    """
    process, port = placer
    client: Peer | None = None

    async def connect() -> bool:
        nonlocal client
        try:
            client = Peer(*await asyncio.open_connection("127.0.0.1", port))
        except OSError:
            return False
        return True

    while not await connect():  # noqa: ASYNC110 - the port is open once the process has started
        await asyncio.sleep(0.01)
    assert client is not None
    client.say(line("test", "00000000000000b1", why=0))
    assert (await client.read() or {})["op"] == "tested"
    process.send_signal(signal.SIGSTOP)
    client.say(b"".join(offer(f"{number:016x}", left=str(REQUEST_TIMEOUT_MS)) for number in range(count)))
    sent_at = time.monotonic()
    await asyncio.sleep(STOPPED_S)
    process.send_signal(signal.SIGCONT)
    for _ in range(count):
        answer = await client.read()
        assert answer is not None
        assert answer["op"] == "end"
    took_ms = (time.monotonic() - sent_at) * 1000.0
    # If the timeout were counted from the read, the answer would arrive REQUEST_TIMEOUT_MS after SIGCONT, at
    # 2,700 ms. The bound is halfway between REQUEST_TIMEOUT_MS and that, to allow for slow hosts.
    assert took_ms < REQUEST_TIMEOUT_MS + STOPPED_S * 1000.0 / 2
