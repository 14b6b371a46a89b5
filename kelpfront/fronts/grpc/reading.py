"""Lists and watches of the gRPC API, independent of the resource.

The services convert the objects to messages.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncGenerator
from dataclasses import dataclass
from typing import Any, NamedTuple

from kelpfront.api.errors import ApiError, expired
from kelpfront.api.meta import Object, Resource
from kelpfront.api.selectors import Selector, parse_selector
from kelpfront.fronts.grpc.call_metadata import Context, abort
from kelpfront.fronts.grpc.service_context import ServiceContext
from kelpfront.fronts.open_streams import StreamSignal
from kelpfront.store import ResourceStore, Watch, WatchEvent
from kelpfront.v1 import api_pb2 as pb

MAX_EVENTS_PER_ITERATION = 100
"""Events sent on one stream before the event loop does other work; they take a few milliseconds."""
BOOKMARK_INTERVAL_S = 10.0
"""Time between bookmarks, which carry a resume token, while there are no changes."""
MAX_TOKEN_DIGITS = 18
"""Digits of a resume token; a number with more might not fit into 64 bits."""
EVENT_TYPES = {
    "ADDED": pb.EVENT_TYPE_ADDED,
    "MODIFIED": pb.EVENT_TYPE_MODIFIED,
    "DELETED": pb.EVENT_TYPE_DELETED,
}


@dataclass(frozen=True, slots=True)
class ListPage:
    """One page of a list, with the tokens to watch for later changes and to request the next page."""

    objects: list[Object]
    resume_token: str
    continue_token: str


class WatchUpdate(NamedTuple):
    """One message of a watch: a change, or a bookmark with only a token if `event` is None."""

    event: WatchEvent | None
    resume_token: str


def list_page(store: ResourceStore, resource: Resource, request: pb.ListRequest) -> ListPage:
    """Return one page of objects.

    Raises:
        ApiError: if the request is malformed or its continue token has expired.
    """
    namespace = (request.namespace or None) if resource.namespaced else None
    if request.limit < 0:
        raise ApiError(400, f"limit: {request.limit} is below 0")
    selector = _read_selector(resource, request)
    page = store.list_objects(resource, namespace, selector, request.limit, request.continue_token)
    objects = [stored.body for stored in page.items]
    return ListPage(objects, str(page.revision), page.continue_token)


async def watch_updates(
    service: ServiceContext, resource: Resource, request: pb.WatchRequest, context: Context[Any, Any]
) -> AsyncGenerator[WatchUpdate, None]:
    """Yield changes until the client cancels, the watch misses changes, or the server stops.

    The caller must use `contextlib.aclosing`, which closes the watch. If the request cannot be served, the
    call is aborted with the error.
    """
    signal = StreamSignal()
    store = service.operations.store
    with contextlib.ExitStack() as cleanup:
        try:
            cleanup.enter_context(service.streams.open(signal.stop))
            watch = _open_watch(store, resource, request, signal)
        except ApiError as error:
            await abort(context, error)
            return
        cleanup.callback(watch.close)
        yield WatchUpdate(None, str(store.revision) if request.resume_token else "")
        while True:
            signal.changed.clear()
            for event in watch.next_events(MAX_EVENTS_PER_ITERATION):
                yield WatchUpdate(event, str(event.revision))
            if watch.expired:
                await abort(context, expired("the watch was too slow and missed changes; list anew"))
                return
            if len(watch):
                await asyncio.sleep(0)
                continue
            if signal.is_stopping:
                yield WatchUpdate(None, str(store.revision))
                return
            if not await _wait_for_change(signal):
                yield WatchUpdate(None, str(store.revision))


async def _wait_for_change(signal: StreamSignal) -> bool:
    """Wait until the watch has a change or a bookmark is due; return whether there was a change."""
    try:
        async with asyncio.timeout(BOOKMARK_INTERVAL_S):
            await signal.changed.wait()
    except TimeoutError:
        return False
    return True


def _open_watch(
    store: ResourceStore, resource: Resource, request: pb.WatchRequest, signal: StreamSignal
) -> Watch:
    selector = _read_selector(resource, request)
    namespace = (request.namespace or None) if resource.namespaced else None
    since = _read_revision(request.resume_token) if request.resume_token else None
    return store.watch(resource, signal.changed.set, namespace, selector, since)


def _read_selector(resource: Resource, request: pb.ListRequest | pb.WatchRequest) -> Selector:
    return parse_selector(resource, request.label_selector, request.field_selector)


def _read_revision(token: str) -> int:
    if not (token.isascii() and token.isdigit() and len(token) <= MAX_TOKEN_DIGITS):
        raise ApiError(400, f"resume_token: {token[:40]!r} is not one that this server gave out")
    return int(token)
