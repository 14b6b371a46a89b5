"""Produces the lines of a watch response: changes of objects, bookmarks and errors.

The store selects the changes, and `collection_requests` parses the request.
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
"""Events written before the event loop does other work; they take a few milliseconds."""
INITIAL_EVENTS_END = {"k8s.io/initial-events-end": "true"}
"""The annotation of the bookmark that follows the initial objects of a watch."""


@dataclass(frozen=True, slots=True)
class WatchTiming:
    """The timing of watches, in seconds.

    Attributes:
        bookmark_interval_s: the time between bookmarks.
        max_duration_s: the maximum duration of a watch.
    """

    bookmark_interval_s: float = 10.0
    max_duration_s: float = 3600.0


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """The parameters of a watch request.

    Attributes:
        resource: the type of the objects.
        namespace: the namespace of the objects; None for all namespaces.
        selector: selects the objects to watch.
        since: the revision to resume after; None to start with all existing objects.
        sends_bookmarks: whether bookmarks are sent.
        marks_initial_end: whether a bookmark marks the end of the initial objects.
        timeout_s: how long the watch lasts.
    """

    resource: Resource
    namespace: str | None
    selector: Selector
    since: int | None
    sends_bookmarks: bool
    marks_initial_end: bool
    timeout_s: float


class WatchLines:
    """Produces the lines of one watch.

    Args:
        store: the store of the objects.
        request: the parameters of the watch.
        peer: the client's connection; the watch ends when it is closed.
        times: the timing of the watch.
    """

    def __init__(self, store: ResourceStore, request: WatchRequest, peer: Peer, times: WatchTiming) -> None:
        self._store = store
        self._request = request
        self._peer = peer
        self._times = times
        self._signal = StreamSignal()
        self._is_initial_end_due = request.marks_initial_end
        self._ends_at = 0.0
        self._next_bookmark_at = 0.0

    async def stream(self, streams: OpenStreams) -> AsyncIterator[bytes]:
        """Yield lines until the client or the server ends the watch, it times out, or it misses changes."""
        try:
            watch = self._open_watch()
        except ApiError as error:
            yield error_line(error)  # the API reports an expired revision in the stream, not in the status
            return
        now = asyncio.get_running_loop().time()
        self._ends_at = now + self._request.timeout_s
        self._next_bookmark_at = now + self._times.bookmark_interval_s
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
            if self._has_ended(now):
                if self._request.sends_bookmarks and not self._peer.closed:
                    yield self._bookmark()
                return
            if self._advance_bookmark_time(now) and self._request.sends_bookmarks:
                yield self._bookmark()
            await self._wait_for_change()

    def _has_ended(self, now: float) -> bool:
        return self._signal.is_stopping or now >= self._ends_at or self._peer.closed

    def _advance_bookmark_time(self, now: float) -> bool:
        """Return whether a bookmark is due; if so, schedule the next one."""
        if now < self._next_bookmark_at:
            return False
        self._next_bookmark_at = now + self._times.bookmark_interval_s
        return True

    async def _wait_for_change(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(min(self._ends_at, self._next_bookmark_at)):
                await self._signal.changed.wait()

    def _bookmark(self, annotations: dict[str, str] | None = None) -> bytes:
        return bookmark_line(self._request.resource, self._store.revision, annotations)


def event_line(event: WatchEvent) -> bytes:
    """Return the line for a change."""
    return b'{"type":"%s","object":%s}\n' % (event.type.value.encode(), event.stored.encoded)


def bookmark_line(resource: Resource, revision: int, annotations: dict[str, str] | None = None) -> bytes:
    """Return the line for a bookmark, which reports the revision that the watch has reached."""
    metadata: dict[str, Any] = {"resourceVersion": str(revision)}
    if annotations:
        metadata["annotations"] = annotations
    return _line("BOOKMARK", {"kind": resource.kind, "apiVersion": API_VERSION, "metadata": metadata})


def error_line(error: ApiError) -> bytes:
    """Return the line for an error; it is the last line of a watch."""
    return _line("ERROR", error.render())


def _line(event_type: str, content: Any) -> bytes:
    return msgspec.json.encode({"type": event_type, "object": content}) + b"\n"
