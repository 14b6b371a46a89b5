"""One placer's stream over gRPC, from its first message to its end."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import pytest
from machines import InstantRuntime, node_settings, offer
from waiting import until

from kelpfront.http.messages import Abort
from kelpfront.machine.grpc_conversion import offer_message
from kelpfront.machine.grpc_link import PlacerLink
from kelpfront.machine.model import Incarnation
from kelpfront.machine.node import Node
from kelpfront.machine.server import MachineServer
from kelpfront.v1 import node_pb2 as pb


class Context:
    """The part of a gRPC call's context that a link uses."""

    def __init__(self) -> None:
        self.written: list[pb.NodeMessage] = []

    async def write(self, message: pb.NodeMessage) -> None:
        self.written.append(message)


def deferring_server() -> MachineServer:
    """A machine whose starts do not succeed, so that offers stay open; it has one slot for them."""
    runtime = InstantRuntime()
    runtime.defers_starts = True
    node = Node(node_settings(max_parallel_starts=1), Incarnation("boot-1", 0.0))
    server = MachineServer(node, runtime, lambda: 1.0)
    runtime.server = server
    return server


async def offers(ended: asyncio.Event) -> AsyncIterator[pb.PlacerMessage]:
    for task in ("starts", "queued"):
        yield pb.PlacerMessage(offer=offer_message(offer(task)))
    await ended.wait()


async def test_a_link_that_ends_leaves_no_task_and_abandons_its_open_offers() -> None:
    server = deferring_server()
    context: Any = Context()
    ended = asyncio.Event()
    others = asyncio.all_tasks()
    link = PlacerLink(server, pb.Open(placer="p0"), context)
    running = asyncio.create_task(link.run(offers(ended)))
    await until(lambda: set(server.node.tasks) == {"starts", "queued"})
    assert server.connected == {"p0"}
    ended.set()
    await running
    assert asyncio.all_tasks() == others
    assert set(server.node.tasks) == {"starts"}, "what has begun stays: its placer is told and decides"
    assert server.connected == frozenset()


async def test_a_link_that_is_cancelled_leaves_no_task() -> None:
    server = deferring_server()
    context: Any = Context()
    others = asyncio.all_tasks()
    link = PlacerLink(server, pb.Open(placer="p0"), context)
    running = asyncio.create_task(link.run(offers(asyncio.Event())))
    await until(lambda: set(server.node.tasks) == {"starts", "queued"})
    running.cancel()
    with pytest.raises(asyncio.CancelledError):
        await running
    assert asyncio.all_tasks() == others
    assert server.connected == frozenset()


async def test_a_link_of_a_machine_that_died_breaks_off() -> None:
    server = deferring_server()
    server.closed.set()
    context: Any = Context()
    others = asyncio.all_tasks()
    with pytest.raises(Abort):
        await PlacerLink(server, pb.Open(placer="p0"), context).run(offers(asyncio.Event()))
    assert asyncio.all_tasks() == others
    assert not server.node.tasks
