"""The HTTP/1.1 server for the REST API and for the protocol of the machines.

It accepts a limited number of connections and passes each request to one handler, which interprets it.
`exchange` reads the requests and writes the responses.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterator

import h11

from kelpfront.http.exchange import READ_BYTES, Exchange
from kelpfront.http.limits import HttpLimits
from kelpfront.http.messages import AbortConnection, ErrorBody, Handler, RequestRejectedError, plain_error
from kelpfront.http.pacing import RequestPacer
from kelpfront.http.peer import Peer


class _StreamProtocol(asyncio.StreamReaderProtocol):
    """A stream protocol that marks the peer as closed even while nothing reads from the stream."""

    def __init__(
        self, on_connection: Callable[[asyncio.StreamReader, asyncio.StreamWriter, Peer], None], limit: int
    ) -> None:
        self._peer = Peer()
        self._on_connection = on_connection
        super().__init__(asyncio.StreamReader(limit=limit), self._connected)

    def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        address = writer.get_extra_info("peername")
        self._peer.address = f"{address[0]}:{address[1]}" if isinstance(address, tuple) else str(address)
        self._on_connection(reader, writer, self._peer)

    def eof_received(self) -> bool | None:
        keep_open = super().eof_received()
        self._peer.mark_half_closed()
        return keep_open

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._peer.mark_closed()


class HttpServer:
    """Serves one handler on one address.

    With a `pacer`, each request waits for its slot; the handler itself must then not wait for anything.
    The server owns one task for each connection; `abort` and `close` cancel the remaining tasks.
    """

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits | None = None,
        error_body: ErrorBody = plain_error,
        pacer: RequestPacer | None = None,
    ) -> None:
        self._handler = handler
        self._limits = limits or HttpLimits()
        self._error_body = error_body
        self._pacer = pacer
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.Task[None], asyncio.StreamWriter] = {}
        self._answering_count = 0
        self._closing = False
        self._all_answered = asyncio.Event()
        self._all_answered.set()

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self, host: str, port: int, *, backlog: int = 1024, reuse_port: bool = False) -> None:
        """Start to listen. Raises OSError if the address is not available."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _StreamProtocol(self._connected, READ_BYTES),
            host,
            port,
            backlog=backlog,
            reuse_port=reuse_port or None,
        )

    def stop_listening(self) -> None:
        """Accept no more connections; open ones are still served."""
        if self._server is not None:
            self._server.close()

    async def close(self, within_s: float = 5.0) -> None:
        """Stop listening, wait for requests in progress, then close all connections."""
        self._closing = True
        self.stop_listening()
        if self._answering_count:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(within_s):
                    await self._all_answered.wait()
        self.abort()
        if self._connections:
            await asyncio.wait(list(self._connections), timeout=within_s)

    def abort(self) -> None:
        """Abort all connections at once, as a crash of the machine would."""
        self._closing = True
        self.stop_listening()
        for task, writer in list(self._connections.items()):
            writer.transport.abort()
            task.cancel()

    # ---- One connection -------------------------------------------------------------------------------

    def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, peer: Peer) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(reader, writer, peer))
        self._connections[task] = writer
        task.add_done_callback(self._disconnected)

    def _disconnected(self, task: asyncio.Task[None]) -> None:
        writer = self._connections.pop(task)
        writer.close()
        if not task.cancelled() and (error := task.exception()) is not None:
            asyncio.get_running_loop().call_exception_handler(
                {"message": "an HTTP connection's task failed", "exception": error, "task": task}
            )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, peer: Peer) -> None:
        writer.transport.set_write_buffer_limits(high=self._limits.write_buffer)
        protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=self._limits.head_bytes)
        exchange = Exchange(protocol, reader, writer, self._limits, self._pacer)
        try:
            self._check_admitted()
            await self._serve_requests(exchange, peer)
        except RequestRejectedError as error:
            await exchange.reject(error.status, self._error_body(error.status, error.message))
        except (AbortConnection, ConnectionError, TimeoutError):
            writer.transport.abort()

    def _check_admitted(self) -> None:
        if len(self._connections) > self._limits.connections or self._closing:
            raise RequestRejectedError(
                503, f"{self._limits.connections} connections are open, which is the most"
            )

    async def _serve_requests(self, exchange: Exchange, peer: Peer) -> None:
        """Serve requests until the client or the server closes or the connection cannot be reused."""
        while not self._closing:
            request = await exchange.read_request(peer)
            if request is None:
                return
            with self._answering():
                response = await self._handler(request)
                if response.deferred is not None:
                    exchange.end_slot()
                    response = await response.deferred
                await exchange.send(response, closing=self._closing)
            if not exchange.start_next_request():
                return

    @contextlib.contextmanager
    def _answering(self) -> Iterator[None]:
        """Count a request as in progress, so that `close` waits for it."""
        self._answering_count += 1
        self._all_answered.clear()
        try:
            yield
        finally:
            self._answering_count -= 1
            if not self._answering_count:
                self._all_answered.set()
