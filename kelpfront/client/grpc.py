"""The disciplined client over gRPC.

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
from kelpfront.client.disciplined import DisciplinedClient, Marks
from kelpfront.client.interface import ServerUnreachableError
from kelpfront.rpc.jobs import job_object, spec_message
from kelpfront.rpc.machines import machine_object
from kelpfront.rpc.status import error_of
from kelpfront.v1 import api_pb2 as pb
from kelpfront.v1 import api_pb2_grpc, resources_pb2

CONNECT_S = 5.0
MESSAGE_BYTES = 64 << 20  # of an answer
PAGE = 500
OPTIONS = [
    # Whether a call is made again is for `retry` to say, and when an address is tried again too.
    ("grpc.enable_retries", 0),
    ("grpc.initial_reconnect_backoff_ms", 50),
    ("grpc.min_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    ("grpc.keepalive_time_ms", 30_000),
    ("grpc.keepalive_timeout_ms", 20_000),
    ("grpc.max_receive_message_length", MESSAGE_BYTES),
    ("grpc.use_local_subchannel_pool", 1),
]
EVENT_KINDS = {
    pb.EVENT_TYPE_ADDED: "ADDED",
    pb.EVENT_TYPE_MODIFIED: "MODIFIED",
    pb.EVENT_TYPE_DELETED: "DELETED",
}
# What only the transport ends calls with, and which a further try cannot mend.
FINAL = {
    grpc.StatusCode.RESOURCE_EXHAUSTED: 413,
    grpc.StatusCode.UNIMPLEMENTED: 405,
    grpc.StatusCode.INVALID_ARGUMENT: 400,
}


def metadata_of(marks: Marks) -> tuple[tuple[str, str], ...]:
    found = [("sent-at-ms", f"{marks.sent_at_ms:.3f}"), ("attempt", str(marks.attempt))]
    if marks.previous:
        found.append(("previous", marks.previous))
    return tuple(found)


class GrpcTransport:
    """Single tries at one placer."""

    def __init__(self, target: str) -> None:
        self.address = target
        self._closing: asyncio.Task[None] | None = None
        self._channel = grpc.aio.insecure_channel(target, options=OPTIONS)
        self._jobs: Any = api_pb2_grpc.JobsStub(self._channel)
        self._machines: Any = api_pb2_grpc.MachinesStub(self._channel)

    async def connect(self, within_s: float) -> None:
        """Until the channel is up, or its next try has failed. Before it is up no call can have arrived.

        A channel that failed tries again in its own time, with chance in it. One for each of our tries was
        measured against that and made more retries and a fuller worst 100 ms (docs/measurements.md).
        """
        failed, ready = grpc.ChannelConnectivity.TRANSIENT_FAILURE, grpc.ChannelConnectivity.READY
        state = self._channel.get_state(try_to_connect=True)
        try:
            async with asyncio.timeout(min(CONNECT_S, within_s)):
                tried = False
                while state is not ready:
                    if state is failed and tried:
                        raise ServerUnreachableError(f"{self.address}: cannot be connected to", False)
                    tried = tried or state is grpc.ChannelConnectivity.CONNECTING
                    await self._channel.wait_for_state_change(state)
                    state = self._channel.get_state(try_to_connect=True)
        except TimeoutError:
            raise ServerUnreachableError(f"{self.address}: no connection in time", False) from None

    async def _unary(self, method: Any, request: Any, timeout_s: float, marks: Marks) -> Any:
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_s
        await self.connect(timeout_s)
        try:
            return await method(request, timeout=max(0.001, until - loop.time()), metadata=metadata_of(marks))
        except grpc.aio.AioRpcError as error:
            raise self.error(error) from None

    def error(self, error: grpc.aio.AioRpcError) -> Exception:
        """What a call that ended with an error means: the placer's word, or that there is none."""
        code, text = error.code(), error.details() or ""
        told = error_of(code, text, error.trailing_metadata())
        if told is not None:
            return told
        if code in FINAL:
            return ApiError(FINAL[code], text)
        return ServerUnreachableError(f"{self.address}: {code.name}: {text}", True)

    async def create(self, namespace: str, body: Object, timeout_s: float, marks: Marks) -> Object:
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
        self, resource: Resource, namespace: str, name: str, timeout_s: float, marks: Marks
    ) -> Object:
        request = pb.GetRequest(namespace=namespace, name=name)
        if resource is JOBS:
            return job_object(await self._unary(self._jobs.Get, request, timeout_s, marks))
        return machine_object(await self._unary(self._machines.Get, request, timeout_s, marks))

    async def list_objects(
        self, resource: Resource, namespace: str | None, timeout_s: float, marks: Marks
    ) -> tuple[list[Object], str]:
        items: list[Object] = []
        token = ""
        while True:
            request = pb.ListRequest(namespace=namespace or "", limit=PAGE, continue_token=token)
            if resource is JOBS:
                page = await self._unary(self._jobs.List, request, timeout_s, marks)
                items += [job_object(job) for job in page.jobs]
            else:
                page = await self._unary(self._machines.List, request, timeout_s, marks)
                items += [machine_object(machine) for machine in page.machines]
            token = page.continue_token
            if not token:
                return items, page.resume_token

    async def delete(self, namespace: str, name: str, timeout_s: float, marks: Marks) -> None:
        request = pb.DeleteRequest(namespace=namespace, name=name)
        await self._unary(self._jobs.Delete, request, timeout_s, marks)

    async def set_unschedulable(self, name: str, on: bool, timeout_s: float, marks: Marks) -> Object:
        request = pb.SetUnschedulableRequest(name=name, unschedulable=on)
        return machine_object(await self._unary(self._machines.SetUnschedulable, request, timeout_s, marks))

    async def watch(
        self,
        resource: Resource,
        namespace: str | None,
        name: str | None,
        revision: str | None,
        on_open: Callable[[], None],
    ) -> AsyncIterator[tuple[str, Object]]:
        await self.connect(CONNECT_S)
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
                    yield kind, job_object(event.job) if jobs else machine_object(event.machine)
                elif event.resume_token:  # a bookmark, or a kind of a later version
                    yield "BOOKMARK", {"metadata": {"resourceVersion": event.resume_token}}
        except grpc.aio.AioRpcError as error:
            raise self.error(error) from None
        finally:
            call.cancel()

    def bindings(self) -> Any:
        """A call of the Bindings stream."""
        return self._jobs.Bindings()

    def close(self) -> None:
        if self._closing is None:
            self._closing = asyncio.get_running_loop().create_task(self._channel.close())

    async def closed(self) -> None:
        if self._closing is not None:
            await self._closing


class GrpcClient(DisciplinedClient):
    """See `PlacerClient`; `targets` are HOST:PORT of one placer or of several."""

    def __init__(self, targets: str | Sequence[str], **discipline: Any) -> None:
        its = [targets] if isinstance(targets, str) else targets
        super().__init__([GrpcTransport(target) for target in its], **discipline)

    def bindings(self, namespace: str, *, answers_only: bool = False) -> BindingsClient:
        """A stream of jobs and of what becomes of them, to one placer."""
        address = self.discipline.addresses.choose(self._now())

        async def delete(namespace: str, name: str) -> None:
            self._remember(namespace, name, address)
            await self.delete_job(namespace, name)

        return BindingsClient(self._transports[address], self.discipline, namespace, answers_only, delete)

    async def __aexit__(self, *error: Any) -> None:
        self.close()
        for transport in self._transports:
            assert isinstance(transport, GrpcTransport)
            await transport.closed()
