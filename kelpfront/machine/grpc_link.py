"""One placer's gRPC stream: offers, stops and health checks in, answers and stream messages out.

A link owns the asyncio tasks that read and write the stream, that produce its messages and that wait for
answers. It cancels all of them when the reader, the writer or the producer ends.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Coroutine
from typing import Any

import grpc

from kelpfront.http.messages import AbortConnection, Request
from kelpfront.http.peer import Peer
from kelpfront.machine.grpc_conversion import (
    UnknownValueError,
    answer_message,
    load_message,
    read_offer,
    stream_message,
)
from kelpfront.machine.messages import NOT_HERE, QUEUE_FULL, Answer, OfferRequest, StopRequest
from kelpfront.machine.offer_waiters import OfferKey
from kelpfront.machine.server import MachineServer
from kelpfront.v1 import node_pb2 as pb

Context = grpc.aio.ServicerContext

MAX_OPEN_OFFERS = 4_096  # offers of one placer without a written answer; further offers are refused
MAX_UNWRITTEN_MESSAGES = 1_000  # to one placer; while the queue is full, nothing is read from the placer
WRITE_TIMEOUT_S = 20.0  # bounds the wait for a placer that does not read


class PlacerLink:
    """Serves one placer's stream, from the `Open` message to the end of the stream."""

    def __init__(self, server: MachineServer, opened: pb.Open, context: Context[Any, Any]) -> None:
        self._server = server
        self._open = opened
        self._context = context
        self._peer = Peer()  # marked closed when the stream ends; each offer has a peer of its own
        self._offer_peers: dict[OfferKey, Peer] = {}
        self._unwritten: asyncio.Queue[pb.NodeMessage] = asyncio.Queue(MAX_UNWRITTEN_MESSAGES)
        self._tasks: set[asyncio.Task[None]] = set()
        self._failed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    async def run(self, requests: AsyncIterator[pb.PlacerMessage]) -> None:
        """Serve the stream until the placer disconnects, a newer stream replaces it, or the server closes.

        Raises the exception of an asyncio task of the stream that failed; AbortConnection if the connection
        must be broken.
        """
        stream_tasks = [
            self._spawn(self._read(requests)),
            self._spawn(self._stream()),
            self._spawn(self._write()),
        ]
        try:
            await asyncio.wait([*stream_tasks, self._failed], return_when=asyncio.FIRST_COMPLETED)
            if self._failed.done():
                self._failed.result()
        finally:
            await self._end()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None and not self._failed.done():
            self._failed.set_exception(error)

    async def _end(self) -> None:
        """Cancel all asyncio tasks of the stream, and abandon its open offers before control is yielded."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        self._peer.mark_closed()
        for peer in list(self._offer_peers.values()):
            peer.mark_closed()
        self._failed.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    # ---- From the placer ----------------------------------------------------------------------------------

    async def _read(self, requests: AsyncIterator[pb.PlacerMessage]) -> None:
        async for request in requests:
            if self._server.closed.is_set():
                raise AbortConnection  # a closed server must not accept further messages
            match request.WhichOneof("message"):
                case "offer":
                    await self._accept_offer(request.offer)
                case "abandon":
                    self._abandon(OfferKey(request.abandon.task, request.abandon.attempt))
                case "stop":
                    await self._stop(request.stop)
                case "probe":
                    await self._answer_health_check(request.probe.number)

    async def _accept_offer(self, offer: pb.OfferTask) -> None:
        if len(self._tasks) < MAX_OPEN_OFFERS:
            self._spawn(self._answer_offer(offer))
            return
        answer = Answer("refused", QUEUE_FULL, f"{MAX_OPEN_OFFERS} offers of this placer wait")
        await self._unwritten.put(answer_message(offer.task, offer.attempt, answer))

    def _abandon(self, key: OfferKey) -> None:
        peer = self._offer_peers.get(key)
        if peer is not None:
            peer.mark_closed()

    async def _stop(self, message: pb.Stop) -> None:
        request = StopRequest(self._open.placer, message.task, message.attempt, message.why)
        reply = self._server.stop(request)
        stopped = pb.StopAnswer(task=message.task, found=reply.found)
        await self._unwritten.put(pb.NodeMessage(stopped=stopped))

    async def _answer_health_check(self, number: int) -> None:
        await self._server.before_health_check_answer()
        load = load_message(self._server.node.load())
        await self._unwritten.put(pb.NodeMessage(probed=pb.ProbeAnswer(number=number, load=load)))

    async def _answer_offer(self, message: pb.OfferTask) -> None:
        key = OfferKey(message.task, message.attempt)
        try:
            offer = read_offer(message)
        except UnknownValueError as error:
            refusal = Answer("refused", NOT_HERE, str(error))
            await self._unwritten.put(answer_message(key.task, key.attempt, refusal))
            return
        peer = Peer()
        self._offer_peers[key] = peer
        request = Request("POST", "/v1/offers", {}, {}, b"", 0.0, peer)
        try:
            offered = OfferRequest(self._open.placer, self._open.incarnation, offer)
            answer = await self._server.answer_offer(offered, request)
        except asyncio.CancelledError:
            if not peer.closed:
                raise
            return  # the offer was abandoned: no one waits for its answer
        finally:
            if self._offer_peers.get(key) is peer:
                del self._offer_peers[key]
        await self._unwritten.put(answer_message(key.task, key.attempt, answer))

    # ---- To the placer ------------------------------------------------------------------------------------

    async def _stream(self) -> None:
        boot = self._open.boot
        first_seq = getattr(self._open, "from") if boot else None
        messages = self._server.open_stream(self._open.placer, boot, first_seq, self._peer)
        async with contextlib.aclosing(messages) as batches:
            async for batch in batches:
                for message in batch:
                    await self._unwritten.put(stream_message(message))

    async def _write(self) -> None:
        while True:
            message = await self._unwritten.get()
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await self._context.write(message)
