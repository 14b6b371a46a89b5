"""The link to a machine over one gRPC stream, which carries offers out and answers and reports in.

It gives the same guarantees as the link over HTTP. The controller clears an offer right before it is written.
An offer that was not written has certainly not been executed. An offer that was written but not answered
when the stream breaks may have been executed. `stream_session` handles the stream's offset, its backoff and
its reports to the controller.
"""

from __future__ import annotations

import asyncio
from typing import Any
from urllib.parse import urlsplit

import grpc

from kelpfront.clock import MS_PER_S
from kelpfront.controller.load_reports import HealthCheckResult
from kelpfront.machine.grpc_conversion import (
    UnknownValueError,
    offer_message,
    read_answer,
    read_load,
    read_stream_message,
)
from kelpfront.machine.messages import Hello, Offer, StopRequest
from kelpfront.machine.offer_waiters import OfferKey
from kelpfront.service.background_tasks import BackgroundTasks
from kelpfront.service.grpc_channel import CHANNEL_OPTIONS, read_output, wait_until_connected
from kelpfront.service.machine_link import (
    CONNECT_TIMEOUT_S,
    MAX_CONCURRENT_OUTPUT_READS,
    SILENCE_TIMEOUT_S,
    LinkContext,
)
from kelpfront.service.stream_session import StreamSession
from kelpfront.v1 import node_pb2 as pb
from kelpfront.v1 import node_pb2_grpc as rpc

HEALTH_CHECK_TIMEOUT_S = 10.0
"""A health check that is not answered within this time has failed."""
STREAM_BROKE = "the stream broke"


