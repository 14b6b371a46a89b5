"""The client over gRPC, with retries.

```python
from kelpfront.client import JobSpec
from kelpfront.client.grpc import GrpcClient

async with GrpcClient("127.0.0.1:8150") as client:
    job = await client.submit("climate", JobSpec(class_="web", service="front", cores=1, memory=2))
    job = await client.wait_answers(job)
```
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Sequence
from typing import Any

import grpc

from kelpfront.api.errors import ApiError
from kelpfront.api.meta import JOBS, Object, Resource
from kelpfront.client.bindings import BindingsClient
from kelpfront.client.informer import ObjectList
from kelpfront.client.interface import ServerUnreachableError
from kelpfront.client.retrying import RetryingClient
from kelpfront.client.transport import AttemptMarks, WatchLine
from kelpfront.rpc.jobs import job_object, spec_message
from kelpfront.rpc.machines import machine_object
from kelpfront.rpc.status import error_from_status
from kelpfront.v1 import api_pb2 as pb
from kelpfront.v1 import api_pb2_grpc, resources_pb2

CONNECT_TIMEOUT_S = 5.0
MAX_MESSAGE_BYTES = 64 << 20  # of an answer
PAGE_OBJECTS = 500  # of one answer to a list
OPTIONS = [
    # `retry` decides whether a call is made again, and when an address is tried again.
    ("grpc.enable_retries", 0),
    ("grpc.initial_reconnect_backoff_ms", 50),
    ("grpc.min_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    ("grpc.keepalive_time_ms", 30_000),
    ("grpc.keepalive_timeout_ms", 20_000),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.use_local_subchannel_pool", 1),
]
EVENT_KINDS = {
    pb.EVENT_TYPE_ADDED: "ADDED",
    pb.EVENT_TYPE_MODIFIED: "MODIFIED",
    pb.EVENT_TYPE_DELETED: "DELETED",
}
# Codes that the transport itself ends calls with and another attempt cannot change, with the HTTP status.
FINAL_TRANSPORT_CODES = {
    grpc.StatusCode.RESOURCE_EXHAUSTED: 413,
    grpc.StatusCode.UNIMPLEMENTED: 405,
    grpc.StatusCode.INVALID_ARGUMENT: 400,
}


def metadata_of(marks: AttemptMarks) -> tuple[tuple[str, str], ...]:
    """Return the metadata that says which attempt this is."""
    metadata = [("sent-at-ms", f"{marks.sent_at_ms:.3f}"), ("attempt", str(marks.attempt))]
    if marks.previous:
        metadata.append(("previous", marks.previous))
    return tuple(metadata)


class GrpcTransport:
    """Single attempts at one placer; see `transport.Transport`."""

    def __init__(self, target: str) -> None:
        self.address = target
        self._closing: asyncio.Task[None] | None = None
        self._channel = grpc.aio.insecure_channel(target, options=OPTIONS)
        self._jobs: Any = api_pb2_grpc.JobsStub(self._channel)
        self._machines: Any = api_pb2_grpc.MachinesStub(self._channel)

    async def connect(self, within_s: float) -> None:
        """Wait until the channel is up, or its next attempt to connect has failed.

        Before it is up no call can have arrived. A channel that failed connects again after its own backoff,
        which has jitter. A channel for each of our attempts was measured against that; it made more retries
        and a fuller worst 100 ms (docs/measurements.md). Raises ServerUnreachableError.
        """
        failed = grpc.ChannelConnectivity.TRANSIENT_FAILURE
        ready = grpc.ChannelConnectivity.READY
        state = self._channel.get_state(try_to_connect=True)
        try:
            async with asyncio.timeout(min(CONNECT_TIMEOUT_S, within_s)):
                has_attempted = False
                while state is not ready:
                    if state is failed and has_attempted:
                        raise ServerUnreachableError(
                            f"{self.address}: cannot be connected to", may_have_arrived=False
                        )
                    has_attempted = has_attempted or state is grpc.ChannelConnectivity.CONNECTING
                    await self._channel.wait_for_state_change(state)
                    state = self._channel.get_state(try_to_connect=True)
        except TimeoutError as error:
            raise ServerUnreachableError(
                f"{self.address}: no connection in time", may_have_arrived=False
            ) from error

    async def _unary(self, method: Any, request: Any, timeout_s: float, marks: AttemptMarks) -> Any:
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_s
        await self.connect(timeout_s)
        try:
            return await method(request, timeout=max(0.001, until - loop.time()), metadata=metadata_of(marks))
        except grpc.aio.AioRpcError as error:
            raise self.error(error) from error

    def error(self, error: grpc.aio.AioRpcError) -> Exception:
        """Return what a call's error means: the placer's own error, or that it did not answer."""
        code = error.code()
        text = error.details() or ""
        answered = error_from_status(code, text, error.trailing_metadata())
        if answered is not None:
            return answered
        if code in FINAL_TRANSPORT_CODES:
            return ApiError(FINAL_TRANSPORT_CODES[code], text)
        return ServerUnreachableError(f"{self.address}: {code.name}: {text}", may_have_arrived=True)

    async def create(self, namespace: str, body: Object, timeout_s: float, marks: AttemptMarks) -> Object:
        """Submit a job."""
        given = body["metadata"]
        metadata = resources_pb2.ObjectMeta(
            name=given.get("name", ""),
            labels=given.get("labels") or {},
            annotations=given.get("annotations") or {},
        )
        request = pb.SubmitRequest(namespace=namespace, metadata=metadata, spec=spec_message(body["spec"]))
        answer = await self._unary(self._jobs.Submit, request, timeout_s, marks)
        return job_object(answer.job)

    async def read(
        self, resource: Resource, namespace: str, name: str, timeout_s: float, marks: AttemptMarks
    ) -> Object:
        """Return an object."""
        request = pb.GetRequest(namespace=namespace, name=name)
        if resource is JOBS:
            return job_object(await self._unary(self._jobs.Get, request, timeout_s, marks))
        return machine_object(await self._unary(self._machines.Get, request, timeout_s, marks))

    async def list_objects(
        self, resource: Resource, namespace: str | None, timeout_s: float, marks: AttemptMarks
    ) -> ObjectList:
        """Return all objects, read in pages."""
        items: list[Object] = []
        token = ""
        while True:
            request = pb.ListRequest(namespace=namespace or "", limit=PAGE_OBJECTS, continue_token=token)
            if resource is JOBS:
                page = await self._unary(self._jobs.List, request, timeout_s, marks)
                items += [job_object(job) for job in page.jobs]
            else:
                page = await self._unary(self._machines.List, request, timeout_s, marks)
                items += [machine_object(machine) for machine in page.machines]
            token = page.continue_token
            if not token:
                return ObjectList(items, page.resume_token)

    async def delete(self, namespace: str, name: str, timeout_s: float, marks: AttemptMarks) -> None:
        """Delete a job."""
        request = pb.DeleteRequest(namespace=namespace, name=name)
        await self._unary(self._jobs.Delete, request, timeout_s, marks)

    async def set_unschedulable(
        self, name: str, timeout_s: float, marks: AttemptMarks, *, unschedulable: bool
    ) -> Object:
        """Drain a machine, or let it accept work again."""
        request = pb.SetUnschedulableRequest(name=name, unschedulable=unschedulable)
        return machine_object(await self._unary(self._machines.SetUnschedulable, request, timeout_s, marks))

    async def watch(
        self,
        resource: Resource,
        namespace: str | None,
        name: str | None,
        revision: str | None,
        on_open: Callable[[], None],
    ) -> AsyncIterator[WatchLine]:
        """Yield the lines of one watch, until it ends or breaks."""
        await self.connect(CONNECT_TIMEOUT_S)
        request = pb.WatchRequest(
            namespace=namespace or "",
            field_selector="" if name is None else f"metadata.name={name}",
            resume_token=revision or "",
        )
        jobs = resource is JOBS
        call = (self._jobs if jobs else self._machines).Watch(request)
        try:
            await call.initial_metadata()
            on_open()
            async for event in call:
                kind = EVENT_KINDS.get(event.type)
                if kind is not None:
                    yield WatchLine(kind, job_object(event.job) if jobs else machine_object(event.machine))
                elif event.resume_token:  # a bookmark, or a kind of a later version
                    yield WatchLine("BOOKMARK", {"metadata": {"resourceVersion": event.resume_token}})
        except grpc.aio.AioRpcError as error:
            raise self.error(error) from error
        finally:
            call.cancel()

    def bindings(self) -> Any:
        """Return a new call of the Bindings stream."""
        return self._jobs.Bindings()

    def close(self) -> None:
        """Close the connections."""
        if self._closing is None:
            self._closing = asyncio.get_running_loop().create_task(self._channel.close())

    async def closed(self) -> None:
        """Wait until the channel that `close` closes is closed."""
        if self._closing is not None:
            await self._closing


class GrpcClient(RetryingClient):
    """A `PlacerClient` over gRPC; `targets` are HOST:PORT of one placer or of several."""

    def __init__(self, targets: str | Sequence[str], **options: Any) -> None:
        all_targets = [targets] if isinstance(targets, str) else targets
        super().__init__([GrpcTransport(target) for target in all_targets], **options)

    def bindings(self, namespace: str, *, answers_only: bool = False) -> BindingsClient:
        """Return a stream of jobs, and of events about them, to one placer."""
        address = self.retry_policy.addresses.choose(self._now())

        async def delete(namespace: str, name: str) -> None:
            self._remember(namespace, name, address)
            await self.delete_job(namespace, name)

        return BindingsClient(
            self._transports[address], self.retry_policy, namespace, delete, answers_only=answers_only
        )

    async def __aexit__(self, *error: Any) -> None:
        self.close()
        for transport in self._transports:
            assert isinstance(transport, GrpcTransport)
            await transport.closed()
