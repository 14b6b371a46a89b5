"""The services of api.proto: requests to operations, what comes of them to messages and status."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from typing import Any, Protocol, TypeVar

import grpc
import structlog

from kelpfront.api.errors import ApiError, expired
from kelpfront.api.meta import JOBS, MACHINES, Object, Resource
from kelpfront.api.selectors import Selector, parse_selector
from kelpfront.controller.operations import Operations, RequestOrigin
from kelpfront.fronts.grpc.bindings import BindingsStream, abort, mark_of, sent_at_of
from kelpfront.http.pacing import RequestPacer
from kelpfront.rpc.jobs import job_data, job_message
from kelpfront.rpc.machines import machine_message
from kelpfront.rpc.unknown_fields import refuse_unknown
from kelpfront.store import Watch, WatchEvent
from kelpfront.v1 import api_pb2 as pb
from kelpfront.v1 import api_pb2_grpc as rpc
from kelpfront.v1 import resources_pb2

log = structlog.get_logger("kelpfront.grpc")

EVENTS_A_TURN = 100  # of one stream before other work has its turn
BOOKMARK_S = 10.0

T = TypeVar("T")
Context = grpc.aio.ServicerContext
EVENT_TYPES = {"ADDED": 1, "MODIFIED": 2, "DELETED": 3}


class Streams(Protocol):
    """The streams of the front that are open, bounded."""

    def enter(self, stop: Callable[[], None]) -> Callable[[], None]:
        """Counts a stream in until the result is called; ApiError 429 where too many are open."""


class Base:
    """What the services share. `common_now` is the common clock, in milliseconds."""

    def __init__(
        self,
        operations: Operations,
        common_now: Callable[[], float],
        pacer: RequestPacer,
        streams: Streams,
        changed: Callable[[], None],
    ) -> None:
        self._operations, self._now = operations, common_now
        self._pacer, self._streams, self._changed = pacer, streams, changed

    async def _answer(self, context: Context[Any, Any], call: Callable[[float], T]) -> T:
        """Runs a call in its turn, with when its request came in; an ApiError becomes the call's status."""
        received_at = self._now()
        await self._pacer.wait_for_slot()
        began = time.perf_counter()
        try:
            return call(received_at)
        except ApiError as error:
            await abort(context, error)
            raise AssertionError from error
        except Exception:
            log.exception("call failed")
            await abort(context, ApiError(500, "an error of the server's own; its log has the details"))
            raise
        finally:
            self._pacer.record_work(time.perf_counter() - began)
            self._changed()

    def _watch(self, resource: Resource, request: pb.WatchRequest, wake: Callable[[], None]) -> Watch:
        selector = _selector(resource, request)
        namespace = request.namespace or None
        since = _revision(request.resume_token) if request.resume_token else None
        return self._operations.store.watch(
            resource, wake, namespace if resource.namespaced else None, selector, since
        )

    async def _watch_events(
        self, resource: Resource, request: pb.WatchRequest, context: Context[Any, Any]
    ) -> AsyncGenerator[tuple[WatchEvent | None, str], None]:
        """Events with their tokens, and None for each time that only the token is new."""
        wake = asyncio.Event()
        over = False

        def stop() -> None:
            nonlocal over
            over = True
            wake.set()

        watch: Watch | None = None
        leave: Callable[[], None] = _nothing
        try:
            try:
                leave = self._streams.enter(stop)
                watch = self._watch(resource, request, wake.set)
            except ApiError as error:
                await abort(context, error)
                return
            store = self._operations.store
            yield None, str(store.revision) if request.resume_token else ""
            while True:
                wake.clear()
                for event in watch.next_events(EVENTS_A_TURN):
                    yield event, str(event.revision)
                if watch.expired:
                    await abort(context, expired("the watch was too slow and missed changes; list anew"))
                    return
                if len(watch):
                    await asyncio.sleep(0)
                    continue
                if over:
                    yield None, str(store.revision)
                    return
                try:
                    async with asyncio.timeout(BOOKMARK_S):
                        await wake.wait()
                except TimeoutError:
                    yield None, str(store.revision)
        finally:
            leave()
            if watch is not None:
                watch.close()

    def _page(self, resource: Resource, request: pb.ListRequest) -> tuple[list[Object], str, str]:
        namespace = (request.namespace or None) if resource.namespaced else None
        if request.limit < 0:
            raise ApiError(400, f"limit: {request.limit} is below 0")
        page = self._operations.store.list_objects(
            resource, namespace, _selector(resource, request), request.limit, request.continue_token
        )
        return [stored.body for stored in page.items], str(page.revision), page.continue_token


