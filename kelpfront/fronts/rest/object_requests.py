"""Requests to one object of the REST API: read, replace, patch and delete."""

from __future__ import annotations

from kelpfront.api.decode import FieldValidation, parse_json
from kelpfront.api.errors import success_status
from kelpfront.api.meta import JOBS, LEVELS, Object
from kelpfront.controller.operations import Operations, WriteResult
from kelpfront.fronts.rest.environment import RestEnvironment
from kelpfront.fronts.rest.parameters import JSON, MERGE_PATCH, read_body, read_validation, reject_dry_run
from kelpfront.fronts.rest.paths import ResourcePath
from kelpfront.fronts.rest.responses import json_response, method_not_allowed, written_response
from kelpfront.http.messages import Request, Response


class ObjectRequests:
    """Handles requests to one object."""

    def __init__(self, operations: Operations, environment: RestEnvironment) -> None:
        self._operations = operations
        self._environment = environment

    def handle(self, request: Request, path: ResourcePath) -> Response:
        """Execute a request and return its response.

        Raises:
            ApiError: if the request is rejected.
        """
        is_job = path.resource is JOBS
        match request.method:
            case "GET" | "HEAD":
                key = path.namespace or "", path.name
                return Response(200, self._operations.get(path.resource, key).encoded)
            case "PUT":
                reject_dry_run(request)
                data = read_body(request, JSON)
                written = self._replace(request, path, data, read_validation(request))
                return written_response(200, written)
            case "PATCH":
                reject_dry_run(request)
                patch = read_body(request, MERGE_PATCH)
                written = self._patch(request, path, patch, read_validation(request))
                return written_response(200, written)
            case "DELETE" if is_job:
                reject_dry_run(request)
                return self._delete_job(request, path)
        allowed = ("GET", "PUT", "PATCH", "DELETE") if is_job else ("GET", "PUT", "PATCH")
        raise method_not_allowed(request.method, allowed)

    def _replace(
        self, request: Request, path: ResourcePath, data: Object, validation: FieldValidation
    ) -> WriteResult:
        operations = self._operations
        if path.resource is JOBS:
            received_at = self._environment.common_time(request.received_at)
            return operations.replace_job(path.namespace or "", path.name, data, received_at, validation)
        if path.resource is LEVELS:
            return operations.replace_level(path.name, data, validation)
        return operations.replace_machine(path.name, data, validation)

    def _patch(
        self, request: Request, path: ResourcePath, patch: Object, validation: FieldValidation
    ) -> WriteResult:
        operations = self._operations
        if path.resource is JOBS:
            received_at = self._environment.common_time(request.received_at)
            return operations.patch_job(path.namespace or "", path.name, patch, received_at, validation)
        if path.resource is LEVELS:
            return operations.patch_level(path.name, patch, validation)
        return operations.patch_machine(path.name, patch, validation)

    def _delete_job(self, request: Request, path: ResourcePath) -> Response:
        options = parse_json(request.body) if request.body else {}
        stored = self._operations.delete_job(path.namespace or "", path.name, options)
        uid: str = stored.body["metadata"]["uid"]
        return json_response(200, success_status(path.resource, path.name, uid))
