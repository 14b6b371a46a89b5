"""One placer's gRPC stream, from its first message to its end."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import pytest
from machines import InstantRuntime, node_settings, offer
from waiting import until

from kelpfront.http.messages import AbortConnection
from kelpfront.machine.grpc_conversion import offer_message
from kelpfront.machine.grpc_link import PlacerLink
from kelpfront.machine.model import Incarnation
from kelpfront.machine.node import Node
from kelpfront.machine.server import MachineServer
from kelpfront.v1 import node_pb2 as pb


class FakeContext:
    """Implements the part of a gRPC call's context that a link uses."""

    def __init__(self) -> None:
        self.written: list[pb.NodeMessage] = []

    async def write(self, message: pb.NodeMessage) -> None:
        self.written.append(message)


def deferring_server() -> MachineServer:
    """Return a machine on which starts never finish, so offers stay open; it starts one task at a time."""
    runtime = InstantRuntime()
    runtime.defers_starts = True
    node = Node(node_settings(max_parallel_starts=1), Incarnation("boot-1", 0.0))
    server = MachineServer(node, runtime, lambda: 1.0)
    runtime.server = server
    return server


async def two_offers(requests_ended: asyncio.Event) -> AsyncIterator[pb.PlacerMessage]:
    for task in ("starts", "queued"):
        yield pb.PlacerMessage(offer=offer_message(offer(task)))
    await requests_ended.wait()


async def test_a_link_that_ends_leaves_no_task_and_abandons_its_open_offers() -> None:
    server = deferring_server()
    context: Any = FakeContext()
    requests_ended = asyncio.Event()
    tasks_before = asyncio.all_tasks()
    link = PlacerLink(server, pb.Open(placer="p0"), context)
    link_task = asyncio.create_task(link.run(two_offers(requests_ended)))
    await until(lambda: set(server.node.tasks) == {"starts", "queued"})
    assert server.connected_placers == {"p0"}
    requests_ended.set()
    await link_task
    assert asyncio.all_tasks() == tasks_before
    assert set(server.node.tasks) == {"starts"}, "a start that has begun goes on: its placer decides"
    assert server.connected_placers == frozenset()


async def test_a_link_that_is_cancelled_leaves_no_task() -> None:
    server = deferring_server()
    context: Any = FakeContext()
    tasks_before = asyncio.all_tasks()
    link = PlacerLink(server, pb.Open(placer="p0"), context)
    link_task = asyncio.create_task(link.run(two_offers(asyncio.Event())))
    await until(lambda: set(server.node.tasks) == {"starts", "queued"})
    link_task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await link_task
    assert asyncio.all_tasks() == tasks_before
    assert server.connected_placers == frozenset()


async def test_a_link_to_a_closed_server_aborts() -> None:
    server = deferring_server()
    server.closed.set()
    context: Any = FakeContext()
    tasks_before = asyncio.all_tasks()
    with pytest.raises(AbortConnection):
        await PlacerLink(server, pb.Open(placer="p0"), context).run(two_offers(asyncio.Event()))
    assert asyncio.all_tasks() == tasks_before
    assert not server.node.tasks
