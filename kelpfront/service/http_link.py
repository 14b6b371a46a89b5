"""The link to a machine over HTTP: one connection per offer, and one for the machine's stream.

Each request in flight holds a connection from a bounded pool. `stream_session` handles the stream's offset,
its backoff and its reports to the controller.
"""

from __future__ import annotations

import asyncio
import contextlib
from http import HTTPStatus
from urllib.parse import quote, urlsplit

import msgspec

from kelpfront.clock import MS_PER_S
from kelpfront.controller.load_reports import HealthCheckResult
from kelpfront.http.client import HttpConnection, HttpError, Reply
from kelpfront.http.pool import HttpPool
from kelpfront.machine.messages import (
    Answer,
    Offer,
    OfferRequest,
    StopRequest,
    decode_answer,
    decode_load,
    decode_stop_reply,
    decode_stream_message,
    encode,
)
from kelpfront.machine.offer_waiters import OfferKey
from kelpfront.service.background_tasks import BackgroundTasks
from kelpfront.service.http_stream import read_stream
from kelpfront.service.machine_link import (
    MAX_CONCURRENT_OUTPUT_READS,
    SILENCE_TIMEOUT_S,
    TASK_OUTPUT_TIMEOUT_S,
    LinkContext,
    TaskOutputUnavailableError,
    log,
)
from kelpfront.service.stream_session import StreamSession

MAX_CONNECTIONS = 32
"""Connections to one machine in addition to the stream; each offer in flight holds one."""
MAX_CONCURRENT_STOPS = 4
"""Stop requests in flight to one machine; the bound leaves connections for offers."""


