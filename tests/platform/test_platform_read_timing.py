"""A placer that stood still counts clients' patience from when set-ups came, not from when it reads them."""

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

LEFT_MS = 1500.0
STILL_S = 1.2


class Clock:
    """Time that goes on only when it is told to."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class Poll(TimedSelector):
    """TimedSelector over a poll that takes as long as the test says."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self.time = clock

    def iterate(self, timeout: float | None, took: float, then_busy: float = 0.0) -> None:
        left, right = socket.socketpair()
        with left, right:
            self.register(left, selectors.EVENT_READ)
            right.send(b"x")  # so that the poll itself returns at once; its time is the test's
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


def test_data_that_ends_a_wait_has_just_come() -> None:
    poll = Poll(Clock())
    poll.iterate(None, took=5.0)
    assert poll.unread_since == 105.0
    poll.iterate(1.0, took=0.8)
    assert poll.unread_since == 105.8
    poll.close()


def test_data_left_unread_by_a_busy_iteration_may_have_come_since_the_poll_before() -> None:
    poll = Poll(Clock())
    poll.iterate(None, took=1.0, then_busy=0.7)
    poll.iterate(0, took=0.0)
    assert poll.unread_since == 101.0
    poll.iterate(5.0, took=0.001)  # it was there: the wait ended at once
    assert poll.unread_since == pytest.approx(101.7)
    poll.close()


def test_a_wait_that_is_longer_than_asked_for_was_a_standstill() -> None:
    poll = Poll(Clock())
    poll.iterate(0.25, took=0.25 + OVERSLEEP_S + 3.0)
    assert poll.unread_since == 100.0
    poll.iterate(0, took=0.0)  # broken off by the signal to go on, the one before reported nothing
    assert poll.unread_since == 100.0
    poll.close()


def test_unread_time_counts_from_the_iteration_that_read_and_before_that_from_the_accept() -> None:
    clock = Clock()
    poll = Poll(clock)
    poll.iterate(None, took=1.0, then_busy=0.5)  # returns at 101
    poll.iterate(0, took=0.0)  # accepted in this turn: since 101
    unread = UnreadTime(poll)
    poll.iterate(0, took=0.0)
    unread.on_read()
    assert unread.unread_ms() == pytest.approx(500.0)  # it may be as old as the request to connect
    for _ in range(3):
        poll.iterate(10.0, took=4.0)
    poll.iterate(0, took=0.0)
    unread.on_read()
    assert unread.unread_ms() == pytest.approx(0.0)
    clock.now += 0.3
    unread.on_read()  # the rest of the same read
    assert unread.unread_ms() == pytest.approx(300.0)
    poll.close()


async def mute(_machine: Machine, peer: Peer, message: Json) -> None:
    if message["op"] == "test":
        peer.say(line("tested", message["call"], why=1, with_={"load": "x0:12;x1:20"}))


@pytest.fixture
async def placer(tmp_path: Path) -> AsyncIterator[tuple[asyncio.subprocess.Process, int]]:
    machine = Machine("m-1", mute)
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


async def test_a_process_that_was_stopped_answers_before_clients_give_up(
    placer: tuple[asyncio.subprocess.Process, int],
) -> None:
    """Guards against answers late by as long as a placer stood still: their clients had given up by then."""
    process, port = placer
    client: Peer | None = None

    async def reached() -> bool:
        nonlocal client
        try:
            client = Peer(*await asyncio.open_connection("127.0.0.1", port))
        except OSError:
            return False
        return True

    while not await reached():  # noqa: ASYNC110 - the port is open once the process has started
        await asyncio.sleep(0.01)
    assert client is not None
    client.say(line("test", "00000000000000b1", why=0))
    assert (await client.read() or {})["op"] == "tested"
    process.send_signal(signal.SIGSTOP)
    client.say(offer(left=str(LEFT_MS)))
    sent_at = time.monotonic()
    await asyncio.sleep(STILL_S)
    process.send_signal(signal.SIGCONT)
    answer = await client.read()
    took_ms = (time.monotonic() - sent_at) * 1000.0
    assert answer is not None
    assert answer["op"] == "end"
    # Before, it came LEFT_MS after the process went on: 2,700 ms. Half of the rest is for slow hosts.
    assert took_ms < LEFT_MS + STILL_S * 1000.0 / 2
