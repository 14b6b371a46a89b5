"""A list service that has a cost, falls behind, and remembers who asked when.

It listens on all of 127.0.0.0/8 and gives each placer an address of its own, so that it knows who asks.
"""

from __future__ import annotations

import asyncio
import json
import time
from bisect import bisect_right
from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

SEEN_MOST = 200_000  # lines that are remembered
WAITING_MOST = 10_000  # requests in line; beyond, 503 at once


@dataclass(slots=True)
class Seen:
    """Seconds since the service was made, who, what: `connect`, `ask`, `answer`, `left`, `turned`."""

    at: float
    who: str
    what: str


class ListService:
    """`rate`: requests that it works through a second, one after another; 0: at once.

    A line of `line_most` requests is answered 503, with `retry_after_s` where that is not 0.
    """

    def __init__(
        self,
        rate: float = 0.0,
        updates: Sequence[dict[str, Any]] = (),
        retry_after_s: int = 0,
        line_most: int = WAITING_MOST,
    ) -> None:
        self.rate, self.retry_after_s, self.line_most = rate, retry_after_s, line_most
        self.updates = list(updates)
        self.seen: deque[Seen] = deque(maxlen=SEEN_MOST)
        self.port = 0
        self._began = time.monotonic()
        self._server: asyncio.Server | None = None
        self._free_at = 0.0
        self._waiting = 0
        self._news = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._jobs: set[asyncio.Task[None]] = set()

    @property
    def open_connections(self) -> int:
        return len(self._writers)

    def now(self) -> float:
        return time.monotonic() - self._began

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, "0.0.0.0", self.port, backlog=4096)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """The process is gone: nothing listens, what was open is reset."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        for job in list(self._jobs):
            job.cancel()
        await asyncio.gather(*self._jobs, return_exceptions=True)

    def tell(self, update: dict[str, Any]) -> None:
        self.updates.append(update)
        self._news.set()
        self._news = asyncio.Event()

    def _note(self, who: str, what: str) -> None:
        self.seen.append(Seen(self.now(), who, what))

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        job = asyncio.get_running_loop().create_task(self._serve(reader, writer))
        self._jobs.add(job)
        job.add_done_callback(self._jobs.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        who = writer.get_extra_info("sockname")[0]
        self._note(who, "connect")
        self._writers.add(writer)
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                target = head.split(b" ")[1].decode()
                query = dict(part.split("=") for part in target.partition("?")[2].split("&"))
                self._note(who, "ask")
                follow = int(query["follow"])
                self.on_ask(who, follow, len(head))
                await self._answer(writer, who, follow, float(query["wait_ms"]) / 1000.0)
        except (asyncio.IncompleteReadError, OSError):
            self._note(who, "left")
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, writer: asyncio.StreamWriter, who: str, follow: int, wait_s: float) -> None:
        if self._waiting >= self.line_most:
            self._note(who, "turned")
            after = f"retry-after: {self.retry_after_s}\r\n" if self.retry_after_s else ""
            writer.write(f"HTTP/1.1 503 Busy\r\n{after}content-length: 0\r\n\r\n".encode())
            return
        if self.rate:  # one after another; one whose asker has left costs the same
            self._free_at = max(self._free_at, self.now()) + 1.0 / self.rate
            self._waiting += 1
            try:
                await asyncio.sleep(self._free_at - self.now())
            finally:
                self._waiting -= 1
        if not self.later(follow):
            try:
                async with asyncio.timeout(wait_s):
                    await self._news.wait()
            except TimeoutError:
                pass
        later = self.later(follow)
        index = later[-1]["index"] if later else follow
        body = self.body(who, index, later)
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body
        writer.write(answer)
        await writer.drain()
        self._note(who, "answer")
        self.on_answer(who, len(answer))

    def later(self, follow: int) -> list[dict[str, Any]]:
        """The updates after that number, in order; numbers grow."""
        return self.updates[bisect_right(self.updates, follow, key=lambda update: int(update["index"])) :]

    # ---- What a service of another kind may do otherwise ----------------------------------------------

    def body(self, who: str, index: int, later: list[dict[str, Any]]) -> bytes:
        """What `who` is answered."""
        return json.dumps({"index": index, "updates": later}).encode()

    def on_ask(self, who: str, follow: int, size: int) -> None:
        """An ask of so many bytes has come."""

    def on_answer(self, who: str, size: int) -> None:
        """An answer of so many bytes has gone out."""

    # ---- What it came to ------------------------------------------------------------------------------

    def count(self, what: str) -> int:
        return sum(one.what == what for one in self.seen)

    def peak(self, what: str, within_s: float) -> int:
        """The most of them in one bucket of so many seconds."""
        buckets = Counter(int(one.at / within_s) for one in self.seen if one.what == what)
        return max(buckets.values(), default=0)

    def first(self, what: str) -> dict[str, float]:
        """When each met it first."""
        found: dict[str, float] = {}
        for one in self.seen:
            if one.what == what:
                found.setdefault(one.who, one.at)
        return found
