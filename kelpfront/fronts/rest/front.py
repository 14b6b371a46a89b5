"""The REST API of one placer: routes each request to its handler, and converts errors to responses.

`object_requests` handles objects, `collection_requests` handles collections and watches, and `discovery` and
`openapi` provide the documents that describe the API.
"""

from __future__ import annotations

from collections.abc import Callable

import structlog

from kelpfront.api.errors import ApiError
from kelpfront.api.meta import API_VERSION, GROUP, Object
from kelpfront.controller.operations import Operations
from kelpfront.fronts.rest import discovery, openapi
from kelpfront.fronts.rest.collection_requests import CollectionRequests
from kelpfront.fronts.rest.environment import RestEnvironment
from kelpfront.fronts.rest.object_requests import ObjectRequests
from kelpfront.fronts.rest.parameters import check_accept
from kelpfront.fronts.rest.paths import ResourcePath, parse_path
from kelpfront.fronts.rest.responses import PLAIN_TEXT, error_response, json_response, method_not_allowed
from kelpfront.fronts.rest.task_output import task_output_response
from kelpfront.http.messages import Request, Response

log = structlog.get_logger("kelpfront.rest")

LIVE_PATH = "/livez"
HEALTH_PATHS = (LIVE_PATH, "/readyz", "/healthz")


class RestFront:
    """The REST API of one placer."""

    def __init__(self, operations: Operations, environment: RestEnvironment) -> None:
        self._operations = operations
        self._environment = environment
        self._objects = ObjectRequests(operations, environment)
        self._collections = CollectionRequests(operations, environment)
        self._documents: dict[str, Callable[[], Object]] = {
            "/api": discovery.core_versions,
            "/apis": discovery.groups,
            f"/apis/{GROUP}": discovery.group,
            f"/apis/{API_VERSION}": discovery.resources,
            "/version": discovery.version_info,
            "/openapi/v3": openapi.index,
            f"/openapi/v3/apis/{API_VERSION}": openapi.document,
        }

    async def handle(self, request: Request) -> Response:
        """Execute a request and return its response; errors are returned as responses too."""
        try:
            return self._route(request)
        except ApiError as error:
            return error_response(error)
        except Exception:
            log.exception("http request failed", method=request.method, path=request.path)
            return error_response(ApiError(500, "an error of the server's own; its log has the details"))

    def end_watches(self) -> None:
        """Ask every watch to end as at its timeout, with a bookmark from which its client can resume."""
        self._collections.watches.stop_all()

    def _route(self, request: Request) -> Response:
        path = request.path.rstrip("/") or "/"
        if path in HEALTH_PATHS:
            return self._health_response(path)
        if path in self._documents:
            if request.method not in ("GET", "HEAD"):
                raise method_not_allowed(request.method, ("GET",))
            return json_response(200, self._documents[path]())
        if path.startswith("/openapi/v3"):
            raise ApiError(404, f"{path}: no such document")
        resource_path = parse_path(path)
        if resource_path.subresource:
            return self._task_output_response(request, resource_path)
        check_accept(request)
        if resource_path.name:
            return self._objects.handle(request, resource_path)
        return self._collections.handle(request, resource_path)

    def _health_response(self, path: str) -> Response:
        health = self._environment.health()
        problem = health.live if path == LIVE_PATH else health.live or health.ready
        return Response(503 if problem else 200, (problem or "ok").encode(), PLAIN_TEXT)

    def _task_output_response(self, request: Request, path: ResourcePath) -> Response:
        if request.method != "GET":
            raise method_not_allowed(request.method, ("GET",))
        read_output = self._environment.read_task_output
        if read_output is None:
            raise ApiError(503, "this server reads no output of tasks")
        job_key = path.namespace or "", path.name
        return task_output_response(self._operations.store, request, job_key, read_output)
