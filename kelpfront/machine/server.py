"""A machine on a socket: the protocol of `messages` over HTTP, around a `Node`.

Who serves real processes or stand-ins gives a `Runtime`, which begins and halts tasks, tells the node what
comes of them and then calls `changed`.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from typing import Protocol

import msgspec

from kelpfront.http.limits import HttpLimits
from kelpfront.http.messages import Request, Response
from kelpfront.http.peer import Peer
from kelpfront.http.server import HttpServer
from kelpfront.machine.messages import (
    Answer,
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
from kelpfront.machine.model import Begin, Effect, Halt, Reply, TakeOver
from kelpfront.machine.node import Node

STATUS_OF_ANSWER = {"running": 200, "accepted": 200, "refused": 409, "error": 500}


class Runtime(Protocol):
    """Runs tasks. Both calls return at once; what comes of them is told to the node later."""

    def begin(self, begin: Begin) -> None: ...

    def halt(self, halt: Halt) -> None: ...

    def take_over(self, copy: TakeOver) -> None:
        """The node is to be told `taken_over`; this may be done at once."""


class MachineServer:
    """Serves one node. All calls are from the event loop's thread."""

    def __init__(
        self, node: Node, runtime: Runtime, now: Callable[[], float], limits: HttpLimits | None = None
    ) -> None:
        self.node, self._runtime, self._now = node, runtime, now
        self.http = HttpServer(self.handle, limits)
        self._answers: dict[tuple[str, int], list[asyncio.Future[Answer]]] = {}
        self._streams: dict[str, asyncio.Event] = {}  # of each placer the latest; a new one ends the old
        self._draining = node.draining
        self._timer: asyncio.TimerHandle | None = None
        self.closed = asyncio.Event()

    async def start(self, host: str, port: int, reuse_port: bool = False) -> None:
        await self.http.start(host, port, reuse_port=reuse_port)

    def abort(self) -> None:
        """Vanish as a machine that loses its power does."""
        self.closed.set()
        if self._timer is not None:
            self._timer.cancel()
        for futures in self._answers.values():
            for future in futures:
                future.cancel()
        self.http.abort()

    async def close(self) -> None:
        """End the streams and stop serving; tasks go on."""
        self.closed.set()
        if self._timer is not None:
            self._timer.cancel()
        for wake in self._streams.values():
            wake.set()
        await self.http.close()

    def changed(self) -> None:
        """Carry out the node's effects; to be called after anything was told to the node."""
        while effects := self.node.take_effects():  # a runtime may tell the node something at once
            self._carry_out(effects)
        if self.node.draining != self._draining:
            self._draining = self.node.draining
            for wake in self._streams.values():
                wake.set()  # placers must not hear of a drain a heartbeat late
        self._set_timer()

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Reply(task, attempt, answer):
                    for future in self._answers.pop((task, attempt), ()):
                        if not future.done():
                            future.set_result(answer)
                case Begin():
                    self._runtime.begin(effect)
                case Halt():
                    self._runtime.halt(effect)
                case TakeOver():
                    self._runtime.take_over(effect)

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        at = self.node.next_timer()
        if at != float("inf") and not self.closed.is_set():
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(0.0, at - self._now()) / 1000.0, self._advance)

    def _advance(self) -> None:
        self._timer = None
        self.node.advance(self._now())
        self.changed()

    # ---- Requests -------------------------------------------------------------------------------------

    async def handle(self, request: Request) -> Response:
        try:
            match request.method, request.path:
                case "POST", "/v1/offers":
                    return await self.take_offer(decode_offer_request(request.body), request)
                case "POST", "/v1/stops":
                    return Response(200, encode(self.stop(decode_stop_request(request.body))))
                case "GET", "/v1/probe":
                    return Response(200, encode(self.node.load()))
                case "GET", "/v1/stream":
                    return self.open_stream(request)
        except msgspec.DecodeError as error:
            return Response(400, encode({"error": str(error)}))
        return Response(404, encode({"error": f"{request.method} {request.path}: no such call"}))

    def stop(self, request: StopRequest) -> StopReply:
        reply = self.node.stop(self._now(), request)
        self.changed()
        return reply

    async def until_probed(self) -> None:
        """A hook: a probe came in; its answer waits for this."""

    async def take_offer(self, offered: OfferRequest, request: Request) -> Response:
        answer = await self.offer_answer(offered, request)
        return Response(STATUS_OF_ANSWER[answer.answer], encode(answer))

    async def offer_answer(self, offered: OfferRequest, request: Request) -> Answer:
        """The answer to an offer, as it goes out; Abort where it is lost with its connection."""
        return await self.answer_of(offered, request)

    async def answer_of(self, offered: OfferRequest, request: Request) -> Answer:
        """The node's answer; an offer whose placer leaves meanwhile is abandoned."""
        offer = offered.offer
        key = offer.task, offer.attempt
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._answers.setdefault(key, []).append(future)
        self.node.offer(self._now(), offered)
        self.changed()
        if future.done():
            return future.result()
        stop_watching = request.peer.on_change(lambda: self._left(key, future))
        try:
            return await future
        finally:
            stop_watching()

    def _left(self, key: tuple[str, int], future: asyncio.Future[Answer]) -> None:
        waiting = self._answers.get(key, [])
        if future not in waiting:
            return
        waiting.remove(future)
        future.cancel()
        if not waiting:
            self._answers.pop(key, None)
            self.node.abandon(self._now(), *key)
            self.changed()

    # ---- The stream -----------------------------------------------------------------------------------

    def open_stream(self, request: Request) -> Response:
        placer = request.query.get("placer", "")
        if not placer:
            return Response(400, encode({"error": "placer: is required"}))
        try:
            first = int(request.query["from"]) if "from" in request.query else None
        except ValueError:
            return Response(400, encode({"error": "from: a whole number is expected"}))
        messages = self.placer_messages(placer, request.query.get("boot", ""), first, request.peer)
        return Response(200, content_type="application/jsonl", stream=_lines(messages))

    def placer_messages(
        self, placer: str, boot: str, first: int | None, peer: Peer
    ) -> AsyncGenerator[list[StreamMessage], None]:
        """What a placer is told, from number `first` of `boot` on, for as long as `peer` is there.

        A new stream of a placer ends its older one.
        """
        if boot and boot != self.node.boot:
            first = None  # numbers of an earlier life mean nothing now
        elif first is not None:
            self.acknowledged(placer, self.node.acknowledge(placer, first))
        wake = asyncio.Event()
        older = self._streams.get(placer)
        self._streams[placer] = wake
        if older is not None:
            older.set()
        stop_watching = peer.on_change(wake.set)
        return self._messages(placer, first, wake, peer, stop_watching)

    async def _messages(
        self,
        placer: str,
        first: int | None,
        wake: asyncio.Event,
        peer: Peer,
        stop_watching: Callable[[], None],
    ) -> AsyncGenerator[list[StreamMessage], None]:
        node = self.node
        outbox = node.outbox(placer)
        outbox.on_change = wake.set
        hello = node.hello(self._now(), placer, first)
        out: list[StreamMessage] = [hello]
        if hello.resumed:
            at = hello.next_seq
        else:
            snapshot = node.snapshot(placer)
            out.append(snapshot)
            at = snapshot.seq + 1
        loop = asyncio.get_running_loop()
        beat_at = loop.time()
        draining = node.draining
        try:
            while True:
                wake.clear()
                if outbox.reaches(at):
                    missed = outbox.since(at)
                    out += missed
                    for message in missed:
                        self.streamed(placer, message)
                    at += len(missed)
                else:  # the placer read too slowly: what it missed is no longer kept
                    snapshot = node.snapshot(placer)
                    out.append(snapshot)
                    at = snapshot.seq + 1
                out += outbox.take_notes()
                if loop.time() >= beat_at or node.draining != draining:
                    draining = node.draining
                    beat_at = loop.time() + node.settings.heartbeat_ms / 1000.0
                    beat = self.heartbeat()
                    out.append(beat)
                    self.streamed(placer, beat)
                if out:
                    yield out
                    out = []
                if self._streams.get(placer) is not wake or self.closed.is_set() or peer.closed:
                    return
                if at < outbox.next_seq:
                    continue
                try:
                    async with asyncio.timeout_at(beat_at):
                        await wake.wait()
                except TimeoutError:
                    pass
        finally:
            stop_watching()
            if self._streams.get(placer) is wake:
                del self._streams[placer]
                outbox.on_change = _nothing

    def heartbeat(self) -> Heartbeat:
        """What placers are told of the machine's state and room."""
        return self.node.heartbeat()

    def acknowledged(self, placer: str, tasks: list[str]) -> None:
        """A hook: the placer has heard that these tasks are over."""

    def streamed(self, placer: str, message: Heartbeat | Sequenced) -> None:
        """A hook: the placer's stream carries this message now."""


async def _lines(messages: AsyncGenerator[list[StreamMessage], None]) -> AsyncIterator[bytes]:
    async with contextlib.aclosing(messages) as batches:
        async for batch in batches:
            yield b"\n".join([encode(message) for message in batch]) + b"\n"


def _nothing() -> None:
    pass
