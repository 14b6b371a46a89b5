"""Requests to a collection of the REST API: list, watch, create and delete by selector."""

from __future__ import annotations

import msgspec

from kelpfront.api.errors import ApiError, success_status
from kelpfront.api.meta import API_VERSION, Object
from kelpfront.controller.operations import Operations, RequestOrigin
from kelpfront.fronts.open_streams import OpenStreams
from kelpfront.fronts.rest.environment import RestEnvironment
from kelpfront.fronts.rest.parameters import (
    ATTEMPT_HEADER,
    JSON,
    read_body,
    read_flag,
    read_integer,
    read_selector,
    read_sent_at,
    read_validation,
    reject_dry_run,
)
from kelpfront.fronts.rest.paths import ResourcePath
from kelpfront.fronts.rest.responses import json_response, method_not_allowed, written_response
from kelpfront.fronts.rest.watch import WatchLines, WatchRequest
from kelpfront.http.messages import Request, Response

RETRY_AFTER_S = 1
"""Short: a revision listed by another replica is reached soon or never."""


class CollectionRequests:
    """Handles requests to a collection.

    Attributes:
        watches: the open watches.
    """

    def __init__(self, operations: Operations, environment: RestEnvironment) -> None:
        self.watches = OpenStreams()
        self._operations = operations
        self._environment = environment

    def handle(self, request: Request, path: ResourcePath) -> Response:
        """Execute a request and return its response.

        Raises:
            ApiError: if the request is rejected.
        """
        can_create = path.namespace is not None and "create" in path.resource.verbs
        match request.method:
            case "GET" | "HEAD":
                if read_flag(request, "watch"):
                    return self._watch(request, path)
                return self._list(request, path)
            case "POST" if can_create:
                return self._create(request, path.namespace or "")
            case "DELETE" if can_create:
                return self._delete_selected(request, path)
        allowed = ("GET", "POST", "DELETE") if can_create else ("GET",)
        raise method_not_allowed(request.method, allowed)

    def _create(self, request: Request, namespace: str) -> Response:
        reject_dry_run(request)
        received_at = self._environment.common_time(request.received_at)
        is_retry = self._operations.count_submission(request.headers.get(ATTEMPT_HEADER, ""))
        self._operations.check_overload(received_at)
        data = read_body(request, JSON)
        origin = RequestOrigin(received_at, read_sent_at(request), is_retry)
        written = self._operations.create_job(namespace, data, origin, read_validation(request))
        return written_response(201 if written.created else 200, written)

    def _delete_selected(self, request: Request, path: ResourcePath) -> Response:
        reject_dry_run(request)
        selector = read_selector(request, path.resource)
        deleted = self._operations.delete_jobs(path.namespace or "", selector)
        status = success_status(path.resource, "", "")
        status["details"]["deleted"] = len(deleted)
        return json_response(200, status)

    def _list(self, request: Request, path: ResourcePath) -> Response:
        resource = path.resource
        namespace = path.namespace if resource.namespaced else None
        limit = read_integer(request, "limit")
        token = request.query.get("continue", "")
        if not token:
            self._check_list_revision(request)
        selector = read_selector(request, resource)
        page = self._operations.store.list_objects(resource, namespace, selector, limit or 0, token)
        metadata: Object = {"resourceVersion": str(page.revision)}
        if page.continue_token:
            metadata |= {"continue": page.continue_token, "remainingItemCount": page.remaining}
        head = msgspec.json.encode(
            {"kind": resource.list_kind, "apiVersion": API_VERSION, "metadata": metadata}
        )
        # The items are already encoded, so they are appended in place of the closing brace of the head.
        items = b",".join([stored.encoded for stored in page.items])
        return Response(200, head[:-1] + b',"items":[' + items + b"]}")

    def _check_list_revision(self, request: Request) -> None:
        """Reject a list request that the current revision does not satisfy; only that one can be listed."""
        requested = read_integer(request, "resourceVersion")
        match_mode = request.query.get("resourceVersionMatch", "")
        current = self._operations.store.revision
        if match_mode not in ("", "NotOlderThan", "Exact"):
            raise ApiError(400, f"resourceVersionMatch: {match_mode!r} is not one of NotOlderThan, Exact")
        if match_mode and not requested:
            raise ApiError(400, "resourceVersionMatch: needs a resourceVersion")
        if requested is not None and requested > current:
            message = f"Too large resource version: {requested}, current: {current}"
            raise ApiError(504, message, retry_after_s=RETRY_AFTER_S)
        if match_mode == "Exact" and requested != current:
            raise ApiError(
                410, f"resource version {requested} is no longer kept as a whole", reason="Expired"
            )

    def _watch(self, request: Request, path: ResourcePath) -> Response:
        watch_request = self._read_watch_request(request, path)
        times = self._environment.watch_times
        lines = WatchLines(self._operations.store, watch_request, request.peer, times)
        return Response(200, content_type=f"{JSON};stream=watch", stream=lines.stream(self.watches))

    def _read_watch_request(self, request: Request, path: ResourcePath) -> WatchRequest:
        resource = path.resource
        since = read_integer(request, "resourceVersion") or None
        sends_initial_events = read_flag(request, "sendInitialEvents")
        sends_bookmarks = read_flag(request, "allowWatchBookmarks")
        timeout_s = self._watch_timeout_s(read_integer(request, "timeoutSeconds"))
        return WatchRequest(
            resource=resource,
            namespace=path.namespace if resource.namespaced else None,
            selector=read_selector(request, resource),
            since=None if sends_initial_events else since,
            sends_bookmarks=sends_bookmarks,
            marks_initial_end=sends_initial_events and sends_bookmarks,
            timeout_s=timeout_s,
        )

    def _watch_timeout_s(self, requested_s: int | None) -> float:
        """Return how long a watch lasts: as requested, up to the maximum, or a random time if not requested.

        Watches of equal duration that were opened together would all be resumed together.
        """
        max_duration_s = self._environment.watch_times.max_duration_s
        random_s = max_duration_s * (0.5 + self._environment.rng.random() / 2)
        return min(float(requested_s), max_duration_s) if requested_s else random_s