class JobsService(Base, rpc.JobsServicer):
    async def Submit(  # noqa: N802
        self, request: pb.SubmitRequest, context: Context[Any, Any]
    ) -> pb.SubmitResponse:
        sent_at = sent_at_of(context)
        again = self._operations.count_try(mark_of(context, "attempt"))

        def submit(received_at: float) -> pb.SubmitResponse:
            job, created = self._submit(request.namespace, request, received_at, sent_at, again)
            return pb.SubmitResponse(job=job_message(job), created=created)

        return await self._answer(context, submit)

    def _submit(
        self,
        namespace: str,
        request: pb.SubmitRequest | pb.BindingsRequest.Submit,
        received_at: float,
        sent_at: float | None,
        again: bool = False,
    ) -> tuple[Object, bool]:
        self._operations.check_open(received_at)
        refuse_unknown(request.spec, "spec", request.metadata.name)
        data = job_data(request.metadata, request.spec)
        written = self._operations.create_job(namespace, data, RequestOrigin(received_at, sent_at, again))
        return written.stored.body, written.created

    async def Get(  # noqa: N802
        self, request: pb.GetRequest, context: Context[Any, Any]
    ) -> resources_pb2.Job:
        def get(_: float) -> resources_pb2.Job:
            key = request.namespace, request.name
            return job_message(self._operations.get(JOBS, key).body)

        return await self._answer(context, get)

    async def List(  # noqa: N802
        self, request: pb.ListRequest, context: Context[Any, Any]
    ) -> pb.ListJobsResponse:
        def select(_: float) -> pb.ListJobsResponse:
            found, resume, more = self._page(JOBS, request)
            jobs = [job_message(job) for job in found]
            return pb.ListJobsResponse(jobs=jobs, resume_token=resume, continue_token=more)

        return await self._answer(context, select)

    async def Delete(  # noqa: N802
        self, request: pb.DeleteRequest, context: Context[Any, Any]
    ) -> pb.DeleteResponse:
        def delete(_: float) -> pb.DeleteResponse:
            options: Object = {"preconditions": {"uid": request.uid}} if request.uid else {}
            self._operations.delete_job(request.namespace, request.name, options)
            return pb.DeleteResponse()

        return await self._answer(context, delete)

    async def Watch(  # noqa: N802
        self, request: pb.WatchRequest, context: Context[Any, Any]
    ) -> AsyncIterator[pb.WatchJobsResponse]:
        async with contextlib.aclosing(self._watch_events(JOBS, request, context)) as events:
            async for event, token in events:
                if event is None:
                    yield pb.WatchJobsResponse(type=pb.EVENT_TYPE_BOOKMARK, resume_token=token)
                else:
                    job = job_message(event.stored.body)
                    kind: Any = EVENT_TYPES[event.type.value]
                    yield pb.WatchJobsResponse(type=kind, job=job, resume_token=token)

    async def Bindings(  # noqa: N802
        self, requests: AsyncIterator[pb.BindingsRequest], context: Context[Any, Any]
    ) -> None:
        stream = BindingsStream(
            self._operations, self._submit, self._now, self._pacer, self._changed, context
        )
        await stream.run(requests, self._streams.enter)


class MachinesService(Base, rpc.MachinesServicer):
    async def Get(  # noqa: N802
        self, request: pb.GetRequest, context: Context[Any, Any]
    ) -> resources_pb2.Machine:
        def get(_: float) -> resources_pb2.Machine:
            return machine_message(self._operations.store.get(MACHINES, ("", request.name)).body)

        return await self._answer(context, get)

    async def List(  # noqa: N802
        self, request: pb.ListRequest, context: Context[Any, Any]
    ) -> pb.ListMachinesResponse:
        def select(_: float) -> pb.ListMachinesResponse:
            found, resume, more = self._page(MACHINES, request)
            machines = [machine_message(machine) for machine in found]
            return pb.ListMachinesResponse(machines=machines, resume_token=resume, continue_token=more)

        return await self._answer(context, select)

    async def SetUnschedulable(  # noqa: N802
        self, request: pb.SetUnschedulableRequest, context: Context[Any, Any]
    ) -> resources_pb2.Machine:
        def patch(_: float) -> resources_pb2.Machine:
            change = {"spec": {"unschedulable": request.unschedulable}}
            written = self._operations.patch_machine(request.name, change)
            return machine_message(written.stored.body)

        return await self._answer(context, patch)

    async def Watch(  # noqa: N802
        self, request: pb.WatchRequest, context: Context[Any, Any]
    ) -> AsyncIterator[pb.WatchMachinesResponse]:
        async with contextlib.aclosing(self._watch_events(MACHINES, request, context)) as events:
            async for event, token in events:
                if event is None:
                    yield pb.WatchMachinesResponse(type=pb.EVENT_TYPE_BOOKMARK, resume_token=token)
                else:
                    machine = machine_message(event.stored.body)
                    kind: Any = EVENT_TYPES[event.type.value]
                    yield pb.WatchMachinesResponse(type=kind, machine=machine, resume_token=token)


def _selector(resource: Resource, request: pb.ListRequest | pb.WatchRequest) -> Selector:
    return parse_selector(resource, request.label_selector, request.field_selector)


def _revision(token: str) -> int:
    if not (token.isascii() and token.isdigit() and len(token) <= 18):
        raise ApiError(400, f"resume_token: {token[:40]!r} is not one that this server gave out")
    return int(token)


def _nothing() -> None:
    pass
