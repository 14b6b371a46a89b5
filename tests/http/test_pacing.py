"""Tests of request pacing: first in, first out while waits are short, newest first when they are long."""

from __future__ import annotations

import asyncio

import pytest

from kelpfront.http.pacing import MAX_FIFO_WAIT_S, MAX_WAIT_S, RequestPacer

SLICE_S = 0.005


class ManualClock:
    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def served() -> list[str]:
    """The names of the requests in the order in which they were served."""
    return []


@pytest.fixture
def pacer(clock: ManualClock) -> RequestPacer:
    return RequestPacer(SLICE_S, clock)


async def start_requests(
    pacer: RequestPacer, names: list[str], served: list[str]
) -> list[asyncio.Task[None]]:
    """Start requests that queue behind a first one; each uses up a slice, so one runs per iteration."""

    async def request(name: str) -> None:
        await pacer.wait_for_slot()
        served.append(name)
        pacer.record_work(100 * SLICE_S)

    loop = asyncio.get_running_loop()
    requests = [loop.create_task(request(name)) for name in ("first", *names)]
    await asyncio.sleep(0)
    assert served == ["first"]
    assert pacer.waiting == len(names)
    return requests


async def test_a_request_is_served_at_once_while_the_slice_lasts(pacer: RequestPacer) -> None:
    await pacer.wait_for_slot()
    pacer.record_work(SLICE_S / 2)
    await pacer.wait_for_slot()
    assert pacer.waiting == 0


async def test_requests_are_served_in_order_while_the_wait_is_short(
    pacer: RequestPacer, served: list[str]
) -> None:
    requests = await start_requests(pacer, ["a", "b", "c"], served)
    await asyncio.gather(*requests)
    assert served == ["first", "a", "b", "c"]


async def test_the_newest_request_is_served_first_when_the_wait_is_long(
    pacer: RequestPacer, clock: ManualClock, served: list[str]
) -> None:
    requests = await start_requests(pacer, ["a", "b", "c"], served)
    clock.now += MAX_FIFO_WAIT_S
    await asyncio.gather(*requests)
    assert served == ["first", "c", "b", "a"]


async def test_requests_that_waited_too_long_are_let_through(
    pacer: RequestPacer, clock: ManualClock, served: list[str]
) -> None:
    requests = await start_requests(pacer, ["a", "b", "c"], served)
    clock.now += MAX_WAIT_S
    await asyncio.gather(*requests)
    assert served == ["first", "a", "b", "c"]


async def test_a_cancelled_request_is_skipped(pacer: RequestPacer, served: list[str]) -> None:
    requests = await start_requests(pacer, ["a", "b"], served)
    requests[1].cancel()
    await asyncio.gather(*requests, return_exceptions=True)
    assert served == ["first", "b"]
    assert pacer.waiting == 0