class HttpLink:
    """The link to one machine over HTTP. See `MachineLink`."""

    def __init__(self, host: str, address: str, context: LinkContext) -> None:
        self.host = host
        self.address = address
        self._controller = context.controller
        self._now = context.now
        self._notify_changed = context.notify_changed
        url = urlsplit(address)
        self._hostname = url.hostname or ""
        self._port = url.port or 80
        self._path = url.path.rstrip("/")
        connect_timeout_s = self._controller.cluster.settings.connect_timeout_ms / MS_PER_S
        self._pool = HttpPool(self._hostname, self._port, MAX_CONNECTIONS, connect_timeout_s)
        self._offers: dict[OfferKey, asyncio.Task[None]] = {}
        self._output_reads = asyncio.Semaphore(MAX_CONCURRENT_OUTPUT_READS)
        self._stop_requests = asyncio.Semaphore(MAX_CONCURRENT_STOPS)
        self._session = StreamSession(host, context)
        self._tasks = BackgroundTasks()
        self._tasks.spawn(self._follow_stream())

    async def close(self) -> None:
        """Close the link's connections and cancel its tasks."""
        self._pool.close()
        await self._tasks.cancel_and_wait()

    # ---- Offers -------------------------------------------------------------------------------------------

    def send_offer(self, offer: Offer) -> None:
        """Send an offer once the controller clears it; its outcome is reported to the controller."""
        key = OfferKey(offer.task, offer.attempt)
        task = self._tasks.spawn(self._send_offer(offer))
        self._offers[key] = task
        task.add_done_callback(lambda _: self._offers.pop(key, None))

    def abandon_offer(self, task: str, attempt: int) -> None:
        """Close the connection of an offer; this shows the machine that nobody waits for its answer."""
        sending = self._offers.get(OfferKey(task, attempt))
        if sending is not None:
            sending.cancel()

    async def _send_offer(self, offer: Offer) -> None:
        """Send one offer. A cancellation at any point closes its connection and reports nothing."""
        try:
            reply = await self._request_offer(offer)
        except HttpError as error:
            self._controller.on_offer_failed(self._now(), offer.task, offer.attempt, str(error))
        else:
            answer = _read_answer(reply)
            self._controller.on_offer_answered(self._now(), offer.task, offer.attempt, answer)
        self._notify_changed()

    async def _request_offer(self, offer: Offer) -> Reply:
        controller = self._controller
        body = encode(OfferRequest(controller.name, controller.incarnation, offer))

        def is_cleared() -> bool:
            return controller.clear_to_send(self._now(), offer.task, offer.attempt)

        connection = await self._pool.acquire()
        try:
            return await connection.request(
                "POST",
                f"{self._path}/v1/offers",
                body,
                (("content-type", "application/json"),),
                before_send=is_cleared,
            )
        finally:
            self._pool.release(connection)

    # ---- Stop requests, health checks and output ----------------------------------------------------------

    def send_stop(self, request: StopRequest) -> None:
        """Send a stop request once; the controller repeats it when the machine's stream reconnects."""
        self._tasks.spawn(self._send_stop(request))

    async def _send_stop(self, request: StopRequest) -> None:
        async with self._stop_requests:
            try:
                reply = await self._request("POST", "/v1/stops", encode(request))
                decode_stop_reply(reply)
            except (HttpError, msgspec.DecodeError, TimeoutError) as error:
                log.info("stop request failed", machine=self.host, task=request.task, error=str(error))
                return
        self._controller.on_stop_confirmed(self.host, request.task)

    def check_health(self) -> None:
        """Check the machine's health; the result is reported to the controller."""
        self._tasks.spawn(self._check_health())

    async def _check_health(self) -> None:
        started_at = self._now()
        try:
            load = decode_load(await self._request("GET", "/v1/probe"))
        except (HttpError, msgspec.DecodeError, TimeoutError):
            result = HealthCheckResult(ok=False, elapsed_ms=self._now() - started_at)
        else:
            result = HealthCheckResult(ok=True, elapsed_ms=self._now() - started_at, load=load)
        self._controller.on_health_check(self._now(), self.host, result)
        self._notify_changed()

    async def _request(self, method: str, path: str, body: bytes = b"") -> bytes:
        async with asyncio.timeout(SILENCE_TIMEOUT_S):
            connection = await self._pool.acquire()
            try:
                reply = await connection.request(method, self._path + path, body)
            finally:
                self._pool.release(connection)
        return reply.body

    async def read_task_output(self, task: str, attempt: int, max_bytes: int) -> bytes | None:
        """Return the last bytes of a task's output, or None if the machine has none.

        Uses a connection outside of the pool, so that no offer waits for it. Raises
        TaskOutputUnavailableError if the machine does not answer.
        """
        target = f"{self._path}/v1/logs?task={quote(task)}&attempt={attempt}&tailBytes={max_bytes}"
        try:
            async with self._output_reads, asyncio.timeout(TASK_OUTPUT_TIMEOUT_S):
                connection = await HttpConnection.open(self._hostname, self._port)
                try:
                    reply = await connection.request("GET", target)
                finally:
                    connection.abort()
        except (HttpError, TimeoutError) as error:
            raise TaskOutputUnavailableError(str(error)) from error
        return reply.body if reply.status == HTTPStatus.OK else None

    # ---- The stream ---------------------------------------------------------------------------------------

    async def _follow_stream(self) -> None:
        """Read the stream until the link is closed. After each break, reconnect and resume at its offset."""
        while True:
            try:
                await self._read_stream()
                error = "ended"
            except (HttpError, OSError, TimeoutError, msgspec.DecodeError, ValueError) as caught:
                error = f"{type(caught).__name__}: {caught}"
            self._session.report_down()
            await self._session.wait_before_reconnect(error)
            self._pool.close_idle()  # connections from before the break may be dead

    async def _read_stream(self) -> None:
        target = f"{self._path}/v1/stream?placer={quote(self._controller.name)}"
        resume = self._session.resume_point
        if resume is not None:
            target += f"&boot={quote(resume.boot)}&from={resume.next_seq}"
        async with contextlib.aclosing(read_stream(self._hostname, self._port, target)) as batches:
            async for lines in batches:
                for line in lines:
                    self._session.receive(decode_stream_message(line))
                self._notify_changed()


def _read_answer(reply: Reply) -> Answer:
    try:
        return decode_answer(reply.body)
    except msgspec.DecodeError as error:
        return Answer("error", "", f"HTTP {reply.status}, not an answer: {error}")
