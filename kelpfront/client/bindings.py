"""A Bindings stream as a client keeps it: jobs in, what becomes of them out, over cuts.

A stream that breaks is opened anew, spread as watches are, and the jobs that are not at their end are sent
again by their tokens, which find what was made of them. What was told before is not told again.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from types import TracebackType
from typing import Any, Self

import grpc

from kelpfront.api.errors import ApiError
from kelpfront.api.jobs import JobSpec
from kelpfront.api.meta import name_of_token
from kelpfront.client.interface import ServerUnreachableError
from kelpfront.client.retry import Discipline
from kelpfront.rpc.jobs import spec_message
from kelpfront.rpc.limits import MAX_STREAM_JOBS
from kelpfront.v1 import api_pb2 as pb
from kelpfront.v1 import resources_pb2

CREDITS = 256  # events that the placer may be ahead of the reader


@dataclass(slots=True)
class _Job:
    request: pb.BindingsRequest
    tasks: int = 0  # known once it was accepted
    told: set[tuple[str | None, int, int]] = field(default_factory=set)  # events by kind, task and attempt
    over: set[int] = field(default_factory=set)  # tasks at their end


class BindingsClient:
    """One stream to one placer. Read it with `async for`; it ends when `done` was said and all is told."""

    def __init__(
        self,
        transport: Any,
        discipline: Discipline,
        namespace: str,
        answers_only: bool,
        delete_job: Callable[[str, str], Awaitable[None]],
    ) -> None:
        """`delete_job` removes a job by namespace and name, over cuts."""
        self._transport, self._discipline = transport, discipline
        self._namespace, self._delete_job = namespace, delete_job
        detail = pb.DETAIL_ANSWERS if answers_only else pb.DETAIL_ALL
        self._open = pb.BindingsRequest(open=pb.BindingsRequest.Open(namespace=namespace, detail=detail))
        self._jobs: dict[str, _Job] = {}
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
        """Hands a job over; `spec` needs a client token. What becomes of it comes with its ref.

        OverflowError where a thousand jobs of the stream are not at their end: read on first.
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
        self._jobs[ref] = _Job(request)
        self._outgoing.put_nowait(request)

    async def withdraw(self, ref: str) -> None:
        """No longer wanted; nothing more is told of it.

        Removed by a call of its own and not by a message of the stream: that might be lost with the stream,
        and the job would run on unseen.
        """
        job = self._jobs.pop(ref, None)
        if job is None:
            return
        submit = job.request.submit
        name = submit.metadata.name or name_of_token(submit.spec.client_token)
        try:
            await self._delete_job(self._namespace, name)
        except ApiError as error:
            if error.code != 404:
                raise

    def done(self) -> None:
        """No more jobs will come."""
        self._done = True
        self._outgoing.put_nowait(None)

    def close(self) -> None:
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
                    if self._take(event):
                        yield event
                    if self._done and not self._jobs:
                        return
                if self._done and not self._jobs:
                    return
                pause = self._discipline.reconnect_ms(failures)
            except ServerUnreachableError:
                pause = self._discipline.reconnect_ms(failures)
            except grpc.aio.AioRpcError as broken:
                pause = self._pause(failures, self._transport.error(broken))
            if self._done and not self._jobs:
                return
            self.cuts += 1
            await asyncio.sleep(pause / 1000.0)
            failures += 1

    def _pause(self, failures: int, error: Exception) -> float:
        """How long to stay away after the stream ended with an error; raises it where that is no use."""
        if not isinstance(error, ApiError):
            return self._discipline.reconnect_ms(failures)
        pause = self._discipline.stream_pause_ms(failures, error.code, error.retry_after_s)
        if pause is None:
            raise error
        return pause

    async def _read_one_stream(self) -> AsyncIterator[pb.BindingsResponse]:
        await self._transport.connect(5.0)
        call = self._call = self._transport.bindings()
        try:
            await call.write(self._open)
            await call.write(pb.BindingsRequest(credits=CREDITS))
            self._outgoing = asyncio.Queue()
            for job in self._jobs.values():
                self._outgoing.put_nowait(job.request)
            if self._done:
                self._outgoing.put_nowait(None)
            self._sending = asyncio.create_task(self._send(call))
            read = 0
            while (event := await call.read()) is not grpc.aio.EOF:
                yield event
                read += 1
                if read * 2 >= CREDITS and not call.done():
                    self._outgoing.put_nowait(pb.BindingsRequest(credits=read))
                    read = 0
        finally:
            if self._sending is not None:
                self._sending.cancel()
            call.cancel()

    async def _send(self, call: Any) -> None:
        """Writes what is to go out. The end of the jobs is not told to the server: credits still go."""
        while True:
            request = await self._outgoing.get()
            if request is None:
                continue
            try:
                await call.write(request)
            except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
                return  # the reader sees how the call ended

    def _take(self, event: pb.BindingsResponse) -> bool:
        """Keeps the books; whether the event is new to the client."""
        job = self._jobs.get(event.ref)
        if job is None:
            return False
        kind = event.WhichOneof("event")
        body = getattr(event, kind) if kind else None
        mark = kind, getattr(body, "index", -1), getattr(body, "attempt", -1)
        if mark in job.told:
            return False
        job.told.add(mark)
        if kind == "accepted":
            job.tasks = event.accepted.tasks
        elif kind in ("rejected", "deleted"):
            del self._jobs[event.ref]
            return True
        elif kind in ("refused", "failed", "over"):
            job.over.add(mark[1])
        if job.tasks and len(job.over) >= job.tasks:
            del self._jobs[event.ref]
        return True

    @property
    def open_jobs(self) -> int:
        return len(self._jobs)
