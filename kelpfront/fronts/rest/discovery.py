"""What the API says of itself: groups, resources, version and its OpenAPI document."""

from __future__ import annotations

import hashlib
from functools import cache
from importlib.metadata import version
from typing import Any

import msgspec
from pydantic import BaseModel
from pydantic.json_schema import models_json_schema

from kelpfront.api.jobs import Job
from kelpfront.api.levels import Level
from kelpfront.api.machines import Machine
from kelpfront.api.meta import (
    API_VERSION,
    GROUP,
    JOBS,
    LEVELS,
    MACHINES,
    RESOURCES,
    VERSION,
    ListMeta,
    Object,
    Resource,
)

MODELS: dict[str, type[BaseModel]] = {JOBS.plural: Job, MACHINES.plural: Machine, LEVELS.plural: Level}

_GROUP_VERSION = {"groupVersion": API_VERSION, "version": VERSION}


def release() -> str:
    return version("kelpfront")


def groups() -> Object:
    return {"kind": "APIGroupList", "apiVersion": "v1", "groups": [_group()]}


def _group() -> Object:
    return {"name": GROUP, "versions": [_GROUP_VERSION], "preferredVersion": _GROUP_VERSION}


def group() -> Object:
    return {"kind": "APIGroup", "apiVersion": "v1", **_group()}


def core_versions() -> Object:
    """There is no core group; its list of versions is empty."""
    return {"kind": "APIVersions", "versions": [], "serverAddressByClientCIDRs": []}


def resources() -> Object:
    return {
        "kind": "APIResourceList",
        "apiVersion": "v1",
        "groupVersion": API_VERSION,
        "resources": [
            {
                "name": resource.plural,
                "singularName": resource.singular,
                "namespaced": resource.namespaced,
                "kind": resource.kind,
                "verbs": list(resource.verbs),
            }
            for resource in RESOURCES.values()
        ]
        + [{"name": "jobs/log", "singularName": "", "namespaced": True, "kind": "Job", "verbs": ["get"]}],
    }


def version_info() -> Object:
    major, minor, *_ = release().split(".")
    return {"major": major, "minor": minor, "gitVersion": f"v{release()}", "platform": "python"}


def openapi_index() -> Object:
    path = f"apis/{API_VERSION}"
    digest = hashlib.blake2b(msgspec.json.encode(openapi()), digest_size=16).hexdigest()
    return {"paths": {path: {"serverRelativeURL": f"/openapi/v3/{path}?hash={digest}"}}}


@cache
def openapi() -> Object:
    """The OpenAPI 3 document, from the models that check what comes in."""
    schemas: dict[str, Any] = {}
    wanted: list[tuple[type[BaseModel], Any]] = [(model, "serialization") for model in MODELS.values()]
    _, definitions = models_json_schema(
        [*wanted, (ListMeta, "serialization")], ref_template="#/components/schemas/{model}"
    )
    schemas |= definitions["$defs"]
    paths: dict[str, Any] = {}
    for resource in RESOURCES.values():
        schemas[resource.list_kind] = _list_schema(resource)
        paths |= _paths(resource)
    schemas["WatchEvent"] = {
        "type": "object",
        "required": ["type", "object"],
        "properties": {
            "type": {"type": "string", "enum": ["ADDED", "MODIFIED", "DELETED", "BOOKMARK", "ERROR"]},
            "object": {"type": "object"},
        },
    }
    schemas["Status"] = _status_schema()
    return {
        "openapi": "3.0.0",
        "info": {"title": "kelpfront", "version": f"v{release()}"},
        "paths": paths,
        "components": {"schemas": schemas},
    }


def _list_schema(resource: Resource) -> Object:
    return {
        "type": "object",
        "required": ["metadata", "items"],
        "properties": {
            "apiVersion": {"type": "string"},
            "kind": {"type": "string"},
            "metadata": {"$ref": "#/components/schemas/ListMeta"},
            "items": {"type": "array", "items": {"$ref": f"#/components/schemas/{resource.kind}"}},
        },
    }


def _status_schema() -> Object:
    text, whole = {"type": "string"}, {"type": "integer"}
    cause = {"type": "object", "properties": {"reason": text, "message": text, "field": text}}
    details = {
        "name": text,
        "group": text,
        "kind": text,
        "uid": text,
        "causes": {"type": "array", "items": cause},
        "retryAfterSeconds": whole,
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
            "code": whole,
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
            "default": {
                "description": "An error",
                "content": {"application/json": {"schema": {"$ref": "#/components/schemas/Status"}}},
            },
        },
    }


def _operation(resource: Resource, verb: str, identity: str, parameters: list[Object]) -> Object:
    schema = {"$ref": f"#/components/schemas/{resource.kind}"}
    body = {"application/json": {"schema": schema}}
    answers: Object = {
        "list": {"200": {"$ref": f"#/components/schemas/{resource.list_kind}"}},
        "delete": {"200": {"$ref": "#/components/schemas/Status"}},
        "deletecollection": {"200": {"$ref": "#/components/schemas/Status"}},
        "create": {"200": schema, "201": schema},
    }.get(verb, {"200": schema})
    operation: Object = {
        "operationId": f"{identity}{resource.kind}",
        "x-kubernetes-action": verb,
        "parameters": parameters
        + (_LIST_PARAMETERS if verb in ("list", "deletecollection") else [])
        + (_WRITE_PARAMETERS if verb in ("create", "update", "patch") else []),
        "responses": {
            **{
                code: {"description": "OK", "content": {"application/json": {"schema": answer}}}
                for code, answer in answers.items()
            },
            "default": {
                "description": "An error",
                "content": {"application/json": {"schema": {"$ref": "#/components/schemas/Status"}}},
            },
        },
    }
    if verb in ("create", "update"):
        operation["requestBody"] = {"required": True, "content": body}
    elif verb == "patch":
        operation["requestBody"] = {
            "required": True,
            "content": {"application/merge-patch+json": {"schema": {"type": "object"}}},
        }
    return operation
