"""The HTTP server of a machine: it serves the protocol of `messages` for a `Node`.

The server carries out the node's effects, runs its timer and serves the placers' offers, stops and streams. A
`TaskRuntime` runs the tasks; it reports their starts and ends to the node and then calls `apply_effects`.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from typing import Protocol

import msgspec

from kelpfront.http.limits import HttpLimits
from kelpfront.http.messages import Request, Response
from kelpfront.http.peer import Peer
from kelpfront.http.server import HttpServer
from kelpfront.machine.effects import AnswerOffer, Effect, StartTask, StopTask, SupersedeAttempt
from kelpfront.machine.message_stream import PlacerStream, StreamHooks, StreamReader
from kelpfront.machine.messages import (
    Answer,
    AnswerKind,
    Heartbeat,
    OfferRequest,
    Sequenced,
    StopReply,
    StopRequest,
    StreamMessage,
    decode_offer_request,
    decode_stop_request,
    encode,
)
from kelpfront.machine.node import Node
from kelpfront.machine.offer_waiters import OfferKey, OfferWaiters

STATUS_OF_ANSWER: dict[AnswerKind, int] = {"running": 200, "accepted": 200, "refused": 409, "error": 500}


class TaskRuntime(Protocol):
    """Runs tasks. All methods return at once; their outcome is reported to the node later."""

    def start_task(self, start: StartTask) -> None:
        """Begin to start a task."""

    def stop_task(self, stop: StopTask) -> None:
        """Begin to stop a task."""

    def supersede_attempt(self, superseding: SupersedeAttempt) -> None:
        """Record that a task belongs to a later attempt; call `Node.attempt_superseded`, now or later."""


class MachineServer:
    """Serves one node. All methods must be called from the event loop's thread."""

    def __init__(
        self, node: Node, runtime: TaskRuntime, now: Callable[[], float], limits: HttpLimits | None = None
    ) -> None:
        self.node = node
        self._runtime = runtime
        self._now = now
        self.http = HttpServer(self.handle, limits)
        self._waiters = OfferWaiters()
        self._streams: dict[str, PlacerStream] = {}  # by placer; a new stream replaces the older one
        self._was_draining = node.draining
        self._timer: asyncio.TimerHandle | None = None
        self.closed = asyncio.Event()

    @property
    def connected_placers(self) -> frozenset[str]:
        """The placers whose stream is open."""
        return frozenset(self._streams)

    async def start(self, host: str, port: int, *, reuse_port: bool = False) -> None:
        """Listen for connections."""
        await self.http.start(host, port, reuse_port=reuse_port)

    def abort(self) -> None:
        """Close all connections without notice, as a machine that loses power does."""
        self.closed.set()
        self._cancel_timer()
        self._waiters.cancel_all()
        self.http.abort()

    async def close(self) -> None:
        """End the streams and stop serving; tasks keep running."""
        self.closed.set()
        self._cancel_timer()
        self._wake_streams()
        await self.http.close()

    # ---- The node's effects and timer ---------------------------------------------------------------------

    def apply_effects(self) -> None:
        """Carry out the node's effects and reset its timer; call this after each report to the node."""
        while effects := self.node.pop_effects():  # a runtime may report at once, which adds effects
            for effect in effects:
                self._carry_out(effect)
        if self.node.draining != self._was_draining:
            self._was_draining = self.node.draining
            self._wake_streams()  # placers are notified of a drain at once, not at the next heartbeat
        self._set_timer()

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case AnswerOffer(task, attempt, answer):
                self._waiters.resolve(OfferKey(task, attempt), answer)
            case StartTask():
                self._runtime.start_task(effect)
            case StopTask():
                self._runtime.stop_task(effect)
            case SupersedeAttempt():
                self._runtime.supersede_attempt(effect)

    def _wake_streams(self) -> None:
        for stream in self._streams.values():
            stream.wake.set()

    def _set_timer(self) -> None:
        self._cancel_timer()
        due_ms = self.node.next_timer()
        if due_ms != math.inf and not self.closed.is_set():
            delay_s = max(0.0, due_ms - self._now()) / 1000.0
            self._timer = asyncio.get_running_loop().call_later(delay_s, self._advance)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _advance(self) -> None:
        self._timer = None
        self.node.advance(self._now())
        self.apply_effects()

    # ---- Requests -----------------------------------------------------------------------------------------

    async def handle(self, request: Request) -> Response:
        """Answer an HTTP request."""
        try:
            match request.method, request.path:
                case "POST", "/v1/offers":
                    answer = await self.answer_offer(decode_offer_request(request.body), request)
                    return Response(STATUS_OF_ANSWER[answer.answer], encode(answer))
                case "POST", "/v1/stops":
                    return Response(200, encode(self.stop(decode_stop_request(request.body))))
                case "GET", "/v1/probe":
                    return Response(200, encode(self.node.load()))
                case "GET", "/v1/stream":
                    return self._serve_stream(request)
        except msgspec.DecodeError as error:
            return Response(400, encode({"error": str(error)}))
        return Response(404, encode({"error": f"{request.method} {request.path}: no such call"}))

    def stop(self, request: StopRequest) -> StopReply:
        """Handle a placer's request to stop a task."""
        reply = self.node.stop(self._now(), request)
        self.apply_effects()
        return reply

    async def answer_offer(self, offered: OfferRequest, request: Request) -> Answer:
        """Return the answer to send for an offer; a hook around `decide_offer` for subclasses.

        Raises AbortConnection if the connection must be broken without an answer.
        """
        return await self.decide_offer(offered, request)

    async def decide_offer(self, offered: OfferRequest, request: Request) -> Answer:
        """Return the node's answer to an offer; the offer is abandoned if its placer disconnects before."""
        key = OfferKey(offered.offer.task, offered.offer.attempt)
        future = self._waiters.add(key)
        self.node.offer(self._now(), offered)
        self.apply_effects()
        if future.done():
            return future.result()
        stop_watching = request.peer.on_change(lambda: self._abandon(key, future))
        try:
            return await future
        finally:
            stop_watching()

    def _abandon(self, key: OfferKey, future: asyncio.Future[Answer]) -> None:
        nobody_waits = self._waiters.cancel(key, future)
        if nobody_waits:
            self.node.abandon(self._now(), key.task, key.attempt)
            self.apply_effects()

    # ---- The stream ---------------------------------------------------------------------------------------

    def _serve_stream(self, request: Request) -> Response:
        placer = request.query.get("placer", "")
        if not placer:
            return Response(400, encode({"error": "placer: is required"}))
        try:
            first_seq = int(request.query["from"]) if "from" in request.query else None
        except ValueError:
            return Response(400, encode({"error": "from: a whole number is expected"}))
        messages = self.open_stream(placer, request.query.get("boot", ""), first_seq, request.peer)
        return Response(200, content_type="application/jsonl", stream=_json_lines(messages))

    def open_stream(
        self, placer: str, boot: str, first_seq: int | None, peer: Peer
    ) -> AsyncGenerator[list[StreamMessage], None]:
        """Return the messages to a placer, from `first_seq` of incarnation `boot` on, until `peer` closes.

        A new stream of a placer ends its older one.
        """
        if boot and boot != self.node.boot:
            first_seq = None  # message numbers of another incarnation are not valid here
        elif first_seq is not None:
            self.on_acknowledged(placer, self.node.acknowledge(placer, first_seq))
        wake = asyncio.Event()
        older = self._streams.get(placer)
        stop_watching = peer.on_change(wake.set)
        stream = PlacerStream(placer, first_seq, peer, wake, stop_watching)
        self._streams[placer] = stream
        if older is not None:
            older.wake.set()
        return self.message_batches(stream)

    async def message_batches(self, stream: PlacerStream) -> AsyncGenerator[list[StreamMessage], None]:
        """Yield the messages of a stream in batches until it ends."""
        loop = asyncio.get_running_loop()
        hooks = StreamHooks(self.heartbeat, self.on_streamed)
        reader = StreamReader(self.node, stream, hooks, self._now(), loop.time())
        try:
            while True:
                stream.wake.clear()
                batch = reader.next_batch(loop.time())
                if batch:
                    yield batch
                if self._has_ended(stream):
                    return
                if not reader.has_more:
                    await _wait_until(stream.wake, reader.heartbeat_at_s)
        finally:
            stream.stop_watching()
            if self._streams.get(stream.placer) is stream:
                del self._streams[stream.placer]
                reader.outbox.reset_on_change()

    def _has_ended(self, stream: PlacerStream) -> bool:
        was_replaced = self._streams.get(stream.placer) is not stream
        return was_replaced or self.closed.is_set() or stream.peer.closed

    # ---- Hooks --------------------------------------------------------------------------------------------

    async def before_health_check_answer(self) -> None:
        """Run before the answer to a health check over gRPC is sent; does nothing by default."""

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat to placers; subclasses may alter it."""
        return self.node.heartbeat()

    def on_acknowledged(self, placer: str, tasks: list[str]) -> None:
        """Run when a placer has acknowledged the end of tasks; does nothing by default."""

    def on_streamed(self, placer: str, message: Heartbeat | Sequenced) -> None:
        """Run before a message is sent on the placer's stream; does nothing by default."""


async def _wait_until(event: asyncio.Event, deadline_s: float) -> None:
    """Wait for an event until a deadline on the event loop's clock."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout_at(deadline_s):
            await event.wait()


async def _json_lines(messages: AsyncGenerator[list[StreamMessage], None]) -> AsyncIterator[bytes]:
    async with contextlib.aclosing(messages) as batches:
        async for batch in batches:
            yield b"\n".join([encode(message) for message in batch]) + b"\n"
