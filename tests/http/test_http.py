"""Tests of the HTTP server with faulty clients and of the HTTP client with faulty servers."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest
from waiting import until

from kelpfront.http.client import HttpConnection, NoAnswerError, NotSentError
from kelpfront.http.limits import HttpLimits
from kelpfront.http.messages import AbortConnection, Request, Response
from kelpfront.http.pool import HttpPool
from kelpfront.http.server import HttpServer

HOST = "127.0.0.1"
SHORT_LIMITS = HttpLimits(head_timeout_s=0.3, body_timeout_s=0.3, write_timeout_s=0.5, body_bytes=100_000)


async def echo(request: Request) -> Response:
    text = f"{request.method} {request.path} {sorted(request.query.items())} {len(request.body)}"
    return Response(200, text.encode(), "text/plain")


@asynccontextmanager
async def serving(
    handler: Callable[[Request], Awaitable[Response]] = echo, limits: HttpLimits = SHORT_LIMITS
) -> AsyncIterator[HttpServer]:
    server = HttpServer(handler, limits)
    await server.start(HOST, 0)
    try:
        yield server
    finally:
        await server.close(0.5)


async def exchange_raw(server: HttpServer, data: bytes, *, half_close: bool = False) -> bytes:
    """Send bytes and return everything that the server sends until it closes the connection."""
    reader, writer = await asyncio.open_connection(HOST, server.port)
    writer.write(data)
    if half_close:
        writer.write_eof()
    async with asyncio.timeout(10):
        answer = await reader.read()
    writer.close()
    return answer


async def test_several_requests_are_answered_on_one_connection() -> None:
    async with serving() as server:
        connection = await HttpConnection.open(HOST, server.port)
        for n in range(3):
            reply = await connection.request("POST", f"/a%20b/{n}?x=1&y=", b"12345")
            assert reply.body.decode() == f"POST /a b/{n} [('x', '1'), ('y', '')] 5"
        reply = await connection.request("GET", "/")
        assert reply.body == b"GET / [] 0"
        connection.close()


async def test_pipelined_requests_of_a_half_closed_client_are_all_answered() -> None:
    async with serving() as server:
        request = b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n"
        answer = await exchange_raw(server, request % 1 + request % 2 + request % 3, half_close=True)
        assert [answer.count(b"GET /%d" % n) for n in (1, 2, 3)] == [1, 1, 1]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nhost: a\r\n" + b"".join(b"x-%d: 1\r\n" % n for n in range(2000)) + b"\r\n", 431),
        (b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 70_000 + b"\r\n\r\n", 431),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10000000\r\n\r\n" + b"x" * 300_000, 413),
        (
            b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
            + (b"4000\r\n" + b"x" * 0x4000 + b"\r\n") * 30,
            413,
        ),
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: -5\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nhost: a\r\nx", 408),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 50\r\n\r\nabc", 408),
    ],
    ids=lambda value: value if isinstance(value, int) else "",
)
async def test_an_unreadable_request_gets_an_error_response_and_its_connection_is_closed(
    data: bytes, status: int
) -> None:
    async with serving() as server:
        answer = await exchange_raw(server, data)
        assert answer.startswith(b"HTTP/1.1 %d " % status), answer[:200]
        assert b"connection: close" in answer.lower()
        assert (await exchange_raw(server, b"GET /ok HTTP/1.0\r\n\r\n")).endswith(b"GET /ok [] 0")


async def test_a_request_with_an_incomplete_body_does_not_reach_the_handler() -> None:
    calls: list[str] = []

    async def handler(request: Request) -> Response:
        calls.append(request.path)
        return Response(200)

    async with serving(handler) as server:
        await exchange_raw(
            server, b"POST /cut HTTP/1.1\r\nhost: a\r\ncontent-length: 50\r\n\r\nabc", half_close=True
        )
        _, writer = await asyncio.open_connection(HOST, server.port)
        writer.write(b"POST /reset HTTP/1.1\r\nhost: a\r\ncontent-length: 50\r\n\r\nabc")
        await writer.drain()
        writer.transport.abort()
        await exchange_raw(server, b"GET /after HTTP/1.0\r\n\r\n")
    assert calls == ["/after"]


async def test_a_client_that_expects_100_continue_gets_it() -> None:
    async with serving() as server:
        reader, writer = await asyncio.open_connection(HOST, server.port)
        writer.write(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\nexpect: 100-continue\r\n\r\n")
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
        writer.write(b"abc")
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
        writer.close()


async def test_connections_beyond_the_limit_are_rejected_and_open_ones_are_still_served() -> None:
    limits = HttpLimits(connections=2, head_timeout_s=5)
    async with serving(limits=limits) as server:
        connections = [await asyncio.open_connection(HOST, server.port) for _ in range(2)]
        for _, writer in connections:
            writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n")  # an incomplete head keeps the connection open
            await writer.drain()
        answer = await exchange_raw(server, b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 503 ")
        connections[0][1].write(b"\r\n")
        assert b"200" in await connections[0][0].readline()
        for _, writer in connections:
            writer.close()


async def test_a_client_that_does_not_read_its_stream_is_disconnected() -> None:
    ended = asyncio.Event()

    async def endless(_: Request) -> Response:
        async def fragments() -> AsyncIterator[bytes]:
            try:
                while True:
                    yield b"x" * 65536
            finally:
                ended.set()

        return Response(200, stream=fragments())

    async with serving(endless) as server:
        _, writer = await asyncio.open_connection(HOST, server.port, limit=1024)
        writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        async with asyncio.timeout(20):
            await ended.wait()
        writer.close()


async def test_a_stream_arrives_in_fragments_and_the_connection_can_be_used_again() -> None:
    async def handler(request: Request) -> Response:
        async def fragments() -> AsyncIterator[bytes]:
            for n in range(3):
                yield b"%d\n" % n

        return Response(200, stream=fragments()) if request.path == "/stream" else await echo(request)

    async with serving(handler) as server:
        connection = await HttpConnection.open(HOST, server.port)
        reply = await connection.stream("GET", "/stream")
        assert (reply.status, reply.headers["transfer-encoding"]) == (200, "chunked")
        assert b"".join([fragment async for fragment in reply.fragments]) == b"0\n1\n2\n"
        assert (await connection.request("GET", "/x")).body == b"GET /x [] 0"
        connection.close()


async def test_close_waits_for_requests_in_progress() -> None:
    started = asyncio.Event()
    release = asyncio.Event()

    async def slow(_: Request) -> Response:
        started.set()
        await release.wait()
        return Response(200, b"done")

    async with serving(slow) as server:
        answer = asyncio.create_task(exchange_raw(server, b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"))
        await started.wait()
        closing = asyncio.create_task(server.close(10))
        await asyncio.sleep(0)
        release.set()
        assert (await answer).endswith(b"done")
        await closing


async def test_errors_distinguish_unsent_requests_from_those_that_may_have_arrived() -> None:
    async def handler(request: Request) -> Response:
        if request.path == "/break":
            raise AbortConnection
        return await echo(request)

    async with serving(handler) as server:
        connection = await HttpConnection.open(HOST, server.port)
        with pytest.raises(NoAnswerError):
            await connection.request("POST", "/break", b"x")
        assert not connection.usable
        other = await HttpConnection.open(HOST, server.port)
        with pytest.raises(NotSentError):
            await other.request("POST", "/", b"x", before_send=lambda: False)
        port = server.port
    with pytest.raises(NotSentError):
        await HttpConnection.open(HOST, port)


async def test_a_connection_that_the_server_closed_while_idle_is_not_reused() -> None:
    async with serving(limits=HttpLimits(idle_timeout_s=0.05)) as server:
        pool = HttpPool(HOST, server.port, 1, 5.0)
        for _ in range(3):
            connection = await pool.acquire()
            assert (await connection.request("GET", "/")).status == 200
            pool.release(connection)
            await until(lambda: not connection.usable)  # noqa: B023 - called before the next round
        assert pool.open == 1
        pool.close()


async def test_a_pool_is_bounded_and_waits_no_longer_than_its_timeout() -> None:
    async with serving() as server:
        pool = HttpPool(HOST, server.port, 2, 0.1)
        first, second = await pool.acquire(), await pool.acquire()
        with pytest.raises(NotSentError, match="no connection within 100 ms"):
            await pool.acquire()
        waiting = asyncio.create_task(pool.acquire())
        await asyncio.sleep(0)
        pool.release(first)
        third = await waiting
        assert pool.open == 2
        cancelled = asyncio.create_task(pool.acquire())
        await asyncio.sleep(0)
        cancelled.cancel()
        await asyncio.gather(cancelled, return_exceptions=True)
        pool.release(second)
        pool.release(third)
        await pool.acquire()
        await pool.acquire()
        assert pool.open <= 2
        pool.close()


async def test_a_cancelled_request_aborts_its_connection() -> None:
    async def never(_: Request) -> Response:
        await asyncio.Event().wait()
        raise AssertionError

    async with serving(never) as server:
        pool = HttpPool(HOST, server.port, 1, 5.0)
        connection = await pool.acquire()
        request = asyncio.create_task(connection.request("GET", "/"))
        await asyncio.sleep(0.01)
        request.cancel()
        await asyncio.gather(request, return_exceptions=True)
        pool.release(connection)
        assert not connection.usable
        assert pool.open == 0
        server.abort()
