"""A watch as the lines that its client reads: changes of objects, bookmarks and errors.

Which changes concern the watch is decided by the store, and what the request means by `collection_requests`.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncGenerator, AsyncIterator
from dataclasses import dataclass
from typing import Any

import msgspec

from kelpfront.api.errors import ApiError, expired
from kelpfront.api.meta import API_VERSION, Resource
from kelpfront.api.selectors import Selector
from kelpfront.fronts.open_streams import OpenStreams, StreamSignal
from kelpfront.http.peer import Peer
from kelpfront.store import ResourceStore, Watch, WatchEvent

MAX_EVENTS_PER_ITERATION = 200
"""Written before the event loop's other work: some milliseconds."""
INITIAL_EVENTS_END = {"k8s.io/initial-events-end": "true"}
"""The annotation of the bookmark behind the objects that a watch began with."""


@dataclass(frozen=True, slots=True)
class WatchTimes:
    """How often watches tell the revision that they reached, and how long they last at most; seconds."""

    bookmark_s: float = 10.0
    longest_s: float = 3600.0


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """What a client asks of a watch.

    Attributes:
        resource: the type of the objects.
        namespace: of the objects; None for all.
        selector: which of them.
        since: the revision to resume behind; None to begin with all objects.
        bookmarks: whether bookmarks are sent.
        initial_end: whether a bookmark marks the end of the objects that the watch begins with.
        timeout_s: when the watch ends.
    """

    resource: Resource
    namespace: str | None
    selector: Selector
    since: int | None
    bookmarks: bool
    initial_end: bool
    timeout_s: float


class WatchLines:
    """The lines of one watch.

    Args:
        store: has the objects.
        request: what is watched.
        peer: the client; the watch ends when it disconnects.
        times: of the watch.
    """

    def __init__(self, store: ResourceStore, request: WatchRequest, peer: Peer, times: WatchTimes) -> None:
        self._store = store
        self._request = request
        self._peer = peer
        self._times = times
        self._signal = StreamSignal()
        self._is_initial_end_due = request.initial_end
        self._end_at = 0.0
        self._bookmark_at = 0.0

    async def stream(self, streams: OpenStreams) -> AsyncIterator[bytes]:
        """Yield lines until either side ends the watch, its time is up or its history is lost."""
        try:
            watch = self._open_watch()
        except ApiError as error:
            yield error_line(error)  # clients of the API expect an expired revision in the stream
            return
        now = asyncio.get_running_loop().time()
        self._end_at = now + self._request.timeout_s
        self._bookmark_at = now + self._times.bookmark_s
        unsubscribe = self._peer.on_change(self._signal.changed.set)
        try:
            with streams.open(self._signal.stop):
                async with contextlib.aclosing(self._lines(watch)) as lines:
                    async for line in lines:
                        yield line
        finally:
            unsubscribe()
            watch.close()

    def _open_watch(self) -> Watch:
        request = self._request
        wake = self._signal.changed.set
        return self._store.watch(request.resource, wake, request.namespace, request.selector, request.since)

    async def _lines(self, watch: Watch) -> AsyncGenerator[bytes, None]:
        while True:
            self._signal.changed.clear()
            events = watch.next_events(MAX_EVENTS_PER_ITERATION)
            if events:
                yield b"".join([event_line(event) for event in events])
            if watch.expired:
                yield error_line(expired("the watch was too slow and missed changes; list anew"))
                return
            if len(watch):
                await asyncio.sleep(0)
                continue
            now = asyncio.get_running_loop().time()
            if self._is_initial_end_due:
                self._is_initial_end_due = False
                yield self._bookmark(INITIAL_EVENTS_END)
            if self._is_over(now):
                if self._request.bookmarks and not self._peer.closed:
                    yield self._bookmark()
                return
            if self._pass_bookmark_time(now) and self._request.bookmarks:
                yield self._bookmark()
            await self._wait_for_change()

    def _is_over(self, now: float) -> bool:
        return self._signal.is_stopping or now >= self._end_at or self._peer.closed

    def _pass_bookmark_time(self, now: float) -> bool:
        """Return whether the time of a bookmark has come, and set the next."""
        if now < self._bookmark_at:
            return False
        self._bookmark_at = now + self._times.bookmark_s
        return True

    async def _wait_for_change(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(min(self._end_at, self._bookmark_at)):
                await self._signal.changed.wait()

    def _bookmark(self, annotations: dict[str, str] | None = None) -> bytes:
        return bookmark_line(self._request.resource, self._store.revision, annotations)


def event_line(event: WatchEvent) -> bytes:
    """Return the line of a change."""
    return b'{"type":"%s","object":%s}\n' % (event.type.value.encode(), event.stored.encoded)


def bookmark_line(resource: Resource, revision: int, annotations: dict[str, str] | None = None) -> bytes:
    """Return the line that tells the revision which the watch has reached."""
    metadata: dict[str, Any] = {"resourceVersion": str(revision)}
    if annotations:
        metadata["annotations"] = annotations
    return _line("BOOKMARK", {"kind": resource.kind, "apiVersion": API_VERSION, "metadata": metadata})


def error_line(error: ApiError) -> bytes:
    """Return the line of an error, with which a watch ends."""
    return _line("ERROR", error.render())


def _line(kind: str, obj: Any) -> bytes:
    return msgspec.json.encode({"type": kind, "object": obj}) + b"\n"
