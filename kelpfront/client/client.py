"""The client of the REST API, for asyncio."""

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
from kelpfront.client.informer import Event, Informer, status_error
from kelpfront.client.interface import ServerUnreachableError
from kelpfront.http.client import HttpConnection, HttpError, NotSentError, Reply
from kelpfront.http.pool import HttpPool

CONNECTIONS = 64  # for requests; each watch has one of its own besides
CONNECT_S = 5.0
SILENT_S = 60.0  # a watch that hears nothing for so long, not even a bookmark, is cut
PAGE = 500


class Client:
    """To one placer.

    Methods raise ApiError where the server answers with an error, ServerUnreachableError where it does not
    answer at all.
    """

    def __init__(
        self,
        url: str,
        *,
        request_s: float = 30.0,
        seed: int | None = None,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """`wall` tells seconds since the epoch: requests say when they were sent."""
        parts = urlsplit(url)
        if parts.scheme != "http" or not parts.hostname:
            raise ValueError(f"{url!r} is not http://HOST:PORT")
        self.url = url
        self._host, self._port = parts.hostname, parts.port or 80
        self._path = parts.path.rstrip("/")
        self._request_s = request_s
        self._rng = random.Random(seed)
        self._wall = wall
        self._pool = HttpPool(self._host, self._port, CONNECTIONS, CONNECT_S)

    async def __aenter__(self) -> Client:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def close(self) -> None:
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
        """Hands over a job. With a clientToken in the spec, doing so again finds the same job."""
        metadata: Object = {"name": name} if name else {}
        if labels:
            metadata["labels"] = labels
        if annotations:
            metadata["annotations"] = annotations
        body = {"metadata": metadata, "spec": spec.model_dump(by_alias=True, exclude_none=True)}
        return Job.model_validate(await self.create(JOBS, namespace, body))

    async def get_job(self, namespace: str, name: str) -> Job:
        return Job.model_validate(await self.read(JOBS, namespace, name))

    async def list_jobs(self, namespace: str | None = None, **selectors: str) -> list[Job]:
        """All jobs of a namespace, or of all of them; `label_selector` and `field_selector` choose."""
        items, _ = await self.list_objects(JOBS, namespace, **selectors)
        return [Job.model_validate(item) for item in items]

    async def delete_job(self, namespace: str, name: str) -> None:
        """Removes a job and withdraws its tasks."""
        await self.request("DELETE", self.path(JOBS, namespace, name))

    async def follow(self, job: Job) -> AsyncIterator[Job]:
        """The job as it is and after each change, until it is deleted: ApiError 404."""
        namespace, name = job.metadata.namespace or "", job.metadata.name or ""
        async for event in self.watch(JOBS, namespace, field_selector=f"metadata.name={name}"):
            if event.kind == "DELETED":
                raise ApiError(404, f'job "{name}" was deleted', resource=JOBS, name=name)
            yield Job.model_validate(event.object)

    async def wait_answers(self, job: Job, *, timeout_s: float | None = None) -> Job:
        """The job once each of its tasks has its answer; ApiError 404 if it is gone."""
        async with asyncio.timeout(timeout_s):
            async for state in self.follow(job):
                if state.status is not None and state.status.answered == len(state.status.tasks):
                    return state
        raise AssertionError("a watch does not end by itself")

    async def logs(
        self,
        namespace: str,
        name: str,
        task: int = 0,
        *,
        attempt: int | None = None,
        tail_bytes: int | None = None,
    ) -> bytes:
        """The output of a job's task, at most its last `tail_bytes`; ApiError 404 where none is kept."""
        query = {"task": task, "attempt": attempt, "tailBytes": tail_bytes}
        text = urlencode({key: value for key, value in query.items() if value is not None})
        target = f"{self._path}{self.path(JOBS, namespace, name)}/log?{text}"
        reply = await self._exchange("GET", target, b"", ())
        if reply.status >= 400:
            raise status_error(_decoded(reply.body))
        return reply.body

    # ---- Machines -------------------------------------------------------------------------------------

    async def list_machines(self, **selectors: str) -> list[Machine]:
        items, _ = await self.list_objects(MACHINES, None, **selectors)
        return [Machine.model_validate(item) for item in items]

    async def set_unschedulable(self, machine: str, on: bool) -> Machine:
        """Drains a machine, or lets it take work again."""
        patched = await self.patch(MACHINES, None, machine, {"spec": {"unschedulable": on}})
        return Machine.model_validate(patched)

    # ---- Any resource ---------------------------------------------------------------------------------

    def path(self, resource: Resource, namespace: str | None = None, name: str = "") -> str:
        path = f"/apis/{API_VERSION}"
        if namespace is not None and resource.namespaced:
            path += f"/namespaces/{quote(namespace, safe='')}"
        path += f"/{resource.plural}"
        return f"{path}/{quote(name, safe='')}" if name else path

    async def create(self, resource: Resource, namespace: str | None, body: Object) -> Object:
        return await self.request("POST", self.path(resource, namespace), body)

    async def read(self, resource: Resource, namespace: str | None, name: str) -> Object:
        return await self.request("GET", self.path(resource, namespace, name))

    async def patch(self, resource: Resource, namespace: str | None, name: str, patch: Object) -> Object:
        """JSON merge patch."""
        kind = "application/merge-patch+json"
        return await self.request("PATCH", self.path(resource, namespace, name), patch, content_type=kind)

    async def list_objects(
        self,
        resource: Resource,
        namespace: str | None = None,
        label_selector: str = "",
        field_selector: str = "",
    ) -> tuple[list[Object], str]:
        """All objects, got in parts, and the revision that they together show."""
        query = _selectors(label_selector, field_selector) | {"limit": str(PAGE)}
        items: list[Object] = []
        while True:
            page = await self.request("GET", f"{self.path(resource, namespace)}?{urlencode(query)}")
            items += page["items"]
            token = page["metadata"].get("continue")
            if not token:
                return items, page["metadata"]["resourceVersion"]
            query["continue"] = token

    async def watch(
        self,
        resource: Resource,
        namespace: str | None = None,
        label_selector: str = "",
        field_selector: str = "",
    ) -> AsyncIterator[Event]:
        """What is there, then every change, for as long as it is read.

        A cut is resumed behind the last event; where the server no longer has that history the list is got
        anew and the changes worked out. Errors that trying again cannot mend are raised.
        """
        informer = Informer()
        backoff = Backoff(self._rng)
        selectors = _selectors(label_selector, field_selector)
        while True:
            try:
                if informer.revision is None:
                    items, revision = await self.list_objects(
                        resource, namespace, label_selector, field_selector
                    )
                    for event in informer.listed(items, revision):
                        yield event
                backoff.reset()
                async for data in self.watch_lines(resource, namespace, selectors, informer):
                    event_ = informer.line(data)
                    if event_ is not None:
                        yield event_
                continue  # the server ended it, as it does after a while
            except ApiError as error:
                if error.code == 410:
                    continue
                if error.code not in (429, 500, 503, 504):
                    raise
                pause = max(error.retry_after_s * 1000.0, backoff.next_delay_ms())
            except (ServerUnreachableError, TimeoutError):
                pause = backoff.next_delay_ms()
            await asyncio.sleep(pause / 1000.0)

    async def watch_lines(
        self,
        resource: Resource,
        namespace: str | None,
        selectors: dict[str, str],
        informer: Informer,
        on_open: Callable[[], None] = lambda: None,
    ) -> AsyncIterator[Any]:
        """The lines of one watch, as data, from the informer's revision until it ends or breaks."""
        query = selectors | {
            "watch": "true",
            "allowWatchBookmarks": "true",
            "resourceVersion": informer.revision or "",
        }
        target = f"{self._path}{self.path(resource, namespace)}?{urlencode(query)}"
        decode = msgspec.json.Decoder().decode
        try:
            async with asyncio.timeout(CONNECT_S):
                connection = await HttpConnection.open(self._host, self._port)
            try:
                async with asyncio.timeout(SILENT_S):
                    status, _, pieces = await connection.stream("GET", target)
                if status == 200:
                    on_open()
                iterator = pieces.__aiter__()
                rest = b""
                while True:
                    try:
                        async with asyncio.timeout(SILENT_S):
                            piece = await anext(iterator)
                    except StopAsyncIteration:
                        break
                    *lines, rest = (rest + piece).split(b"\n")
                    if status != 200:
                        rest = b"\n".join([*lines, rest])
                        continue
                    for line in lines:
                        yield decode(line)
                if status != 200:
                    raise status_error(_decoded(rest))
            finally:
                connection.abort()
        except HttpError as error:
            raise ServerUnreachableError(str(error), True) from None

    async def request(
        self,
        method: str,
        path: str,
        body: Object | None = None,
        *,
        content_type: str = "application/json",
        headers: tuple[tuple[str, str], ...] | None = None,
        timeout_s: float | None = None,
    ) -> Object:
        """One request's JSON answer; ApiError for an error's. `headers` in place of the one with the time."""
        raw = b"" if body is None else msgspec.json.encode(body)
        its_headers = [("accept", "application/json"), *(headers or ())]
        if raw:
            its_headers.append(("content-type", content_type))
            if headers is None:
                its_headers.append(sent_at_header(self._wall))
        reply = await self._exchange(method, self._path + path, raw, tuple(its_headers), timeout_s)
        data = _decoded(reply.body)
        if reply.status >= 400:
            raise status_error(data)
        answer: Object = data
        return answer

    async def _exchange(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
        timeout_s: float | None = None,
    ) -> Reply:
        sent = False
        within_s = self._request_s if timeout_s is None else min(timeout_s, self._request_s)
        try:
            async with asyncio.timeout(within_s):
                connection = await self._pool.acquire()
                try:
                    sent = True
                    return await connection.request(method, target, body, headers)
                finally:
                    self._pool.release(connection)
        except NotSentError as error:
            raise ServerUnreachableError(str(error), False) from None
        except HttpError as error:
            raise ServerUnreachableError(str(error), True) from None
        except TimeoutError:
            raise ServerUnreachableError(f"no answer within {within_s:.3g} s", sent) from None


def sent_at_header(wall: Callable[[], float] = time.time) -> tuple[str, str]:
    """Says when a request was sent: its patience counts from there, not from when the placer reads it."""
    return "kelpfront-sent-at", f"{wall() * 1000:.3f}"


def _selectors(labels: str, fields: str) -> dict[str, str]:
    query = {}
    if labels:
        query["labelSelector"] = labels
    if fields:
        query["fieldSelector"] = fields
    return query


def _decoded(body: bytes) -> Any:
    try:
        return msgspec.json.decode(body)
    except msgspec.DecodeError:
        raise ApiError(500, f"the server's answer is not JSON: {body[:100]!r}") from None
