"""Requests of the REST API to operations, and their results to answers."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, get_args

import msgspec
import structlog

from kelpfront.api.decode import FieldValidation, parse_json
from kelpfront.api.errors import ApiError, success
from kelpfront.api.meta import API_VERSION, GROUP, JOBS, LEVELS, RESOURCES, Object, Resource
from kelpfront.api.selectors import Selector, parse_selector
from kelpfront.controller.operations import Operations, RequestOrigin, Written
from kelpfront.fronts.rest import discovery
from kelpfront.fronts.rest.logs import LogReader, log_answer
from kelpfront.fronts.rest.watching import WatchRequest, WatchTimes, watch_lines
from kelpfront.http.messages import Request, Response

log = structlog.get_logger("kelpfront.rest")

MERGE_PATCH = "application/merge-patch+json"
JSON = "application/json"
SENT_AT = "kelpfront-sent-at"  # milliseconds since the epoch


@dataclass(frozen=True, slots=True)
class Health:
    """Whether the placer lives and takes jobs; the texts say why not."""

    live: str = ""
    ready: str = ""


@dataclass(frozen=True, slots=True)
class _Target:
    """What a path is about."""

    resource: Resource
    namespace: str | None
    name: str
    part: str = ""


class RestFront:
    """One placer's REST API. `common_time` turns the loop's time into the common clock's milliseconds."""

    def __init__(
        self,
        operations: Operations,
        common_time: Callable[[float], float],
        health: Callable[[], Health],
        rng: random.Random,
        times: WatchTimes | None = None,
        read_log: LogReader | None = None,
    ) -> None:
        self._operations, self._common_time, self._health, self._rng = operations, common_time, health, rng
        self._times = times or WatchTimes()
        self._read_log = read_log
        self._watches: dict[int, Callable[[], None]] = {}
        self._watch_number = 0
        self._fixed: dict[str, Callable[[], Object]] = {
            "/api": discovery.core_versions,
            "/apis": discovery.groups,
            f"/apis/{GROUP}": discovery.group,
            f"/apis/{API_VERSION}": discovery.resources,
            "/version": discovery.version_info,
            "/openapi/v3": discovery.openapi_index,
            f"/openapi/v3/apis/{API_VERSION}": discovery.openapi,
        }

    async def handle(self, request: Request) -> Response:
        try:
            return await self._route(request)
        except ApiError as error:
            return error_response(error)
        except Exception:
            log.exception("request failed", method=request.method, path=request.path)
            return error_response(ApiError(500, "an error of the server's own; its log has the details"))

    def end_watches(self) -> None:
        """Lets every watch end as at its timeout: with a bookmark to resume from."""
        for stop in list(self._watches.values()):
            stop()

    @property
    def watches(self) -> int:
        return len(self._watches)

    # ---- Routes ---------------------------------------------------------------------------------------

    async def _route(self, request: Request) -> Response:
        path = request.path.rstrip("/") or "/"
        if path in ("/livez", "/readyz", "/healthz"):
            return self._health_answer(path)
        if path in self._fixed:
            if request.method not in ("GET", "HEAD"):
                raise _not_allowed(request.method, ("GET",))
            return json_response(200, self._fixed[path]())
        if path.startswith("/openapi/v3"):
            raise ApiError(404, f"{path}: no such document")
        target = _target(path)
        if target.part:
            return self._log(request, target)
        _check_accept(request.headers.get("accept", ""))
        if target.name:
            return self._object(request, target)
        return self._collection(request, target)

    def _health_answer(self, path: str) -> Response:
        health = self._health()
        why = health.live if path == "/livez" else health.live or health.ready
        return Response(503 if why else 200, (why or "ok").encode(), "text/plain; charset=utf-8")

    def _collection(self, request: Request, target: _Target) -> Response:
        resource = target.resource
        creates = target.namespace is not None and "create" in resource.verbs
        match request.method:
            case "GET" | "HEAD":
                if _flag(request, "watch"):
                    return self._watch(request, target)
                return self._list(request, target)
            case "POST" if creates:
                self._refuse_dry_run(request)
                received = self._received(request)
                again = self._operations.count_try(request.headers.get("kelpfront-attempt", ""))
                self._operations.check_open(received)
                data = _body(request, JSON)
                assert target.namespace is not None
                written = self._operations.create_job(
                    target.namespace,
                    data,
                    RequestOrigin(received, _sent_at(request), again),
                    _validation(request),
                )
                return written_response(201 if written.created else 200, written)
            case "DELETE" if creates:
                self._refuse_dry_run(request)
                assert target.namespace is not None
                deleted = self._operations.delete_jobs(target.namespace, _selector(request, resource))
                status = success(resource, "", "")
                status["details"]["deleted"] = len(deleted)
                return json_response(200, status)
        raise _not_allowed(request.method, ("GET", "POST", "DELETE") if creates else ("GET",))

    def _log(self, request: Request, target: _Target) -> Response:
        if request.method != "GET":
            raise _not_allowed(request.method, ("GET",))
        if self._read_log is None:
            raise ApiError(503, "this server reads no output of tasks")
        key = target.namespace or "", target.name
        answer = log_answer(self._operations.store, request, key, self._read_log, _whole)
        assert answer.deferred is not None
        answer.deferred = self._or_error(answer.deferred)
        return answer

    @staticmethod
    async def _or_error(later: Awaitable[Response]) -> Response:
        try:
            return await later
        except ApiError as error:
            return error_response(error)

    def _object(self, request: Request, target: _Target) -> Response:
        operations, resource = self._operations, target.resource
        key = target.namespace or "", target.name
        jobs = resource is JOBS
        match request.method:
            case "GET" | "HEAD":
                return Response(200, operations.get(resource, key).encoded)
            case "PUT":
                self._refuse_dry_run(request)
                data, check = _body(request, JSON), _validation(request)
                if jobs:
                    return written_response(
                        200, operations.replace_job(*key, data, self._received(request), check)
                    )
                if resource is LEVELS:
                    return written_response(200, operations.replace_level(target.name, data, check))
                return written_response(200, operations.replace_machine(target.name, data, check))
            case "PATCH":
                self._refuse_dry_run(request)
                data, check = _body(request, MERGE_PATCH), _validation(request)
                if jobs:
                    return written_response(
                        200, operations.patch_job(*key, data, self._received(request), check)
                    )
                if resource is LEVELS:
                    return written_response(200, operations.patch_level(target.name, data, check))
                return written_response(200, operations.patch_machine(target.name, data, check))
            case "DELETE" if jobs:
                self._refuse_dry_run(request)
                options = parse_json(request.body) if request.body else {}
                stored = operations.delete_job(*key, options)
                uid: str = stored.body["metadata"]["uid"]
                return json_response(200, success(resource, target.name, uid))
        raise _not_allowed(
            request.method, ("GET", "PUT", "PATCH", "DELETE") if jobs else ("GET", "PUT", "PATCH")
        )

    def _received(self, request: Request) -> float:
        return self._common_time(request.received_at)

    @staticmethod
    def _refuse_dry_run(request: Request) -> None:
        if request.query.get("dryRun"):
            raise ApiError(400, "dryRun is not supported")

    # ---- Lists and watches ----------------------------------------------------------------------------

    def _list(self, request: Request, target: _Target) -> Response:
        store, resource = self._operations.store, target.resource
        namespace = target.namespace if resource.namespaced else None
        limit = _whole(request, "limit")
        token = request.query.get("continue", "")
        if not token:
            self._check_list_revision(request)
        page = store.list_objects(resource, namespace, _selector(request, resource), limit or 0, token)
        metadata: Object = {"resourceVersion": str(page.revision)}
        if page.continue_token:
            metadata |= {"continue": page.continue_token, "remainingItemCount": page.remaining}
        head = msgspec.json.encode(
            {"kind": resource.list_kind, "apiVersion": API_VERSION, "metadata": metadata}
        )
        body = head[:-1] + b',"items":[' + b",".join([stored.encoded for stored in page.items]) + b"]}"
        return Response(200, body)

    def _check_list_revision(self, request: Request) -> None:
        """Lists show the present revision; one that is to show another is refused rather than misled."""
        given, match = _whole(request, "resourceVersion"), request.query.get("resourceVersionMatch", "")
        present = self._operations.store.revision
        if match not in ("", "NotOlderThan", "Exact"):
            raise ApiError(400, f"resourceVersionMatch: {match!r} is not one of NotOlderThan, Exact")
        if match and not given:
            raise ApiError(400, "resourceVersionMatch: needs a resourceVersion")
        if given is not None and given > present:
            raise ApiError(504, f"Too large resource version: {given}, current: {present}", retry_after_s=1)
        if match == "Exact" and given != present:
            raise ApiError(410, f"resource version {given} is no longer kept as a whole", reason="Expired")

    def _watch(self, request: Request, target: _Target) -> Response:
        resource = target.resource
        since = _whole(request, "resourceVersion") or None
        initial = _flag(request, "sendInitialEvents")
        bookmarks = _flag(request, "allowWatchBookmarks")
        if initial:
            since = None
        timeout = _whole(request, "timeoutSeconds")
        # Watches of equal length that began together would all come back together.
        longest = self._times.longest_s * (0.5 + self._rng.random() / 2)
        asked = WatchRequest(
            resource,
            target.namespace if resource.namespaced else None,
            _selector(request, resource),
            since,
            bookmarks,
            initial and bookmarks,
            min(float(timeout), self._times.longest_s) if timeout else longest,
        )
        lines = watch_lines(self._operations.store, asked, request.peer, self._times, self._on_end)
        return Response(200, content_type=f"{JSON};stream=watch", stream=lines)

    def _on_end(self, stop: Callable[[], None]) -> Callable[[], None]:
        self._watch_number += 1
        number = self._watch_number
        self._watches[number] = stop

        def cancel() -> None:
            self._watches.pop(number, None)

        return cancel


