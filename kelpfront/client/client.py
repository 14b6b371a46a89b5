"""An asyncio client of one placer's REST API.

It sends each request once and resumes interrupted watches. `retrying` adds retries and several placers.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import AsyncIterator, Callable
from types import TracebackType
from typing import Any
from urllib.parse import quote, urlencode, urlsplit

import msgspec

from kelpfront.api.errors import ApiError
from kelpfront.api.jobs import Job, JobSpec
from kelpfront.api.machines import Machine
from kelpfront.api.meta import API_VERSION, JOBS, MACHINES, Object, Resource
from kelpfront.backoff import Backoff
from kelpfront.client.events import all_answered, job_after_event, job_metadata
from kelpfront.client.informer import Event, Informer, ObjectList, status_error
from kelpfront.client.interface import ServerUnreachableError
from kelpfront.http.client import HttpConnection, HttpError, NotSentError, Reply
from kelpfront.http.pool import HttpPool

MAX_CONNECTIONS = 64  # for requests; each watch opens an additional connection
CONNECT_TIMEOUT_S = 5.0
MAX_IDLE_S = 60.0  # a watch that receives no event or bookmark for this long is closed
PAGE_OBJECTS = 500  # objects per page of a list
RESUMABLE_CODES = (429, 500, 503, 504)  # HTTP status codes of a failed watch that can be resumed


class Client:
    """A client of one placer at `url`.

    Methods raise ApiError if the server responds with an error, and ServerUnreachableError if it does not
    respond. `request_s` is the timeout of each request in seconds. `wall` returns the seconds since the
    epoch; it supplies the time of sending that requests carry.
    """

    def __init__(
        self,
        url: str,
        *,
        request_s: float = 30.0,
        seed: int | None = None,
        wall: Callable[[], float] = time.time,
    ) -> None:
        parts = urlsplit(url)
        if parts.scheme != "http" or not parts.hostname:
            raise ValueError(f"expected a URL of the form http://HOST:PORT, got {url!r}")
        self.url = url
        self._host = parts.hostname
        self._port = parts.port or 80
        self._path = parts.path.rstrip("/")
        self._request_s = request_s
        self._rng = random.Random(seed)
        self._wall_clock = wall
        self._pool = HttpPool(self._host, self._port, MAX_CONNECTIONS, CONNECT_TIMEOUT_S)

    async def __aenter__(self) -> Client:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    # ---- Jobs -----------------------------------------------------------------------------------------

    async def submit(
        self,
        namespace: str,
        spec: JobSpec,
        *,
        name: str | None = None,
        labels: dict[str, str] | None = None,
        annotations: dict[str, str] | None = None,
    ) -> Job:
        """Submit a job. If the spec has a client token, submitting it again returns the same job."""
        metadata = job_metadata(name, labels, annotations)
        body = {"metadata": metadata, "spec": spec.model_dump(by_alias=True, exclude_none=True)}
        return Job.model_validate(await self.create(JOBS, namespace, body))

    async def get_job(self, namespace: str, name: str) -> Job:
        """Return a job. Raises ApiError 404 if it does not exist."""
        return Job.model_validate(await self.read(JOBS, namespace, name))

    async def list_jobs(self, namespace: str | None = None, **selectors: str) -> list[Job]:
        """Return the jobs of a namespace, or of all, that match `label_selector` and `field_selector`."""
        items, _ = await self.list_objects(JOBS, namespace, **selectors)
        return [Job.model_validate(item) for item in items]

    async def delete_job(self, namespace: str, name: str) -> None:
        """Delete a job and withdraw its tasks."""
        await self.request("DELETE", self.path(JOBS, namespace, name))

    async def follow(self, job: Job) -> AsyncIterator[Job]:
        """Yield the current job, then its state after each change. Raises ApiError 404 once it is deleted."""
        namespace = job.metadata.namespace or ""
        name = job.metadata.name or ""
        async for event in self.watch(JOBS, namespace, field_selector=f"metadata.name={name}"):
            yield job_after_event(event, name)

    async def wait_answers(self, job: Job, *, timeout_s: float | None = None) -> Job:
        """Return the job once each task has an answer. Raises ApiError 404 if it is deleted before that."""
        async with asyncio.timeout(timeout_s):
            async for state in self.follow(job):
                if all_answered(state):
                    return state
        raise AssertionError("the watch ended without an error")

    async def logs(
        self,
        namespace: str,
        name: str,
        task: int = 0,
        *,
        attempt: int | None = None,
        tail_bytes: int | None = None,
    ) -> bytes:
        """Return the output of a task of a job, limited to the last `tail_bytes`.

        Raises ApiError 404 if no output is kept.
        """
        query = {"task": task, "attempt": attempt, "tailBytes": tail_bytes}
        text = urlencode({key: value for key, value in query.items() if value is not None})
        target = f"{self._path}{self.path(JOBS, namespace, name)}/log?{text}"
        reply = await self._exchange("GET", target, b"", ())
        if reply.status >= 400:
            raise status_error(_decode_json(reply.body))
        return reply.body

    # ---- Machines -------------------------------------------------------------------------------------

    async def list_machines(self, **selectors: str) -> list[Machine]:
        """Return the machines that match `label_selector` and `field_selector`."""
        items, _ = await self.list_objects(MACHINES, None, **selectors)
        return [Machine.model_validate(item) for item in items]

    async def set_unschedulable(self, machine: str, *, unschedulable: bool) -> Machine:
        """Drain a machine, or let it accept work again."""
        patched = await self.patch(MACHINES, None, machine, {"spec": {"unschedulable": unschedulable}})
        return Machine.model_validate(patched)

    # ---- Any resource ---------------------------------------------------------------------------------

    def path(self, resource: Resource, namespace: str | None = None, name: str = "") -> str:
        """Return the path of an object, or of all objects of a namespace or of the cluster."""
        path = f"/apis/{API_VERSION}"
        if namespace is not None and resource.namespaced:
            path += f"/namespaces/{quote(namespace, safe='')}"
        path += f"/{resource.plural}"
        return f"{path}/{quote(name, safe='')}" if name else path

    async def create(self, resource: Resource, namespace: str | None, body: Object) -> Object:
        """Create an object and return it as stored by the server."""
        return await self.request("POST", self.path(resource, namespace), body)

    async def read(self, resource: Resource, namespace: str | None, name: str) -> Object:
        """Return an object. Raises ApiError 404 if it does not exist."""
        return await self.request("GET", self.path(resource, namespace, name))

    async def patch(self, resource: Resource, namespace: str | None, name: str, patch: Object) -> Object:
        """Apply a JSON merge patch and return the patched object."""
        path = self.path(resource, namespace, name)
        return await self.request("PATCH", path, patch, content_type="application/merge-patch+json")

    async def list_objects(
        self,
        resource: Resource,
        namespace: str | None = None,
        label_selector: str = "",
        field_selector: str = "",
    ) -> ObjectList:
        """Return all objects, read in pages, and the revision of the list."""
        query = _selector_parameters(label_selector, field_selector) | {"limit": str(PAGE_OBJECTS)}
        items: list[Object] = []
        while True:
            page = await self.request("GET", f"{self.path(resource, namespace)}?{urlencode(query)}")
            items += page["items"]
            token = page["metadata"].get("continue")
            if not token:
                return ObjectList(items, page["metadata"]["resourceVersion"])
            query["continue"] = token

    async def watch(
        self,
        resource: Resource,
        namespace: str | None = None,
        label_selector: str = "",
        field_selector: str = "",
    ) -> AsyncIterator[Event]:
        """Yield the existing objects, then every change, until the caller stops reading.

        An interrupted watch is resumed after the last event. If the server no longer keeps the history since
        then, the objects are listed again and the changes are derived from the list. Errors that a retry
        cannot resolve are raised.
        """
        informer = Informer()
        backoff = Backoff(self._rng)
        selectors = _selector_parameters(label_selector, field_selector)
        while True:
            try:
                if informer.revision is None:
                    items, revision = await self.list_objects(
                        resource, namespace, label_selector, field_selector
                    )
                    for event in informer.apply_list(items, revision):
                        yield event
                backoff.reset()
                async for data in self.watch_lines(resource, namespace, selectors, informer):
                    change = informer.apply_line(data)
                    if change is not None:
                        yield change
                continue  # the server closes each watch after some time
            except ApiError as error:
                if error.code == 410:
                    continue
                if error.code not in RESUMABLE_CODES:
                    raise
                backoff_ms = max(error.retry_after_s * 1000.0, backoff.next_delay_ms())
            except (ServerUnreachableError, TimeoutError):
                backoff_ms = backoff.next_delay_ms()
            await asyncio.sleep(backoff_ms / 1000.0)

    async def watch_lines(
        self,
        resource: Resource,
        namespace: str | None,
        selectors: dict[str, str],
        informer: Informer,
        on_open: Callable[[], None] = lambda: None,
    ) -> AsyncIterator[Any]:
        """Yield the decoded lines of one watch, from the informer's revision until the watch ends or fails.

        `on_open` is called once the server has accepted the watch.
        """
        query = selectors | {
            "watch": "true",
            "allowWatchBookmarks": "true",
            "resourceVersion": informer.revision or "",
        }
        target = f"{self._path}{self.path(resource, namespace)}?{urlencode(query)}"
        decode = msgspec.json.Decoder().decode
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection = await HttpConnection.open(self._host, self._port)
            try:
                async with asyncio.timeout(MAX_IDLE_S):
                    reply = await connection.stream("GET", target)
                fragments = aiter(reply.fragments)
                if reply.status != 200:
                    raise status_error(_decode_json(await _read_all(fragments)))
                on_open()
                rest = b""
                while (fragment := await _next_fragment(fragments)) is not None:
                    *lines, rest = (rest + fragment).split(b"\n")
                    for line in lines:
                        yield decode(line)
            finally:
                connection.abort()
        except HttpError as error:
            raise ServerUnreachableError(str(error), may_have_arrived=True) from error

    async def request(  # noqa: PLR0913 - parts of one HTTP request, the last three by keyword
        self,
        method: str,
        path: str,
        body: Object | None = None,
        *,
        content_type: str = "application/json",
        headers: tuple[tuple[str, str], ...] | None = None,
        timeout_s: float | None = None,
    ) -> Object:
        """Send one request and return its JSON response. Raises ApiError for an error response.

        `path` is relative to the client's URL. `headers` replace the header with the time of sending.
        """
        raw = b"" if body is None else msgspec.json.encode(body)
        sent_headers = [("accept", "application/json"), *(headers or ())]
        if raw:
            sent_headers.append(("content-type", content_type))
            if headers is None:
                sent_headers.append(sent_at_header(self._wall_clock))
        reply = await self._exchange(method, self._path + path, raw, tuple(sent_headers), timeout_s)
        data = _decode_json(reply.body)
        if reply.status >= 400:
            raise status_error(data)
        response: Object = data
        return response

    async def _exchange(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
        timeout_s: float | None = None,
    ) -> Reply:
        sent = False
        effective_timeout_s = self._request_s if timeout_s is None else min(timeout_s, self._request_s)
        try:
            async with asyncio.timeout(effective_timeout_s):
                connection = await self._pool.acquire()
                try:
                    sent = True
                    return await connection.request(method, target, body, headers)
                finally:
                    self._pool.release(connection)
        except NotSentError as error:
            raise ServerUnreachableError(str(error), may_have_arrived=False) from error
        except HttpError as error:
            raise ServerUnreachableError(str(error), may_have_arrived=True) from error
        except TimeoutError as error:
            raise ServerUnreachableError(
                f"no response within {effective_timeout_s:.3g} s", may_have_arrived=sent
            ) from error


async def _next_fragment(fragments: AsyncIterator[bytes]) -> bytes | None:
    """Return the next fragment, or None at the end. Raises TimeoutError if none arrives in MAX_IDLE_S."""
    async with asyncio.timeout(MAX_IDLE_S):
        try:
            return await anext(fragments)
        except StopAsyncIteration:
            return None


async def _read_all(fragments: AsyncIterator[bytes]) -> bytes:
    body = b""
    while (fragment := await _next_fragment(fragments)) is not None:
        body += fragment
    return body


def sent_at_header(wall_clock: Callable[[], float] = time.time) -> tuple[str, str]:
    """Return the header with the time at which a request is sent.

    The patience of a job starts at this time, not when the placer reads the request.
    """
    return "kelpfront-sent-at", f"{wall_clock() * 1000:.3f}"


def _selector_parameters(labels: str, fields: str) -> dict[str, str]:
    query = {}
    if labels:
        query["labelSelector"] = labels
    if fields:
        query["fieldSelector"] = fields
    return query


def _decode_json(body: bytes) -> Any:
    try:
        return msgspec.json.decode(body)
    except msgspec.DecodeError as error:
        raise ApiError(500, f"the server's response is not JSON: {body[:100]!r}") from error
