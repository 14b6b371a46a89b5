"""One Bindings stream: submissions in, what becomes of them out, as the client's credits allow."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any, Protocol

import grpc

from kelpfront.api.errors import ApiError
from kelpfront.api.meta import JOBS, Object
from kelpfront.api.selectors import parse_selector
from kelpfront.controller.operations import Operations
from kelpfront.fronts.grpc.session import BindingSession
from kelpfront.http.pacing import RequestPacer
from kelpfront.rpc.status import code_of, trailers
from kelpfront.store import Watch
from kelpfront.v1 import api_pb2 as pb

Context = grpc.aio.ServicerContext

EVENTS_A_TURN = 100  # written before other work has its turn
WRITE_S = 20.0  # for a client that does not read
SENT_AT = "sent-at-ms"


class TakeJob(Protocol):
    """Takes a job or finds it by its token; whether it was made now. ApiError where it is not taken."""

    def __call__(
        self,
        namespace: str,
        request: pb.BindingsRequest.Submit,
        received_at: float,
        sent_at: float | None,
        /,
    ) -> tuple[Object, bool]: ...


class BindingsStream:
    """One Bindings stream: what comes in is read, what is to be told is written as credits allow."""

    def __init__(
        self,
        operations: Operations,
        take_job: TakeJob,
        now: Callable[[], float],
        pacer: RequestPacer,
        changed: Callable[[], None],
        context: Context[Any, Any],
    ) -> None:
        self._operations, self._take_job, self._now = operations, take_job, now
        self._pacer, self._tell_changed, self._context = pacer, changed, context
        self._sent_at = sent_at_of(context)  # of the stream: only its first submission can be as old
        self._wake = asyncio.Event()
        self._session: BindingSession | None = None
        self._namespace = ""
        self._watches: dict[str, Watch] = {}
        self._keys: dict[str, tuple[str, str]] = {}
        self._over = False

    async def run(
        self,
        requests: AsyncIterator[pb.BindingsRequest],
        enter: Callable[[Callable[[], None]], Callable[[], None]],
    ) -> None:
        def stop() -> None:
            self._over = True
            self._wake.set()

        leave: Callable[[], None] | None = None
        reading: asyncio.Task[None] | None = None
        try:
            leave = enter(stop)
            first = await anext(aiter(requests), None)
            self._open(first)
            reading = asyncio.create_task(self._read(requests))
            await self._write(reading)
            await reading
        except ApiError as error:
            await abort(self._context, error)
        except TimeoutError:
            await abort(self._context, ApiError(504, f"the client did not read for {WRITE_S:g} s"))
        finally:
            if leave is not None:
                leave()
            if reading is not None:
                reading.cancel()
            for watch in self._watches.values():
                watch.close()

    def _open(self, first: pb.BindingsRequest | None) -> None:
        if first is None or first.WhichOneof("message") != "open":
            raise ApiError(400, "open: is to be the first message of the stream")
        if first.open.detail not in pb.Detail.values():
            allowed = ", ".join(pb.Detail.keys())
            raise ApiError(400, f"open.detail: {first.open.detail} is not one of {allowed}")
        self._namespace = first.open.namespace
        self._session = BindingSession(first.open.detail == pb.DETAIL_ANSWERS)

    async def _read(self, requests: AsyncIterator[pb.BindingsRequest]) -> None:
        session = self._session
        assert session is not None
        async for request in requests:
            match request.WhichOneof("message"):
                case "credits":
                    session.grant(request.credits)
                case "submit":
                    received_at = self._now()
                    await self._pacer.wait_for_slot()
                    self._submit(session, request.submit, received_at)
                    self._tell_changed()
                case "withdraw":
                    self._withdraw(session, request.withdraw.ref)
                    self._tell_changed()
                case "open":
                    raise ApiError(400, "open: is the first message of the stream only")
                case _:
                    raise ApiError(400, "a message of none of the kinds that this version knows")
            self._wake.set()

    def _submit(
        self, session: BindingSession, request: pb.BindingsRequest.Submit, received_at: float
    ) -> None:
        ref = request.ref
        try:
            session.check_ref(ref)
            if not request.spec.client_token:
                raise ApiError(400, "spec.clientToken: is required on a stream, which may break at any time")
            job, created = self._take_job(self._namespace, request, received_at, self._sent_at)
        except ApiError as error:
            session.rejected(ref, error)
            return
        finally:
            self._sent_at = None
        store = self._operations.store
        key = job["metadata"]["namespace"], job["metadata"]["name"]
        session.submitted(ref, job, created)

        def changed() -> None:
            self._changed(ref)

        selector = parse_selector(JOBS, "", f"metadata.name={key[1]}")
        since = int(job["metadata"]["resourceVersion"])
        try:
            self._watches[ref] = store.watch(JOBS, changed, key[0], selector, since)
        except ApiError as error:  # it was taken: the client finds it by its token
            session.withdrawn(ref)
            session.rejected(ref, error)
        else:
            self._keys[ref] = key

    def _changed(self, ref: str) -> None:
        """The job has changed. The watch only wakes: what is told is how the job is when it can be."""
        watch, session = self._watches.get(ref), self._session
        if watch is None or session is None:
            return
        watch.next_events(len(watch))
        stored = self._operations.store.find(JOBS, self._keys[ref])
        if stored is None:
            session.deleted(ref)
        else:
            session.changed(ref, stored.body)
        self._wake.set()

    def _withdraw(self, session: BindingSession, ref: str) -> None:
        key = self._keys.get(ref)
        self._forget(ref)
        session.withdrawn(ref)
        if key is not None:
            with contextlib.suppress(ApiError):
                self._operations.delete_job(*key)

    def _forget(self, ref: str) -> None:
        self._keys.pop(ref, None)
        watch = self._watches.pop(ref, None)
        if watch is not None:
            watch.close()

    async def _write(self, reading: asyncio.Task[None]) -> None:
        """Until the client has said all and all is told, it leaves, or the server ends."""
        session = self._session
        assert session is not None
        reading.add_done_callback(lambda _: self._wake.set())
        while True:
            self._wake.clear()
            events = session.take(EVENTS_A_TURN)
            for event in events:
                async with asyncio.timeout(WRITE_S):
                    await self._context.write(event)
            if events:
                for ref in self._watches.keys() - session.refs:
                    self._forget(ref)
                continue
            if reading.done() and (reading.exception() is not None or session.told_all):
                return
            if self._over:
                raise ApiError(503, "the placer stops", retry_after_s=1)
            await self._wake.wait()


async def abort(context: Context[Any, Any], error: ApiError) -> None:
    """Ends a call with the status of an error."""
    await context.abort(code_of(error), error.message, trailers(error))


def mark_of(context: Context[Any, Any], name: str) -> str:
    """What the client says of a call in its metadata; empty where it does not."""
    for key, value in context.invocation_metadata() or ():
        if key == name and isinstance(value, str):
            return value
    return ""


def sent_at_of(context: Context[Any, Any]) -> float | None:
    """When the client sent the call, by its own clock."""
    try:
        return float(mark_of(context, SENT_AT))
    except ValueError:
        return None