# ---- Requests -----------------------------------------------------------------------------------------


def _target(path: str) -> _Target:
    parts = path.strip("/").split("/")
    if parts[:2] == ["apis", GROUP] and len(parts) > 3 and f"{GROUP}/{parts[2]}" == API_VERSION:
        rest = parts[3:]
        namespace: str | None = None
        if rest[0] == "namespaces" and len(rest) >= 3:
            namespace, rest = rest[1], rest[2:]
        resource = RESOURCES.get(rest[0])
        if resource is JOBS and namespace is not None and len(rest) == 3 and rest[2] == "log":
            return _Target(resource, namespace, rest[1], "log")
        if resource is not None and len(rest) <= 2 and (namespace is None or resource.namespaced):
            name = rest[1] if len(rest) == 2 else ""
            if not (name and resource.namespaced and namespace is None):
                return _Target(resource, namespace, name)
    raise ApiError(404, f"{path}: the server has no such resource")


def _body(request: Request, wanted: str) -> Object:
    kind = request.headers.get("content-type", wanted).partition(";")[0].strip().lower()
    if kind != wanted:
        raise ApiError(415, f"content-type {kind!r}: {wanted} is supported here")
    data: Object = parse_json(request.body)
    return data


def _check_accept(accept: str) -> None:
    kinds = {part.partition(";")[0].strip() for part in accept.split(",")}
    if accept and not kinds & {JSON, "application/*", "*/*", ""}:
        raise ApiError(406, f"accept {accept!r}: only {JSON} is served")


