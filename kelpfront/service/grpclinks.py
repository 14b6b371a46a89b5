"""The placer's link to a machine over one gRPC stream: offers out, answers and the machine's own messages in.

It keeps the same promises as the link over HTTP: the controller's gate is asked right before an offer is
written; an offer that was not written is known not to have run; one that was written and not answered when
the stream breaks may have.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any
from urllib.parse import urlsplit

import grpc
import structlog

from kelpfront.backoff import Backoff
from kelpfront.controller.intents import AbandonOffer, SendHealthCheck, SendOffer, SendStop
from kelpfront.controller.job_controller import JobController
from kelpfront.controller.load_reports import HealthCheckResult
from kelpfront.machine.grpc_conversion import (
    UnknownValueError,
    offer_message,
    read_answer,
    read_load,
    read_stream_message,
)
from kelpfront.machine.messages import Hello
from kelpfront.machine.stream_offset import StreamOffset
from kelpfront.v1 import node_pb2 as pb
from kelpfront.v1 import node_pb2_grpc as rpc

log = structlog.get_logger("kelpfront.links")

CONNECT_S = 2.0
SILENT_S = 10.0  # nothing at all for so long: the connection is dead, whatever TCP says
PROBE_S = 10.0
LOG_S = 10.0
LOGS_AT_ONCE = 2
MESSAGE_BYTES = 64 << 20  # of a message: a snapshot of some ten thousand tasks
OPTIONS = [
    ("grpc.enable_retries", 0),
    ("grpc.max_receive_message_length", MESSAGE_BYTES),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.http2.max_pings_without_data", 0),
]
Key = tuple[str, int]


class GrpcLink:
    """To one machine. `changed` is called after each thing that was told to the controller."""

    def __init__(
        self,
        host: str,
        address: str,
        controller: JobController,
        now: Callable[[], float],
        changed: Callable[[], None],
        rng: random.Random,
    ) -> None:
        self.host, self.address = host, address
        self._controller, self._now, self._changed = controller, now, changed
        parts = urlsplit(address)
        self._target = f"{parts.hostname}:{parts.port}"
        self._connect_s = controller.cluster.settings.connect_timeout_ms / 1000.0
        self._backoff = Backoff(rng)
        self._position = StreamOffset()
        self._up = asyncio.Event()
        self._call: Any = None
        self._channel: grpc.aio.Channel | None = None
        self._writing = asyncio.Lock()
        self._waiting: dict[Key, asyncio.Task[None]] = {}  # offers that are not written yet
        self._written: dict[Key, None] = {}  # offers that are out
        self._probes: dict[int, float] = {}
        self._probe_number = 0
        self._log_turns = asyncio.Semaphore(LOGS_AT_ONCE)
        self._jobs: dict[asyncio.Task[None], None] = {}  # in the order in which they began
        self._spawn(self._follow())

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._jobs[task] = None
        task.add_done_callback(self._jobs.pop)
        return task

    async def close(self) -> None:
        jobs = list(self._jobs)
        for task in jobs:
            task.cancel()
        await asyncio.gather(*jobs, return_exceptions=True)

    # ---- Offers ---------------------------------------------------------------------------------------

    def offer(self, intent: SendOffer) -> None:
        key = intent.offer.task, intent.offer.attempt
        task = self._spawn(self._send_offer(key, intent))
        self._waiting[key] = task
        task.add_done_callback(lambda _: self._waiting.pop(key, None))

    def abandon(self, intent: AbandonOffer) -> None:
        key = intent.task, intent.attempt
        waiting = self._waiting.get(key)
        if waiting is not None:
            waiting.cancel()
        elif self._written.pop(key, 0) is None:
            abandon = pb.Abandon(task=intent.task, attempt=intent.attempt)
            self._spawn(self._send(pb.PlacerMessage(abandon=abandon)))

    async def _send_offer(self, key: Key, intent: SendOffer) -> None:
        controller, message = self._controller, pb.PlacerMessage(offer=offer_message(intent.offer))
        try:
            async with asyncio.timeout(self._connect_s):
                await self._up.wait()
                await self._writing.acquire()
        except TimeoutError:
            controller.on_offer_failed(self._now(), *key, f"no stream within {self._connect_s * 1000:.0f} ms")
            self._changed()
            return
        try:
            if not self._up.is_set():
                controller.on_offer_failed(self._now(), *key, "the stream broke")
            elif not controller.clear_to_send(self._now(), *key):
                controller.on_offer_failed(self._now(), *key, "not sent")
            else:
                # From here on it may have run. Out of the books of what waits first: a break that comes while
                # it is written must find it among what is out.
                self._waiting.pop(key, None)
                self._written[key] = None
                await self._call.write(message)
                return
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
            self._lose(key)
        finally:
            self._writing.release()
        self._changed()

    def _lose(self, key: Key) -> None:
        """An offer that is out will not be answered on this stream."""
        if self._written.pop(key, 0) is None:
            self._controller.on_offer_failed(self._now(), *key, "the stream broke")

    async def _write(self, message: pb.PlacerMessage) -> bool:
        async with self._writing:
            if not self._up.is_set():
                return False
            try:
                await self._call.write(message)
            except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
                return False
        return True

    # ---- Stops, probes and output ---------------------------------------------------------------------

    def stop(self, intent: SendStop) -> None:
        """Once: the controller has it told again when the machine's stream is back."""
        its = intent.stop
        stop = pb.Stop(task=its.task, attempt=its.attempt, why=its.why)
        self._spawn(self._send(pb.PlacerMessage(stop=stop)))

    async def _send(self, message: pb.PlacerMessage) -> None:
        await self._write(message)

    def probe(self, intent: SendHealthCheck) -> None:
        self._spawn(self._send_probe())

    async def _send_probe(self) -> None:
        began = self._now()
        self._probe_number += 1
        number = self._probe_number
        self._probes[number] = began
        if await self._write(pb.PlacerMessage(probe=pb.Probe(number=number))):
            await asyncio.sleep(PROBE_S)
        if self._probes.pop(number, None) is not None:
            self._controller.on_health_check(
                self._now(), self.host, HealthCheckResult(ok=False, elapsed_ms=self._now() - began)
            )
            self._changed()

    async def read_log(self, task: str, attempt: int, most: int) -> tuple[int, bytes]:
        """Status and output of a task."""
        request = pb.LogRequest(task=task, attempt=attempt, tail_bytes=most)
        async with self._log_turns, grpc.aio.insecure_channel(self._target, options=OPTIONS) as channel:
            stub: Any = rpc.NodeStub(channel)
            try:
                pieces = [piece.data async for piece in stub.Log(request, timeout=LOG_S)]
            except grpc.aio.AioRpcError as error:
                if error.code() is grpc.StatusCode.NOT_FOUND:
                    return 404, b""
                raise TimeoutError(error.details()) from None
        return 200, b"".join(pieces)

    # ---- The stream -----------------------------------------------------------------------------------

    async def _follow(self) -> None:
        """Keeps the stream up for as long as the link lives, from where it broke."""
        try:
            while True:
                try:
                    await self._stream()
                    error = "ended"
                except (grpc.aio.AioRpcError, TimeoutError, UnknownValueError, ValueError) as caught:
                    text = caught.details() if isinstance(caught, grpc.aio.AioRpcError) else str(caught)
                    error = f"{type(caught).__name__}: {text}"
                finally:
                    await self._broken()
                pause = self._backoff.next_delay_ms()
                level = log.info if self._backoff.failure_count == 1 else log.debug
                level("stream broke", machine=self.host, error=error, again_ms=round(pause))
                await asyncio.sleep(pause / 1000.0)
        finally:
            await self._broken()

    async def _broken(self) -> None:
        self._up.clear()
        call, self._call = self._call, None
        if call is not None:
            call.cancel()
        channel, self._channel = self._channel, None
        for key in list(self._written):
            self._lose(key)
        self._controller.on_link_down(self._now(), self.host)
        self._changed()
        if channel is not None:
            await channel.close()

    async def _stream(self) -> None:
        # A channel of its own for each try: one that failed would try again in its own time.
        self._channel = grpc.aio.insecure_channel(self._target, options=OPTIONS)
        async with asyncio.timeout(CONNECT_S):
            await self._connected(self._channel)
        stub: Any = rpc.NodeStub(self._channel)
        call = self._call = stub.Link()
        boot, first = self._position.resume or ("", 0)
        opened = pb.Open(placer=self._controller.name, incarnation=self._controller.incarnation, boot=boot)
        setattr(opened, "from", first)
        await call.write(pb.PlacerMessage(open=opened))
        while True:
            try:
                async with asyncio.timeout(SILENT_S):
                    message = await call.read()
            except asyncio.CancelledError:
                task = asyncio.current_task()
                if task is not None and task.cancelling():
                    raise
                return  # it was the call that was cancelled, not this link
            if message is grpc.aio.EOF:
                return
            self._take(message)
            self._changed()

    async def _connected(self, channel: grpc.aio.Channel) -> None:
        state = channel.get_state(try_to_connect=True)
        while state is not grpc.ChannelConnectivity.READY:
            if state is grpc.ChannelConnectivity.TRANSIENT_FAILURE:
                raise ValueError("cannot be connected to")
            await channel.wait_for_state_change(state)
            state = channel.get_state(try_to_connect=True)

    def _take(self, message: pb.NodeMessage) -> None:
        controller, now = self._controller, self._now()
        match message.WhichOneof("message"):
            case "answer":
                key = message.answer.task, message.answer.attempt
                if self._written.pop(key, 0) is None:
                    controller.on_offer_answered(now, *key, read_answer(message.answer))
                return
            case "stopped":
                controller.on_stop_confirmed(self.host, message.stopped.task)
                return
            case "probed":
                began = self._probes.pop(message.probed.number, None)
                if began is not None:
                    load = read_load(message.probed.load)
                    result = HealthCheckResult(ok=True, elapsed_ms=now - began, load=load)
                    controller.on_health_check(now, self.host, result)
                return
        told = read_stream_message(message)
        if told is None:
            return  # of a later version
        if isinstance(told, Hello):
            self._backoff.reset()
            log.info("stream up", machine=self.host, boot=told.boot, resumed=told.resumed)
            self._up.set()
        if not self._position.accept(told):
            return
        controller.on_machine_message(now, self.host, told)
