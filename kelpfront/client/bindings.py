"""The client side of a Bindings stream, which submits jobs and receives their events.

A broken stream is reopened after the same backoff as a watch. Jobs that have not ended are then sent again;
the placer recognizes them by their client tokens. Each event is delivered to the caller only once.
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

MAX_CREDITS = 256  # events that the placer may send before the reader grants more credits
CONNECT_TIMEOUT_S = 5.0


class _EventKey(NamedTuple):
    kind: str | None
    task: int
    attempt: int


@dataclass(slots=True)
class _OpenJob:
    """A job that has not ended."""

    request: pb.BindingsRequest
    task_count: int = 0  # 0 until the job is accepted
    delivered: set[_EventKey] = field(default_factory=set)
    ended_tasks: set[int] = field(default_factory=set)


class BindingsClient:
    """A stream to one placer, read with `async for`; it ends once `done` was called and all jobs have ended.

    `delete_job` deletes a job by namespace and name, with retries. `cuts` counts the broken streams.
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
        self._open_request = pb.BindingsRequest(
            open=pb.BindingsRequest.Open(namespace=namespace, detail=detail)
        )
        self._jobs: dict[str, _OpenJob] = {}
        self._outgoing: asyncio.Queue[pb.BindingsRequest | None] = asyncio.Queue()
        self._done = False
        self._call: Any = None
        self._send_task: asyncio.Task[None] | None = None
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
        """Submit a job; its events carry `ref`.

        Raises ValueError if `spec` has no client token or `ref` is in use, and OverflowError if the stream
        already has MAX_STREAM_JOBS jobs that have not ended; read events before submitting more.
        """
        if spec.client_token is None:
            raise ValueError("a job on a stream needs a client token: the stream may break at any time")
        if ref in self._jobs:
            raise ValueError(f"ref {ref!r} is already in use on this stream")
        if len(self._jobs) >= MAX_STREAM_JOBS:
            raise OverflowError(f"the stream already has {MAX_STREAM_JOBS} open jobs, which is the maximum")
        metadata = resources_pb2.ObjectMeta(name=name, labels=labels or {})
        message = spec_message(spec.model_dump(by_alias=True, exclude_none=True))
        submit = pb.BindingsRequest.Submit(ref=ref, metadata=metadata, spec=message)
        request = pb.BindingsRequest(submit=submit)
        self._jobs[ref] = _OpenJob(request)
        self._outgoing.put_nowait(request)

    async def withdraw(self, ref: str) -> None:
        """Delete a job; no more of its events are delivered.

        This uses a separate call rather than a message on the stream. If the stream broke, such a message
        could be lost, and the job would keep running with no client following it.
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
        """Declare that no more jobs will be submitted."""
        self._done = True
        self._outgoing.put_nowait(None)

    def close(self) -> None:
        """Close the stream. Jobs that have not ended stay with their placer."""
        if self._send_task is not None:
            self._send_task.cancel()
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
            except grpc.aio.AioRpcError as error:
                backoff_ms = self._backoff_ms(failures, self._transport.error(error))
            if self._is_complete():
                return
            self.cuts += 1
            await asyncio.sleep(backoff_ms / 1000.0)
            failures += 1

    def _is_complete(self) -> bool:
        return self._done and not self._jobs

    def _backoff_ms(self, failures: int, error: Exception) -> float:
        """Return the delay before reopening a stream that failed; raise `error` if reopening cannot help."""
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
            await call.write(self._open_request)
            await call.write(pb.BindingsRequest(credits=MAX_CREDITS))
            self._outgoing = asyncio.Queue()
            for job in self._jobs.values():
                self._outgoing.put_nowait(job.request)
            if self._done:
                self._outgoing.put_nowait(None)
            self._send_task = asyncio.create_task(self._send(call))
            consumed_credits = 0
            while (event := await call.read()) is not grpc.aio.EOF:
                yield event
                consumed_credits += 1
                if consumed_credits * 2 >= MAX_CREDITS and not call.done():
                    self._outgoing.put_nowait(pb.BindingsRequest(credits=consumed_credits))
                    consumed_credits = 0
        finally:
            if self._send_task is not None:
                self._send_task.cancel()
            call.cancel()

    async def _send(self, call: Any) -> None:
        """Write outgoing messages. The sending side stays open after the last job, to grant more credits."""
        while True:
            request = await self._outgoing.get()
            if request is None:
                continue
            try:
                await call.write(request)
            except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
                return  # the reading side handles the error that ended the call

    def _record(self, event: pb.BindingsResponse) -> bool:
        """Update the job of an event; return whether the event has not been delivered before."""
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
        """The number of jobs that have not ended."""
        return len(self._jobs)
