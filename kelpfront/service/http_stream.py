"""Reads a machine's stream over one HTTP connection, as lines.

What the lines mean, and connecting again, are left to the link.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from http import HTTPStatus

from kelpfront.http.client import HttpConnection
from kelpfront.service.machine_link import CONNECT_TIMEOUT_S, MAX_MESSAGE_BYTES, SILENCE_TIMEOUT_S


async def read_stream(hostname: str, port: int, target: str) -> AsyncGenerator[list[bytes], None]:
    """Yield the complete lines of each fragment that arrives, until the machine ends the stream.

    To be closed with `contextlib.aclosing`, which closes the connection. Raises HttpError or OSError where
    the connection fails, TimeoutError where the machine is silent for too long, and ValueError for an answer
    that is no stream or a line that is too long.
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