class GrpcLink:
    """The link to one machine over gRPC. See `MachineLink`."""

    def __init__(self, host: str, address: str, context: LinkContext) -> None:
        self.host = host
        self.address = address
        self._controller = context.controller
        self._now = context.now
        self._notify_changed = context.notify_changed
        url = urlsplit(address)
        self._target = f"{url.hostname}:{url.port}"
        self._connect_timeout_s = self._controller.cluster.settings.connect_timeout_ms / MS_PER_S
        self._session = StreamSession(host, context)
        self._connected = asyncio.Event()
        self._call: Any = None
        self._channel: grpc.aio.Channel | None = None
        self._write_lock = asyncio.Lock()
        self._unwritten: dict[OfferKey, asyncio.Task[None]] = {}
        self._in_flight: dict[OfferKey, None] = {}  # offers that are written but not answered
        self._health_checks: dict[int, float] = {}  # start times of unanswered checks, by number
        self._last_health_check = 0
        self._output_reads = asyncio.Semaphore(MAX_CONCURRENT_OUTPUT_READS)
        self._tasks = BackgroundTasks()
        self._tasks.spawn(self._follow_stream())

    async def close(self) -> None:
        """Cancel the link's tasks and close its connections."""
        await self._tasks.cancel_and_wait()

    # ---- Offers -------------------------------------------------------------------------------------------

    def send_offer(self, offer: Offer) -> None:
        """Send an offer once the controller clears it; its outcome is reported to the controller."""
        key = OfferKey(offer.task, offer.attempt)
        task = self._tasks.spawn(self._send_offer(key, offer))
        self._unwritten[key] = task
        task.add_done_callback(lambda _: self._unwritten.pop(key, None))

    def abandon_offer(self, task: str, attempt: int) -> None:
        """Drop an offer that is not written yet, or notify the machine if it is written."""
        key = OfferKey(task, attempt)
        sending = self._unwritten.get(key)
        if sending is not None:
            sending.cancel()
        elif key in self._in_flight:
            del self._in_flight[key]
            abandon = pb.Abandon(task=task, attempt=attempt)
            self._tasks.spawn(self._send(pb.PlacerMessage(abandon=abandon)))

    async def _send_offer(self, key: OfferKey, offer: Offer) -> None:
        """Wait for the stream and write one offer. A cancellation before the write reports nothing."""
        message = pb.PlacerMessage(offer=offer_message(offer))
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                await self._connected.wait()
                await self._write_lock.acquire()
        except TimeoutError:
            waited_ms = self._connect_timeout_s * MS_PER_S
            self._fail_offer(key, f"no stream within {waited_ms:.0f} ms")
            self._notify_changed()
            return
        try:
            if not self._connected.is_set():
                self._fail_offer(key, STREAM_BROKE)
            elif not self._controller.clear_to_send(self._now(), key.task, key.attempt):
                self._fail_offer(key, "not sent")
            else:
                await self._write_offer(key, message)
                return
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
            self._fail_in_flight(key)
        finally:
            self._write_lock.release()
        self._notify_changed()

    async def _write_offer(self, key: OfferKey, message: pb.PlacerMessage) -> None:
        """Write a cleared offer. From the first statement on, it counts as possibly executed."""
        # Both entries change before the write: a break during the write must find the offer in flight.
        self._unwritten.pop(key, None)
        self._in_flight[key] = None
        await self._call.write(message)

    def _fail_in_flight(self, key: OfferKey) -> None:
        if key in self._in_flight:
            del self._in_flight[key]
            self._fail_offer(key, STREAM_BROKE)

    def _fail_offer(self, key: OfferKey, cause: str) -> None:
        self._controller.on_offer_failed(self._now(), key.task, key.attempt, cause)

    async def _write(self, message: pb.PlacerMessage) -> bool:
        """Write a message and return whether it was written."""
        async with self._write_lock:
            if not self._connected.is_set():
                return False
            try:
                await self._call.write(message)
            except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
                return False
        return True

    async def _send(self, message: pb.PlacerMessage) -> None:
        await self._write(message)

    # ---- Stop requests, health checks and output ----------------------------------------------------------

    def send_stop(self, request: StopRequest) -> None:
        """Send a stop request once; the controller repeats it when the machine's stream reconnects."""
        stop = pb.Stop(task=request.task, attempt=request.attempt, why=request.why)
        self._tasks.spawn(self._send(pb.PlacerMessage(stop=stop)))

    def check_health(self) -> None:
        """Check the machine's health; the result is reported to the controller."""
        self._tasks.spawn(self._check_health())

    async def _check_health(self) -> None:
        started_at = self._now()
        self._last_health_check += 1
        number = self._last_health_check
        self._health_checks[number] = started_at
        if await self._write(pb.PlacerMessage(probe=pb.Probe(number=number))):
            await asyncio.sleep(HEALTH_CHECK_TIMEOUT_S)
        if number not in self._health_checks:
            return  # answered
        del self._health_checks[number]
        result = HealthCheckResult(ok=False, elapsed_ms=self._now() - started_at)
        self._controller.on_health_check(self._now(), self.host, result)
        self._notify_changed()

    async def read_task_output(self, task: str, attempt: int, max_bytes: int) -> bytes | None:
        """Return the last bytes of a task's output, or None if the machine has none.

        Raises TaskOutputUnavailableError if the machine does not answer.
        """
        request = pb.LogRequest(task=task, attempt=attempt, tail_bytes=max_bytes)
        async with self._output_reads:
            return await read_output(self._target, request)

    # ---- The stream ---------------------------------------------------------------------------------------

    async def _follow_stream(self) -> None:
        """Read the stream until the link is closed. After each break, reconnect and resume at its offset."""
        try:
            while True:
                try:
                    await self._read_stream()
                    error = "ended"
                except grpc.aio.AioRpcError as caught:
                    error = f"{type(caught).__name__}: {caught.details()}"
                except (TimeoutError, UnknownValueError, ValueError) as caught:
                    error = f"{type(caught).__name__}: {caught}"
                finally:
                    await self._disconnect()
                await self._session.wait_before_reconnect(error)
        finally:
            # A cancellation within the inner `finally` can leave the disconnection incomplete.
            await self._disconnect()

    async def _disconnect(self) -> None:
        """Close the connection, if there is one, and report the offers that were in flight as failed."""
        self._connected.clear()
        call = self._call
        self._call = None
        if call is not None:
            call.cancel()
        channel = self._channel
        self._channel = None
        for key in list(self._in_flight):
            self._fail_in_flight(key)
        self._session.report_down()
        if channel is not None:
            await channel.close()

    async def _read_stream(self) -> None:
        # Each attempt opens a new channel, because gRPC reconnects a failed channel with its own backoff.
        self._channel = grpc.aio.insecure_channel(self._target, options=CHANNEL_OPTIONS)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await wait_until_connected(self._channel)
        stub: Any = rpc.NodeStub(self._channel)
        call = stub.Link()
        self._call = call
        await call.write(pb.PlacerMessage(open=self._open_message()))
        while True:
            try:
                async with asyncio.timeout(SILENCE_TIMEOUT_S):
                    message = await call.read()
            except asyncio.CancelledError:
                task = asyncio.current_task()
                if task is not None and task.cancelling():
                    raise
                return  # the call was cancelled, not this task
            if message is grpc.aio.EOF:
                return
            self._receive(message)
            self._notify_changed()

    def _open_message(self) -> pb.Open:
        controller = self._controller
        opened = pb.Open(placer=controller.name, incarnation=controller.incarnation)
        resume = self._session.resume_point
        if resume is not None:
            opened.boot = resume.boot
            setattr(opened, "from", resume.next_seq)  # the field's name is a Python keyword
        return opened

    def _receive(self, message: pb.NodeMessage) -> None:
        match message.WhichOneof("message"):
            case "answer":
                self._receive_answer(message.answer)
                return
            case "stopped":
                self._controller.on_stop_confirmed(self.host, message.stopped.task)
                return
            case "probed":
                self._receive_health(message.probed)
                return
        reported = read_stream_message(message)
        if reported is None:
            return  # a message type of a later version
        if isinstance(reported, Hello):
            self._connected.set()
        self._session.receive(reported)

    def _receive_answer(self, message: pb.OfferAnswer) -> None:
        key = OfferKey(message.task, message.attempt)
        if key not in self._in_flight:
            return  # abandoned
        del self._in_flight[key]
        self._controller.on_offer_answered(self._now(), key.task, key.attempt, read_answer(message))

    def _receive_health(self, message: pb.ProbeAnswer) -> None:
        started_at = self._health_checks.pop(message.number, None)
        if started_at is None:
            return  # answered after the timeout
        now = self._now()
        result = HealthCheckResult(ok=True, elapsed_ms=now - started_at, load=read_load(message.load))
        self._controller.on_health_check(now, self.host, result)
