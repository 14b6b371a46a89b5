"""A machine's side of node.proto: the same server as over HTTP, reached by one stream for each placer."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from typing import Any

import grpc

from kelpfront.http.messages import Abort, Request
from kelpfront.http.peer import Peer
from kelpfront.machine.grpc_conversion import (
    UnknownWordError,
    answer_message,
    load_message,
    read_offer,
    stream_message,
)
from kelpfront.machine.messages import NOT_HERE, QUEUE_FULL, Answer, OfferRequest, StopRequest
from kelpfront.machine.server import MachineServer
from kelpfront.v1 import node_pb2 as pb
from kelpfront.v1 import node_pb2_grpc as rpc

Context = grpc.aio.ServicerContext

CONNECTIONS = 2_000
OFFERS_MOST = (
    4_096  # of one placer whose answers are not written; for more, nothing is read until there is room
)
OUT_MOST = 1_000  # messages that wait to be written to one placer
MESSAGE_BYTES = 1 << 20  # of what placers send: one offer with its command and labels
WRITE_S = 20.0  # for a placer that does not read
LOG_PIECE = 256 << 10

LogReader = Callable[[str, int, int], Awaitable[bytes | None]]


class GrpcNode(rpc.NodeServicer):
    """`read_log` gives the output of a task; None where machines keep none."""

    def __init__(self, server: MachineServer, read_log: LogReader | None = None) -> None:
        self._server, self._read_log = server, read_log
        self._grpc: grpc.aio.Server | None = None
        self.port = 0

    async def start(self, address: str, *, reuse_port: bool = False) -> None:
        """Listens; OSError where the address cannot be had."""
        server = grpc.aio.server(
            options=[
                ("grpc.so_reuseport", int(reuse_port)),
                ("grpc.max_allowed_incoming_connections", CONNECTIONS),
                ("grpc.max_receive_message_length", MESSAGE_BYTES),
                ("grpc.max_concurrent_streams", 100),
                ("grpc.http2.min_recv_ping_interval_without_data_ms", 5_000),
            ]
        )
        rpc.add_NodeServicer_to_server(self, server)
        try:
            self.port = server.add_insecure_port(address)
        except RuntimeError:
            self.port = 0
        if not self.port:
            raise OSError(f"{address}: cannot be listened on")
        self._grpc = server
        await server.start()

    async def close(self) -> None:
        if self._grpc is not None:
            server, self._grpc = self._grpc, None
            await server.stop(0.0)

    async def Link(  # noqa: N802
        self, requests: AsyncIterator[pb.PlacerMessage], context: Context[Any, Any]
    ) -> None:
        if self._server.closed.is_set():
            await context.abort(grpc.StatusCode.UNAVAILABLE, "it ends")
        first = await anext(aiter(requests), None)
        if first is None or first.WhichOneof("message") != "open" or not first.open.placer:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "open: is to be the first, with a placer")
            return
        link = _PlacerLink(self._server, first.open, context)
        try:
            await link.run(requests)
        except Abort:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "broken off")

    async def Log(  # noqa: N802
        self, request: pb.LogRequest, context: Context[Any, Any]
    ) -> AsyncIterator[pb.LogPiece]:
        text = None
        if self._read_log is not None:
            text = await self._read_log(request.task, request.attempt, request.tail_bytes)
        if text is None:
            await context.abort(grpc.StatusCode.NOT_FOUND, f"task {request.task!r}: no output is kept here")
            return
        for start in range(0, len(text), LOG_PIECE):
            yield pb.LogPiece(data=text[start : start + LOG_PIECE])


class _PlacerLink:
    """One placer's stream."""

    def __init__(self, server: MachineServer, opened: pb.Open, context: Context[Any, Any]) -> None:
        self._server, self._open, self._context = server, opened, context
        self._peer = Peer()  # of the stream as a whole
        self._offers: dict[tuple[str, int], Peer] = {}
        self._out: asyncio.Queue[pb.NodeMessage] = asyncio.Queue(OUT_MOST)
        self._tasks: set[asyncio.Task[None]] = set()
        self._failed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None and not self._failed.done():
            self._failed.set_exception(error)

    async def run(self, requests: AsyncIterator[pb.PlacerMessage]) -> None:
        """Until the placer leaves, a newer stream of its takes over, or the machine ends."""
        parts = [self._spawn(self._read(requests)), self._spawn(self._tell()), self._spawn(self._write())]
        try:
            await asyncio.wait([*parts, self._failed], return_when=asyncio.FIRST_COMPLETED)
            if self._failed.done():
                self._failed.result()
        finally:
            for task in list(self._tasks):
                task.cancel()
            self._peer.mark_closed()
            for peer in list(self._offers.values()):
                peer.mark_closed()
            self._failed.cancel()

    async def _read(self, requests: AsyncIterator[pb.PlacerMessage]) -> None:
        server = self._server
        async for request in requests:
            if server.closed.is_set():
                raise Abort  # it is dead, and takes nothing any more
            match request.WhichOneof("message"):
                case "offer":
                    if len(self._tasks) < OFFERS_MOST:
                        self._spawn(self._offer(request.offer))
                    else:
                        key = request.offer.task, request.offer.attempt
                        busy = Answer("refused", QUEUE_FULL, f"{OFFERS_MOST} offers of this placer wait")
                        await self._out.put(answer_message(*key, busy))
                case "abandon":
                    peer = self._offers.get((request.abandon.task, request.abandon.attempt))
                    if peer is not None:
                        peer.mark_closed()
                case "stop":
                    its = request.stop
                    stop = StopRequest(self._open.placer, its.task, its.attempt, its.why)
                    reply = server.stop(stop)
                    stopped = pb.StopAnswer(task=its.task, found=reply.found)
                    await self._out.put(pb.NodeMessage(stopped=stopped))
                case "probe":
                    await server.until_probed()
                    load = load_message(server.node.load())
                    probed = pb.ProbeAnswer(number=request.probe.number, load=load)
                    await self._out.put(pb.NodeMessage(probed=probed))

    async def _offer(self, message: pb.OfferTask) -> None:
        key = message.task, message.attempt
        try:
            offer = read_offer(message)
        except UnknownWordError as error:
            await self._out.put(answer_message(*key, Answer("refused", NOT_HERE, str(error))))
            return
        peer = self._offers[key] = Peer()
        request = Request("POST", "/v1/offers", {}, {}, b"", 0.0, peer)
        try:
            offered = OfferRequest(self._open.placer, self._open.incarnation, offer)
            answer = await self._server.offer_answer(offered, request)
        except asyncio.CancelledError:
            if not peer.closed:
                raise
            return  # given up: nobody waits for the answer
        finally:
            if self._offers.get(key) is peer:
                del self._offers[key]
        await self._out.put(answer_message(*key, answer))

    async def _tell(self) -> None:
        boot = self._open.boot
        first = getattr(self._open, "from") if boot else None
        async for batch in self._server.placer_messages(self._open.placer, boot, first, self._peer):
            for message in batch:
                await self._out.put(stream_message(message))

    async def _write(self) -> None:
        while True:
            message = await self._out.get()
            async with asyncio.timeout(WRITE_S):
                await self._context.write(message)
