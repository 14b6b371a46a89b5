"""A TCP proxy that does what networks do: late, slow, one-sided, cut, or gone without a word."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass

READ_SIZE = 1 << 16
HELD_MOST = 1 << 20  # bytes on their way in one direction; beyond, the sender is not read


@dataclass(slots=True)
class Way:
    """One direction of a path, as it is now; it may be changed at any time."""

    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    bytes_a_second: float = 0.0  # 0: as fast as it comes
    drops: bool = False  # bytes vanish, the connection stays
    cut_after: int = -1  # so many bytes of a connection go through, then it is reset; -1: all


@dataclass(slots=True)
class Path:
    """Both directions, and what becomes of connections."""

    up: Way
    down: Way
    refuses: bool = False  # new connections are reset before anything went through
    silent: bool = False  # new connections come up and nothing goes through, ever

    @classmethod
    def clear(cls) -> Path:
        return cls(Way(), Way())


class FaultProxy:
    """Listens at `host` and leads to `target`. Faults are set on `path`; chance comes from the seed."""

    def __init__(self, target: tuple[str, int], seed: int, path: Path | None = None) -> None:
        self.target, self.path = target, path or Path.clear()
        self._rng = random.Random(f"proxy/{seed}")
        self._server: asyncio.Server | None = None
        self._jobs: set[asyncio.Task[None]] = set()
        self._pairs: dict[asyncio.StreamWriter, asyncio.StreamWriter] = {}
        self.connections = 0
        self.address = ("", 0)

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, host, port)
        name = self._server.sockets[0].getsockname()
        self.address = name[0], name[1]

    def cut(self) -> None:
        """Resets all connections that are open."""
        for near, far in list(self._pairs.items()):
            near.transport.abort()
            far.transport.abort()

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        self.cut()
        for job in list(self._jobs):
            job.cancel()
        await asyncio.gather(*self._jobs, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        if self.path.refuses:
            writer.transport.abort()
            return
        if self.path.silent:
            with contextlib.suppress(OSError):
                while await reader.read(READ_SIZE):
                    pass
            writer.close()
            return
        try:
            far_reader, far = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self._pairs[writer] = far
        ways = [
            asyncio.create_task(self._lead(reader, far, lambda: self.path.up, writer)),
            asyncio.create_task(self._lead(far_reader, writer, lambda: self.path.down, far)),
        ]
        self._jobs.update(ways)
        try:
            await asyncio.gather(*ways)
        finally:
            self._jobs.difference_update(ways)
            self._pairs.pop(writer, None)
            writer.close()
            far.close()

    async def _lead(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        way: Callable[[], Way],
        other: asyncio.StreamWriter,
    ) -> None:
        """One direction: reading and writing apart, so that a delay does not make the way narrower."""
        line: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        loop = asyncio.get_running_loop()
        held, passed, last = 0, 0, 0.0
        room = asyncio.Event()
        room.set()

        async def write() -> None:
            nonlocal held
            while True:
                due, data = await line.get()
                await asyncio.sleep(due - loop.time())
                held -= len(data)
                room.set()
                if not data:
                    break
                if rate := way().bytes_a_second:
                    await asyncio.sleep(len(data) / rate)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()

        writing = asyncio.create_task(write())
        self._jobs.add(writing)
        try:
            while True:
                await room.wait()
                data = await reader.read(READ_SIZE)
                now = way()
                if data and now.drops:
                    continue
                if 0 <= now.cut_after < passed + len(data):
                    writer.write(data[: now.cut_after - passed])
                    await asyncio.sleep(0)
                    writer.close()
                    other.transport.abort()
                    return
                passed += len(data)
                late = (now.delay_ms + self._rng.uniform(0.0, now.jitter_ms)) / 1000.0
                last = max(last, loop.time() + late)  # bytes do not overtake each other
                held += len(data)
                if held > HELD_MOST:
                    room.clear()
                line.put_nowait((last, data))
                if not data:
                    await writing
                    return
        except OSError:
            writer.transport.abort()
        finally:
            writing.cancel()
            self._jobs.discard(writing)
