"""The OpenAPI 3 document of the REST API, generated from the models that validate requests."""

from __future__ import annotations

import hashlib
from functools import cache
from typing import Any

import msgspec
from pydantic import BaseModel
from pydantic.json_schema import models_json_schema

from kelpfront.api.jobs import Job
from kelpfront.api.levels import Level
from kelpfront.api.machines import Machine
from kelpfront.api.meta import (
    API_VERSION,
    JOBS,
    LEVELS,
    MACHINES,
    RESOURCES,
    ListMeta,
    Object,
    Resource,
)
from kelpfront.fronts.rest.discovery import package_version
from kelpfront.fronts.rest.parameters import JSON, MERGE_PATCH

MODELS: dict[str, type[BaseModel]] = {JOBS.plural: Job, MACHINES.plural: Machine, LEVELS.plural: Level}
SCHEMAS = "#/components/schemas"


def index() -> Object:
    """Return the index of documents. The URL contains a hash, so that clients can cache the document."""
    path = f"apis/{API_VERSION}"
    digest = hashlib.blake2b(msgspec.json.encode(document()), digest_size=16).hexdigest()
    return {"paths": {path: {"serverRelativeURL": f"/openapi/v3/{path}?hash={digest}"}}}


@cache
def document() -> Object:
    """Return the OpenAPI document."""
    paths: dict[str, Any] = {}
    for resource in RESOURCES.values():
        paths |= _paths(resource)
    return {
        "openapi": "3.0.0",
        "info": {"title": "kelpfront", "version": f"v{package_version()}"},
        "paths": paths,
        "components": {"schemas": _schemas()},
    }


def _schemas() -> Object:
    models: list[tuple[type[BaseModel], Any]] = [(model, "serialization") for model in MODELS.values()]
    _, definitions = models_json_schema(
        [*models, (ListMeta, "serialization")], ref_template=f"{SCHEMAS}/{{model}}"
    )
    schemas: dict[str, Any] = dict(definitions["$defs"])
    for resource in RESOURCES.values():
        schemas[resource.list_kind] = _list_schema(resource)
    schemas["WatchEvent"] = _watch_event_schema()
    schemas["Status"] = _status_schema()
    return schemas


def _watch_event_schema() -> Object:
    event_types = ["ADDED", "MODIFIED", "DELETED", "BOOKMARK", "ERROR"]
    return {
        "type": "object",
        "required": ["type", "object"],
        "properties": {"type": {"type": "string", "enum": event_types}, "object": {"type": "object"}},
    }


def _list_schema(resource: Resource) -> Object:
    return {
        "type": "object",
        "required": ["metadata", "items"],
        "properties": {
            "apiVersion": {"type": "string"},
            "kind": {"type": "string"},
            "metadata": {"$ref": f"{SCHEMAS}/ListMeta"},
            "items": {"type": "array", "items": {"$ref": f"{SCHEMAS}/{resource.kind}"}},
        },
    }


def _status_schema() -> Object:
    string = {"type": "string"}
    integer = {"type": "integer"}
    cause = {"type": "object", "properties": {"reason": string, "message": string, "field": string}}
    details = {
        "name": string,
        "group": string,
        "kind": string,
        "uid": string,
        "causes": {"type": "array", "items": cause},
        "retryAfterSeconds": integer,
    }
    return {
        "type": "object",
        "properties": {
            "kind": string,
            "apiVersion": string,
            "metadata": {"type": "object"},
            "status": {"type": "string", "enum": ["Success", "Failure"]},
            "message": string,
            "reason": string,
            "code": integer,
            "details": {"type": "object", "properties": details},
        },
    }


def _parameter(name: str, schema_type: str, description: str, location: str = "query") -> Object:
    return {
        "name": name,
        "in": location,
        "required": location == "path",
        "schema": {"type": schema_type},
        "description": description,
    }


