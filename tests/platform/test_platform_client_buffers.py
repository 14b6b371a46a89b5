"""Bytes that the placer buffers for clients that send faster than it reads."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from platforms import PlacerFixture

from kelpfront.lab.platform import Machine, line
from kelpfront.platform import client_connection
from kelpfront.platform.client_connection import MAX_BUFFERED_BYTES, PeekableReader
from kelpfront.platform.listener import RECEIVE_BYTES

MOST_CLIENTS = 1024 * 11 // 20  # connections of clients at the limit of 1,024 descriptors
MEMORY_BYTES = 192 << 20
COPIES = 3  # in the stream, as unread bytes, and as lines
TESTS = 40_000


@pytest.fixture
async def stage(tmp_path: Path) -> AsyncIterator[PlacerFixture]:
    fixture = PlacerFixture(tmp_path)
    yield fixture
    await fixture.stop()


async def test_a_client_at_full_speed_is_buffered_in_a_few_kilobytes(
    stage: PlacerFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a placer killed for memory: each of hundreds of such clients took 256 KiB, twice."""
    sizes: list[int] = []

    class MeasuredReader(PeekableReader):
        def feed_data(self, data: bytes) -> None:  # type: ignore[override]
            super().feed_data(data)
            sizes.append(len(self.unread))

    monkeypatch.setattr(client_connection, "PeekableReader", MeasuredReader)
    monkeypatch.setattr("kelpfront.platform.client_connections.PeekableReader", MeasuredReader)
    placer = await stage.start(Machine("m-1"))
    client = await placer.client()
    client.say(line("test", "00000000000000f0", why=0) * TESTS)
    async with asyncio.timeout(20.0):
        for _ in range(TESTS):
            answer = await client.read()
            assert answer is not None
            assert answer["op"] == "tested"
    assert max(sizes) <= MAX_BUFFERED_BYTES + RECEIVE_BYTES
    assert COPIES * max(sizes) * MOST_CLIENTS < MEMORY_BYTES / 8
