"""The gRPC client, with retries.

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
MAX_MESSAGE_BYTES = 64 << 20  # of a response
PAGE_OBJECTS = 500  # objects per page of a list
CHANNEL_OPTIONS = [
    # gRPC must not retry calls: `retry` decides whether a call is retried and when an address is tried again.
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
# Codes with which the transport itself ends a call and which a retry cannot change, with their HTTP status.
FINAL_TRANSPORT_CODES = {
    grpc.StatusCode.RESOURCE_EXHAUSTED: 413,
    grpc.StatusCode.UNIMPLEMENTED: 405,
    grpc.StatusCode.INVALID_ARGUMENT: 400,
}


def attempt_metadata(marks: AttemptMarks) -> tuple[tuple[str, str], ...]:
    """Return the gRPC metadata that describes an attempt."""
    metadata = [("sent-at-ms", f"{marks.sent_at_ms:.3f}"), ("attempt", str(marks.attempt))]
    if marks.previous_outcome:
        metadata.append(("previous", marks.previous_outcome))
    return tuple(metadata)


class GrpcTransport:
    """A `transport.Transport` to one placer over gRPC."""

    def __init__(self, target: str) -> None:
        self.address = target
        self._close_task: asyncio.Task[None] | None = None
        self._channel = grpc.aio.insecure_channel(target, options=CHANNEL_OPTIONS)
        self._jobs: Any = api_pb2_grpc.JobsStub(self._channel)
        self._machines: Any = api_pb2_grpc.MachinesStub(self._channel)

    async def connect(self, timeout_s: float) -> None:
        """Wait until the channel is connected or its next connection attempt has failed.

        Raises ServerUnreachableError if it is not connected; no call can have arrived before it is. A failed
        channel reconnects after gRPC's own backoff, which has jitter. Opening a new channel for each attempt
        caused more retries and more load in the busiest 100 ms (docs/measurements.md).
        """
        failed = grpc.ChannelConnectivity.TRANSIENT_FAILURE
        ready = grpc.ChannelConnectivity.READY
        state = self._channel.get_state(try_to_connect=True)
        try:
            async with asyncio.timeout(min(CONNECT_TIMEOUT_S, timeout_s)):
                has_attempted = False
                while state is not ready:
                    if state is failed and has_attempted:
                        raise ServerUnreachableError(
                            f"{self.address}: connection failed", may_have_arrived=False
                        )
                    has_attempted = has_attempted or state is grpc.ChannelConnectivity.CONNECTING
                    await self._channel.wait_for_state_change(state)
                    state = self._channel.get_state(try_to_connect=True)
        except TimeoutError as error:
            raise ServerUnreachableError(
                f"{self.address}: connection timed out", may_have_arrived=False
            ) from error

    async def _unary(self, method: Any, request: Any, timeout_s: float, marks: AttemptMarks) -> Any:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        await self.connect(timeout_s)
        try:
            return await method(
                request, timeout=max(0.001, deadline - loop.time()), metadata=attempt_metadata(marks)
            )
        except grpc.aio.AioRpcError as error:
            raise self.error(error) from error

    def error(self, error: grpc.aio.AioRpcError) -> Exception:
        """Convert a call's error to an ApiError, or to ServerUnreachableError if a retry may succeed."""
        code = error.code()
        text = error.details() or ""
        placer_error = error_from_status(code, text, error.trailing_metadata())
        if placer_error is not None:
            return placer_error
        if code in FINAL_TRANSPORT_CODES:
            return ApiError(FINAL_TRANSPORT_CODES[code], text)
        return ServerUnreachableError(f"{self.address}: {code.name}: {text}", may_have_arrived=True)

    async def create(self, namespace: str, body: Object, timeout_s: float, marks: AttemptMarks) -> Object:
        """Submit a job."""
        job_metadata = body["metadata"]
        metadata = resources_pb2.ObjectMeta(
            name=job_metadata.get("name", ""),
            labels=job_metadata.get("labels") or {},
            annotations=job_metadata.get("annotations") or {},
        )
        request = pb.SubmitRequest(namespace=namespace, metadata=metadata, spec=spec_message(body["spec"]))
        response = await self._unary(self._jobs.Submit, request, timeout_s, marks)
        return job_object(response.job)

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
        """Yield the lines of one watch until it ends or fails."""
        await self.connect(CONNECT_TIMEOUT_S)
        request = pb.WatchRequest(
            namespace=namespace or "",
            field_selector="" if name is None else f"metadata.name={name}",
            resume_token=revision or "",
        )
        is_job_watch = resource is JOBS
        call = (self._jobs if is_job_watch else self._machines).Watch(request)
        try:
            await call.initial_metadata()
            on_open()
            async for event in call:
                kind = EVENT_KINDS.get(event.type)
                if kind is not None:
                    yield WatchLine(
                        kind, job_object(event.job) if is_job_watch else machine_object(event.machine)
                    )
                elif event.resume_token:  # a bookmark, or an event type of a later version
                    yield WatchLine("BOOKMARK", {"metadata": {"resourceVersion": event.resume_token}})
        except grpc.aio.AioRpcError as error:
            raise self.error(error) from error
        finally:
            call.cancel()

    def bindings(self) -> Any:
        """Open a new Bindings stream."""
        return self._jobs.Bindings()

    def close(self) -> None:
        """Close the connections."""
        if self._close_task is None:
            self._close_task = asyncio.get_running_loop().create_task(self._channel.close())

    async def closed(self) -> None:
        """Wait until the channel is closed, if `close` was called."""
        if self._close_task is not None:
            await self._close_task


class GrpcClient(RetryingClient):
    """A `PlacerClient` over gRPC. `targets` is the HOST:PORT of one placer or a sequence of them."""

    def __init__(self, targets: str | Sequence[str], **options: Any) -> None:
        all_targets = [targets] if isinstance(targets, str) else targets
        super().__init__([GrpcTransport(target) for target in all_targets], **options)

    def bindings(self, namespace: str, *, answers_only: bool = False) -> BindingsClient:
        """Return a client of a new Bindings stream to one placer, for submitting jobs and reading events."""
        address = self.retry_policy.addresses.choose(self._now_ms())

        async def delete(namespace: str, name: str) -> None:
            self._remember_address(namespace, name, address)
            await self.delete_job(namespace, name)

        return BindingsClient(
            self._transports[address], self.retry_policy, namespace, delete, answers_only=answers_only
        )

    async def __aexit__(self, *error: Any) -> None:
        self.close()
        for transport in self._transports:
            assert isinstance(transport, GrpcTransport)
            await transport.closed()
