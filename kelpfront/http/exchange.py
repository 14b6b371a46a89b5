"""Reads requests and writes responses on one server connection, within the server's limits of size and time.

`server` and its handler decide which requests are answered and how.
"""

from __future__ import annotations

import asyncio
from urllib.parse import parse_qsl, unquote, urlsplit

import h11

from kelpfront.http.limits import HttpLimits
from kelpfront.http.messages import Request, RequestRejectedError, Response
from kelpfront.http.pacing import RequestPacer
from kelpfront.http.peer import Peer

READ_BYTES = 65536
MAX_LINGER_S = 1.0  # how long data of a rejected client is still read


class Exchange:
    """Reads requests from a connection and writes their responses, one request at a time."""

    def __init__(
        self,
        protocol: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limits: HttpLimits,
        pacer: RequestPacer | None,
    ) -> None:
        self._protocol = protocol
        self._reader = reader
        self._writer = writer
        self._limits = limits
        self._pacer = pacer
        self._slot_started_at = 0.0  # when the current request got its slot; 0 if it holds none
        self._head_only = False
        self._loop = asyncio.get_running_loop()

    # ---- Requests -------------------------------------------------------------------------------------

    async def read_request(self, peer: Peer) -> Request | None:
        """Return the next request, or None if the client closed the connection or stayed idle.

        Raises RequestRejectedError for a request that is malformed or exceeds a limit.
        """
        event = self._next_event()
        if event is h11.NEED_DATA and not self._protocol.trailing_data[0]:
            if not await self._wait_for_first_byte():
                return None
            received_at = self._loop.time()
            await self._begin_slot()
            event = self._next_event()
        else:
            received_at = self._loop.time()
        if event is h11.NEED_DATA:
            event = await self._read_head()
        if isinstance(event, h11.ConnectionClosed):
            return None
        assert isinstance(event, h11.Request)
        if len(event.headers) > self._limits.headers:
            raise RequestRejectedError(
                431, f"{len(event.headers)} headers; {self._limits.headers} are allowed"
            )
        headers = {name.decode("ascii"): value.decode("latin-1") for name, value in event.headers}
        body = await self._read_body(headers)
        self._head_only = event.method == b"HEAD"
        target = urlsplit(event.target.decode("ascii"))
        query = dict(parse_qsl(target.query, keep_blank_values=True))
        return Request(
            event.method.decode("ascii"), unquote(target.path), query, headers, body, received_at, peer
        )

    async def _wait_for_first_byte(self) -> bool:
        """Return whether data or the end of the stream arrived within the idle timeout."""
        try:
            async with asyncio.timeout(self._limits.idle_timeout_s):
                await self._read()
        except TimeoutError:
            return False
        return True

    async def _read_head(self) -> object:
        event: object = h11.NEED_DATA
        try:
            async with asyncio.timeout(self._limits.head_timeout_s):
                while event is h11.NEED_DATA:
                    await self._read()
                    event = self._next_event()
        except TimeoutError as error:
            raise RequestRejectedError(
                408, f"the request's head took longer than {self._limits.head_timeout_s:g} s"
            ) from error
        return event

    async def _read_body(self, headers: dict[str, str]) -> bytes:
        limits = self._limits
        length = headers.get("content-length")
        if length is not None and int(length) > limits.body_bytes:
            raise RequestRejectedError(413, f"a body of {length} bytes; {limits.body_bytes} are allowed")
        if length is None and "transfer-encoding" not in headers:
            # The request has no body, so the end of the message follows without further data.
            while not isinstance(self._next_event(), h11.EndOfMessage):
                pass
            return b""
        try:
            async with asyncio.timeout(limits.body_timeout_s):
                return await self._collect_body()
        except TimeoutError as error:
            raise RequestRejectedError(
                408, f"the request's body took longer than {limits.body_timeout_s:g} s"
            ) from error

    async def _collect_body(self) -> bytes:
        max_bytes = self._limits.body_bytes
        parts: list[bytes] = []
        size = 0
        event = self._next_event()
        while not isinstance(event, h11.EndOfMessage):
            if event is h11.NEED_DATA:
                self._send_continue_if_expected()
                await self._read()
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > max_bytes:
                    raise RequestRejectedError(413, f"a body of over {max_bytes} bytes, which are allowed")
                parts.append(bytes(event.data))
            event = self._next_event()
        return b"".join(parts)

    def _send_continue_if_expected(self) -> None:
        if self._protocol.they_are_waiting_for_100_continue:
            informational = h11.InformationalResponse(status_code=100, headers=[])
            self._writer.write(self._protocol.send(informational) or b"")

    def _next_event(self) -> object:
        try:
            return self._protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise RequestRejectedError(error.error_status_hint, str(error)) from error

    async def _read(self) -> None:
        self.end_slot()
        self._protocol.receive_data(await self._reader.read(READ_BYTES))

    # ---- Slots ----------------------------------------------------------------------------------------

    async def _begin_slot(self) -> None:
        if self._pacer is not None:
            await self._pacer.wait_for_slot()
            self._slot_started_at = self._pacer.clock()

    def end_slot(self) -> None:
        """Report the time that the current request used of its slot. Its later work is not counted."""
        if self._pacer is not None and self._slot_started_at:
            self._pacer.record_work(self._pacer.clock() - self._slot_started_at)
            self._slot_started_at = 0.0

    # ---- Responses ------------------------------------------------------------------------------------

    async def send(self, response: Response, *, closing: bool) -> None:
        """Write a response; `closing` announces that the connection closes after it.

        Raises TimeoutError if the client does not read it in time.
        """
        headers = [("content-type", response.content_type), *response.headers]
        if closing:
            headers.append(("connection", "close"))
        if response.stream is not None:
            await self._send_stream(response, headers)
            return
        headers.append(("content-length", str(len(response.body))))
        body = b"" if self._head_only else response.body
        self._writer.write(self._encode_response(response.status, headers, body))
        self.end_slot()
        await self._drain()

    def _encode_response(self, status: int, headers: list[tuple[str, str]], body: bytes) -> bytes:
        protocol = self._protocol
        data = protocol.send(h11.Response(status_code=status, headers=headers)) or b""
        if body:
            data += protocol.send(h11.Data(data=body)) or b""
        data += protocol.send(h11.EndOfMessage()) or b""
        return data

    async def _send_stream(self, response: Response, headers: list[tuple[str, str]]) -> None:
        assert response.stream is not None
        protocol, stream = self._protocol, response.stream
        try:
            head = protocol.send(h11.Response(status_code=response.status, headers=headers))
            self.end_slot()
            await self._write(head or b"")
            async for chunk in stream:
                if chunk:
                    await self._write(protocol.send(h11.Data(data=chunk)) or b"")
            await self._write(protocol.send(h11.EndOfMessage()) or b"")
        finally:
            if hasattr(stream, "aclose"):
                await stream.aclose()

    async def _write(self, data: bytes) -> None:
        self._writer.write(data)
        await self._drain()

    async def _drain(self) -> None:
        """Wait, up to the write timeout, for a client that reads more slowly than data is written."""
        if self._writer.transport.get_write_buffer_size() > self._limits.write_buffer // 2:
            async with asyncio.timeout(self._limits.write_timeout_s):
                await self._writer.drain()

    def start_next_request(self) -> bool:
        """Make the connection ready for the next request; return False if it cannot be reused."""
        protocol = self._protocol
        if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
            return False
        protocol.start_next_cycle()
        return True

    async def reject(self, status: int, body: bytes) -> None:
        """Respond to a request that was not read completely, and close the connection for writing."""
        if self._protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [
            ("content-type", "application/json"),
            ("content-length", str(len(body))),
            ("connection", "close"),
        ]
        try:
            self._writer.write(self._encode_response(status, headers, body))
            # Data that the client still sends is read for a while: closing at once would reset the
            # connection, and the client could lose the response.
            async with asyncio.timeout(min(MAX_LINGER_S, self._limits.write_timeout_s)):
                await self._writer.drain()
                self._writer.write_eof()
                while await self._reader.read(READ_BYTES):
                    pass
        except (OSError, TimeoutError, h11.LocalProtocolError):
            self._writer.transport.abort()