_LIST_PARAMETERS = [
    _parameter("labelSelector", "string", "Only objects whose labels match."),
    _parameter("fieldSelector", "string", "Only objects whose fields match."),
    _parameter("limit", "integer", "At most so many objects; the answer's continue token gets the rest."),
    _parameter("continue", "string", "The token of the answer before."),
    _parameter("resourceVersion", "string", "For a watch: start behind this revision."),
    _parameter("resourceVersionMatch", "string", "NotOlderThan or Exact."),
    _parameter("watch", "boolean", "Go on with the changes, one JSON WatchEvent a line."),
    _parameter("allowWatchBookmarks", "boolean", "Send BOOKMARK events with the revision reached."),
    _parameter("sendInitialEvents", "boolean", "Begin a watch with all objects, then a bookmark."),
    _parameter("timeoutSeconds", "integer", "End a watch after so long."),
]
_ERROR_RESPONSE: Object = {
    "description": "An error",
    "content": {JSON: {"schema": {"$ref": f"{SCHEMAS}/Status"}}},
}
_WRITE_PARAMETERS = [_parameter("fieldValidation", "string", "Strict (unless given), Warn or Ignore.")]


def _paths(resource: Resource) -> Object:
    base = f"/apis/{API_VERSION}"
    collection_parameters = []
    collection = f"{base}/{resource.plural}"
    paths: Object = {}
    if resource.namespaced:
        paths[collection] = {"get": _operation(resource, "list", "listAll", [])}
        collection = f"{base}/namespaces/{{namespace}}/{resource.plural}"
        collection_parameters.append(_parameter("namespace", "string", "The owner's namespace.", "path"))
    object_parameters = [*collection_parameters, _parameter("name", "string", "The object's name.", "path")]
    object_operations: Object = {"get": _operation(resource, "get", "read", object_parameters)}
    collection_operations: Object = {"get": _operation(resource, "list", "list", collection_parameters)}
    for verb, method, id_prefix in (("update", "put", "replace"), ("patch", "patch", "patch")):
        object_operations[method] = _operation(resource, verb, id_prefix, object_parameters)
    if "create" in resource.verbs:
        collection_operations["post"] = _operation(resource, "create", "create", collection_parameters)
        collection_operations["delete"] = _operation(
            resource, "deletecollection", "deleteCollection", collection_parameters
        )
        object_operations["delete"] = _operation(resource, "delete", "delete", object_parameters)
    paths[collection] = collection_operations
    paths[f"{collection}/{{name}}"] = object_operations
    if resource is JOBS:
        paths[f"{collection}/{{name}}/log"] = {"get": _log_operation(object_parameters)}
    return paths


def _log_operation(parameters: list[Object]) -> Object:
    return {
        "operationId": "readJobLog",
        "x-kubernetes-action": "get",
        "parameters": [
            *parameters,
            _parameter("task", "integer", "The task's index; 0 if absent."),
            _parameter("attempt", "integer", "Of this attempt; of the last that was sent if absent."),
            _parameter("tailBytes", "integer", "Only the last bytes."),
        ],
        "responses": {
            "200": {"description": "OK", "content": {"text/plain": {"schema": {"type": "string"}}}},
            "default": _ERROR_RESPONSE,
        },
    }


def _operation(resource: Resource, verb: str, id_prefix: str, parameters: list[Object]) -> Object:
    operation: Object = {
        "operationId": f"{id_prefix}{resource.kind}",
        "x-kubernetes-action": verb,
        "parameters": parameters
        + (_LIST_PARAMETERS if verb in ("list", "deletecollection") else [])
        + (_WRITE_PARAMETERS if verb in ("create", "update", "patch") else []),
        "responses": _responses(resource, verb),
    }
    if verb in ("create", "update"):
        content = {JSON: {"schema": _reference(resource.kind)}}
        operation["requestBody"] = {"required": True, "content": content}
    elif verb == "patch":
        content = {MERGE_PATCH: {"schema": {"type": "object"}}}
        operation["requestBody"] = {"required": True, "content": content}
    return operation


def _responses(resource: Resource, verb: str) -> Object:
    schema = _reference(resource.kind)
    schemas_by_status: dict[str, Object] = {"200": schema}
    match verb:
        case "list":
            schemas_by_status = {"200": _reference(resource.list_kind)}
        case "delete" | "deletecollection":
            schemas_by_status = {"200": _reference("Status")}
        case "create":
            schemas_by_status = {"200": schema, "201": schema}
    responses: Object = {
        status: {"description": "OK", "content": {JSON: {"schema": body_schema}}}
        for status, body_schema in schemas_by_status.items()
    }
    responses["default"] = _ERROR_RESPONSE
    return responses


def _reference(schema: str) -> Object:
    return {"$ref": f"{SCHEMAS}/{schema}"}
