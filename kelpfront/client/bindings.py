"""A Bindings stream as a client keeps it, over reconnects: jobs go in, events about them come out.

A stream that breaks is opened again after the same backoff as watches. Jobs that have not ended are sent
again with their tokens, by which the placer finds them. Events that were delivered before are not delivered
again.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from types import TracebackType
from typing import Any, NamedTuple, Self

import grpc

from kelpfront.api.errors import ApiError
from kelpfront.api.jobs import JobSpec
from kelpfront.api.meta import job_name_of_token
from kelpfront.client.interface import ServerUnreachableError
from kelpfront.client.retry import RetryPolicy
from kelpfront.rpc.jobs import spec_message
from kelpfront.rpc.limits import MAX_STREAM_JOBS
from kelpfront.v1 import api_pb2 as pb
from kelpfront.v1 import resources_pb2

MAX_CREDITS = 256  # events that the placer may be ahead of the reader
CONNECT_TIMEOUT_S = 5.0


class _EventKey(NamedTuple):
    kind: str | None
    task: int
    attempt: int


@dataclass(slots=True)
class _OpenJob:
    """A job that has not ended."""

    request: pb.BindingsRequest
    task_count: int = 0  # known once it was accepted
    delivered: set[_EventKey] = field(default_factory=set)
    ended_tasks: set[int] = field(default_factory=set)


class BindingsClient:
    """One stream to one placer. Read it with `async for`; it ends when `done` was called and all jobs ended.

    `delete_job` removes a job by namespace and name, with retries. `cuts` counts the streams that broke.
    """

    def __init__(
        self,
        transport: Any,
        retry_policy: RetryPolicy,
        namespace: str,
        delete_job: Callable[[str, str], Awaitable[None]],
        *,
        answers_only: bool,
    ) -> None:
        self._transport = transport
        self._retry_policy = retry_policy
        self._namespace = namespace
        self._delete_job = delete_job
        detail = pb.DETAIL_ANSWERS if answers_only else pb.DETAIL_ALL
        self._open = pb.BindingsRequest(open=pb.BindingsRequest.Open(namespace=namespace, detail=detail))
        self._jobs: dict[str, _OpenJob] = {}
        self._outgoing: asyncio.Queue[pb.BindingsRequest | None] = asyncio.Queue()
        self._done = False
        self._call: Any = None
        self._sending: asyncio.Task[None] | None = None
        self.cuts = 0

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def submit(
        self, ref: str, spec: JobSpec, *, name: str = "", labels: dict[str, str] | None = None
    ) -> None:
        """Submit a job; its events have its `ref`.

        Raises ValueError where `spec` has no client token or the ref is in use, and OverflowError where
        MAX_STREAM_JOBS jobs of the stream have not ended: read events first.
        """
        if spec.client_token is None:
            raise ValueError("a job on a stream needs a client token: the stream may break at any time")
        if ref in self._jobs:
            raise ValueError(f"{ref!r} is on this stream already")
        if len(self._jobs) >= MAX_STREAM_JOBS:
            raise OverflowError(f"{MAX_STREAM_JOBS} jobs are not at their end, which is the most")
        metadata = resources_pb2.ObjectMeta(name=name, labels=labels or {})
        message = spec_message(spec.model_dump(by_alias=True, exclude_none=True))
        submit = pb.BindingsRequest.Submit(ref=ref, metadata=metadata, spec=message)
        request = pb.BindingsRequest(submit=submit)
        self._jobs[ref] = _OpenJob(request)
        self._outgoing.put_nowait(request)

    async def withdraw(self, ref: str) -> None:
        """Remove a job; there are no more events about it.

        It is removed by a call of its own and not by a message of the stream, which might be lost with the
        stream; the job would run on without anybody to follow it.
        """
        job = self._jobs.pop(ref, None)
        if job is None:
            return
        submit = job.request.submit
        name = submit.metadata.name or job_name_of_token(submit.spec.client_token)
        try:
            await self._delete_job(self._namespace, name)
        except ApiError as error:
            if error.code != 404:
                raise

    def done(self) -> None:
        """Say that no more jobs will be submitted."""
        self._done = True
        self._outgoing.put_nowait(None)

    def close(self) -> None:
        """End the stream; jobs that have not ended are left to their placer."""
        if self._sending is not None:
            self._sending.cancel()
        if self._call is not None:
            self._call.cancel()

    async def __aiter__(self) -> AsyncIterator[pb.BindingsResponse]:
        failures = 0
        while True:
            try:
                async for event in self._read_one_stream():
                    failures = 0
                    if self._record(event):
                        yield event
                    if self._is_complete():
                        return
                if self._is_complete():
                    return
                backoff_ms = self._retry_policy.reconnect_backoff_ms(failures)
            except ServerUnreachableError:
                backoff_ms = self._retry_policy.reconnect_backoff_ms(failures)
            except grpc.aio.AioRpcError as broken:
                backoff_ms = self._backoff_ms(failures, self._transport.error(broken))
            if self._is_complete():
                return
            self.cuts += 1
            await asyncio.sleep(backoff_ms / 1000.0)
            failures += 1

    def _is_complete(self) -> bool:
        return self._done and not self._jobs

    def _backoff_ms(self, failures: int, error: Exception) -> float:
        """Return how long to stay away after a stream ended with an error; raise it where that is no use."""
        if not isinstance(error, ApiError):
            return self._retry_policy.reconnect_backoff_ms(failures)
        backoff_ms = self._retry_policy.stream_backoff_ms(failures, error.code, error.retry_after_s)
        if backoff_ms is None:
            raise error
        return backoff_ms

    async def _read_one_stream(self) -> AsyncIterator[pb.BindingsResponse]:
        await self._transport.connect(CONNECT_TIMEOUT_S)
        call = self._call = self._transport.bindings()
        try:
            await call.write(self._open)
            await call.write(pb.BindingsRequest(credits=MAX_CREDITS))
            self._outgoing = asyncio.Queue()
            for job in self._jobs.values():
                self._outgoing.put_nowait(job.request)
            if self._done:
                self._outgoing.put_nowait(None)
            self._sending = asyncio.create_task(self._send(call))
            unacknowledged = 0
            while (event := await call.read()) is not grpc.aio.EOF:
                yield event
                unacknowledged += 1
                if unacknowledged * 2 >= MAX_CREDITS and not call.done():
                    self._outgoing.put_nowait(pb.BindingsRequest(credits=unacknowledged))
                    unacknowledged = 0
        finally:
            if self._sending is not None:
                self._sending.cancel()
            call.cancel()

    async def _send(self, call: Any) -> None:
        """Write outgoing messages. The end of the jobs is not sent, because credits follow it."""
        while True:
            request = await self._outgoing.get()
            if request is None:
                continue
            try:
                await call.write(request)
            except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
                return  # the reader sees how the call ended

    def _record(self, event: pb.BindingsResponse) -> bool:
        """Update the event's job; return whether the event is new to the client."""
        job = self._jobs.get(event.ref)
        if job is None:
            return False
        kind = event.WhichOneof("event")
        body = getattr(event, kind) if kind else None
        key = _EventKey(kind, getattr(body, "index", -1), getattr(body, "attempt", -1))
        if key in job.delivered:
            return False
        job.delivered.add(key)
        if kind == "accepted":
            job.task_count = event.accepted.tasks
        elif kind in ("rejected", "deleted"):
            del self._jobs[event.ref]
            return True
        elif kind in ("refused", "failed", "over"):
            job.ended_tasks.add(key.task)
        if job.task_count and len(job.ended_tasks) >= job.task_count:
            del self._jobs[event.ref]
        return True

    @property
    def open_jobs(self) -> int:
        """How many jobs have not ended."""
        return len(self._jobs)
