"""The OpenAPI 3 document of the REST API, from the models that check what comes in."""

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
from kelpfront.fronts.rest.discovery import release
from kelpfront.fronts.rest.parameters import JSON, MERGE_PATCH

MODELS: dict[str, type[BaseModel]] = {JOBS.plural: Job, MACHINES.plural: Machine, LEVELS.plural: Level}
SCHEMAS = "#/components/schemas"


def index() -> Object:
    """Return where the document is; its hash lets clients keep it."""
    path = f"apis/{API_VERSION}"
    digest = hashlib.blake2b(msgspec.json.encode(document()), digest_size=16).hexdigest()
    return {"paths": {path: {"serverRelativeURL": f"/openapi/v3/{path}?hash={digest}"}}}


@cache
def document() -> Object:
    """Return the document."""
    paths: dict[str, Any] = {}
    for resource in RESOURCES.values():
        paths |= _paths(resource)
    return {
        "openapi": "3.0.0",
        "info": {"title": "kelpfront", "version": f"v{release()}"},
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
    kinds = ["ADDED", "MODIFIED", "DELETED", "BOOKMARK", "ERROR"]
    return {
        "type": "object",
        "required": ["type", "object"],
        "properties": {"type": {"type": "string", "enum": kinds}, "object": {"type": "object"}},
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
    text = {"type": "string"}
    integer = {"type": "integer"}
    cause = {"type": "object", "properties": {"reason": text, "message": text, "field": text}}
    details = {
        "name": text,
        "group": text,
        "kind": text,
        "uid": text,
        "causes": {"type": "array", "items": cause},
        "retryAfterSeconds": integer,
    }
    return {
        "type": "object",
        "properties": {
            "kind": text,
            "apiVersion": text,
            "metadata": {"type": "object"},
            "status": {"type": "string", "enum": ["Success", "Failure"]},
            "message": text,
            "reason": text,
            "code": integer,
            "details": {"type": "object", "properties": details},
        },
    }


def _parameter(name: str, kind: str, description: str, where: str = "query") -> Object:
    return {
        "name": name,
        "in": where,
        "required": where == "path",
        "schema": {"type": kind},
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
    path_parameters = []
    collection = f"{base}/{resource.plural}"
    paths: Object = {}
    if resource.namespaced:
        paths[collection] = {"get": _operation(resource, "list", "listAll", [])}
        collection = f"{base}/namespaces/{{namespace}}/{resource.plural}"
        path_parameters.append(_parameter("namespace", "string", "The owner's namespace.", "path"))
    named = [*path_parameters, _parameter("name", "string", "The object's name.", "path")]
    one: Object = {"get": _operation(resource, "get", "read", named)}
    many: Object = {"get": _operation(resource, "list", "list", path_parameters)}
    for verb, method, identity in (("update", "put", "replace"), ("patch", "patch", "patch")):
        one[method] = _operation(resource, verb, identity, named)
    if "create" in resource.verbs:
        many["post"] = _operation(resource, "create", "create", path_parameters)
        many["delete"] = _operation(resource, "deletecollection", "deleteCollection", path_parameters)
        one["delete"] = _operation(resource, "delete", "delete", named)
    paths[collection] = many
    paths[f"{collection}/{{name}}"] = one
    if resource is JOBS:
        paths[f"{collection}/{{name}}/log"] = {"get": _log_operation(named)}
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


def _operation(resource: Resource, verb: str, identity: str, parameters: list[Object]) -> Object:
    operation: Object = {
        "operationId": f"{identity}{resource.kind}",
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
    answers: dict[str, Object] = {"200": schema}
    match verb:
        case "list":
            answers = {"200": _reference(resource.list_kind)}
        case "delete" | "deletecollection":
            answers = {"200": _reference("Status")}
        case "create":
            answers = {"200": schema, "201": schema}
    responses: Object = {
        code: {"description": "OK", "content": {JSON: {"schema": answer}}} for code, answer in answers.items()
    }
    responses["default"] = _ERROR_RESPONSE
    return responses


def _reference(schema: str) -> Object:
    return {"$ref": f"{SCHEMAS}/{schema}"}
