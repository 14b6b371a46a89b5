"""The placer's connections to its machines: offers out, answers in, one stream from each machine.

A link carries out what the controller wants and tells it what came of it. It chooses nothing: not the
machine, not a time-out, not whether to try again.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, Protocol
from urllib.parse import quote, urlsplit

import msgspec
import structlog

from kelpfront.backoff import Backoff
from kelpfront.controller.intents import AbandonOffer, SendHealthCheck, SendOffer, SendStop
from kelpfront.controller.job_controller import JobController
from kelpfront.controller.load_reports import HealthCheckResult
from kelpfront.http.client import HttpConnection, HttpError
from kelpfront.http.pool import HttpPool
from kelpfront.machine.messages import (
    Answer,
    Hello,
    OfferRequest,
    decode_answer,
    decode_load,
    decode_stop_reply,
    decode_stream_message,
    encode,
)
from kelpfront.machine.stream_offset import StreamOffset

log = structlog.get_logger("kelpfront.links")

CONNECTIONS = 32  # to one machine, besides the stream; each offer that is out holds one
STOPS_AT_ONCE = 4  # to one machine
LOGS_AT_ONCE = 2  # reads of tasks' output on one machine
LOG_S = 10.0  # for one of them, with its wait for the others
STREAM_CONNECT_S = 2.0
STREAM_SILENT_S = 10.0  # nothing at all for so long: the connection is dead, whatever TCP says
LINE_MOST = 64 << 20  # bytes of one message: a snapshot of some ten thousand tasks


class MachineLink(Protocol):
    """What the placer asks of a link, whichever protocol it speaks."""

    address: str

    def offer(self, intent: SendOffer) -> None: ...

    def abandon(self, intent: AbandonOffer) -> None: ...

    def stop(self, intent: SendStop) -> None: ...

    def probe(self, intent: SendHealthCheck) -> None: ...

    async def read_log(self, task: str, attempt: int, most: int) -> tuple[int, bytes]:
        """Status, 200 or 404, and output of a task; HttpError or TimeoutError where there is no answer."""

    async def close(self) -> None: ...


def make_link(
    host: str,
    address: str,
    controller: JobController,
    now: Callable[[], float],
    changed: Callable[[], None],
    rng: random.Random,
) -> MachineLink:
    """The link for an address: grpc://HOST:PORT or http://HOST:PORT."""
    if address.startswith("grpc://"):
        from kelpfront.service.grpclinks import GrpcLink

        return GrpcLink(host, address, controller, now, changed, rng)
    return Link(host, address, controller, now, changed, rng)


