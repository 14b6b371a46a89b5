"""The HTTP server of a machine: offers, stops and streams."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from machines import InstantRuntime, node_settings, request
from waiting import until

from kelpfront.http.client import HttpConnection, NoAnswerError
from kelpfront.machine.messages import (
    Gone,
    Hello,
    Note,
    Snapshot,
    StopRequest,
    StreamMessage,
    Taken,
    decode_answer,
    decode_stream_message,
    encode,
)
from kelpfront.machine.model import Incarnation, Phase
from kelpfront.machine.node import Node
from kelpfront.machine.server import MachineServer


class StreamListener:
    """Reads a machine's stream as a placer does."""

    def __init__(self, server: MachineServer) -> None:
        self.server = server
        self.messages: list[StreamMessage] = []

    async def open(self, query: str = "") -> None:
        self.connection = await HttpConnection.open("127.0.0.1", self.server.http.port)
        _, _, fragments = await self.connection.stream("GET", f"/v1/stream?placer=p0{query}")

        async def read() -> None:
            rest = b""
            async for fragment in fragments:
                *lines, rest = (rest + fragment).split(b"\n")
                self.messages += [decode_stream_message(line) for line in lines]

        self.task = asyncio.create_task(read())

    def disconnect(self) -> None:
        self.task.cancel()
        self.connection.abort()

    def of_type(self, message_type: type[Any]) -> list[Any]:
        return [message for message in self.messages if isinstance(message, message_type)]


async def start_machine() -> tuple[MachineServer, InstantRuntime]:
    runtime = InstantRuntime()
    server = MachineServer(Node(node_settings(), Incarnation("boot-1", 0.0)), runtime, lambda: 1.0)
    runtime.server = server
    await server.start("127.0.0.1", 0)
    return server, runtime


async def post(server: MachineServer, path: str, message: Any) -> tuple[int, bytes]:
    connection = await HttpConnection.open("127.0.0.1", server.http.port)
    reply = await connection.request("POST", path, encode(message))
    connection.close()
    return reply.status, reply.body


async def test_offers_stops_and_the_stream_over_http() -> None:
    server, _ = await start_machine()
    listener = StreamListener(server)
    await listener.open()
    status, body = await post(server, "/v1/offers", request("a"))
    assert (status, decode_answer(body).answer) == (200, "running")
    assert (await post(server, "/v1/offers", request("b", cores=99.0)))[0] == 409
    await post(server, "/v1/stops", StopRequest("p0", "a", 0))
    await until(lambda: listener.of_type(Gone))
    assert [type(m).__name__ for m in listener.messages if not isinstance(m, Note)][:3] == [
        "Hello",
        "Snapshot",
        "Heartbeat",
    ]
    assert [(m.seq, m.task) for m in listener.of_type(Taken) + listener.of_type(Gone)] == [(1, "a"), (2, "a")]
    assert (await post(server, "/v1/offers", {"placer": 3}))[0] == 400
    assert (await post(server, "/v1/nothing", {}))[0] == 404
    listener.disconnect()
    await server.close()


async def test_a_broken_stream_resumes_unless_it_asks_for_another_incarnation() -> None:
    server, _ = await start_machine()
    listener = StreamListener(server)
    await listener.open()
    await post(server, "/v1/offers", request("a"))
    await until(lambda: listener.of_type(Taken))
    listener.disconnect()
    await post(server, "/v1/offers", request("b"))
    resumed_listener = StreamListener(server)
    await resumed_listener.open("&from=2&boot=boot-1")
    await until(lambda: resumed_listener.of_type(Taken))
    assert [m.resumed for m in resumed_listener.of_type(Hello)] == [True]
    assert [m.task for m in resumed_listener.of_type(Taken)] == ["b"]
    fresh_listener = StreamListener(server)
    await fresh_listener.open("&from=2&boot=boot-0")
    await until(lambda: fresh_listener.of_type(Snapshot))
    assert {report.offer.task for report in fresh_listener.of_type(Snapshot)[0].tasks} == {"a", "b"}
    await until(lambda: resumed_listener.task.done())
    assert not resumed_listener.task.cancelled(), "a placer has one stream: a newer one ends the older"
    fresh_listener.disconnect()
    await server.close()


async def test_a_drain_is_reported_at_once_and_not_with_the_next_heartbeat() -> None:
    runtime = InstantRuntime()
    server = MachineServer(Node(node_settings(heartbeat_ms=1e7), Incarnation("b", 0.0)), runtime, lambda: 1.0)
    await server.start("127.0.0.1", 0)
    listener = StreamListener(server)
    await listener.open()
    await until(lambda: len(listener.messages) == 3)
    server.node.set_draining(1.0, draining=True)
    server.apply_effects()
    await until(lambda: listener.messages[-1].state == "draining")  # type: ignore[union-attr]
    listener.disconnect()
    await server.close()


async def test_an_offer_whose_placer_disconnects_is_abandoned() -> None:
    server, runtime = await start_machine()
    runtime.defers_starts = True
    for task in ("a", "b", "c"):  # the machine starts two tasks at a time: c waits for its start
        connection = await HttpConnection.open("127.0.0.1", server.http.port)
        call = asyncio.create_task(connection.request("POST", "/v1/offers", encode(request(task))))
        await until(lambda task=task: task in server.node.tasks)  # type: ignore[misc]
        connection.abort()
        with pytest.raises(NoAnswerError):
            await call
    await until(lambda: set(server.node.tasks) == {"a", "b"})
    runtime.start("a")
    assert server.node.tasks["a"].phase is Phase.RUNNING
    await server.close()
