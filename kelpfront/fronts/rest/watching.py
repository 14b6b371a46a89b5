"""A watch as the lines that its client reads."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from kelpfront.api.errors import ApiError, expired
from kelpfront.api.meta import API_VERSION, Resource
from kelpfront.api.selectors import Selector
from kelpfront.http.peer import Peer
from kelpfront.store import ResourceStore, WatchEvent

EVENTS_A_TURN = 200  # written before other work has its turn
INITIAL_END = {"k8s.io/initial-events-end": "true"}


@dataclass(frozen=True, slots=True)
class WatchTimes:
    """How long watches go on and how often they tell how far they are; seconds."""

    bookmark_s: float = 10.0
    longest_s: float = 3600.0


@dataclass(frozen=True, slots=True)
class WatchRequest:
    resource: Resource
    namespace: str | None
    selector: Selector
    since: int | None
    bookmarks: bool
    initial_end: bool
    timeout_s: float


def event_line(event: WatchEvent) -> bytes:
    return b'{"type":"%s","object":%s}\n' % (event.type.value.encode(), event.stored.encoded)


def _line(kind: str, obj: Any) -> bytes:
    return msgspec.json.encode({"type": kind, "object": obj}) + b"\n"


def bookmark_line(resource: Resource, revision: int, annotations: dict[str, str] | None = None) -> bytes:
    metadata: dict[str, Any] = {"resourceVersion": str(revision)}
    if annotations:
        metadata["annotations"] = annotations
    return _line("BOOKMARK", {"kind": resource.kind, "apiVersion": API_VERSION, "metadata": metadata})


def error_line(error: ApiError) -> bytes:
    return _line("ERROR", error.render())


async def watch_lines(
    store: ResourceStore,
    request: WatchRequest,
    peer: Peer,
    times: WatchTimes,
    ending: Callable[[Callable[[], None]], Callable[[], None]],
) -> AsyncIterator[bytes]:
    """Lines of events until the client leaves, the time is up, the history is lost or the server ends.

    `ending` registers a callback for the server's end and returns what takes it back.
    """
    wake = asyncio.Event()
    try:
        watch = store.watch(request.resource, wake.set, request.namespace, request.selector, request.since)
    except ApiError as error:
        yield error_line(error)  # an expired revision is told in the stream, as clients of the API expect
        return
    loop = asyncio.get_running_loop()
    end_at = loop.time() + request.timeout_s
    bookmark_at = loop.time() + times.bookmark_s
    over = False

    def stop() -> None:
        nonlocal over
        over = True
        wake.set()

    cancels = [peer.on_change(wake.set), ending(stop)]
    initial = request.initial_end
    try:
        while True:
            wake.clear()
            events = watch.next_events(EVENTS_A_TURN)
            if events:
                yield b"".join([event_line(event) for event in events])
            if watch.expired:
                yield error_line(expired("the watch was too slow and missed changes; list anew"))
                return
            if len(watch):
                await asyncio.sleep(0)
                continue
            now = loop.time()
            if initial:
                initial = False
                yield bookmark_line(request.resource, store.revision, INITIAL_END)
            if over or now >= end_at or peer.closed:
                if request.bookmarks and not peer.closed:
                    yield bookmark_line(request.resource, store.revision)
                return
            if now >= bookmark_at:
                bookmark_at = now + times.bookmark_s
                if request.bookmarks:
                    yield bookmark_line(request.resource, store.revision)
            try:
                async with asyncio.timeout_at(min(end_at, bookmark_at)):
                    await wake.wait()
            except TimeoutError:
                pass
    finally:
        for cancel in cancels:
            cancel()
        watch.close()
