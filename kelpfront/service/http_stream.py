"""Reads a machine's stream as lines over one HTTP connection.

The link decodes the lines and reconnects.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from http import HTTPStatus

from kelpfront.http.client import HttpConnection
from kelpfront.service.machine_link import CONNECT_TIMEOUT_S, MAX_MESSAGE_BYTES, SILENCE_TIMEOUT_S


async def read_stream(hostname: str, port: int, target: str) -> AsyncGenerator[list[bytes], None]:
    """Yield the complete lines after each fragment that arrives, until the machine ends the stream.

    Use it with `contextlib.aclosing`, which closes the connection. Raises HttpError or OSError if the
    connection fails, TimeoutError if the machine sends nothing within the timeout, and ValueError if the
    response status is not OK or a line is too long.
    """
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        connection = await HttpConnection.open(hostname, port)
    try:
        async with asyncio.timeout(SILENCE_TIMEOUT_S):
            reply = await connection.stream("GET", target)
        if reply.status != HTTPStatus.OK:
            raise ValueError(f"HTTP {reply.status}")
        incomplete = b""
        fragments = aiter(reply.fragments)
        while True:
            try:
                async with asyncio.timeout(SILENCE_TIMEOUT_S):
                    fragment = await anext(fragments)
            except StopAsyncIteration:
                return
            *lines, incomplete = (incomplete + fragment).split(b"\n")
            if len(incomplete) > MAX_MESSAGE_BYTES:
                raise ValueError(f"a message of over {MAX_MESSAGE_BYTES} bytes")
            yield lines
    finally:
        connection.abort()