class Link:
    """Over HTTP, to one machine. `changed` is called after each thing that was told to the controller."""

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
        self._name, self._port = parts.hostname or "", parts.port or 80
        self._path = parts.path.rstrip("/")
        connect_s = controller.cluster.settings.connect_timeout_ms / 1000.0
        self._pool = HttpPool(self._name, self._port, CONNECTIONS, connect_s)
        self._offers: dict[tuple[str, int], asyncio.Task[None]] = {}
        self._jobs: dict[asyncio.Task[None], None] = {}  # in the order in which they began
        self._log_turns = asyncio.Semaphore(LOGS_AT_ONCE)
        self._stop_turns = asyncio.Semaphore(STOPS_AT_ONCE)
        self._backoff = Backoff(rng)
        self._position = StreamOffset()
        self._stream = self._spawn(self._follow())

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._jobs[task] = None
        task.add_done_callback(self._jobs.pop)
        return task

    async def close(self) -> None:
        self._pool.close()
        jobs = list(self._jobs)
        for task in jobs:
            task.cancel()
        await asyncio.gather(*jobs, return_exceptions=True)

    # ---- Offers ---------------------------------------------------------------------------------------

    def offer(self, intent: SendOffer) -> None:
        key = intent.offer.task, intent.offer.attempt
        task = self._spawn(self._send_offer(intent))
        self._offers[key] = task
        task.add_done_callback(lambda _: self._offers.pop(key, None))

    def abandon(self, intent: AbandonOffer) -> None:
        task = self._offers.get((intent.task, intent.attempt))
        if task is not None:
            task.cancel()

    async def _send_offer(self, intent: SendOffer) -> None:
        offer, controller = intent.offer, self._controller
        body = encode(OfferRequest(controller.name, controller.incarnation, offer))
        try:
            connection = await self._pool.acquire()
            try:
                reply = await connection.request(
                    "POST",
                    f"{self._path}/v1/offers",
                    body,
                    (("content-type", "application/json"),),
                    before_send=lambda: controller.clear_to_send(self._now(), offer.task, offer.attempt),
                )
            finally:
                self._pool.release(connection)
        except HttpError as error:
            controller.on_offer_failed(self._now(), offer.task, offer.attempt, str(error))
        else:
            try:
                answer = decode_answer(reply.body)
            except msgspec.DecodeError as error:
                answer = Answer("error", "", f"HTTP {reply.status}, not an answer: {error}")
            controller.on_offer_answered(self._now(), offer.task, offer.attempt, answer)
        self._changed()

    # ---- Stops and probes -----------------------------------------------------------------------------

    def stop(self, intent: SendStop) -> None:
        self._spawn(self._send_stop(intent))

    async def _send_stop(self, intent: SendStop) -> None:
        """Once: the controller has it told again when the machine's stream is back."""
        async with self._stop_turns:
            try:
                reply = await self._call("POST", "/v1/stops", encode(intent.stop))
                decode_stop_reply(reply)
            except (HttpError, msgspec.DecodeError, TimeoutError) as error:
                log.info("stop not heard", machine=self.host, task=intent.stop.task, error=str(error))
                return
        self._controller.on_stop_confirmed(self.host, intent.stop.task)

    async def read_log(self, task: str, attempt: int, most: int) -> tuple[int, bytes]:
        """Status and output of a task, by a connection of its own: offers must not wait for it."""
        target = f"{self._path}/v1/logs?task={quote(task)}&attempt={attempt}&tailBytes={most}"
        async with self._log_turns, asyncio.timeout(LOG_S):
            connection = await HttpConnection.open(self._name, self._port)
            try:
                reply = await connection.request("GET", target)
            finally:
                connection.abort()
        return reply.status, reply.body

    def probe(self, intent: SendHealthCheck) -> None:
        self._spawn(self._send_probe())

    async def _send_probe(self) -> None:
        began = self._now()
        try:
            load = decode_load(await self._call("GET", "/v1/probe"))
        except (HttpError, msgspec.DecodeError, TimeoutError):
            self._controller.on_health_check(
                self._now(), self.host, HealthCheckResult(ok=False, elapsed_ms=self._now() - began)
            )
        else:
            self._controller.on_health_check(
                self._now(),
                self.host,
                HealthCheckResult(ok=True, elapsed_ms=self._now() - began, load=load),
            )
        self._changed()

    async def _call(self, method: str, path: str, body: bytes = b"") -> bytes:
        async with asyncio.timeout(STREAM_SILENT_S):
            connection = await self._pool.acquire()
            try:
                return (await connection.request(method, self._path + path, body)).body
            finally:
                self._pool.release(connection)

    # ---- The stream -----------------------------------------------------------------------------------

    async def _follow(self) -> None:
        """Reads the machine's stream for as long as the link lives, from where it broke."""
        while True:
            try:
                await self._read_stream()
                error = "ended"
            except (HttpError, OSError, TimeoutError, msgspec.DecodeError, ValueError) as caught:
                error = f"{type(caught).__name__}: {caught}"
            self._controller.on_link_down(self._now(), self.host)
            self._changed()
            pause = self._backoff.next_delay_ms()
            level = log.info if self._backoff.failure_count == 1 else log.debug
            level("stream broke", machine=self.host, error=error, again_ms=round(pause))
            await asyncio.sleep(pause / 1000.0)
            self._pool.close_idle()

    async def _read_stream(self) -> None:
        target = f"{self._path}/v1/stream?placer={quote(self._controller.name)}"
        if (resume := self._position.resume) is not None:
            target += f"&boot={quote(resume[0])}&from={resume[1]}"
        async with asyncio.timeout(STREAM_CONNECT_S):
            connection = await HttpConnection.open(self._name, self._port)
        try:
            async with asyncio.timeout(STREAM_SILENT_S):
                status, _, pieces = await connection.stream("GET", target)
            if status != 200:
                raise ValueError(f"HTTP {status}")
            rest = b""
            iterator = pieces.__aiter__()
            while True:
                try:
                    async with asyncio.timeout(STREAM_SILENT_S):
                        piece = await anext(iterator)
                except StopAsyncIteration:
                    return
                *lines, rest = (rest + piece).split(b"\n")
                if len(rest) > LINE_MOST:
                    raise ValueError(f"a message of over {LINE_MOST} bytes")
                for line in lines:
                    self._take(line)
                self._changed()
        finally:
            connection.abort()

    def _take(self, line: bytes) -> None:
        message = decode_stream_message(line)
        if isinstance(message, Hello):
            self._backoff.reset()
            log.info("stream up", machine=self.host, boot=message.boot, resumed=message.resumed)
        if not self._position.accept(message):
            return
        self._controller.on_machine_message(self._now(), self.host, message)