def _flag(request: Request, name: str) -> bool:
    value = request.query.get(name, "false").lower()
    if value not in ("true", "1", "false", "0", ""):
        raise ApiError(400, f"{name}: {value!r} is not one of true, false")
    return value in ("true", "1")


def _whole(request: Request, name: str) -> int | None:
    value = request.query.get(name, "")
    if not value:
        return None
    if not (value.isascii() and value.isdigit() and len(value) <= 18):
        raise ApiError(400, f"{name}: {value!r} is not a whole number")
    return int(value)


def _validation(request: Request) -> FieldValidation:
    value: Any = request.query.get("fieldValidation") or "Strict"
    if value not in get_args(FieldValidation):
        raise ApiError(
            400, f"fieldValidation: {value!r} is not one of {', '.join(get_args(FieldValidation))}"
        )
    checked: FieldValidation = value
    return checked


def _sent_at(request: Request) -> float | None:
    """When the client sent the request, by its own clock: then its owner's patience counts from there."""
    try:
        return float(request.headers[SENT_AT])
    except (KeyError, ValueError):
        return None


def _selector(request: Request, resource: Resource) -> Selector:
    query = request.query
    return parse_selector(resource, query.get("labelSelector", ""), query.get("fieldSelector", ""))


def _not_allowed(method: str, allowed: tuple[str, ...]) -> ApiError:
    return ApiError(405, f"{method} is not allowed here; allowed: {', '.join(allowed)}")


# ---- Answers ------------------------------------------------------------------------------------------


def json_response(status: int, data: Any) -> Response:
    return Response(status, msgspec.json.encode(data))


def written_response(status: int, written: Written) -> Response:
    headers = [("warning", f'299 - "{warning}"'.replace("\n", " ")) for warning in written.warnings]
    return Response(status, written.stored.encoded, headers=headers)


def error_response(error: ApiError) -> Response:
    headers = [("retry-after", str(error.retry_after_s))] if error.retry_after_s else []
    return Response(error.code, msgspec.json.encode(error.render()), headers=headers)


def error_body(status: int, message: str) -> bytes:
    """The body for a request that could not be read at all."""
    return msgspec.json.encode(ApiError(status, message).render())
