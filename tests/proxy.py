"""A TCP proxy that cuts connections on request or after a number of bytes."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


class Proxy:
    """Forwards to a port; each new connection is cut once it has returned `cut_after` bytes."""

    def __init__(self, port: int) -> None:
        self._to = port
        self.cut_after: int | None = None
        self.swallow_answers = False  # discards everything that the server sends
        self.connections = 0
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._forward, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])
        self.url = f"http://127.0.0.1:{self.port}"

    def cut(self) -> None:
        """Abort all connections."""
        for writer in self._open:
            writer.transport.abort()

    async def close(self) -> None:
        self._server.close()
        self.cut()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._open.add(writer)
        with contextlib.suppress(OSError):
            server_reader, server_writer = await asyncio.open_connection("127.0.0.1", self._to)
            response_pump = asyncio.create_task(self._pump(server_reader, writer, self.cut_after))
            await self._pump(reader, server_writer, None)
            server_writer.transport.abort()
            response_pump.cancel()
        writer.transport.abort()
        self._open.discard(writer)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, byte_limit: int | None
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(4096):
                if self.swallow_answers and writer in self._open:
                    continue
                if byte_limit is not None:
                    fragment = data[:byte_limit]
                    byte_limit -= len(data)
                else:
                    fragment = data
                writer.write(fragment)
                await writer.drain()
                if byte_limit is not None and byte_limit <= 0:
                    writer.transport.abort()
                    return


@asynccontextmanager
async def proxy(port: int) -> AsyncIterator[Proxy]:
    forwarder = Proxy(port)
    await forwarder.start()
    try:
        yield forwarder
    finally:
        await forwarder.close()
