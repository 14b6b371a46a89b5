"""The I/O of one Bindings stream: reads submissions, and writes events of their jobs as credits allow.

The stream's `BindingSession` decides which events are sent next.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

from kelpfront.api.errors import ApiError
from kelpfront.api.meta import JOBS, Object
from kelpfront.api.selectors import parse_selector
from kelpfront.controller.operations import RequestOrigin
from kelpfront.fronts.grpc.binding_session import BindingSession
from kelpfront.fronts.grpc.call_metadata import Context, abort, read_sent_at
from kelpfront.fronts.grpc.job_submission import submit_job
from kelpfront.fronts.grpc.service_context import ServiceContext
from kelpfront.fronts.open_streams import StreamSignal
from kelpfront.store import Watch
from kelpfront.v1 import api_pb2 as pb

MAX_EVENTS_PER_BATCH = 100
"""Events written before the watches of finished jobs are closed."""
WRITE_TIMEOUT_S = 20.0
"""Maximum time for writing one event; a client that does not read exceeds it."""
RETRY_AFTER_S = 1
"""Short, because other placers still serve when this one stops."""

JobKey = tuple[str, str]


class BindingsStream:
    """One Bindings stream, which reads requests and writes events concurrently."""

    def __init__(self, service: ServiceContext, context: Context[Any, Any]) -> None:
        self._service = service
        self._operations = service.operations
        self._context = context
        self._sent_at = read_sent_at(context)  # of the stream; valid for its first submission only
        self._signal = StreamSignal()
        self._namespace = ""
        self._watches: dict[str, Watch] = {}
        self._job_keys: dict[str, JobKey] = {}

    async def run(self, requests: AsyncIterator[pb.BindingsRequest]) -> None:
        """Serve the stream until all events were sent, the stream fails, or the server stops."""
        async with contextlib.AsyncExitStack() as cleanup:
            cleanup.callback(self._close_watches)
            try:
                cleanup.enter_context(self._service.streams.open(self._signal.stop))
                session = self._open_session(await anext(aiter(requests), None))
                read_task = asyncio.create_task(self._read(session, requests))
                cleanup.push_async_callback(_cancel, read_task)
                await self._write(session, read_task)
                await read_task
            except ApiError as error:
                await abort(self._context, error)
            except TimeoutError:
                message = f"the client did not read for {WRITE_TIMEOUT_S:g} s"
                await abort(self._context, ApiError(504, message))

    def _open_session(self, first_request: pb.BindingsRequest | None) -> BindingSession:
        if first_request is None or first_request.WhichOneof("message") != "open":
            raise ApiError(400, "open: is to be the first message of the stream")
        if first_request.open.detail not in pb.Detail.values():
            allowed = ", ".join(pb.Detail.keys())
            raise ApiError(400, f"open.detail: {first_request.open.detail} is not one of {allowed}")
        self._namespace = first_request.open.namespace
        return BindingSession(answers_only=first_request.open.detail == pb.DETAIL_ANSWERS)

    def _close_watches(self) -> None:
        for watch in self._watches.values():
            watch.close()

    # ---- Requests from the client -------------------------------------------------------------------------

    async def _read(self, session: BindingSession, requests: AsyncIterator[pb.BindingsRequest]) -> None:
        async for request in requests:
            match request.WhichOneof("message"):
                case "credits":
                    session.grant_credits(request.credits)
                case "submit":
                    received_at = self._service.now()
                    await self._service.pacer.wait_for_slot()
                    self._submit(session, request.submit, received_at)
                    self._service.notify_changed()
                case "withdraw":
                    self._withdraw(session, request.withdraw.ref)
                    self._service.notify_changed()
                case "open":
                    raise ApiError(400, "open: is the first message of the stream only")
                case _:
                    raise ApiError(400, "a message of none of the kinds that this version knows")
            self._signal.changed.set()

    def _submit(
        self, session: BindingSession, request: pb.BindingsRequest.Submit, received_at: float
    ) -> None:
        origin = RequestOrigin(received_at, self._sent_at)
        self._sent_at = None
        try:
            session.check_ref(request.ref)
            _check_client_token(request)
            submitted = submit_job(self._operations, self._namespace, request, origin)
        except ApiError as error:
            session.record_rejection(request.ref, error)
            return
        session.record_submission(request.ref, submitted.job, created=submitted.created)
        self._watch_job(session, request.ref, submitted.job)

    def _watch_job(self, session: BindingSession, ref: str, job: Object) -> None:
        namespace: str = job["metadata"]["namespace"]
        name: str = job["metadata"]["name"]
        selector = parse_selector(JOBS, "", f"metadata.name={name}")
        since = int(job["metadata"]["resourceVersion"])

        def on_change() -> None:
            self._on_job_changed(session, ref)

        try:
            watch = self._operations.store.watch(JOBS, on_change, namespace, selector, since)
        except ApiError as error:  # the job exists; the client can find it by its client token
            session.forget(ref)
            session.record_rejection(ref, error)
        else:
            self._watches[ref] = watch
            self._job_keys[ref] = namespace, name

    def _on_job_changed(self, session: BindingSession, ref: str) -> None:
        """Record the current state of a job. The watch only signals a change, so its events are discarded."""
        watch = self._watches.get(ref)
        if watch is None:
            return
        watch.next_events(len(watch))
        stored = self._operations.store.find(JOBS, self._job_keys[ref])
        if stored is None:
            session.record_deletion(ref)
        else:
            session.record_change(ref, stored.body)
        self._signal.changed.set()

    def _withdraw(self, session: BindingSession, ref: str) -> None:
        job_key = self._job_keys.get(ref)
        self._unwatch(ref)
        session.forget(ref)
        if job_key is not None:
            with contextlib.suppress(ApiError):
                self._operations.delete_job(*job_key)

    def _unwatch(self, ref: str) -> None:
        self._job_keys.pop(ref, None)
        watch = self._watches.pop(ref, None)
        if watch is not None:
            watch.close()

    # ---- Events to the client -----------------------------------------------------------------------------

    async def _write(self, session: BindingSession, read_task: asyncio.Task[None]) -> None:
        """Write events until the client has sent its last request and received all events.

        Returns early if reading failed.

        Raises:
            ApiError: 503 if the server stops.
            TimeoutError: if the client does not read.
        """
        read_task.add_done_callback(lambda _: self._signal.changed.set())
        while True:
            self._signal.changed.clear()
            events = session.next_events(MAX_EVENTS_PER_BATCH)
            for event in events:
                async with asyncio.timeout(WRITE_TIMEOUT_S):
                    await self._context.write(event)
            if events:
                for ref in self._watches.keys() - session.active_refs:
                    self._unwatch(ref)
                continue
            if read_task.done() and (read_task.exception() is not None or session.is_drained):
                return
            if self._signal.is_stopping:
                raise ApiError(503, "the placer stops", retry_after_s=RETRY_AFTER_S)
            await self._signal.changed.wait()


def _check_client_token(request: pb.BindingsRequest.Submit) -> None:
    if not request.spec.client_token:
        raise ApiError(400, "spec.clientToken: is required on a stream, which may break at any time")


async def _cancel(task: asyncio.Task[None]) -> None:
    """Cancel a task and wait for its end. Its exception is raised where the task is awaited, not here."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
