"""A client of one or several placers that keeps the discipline of `retry`, over any transport.

A transport makes one try at one address. Everything about further tries is here and in `retry`, once for both
protocols.
"""

from __future__ import annotations

import asyncio
import random
import time
import uuid
from collections import OrderedDict
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from types import TracebackType
from typing import Any, Protocol, Self, TypeVar

from kelpfront.api.errors import ApiError
from kelpfront.api.jobs import Job, JobSpec
from kelpfront.api.machines import Machine
from kelpfront.api.meta import JOBS, MACHINES, Object, Resource, name_of_token
from kelpfront.client.informer import Event, Informer
from kelpfront.client.interface import ServerUnreachableError, UnknownOutcomeError
from kelpfront.client.retry import Budget, Call, Discipline, GiveUp, Try, told, untold

T = TypeVar("T")

DEADLINE_S = 30.0  # of calls whose caller names none and whose job has no patience
OWNERS_MOST = 100_000  # jobs of which it is remembered which placer has them


class Transport(Protocol):
    """One protocol to one address. ApiError is the placer's word, ServerUnreachableError that there is none.

    `marks` are to go with the request.
    """

    address: str

    async def create(self, namespace: str, body: Object, timeout_s: float, marks: Marks) -> Object: ...

    async def read(
        self, resource: Resource, namespace: str, name: str, timeout_s: float, marks: Marks
    ) -> Object: ...

    async def list_objects(
        self, resource: Resource, namespace: str | None, timeout_s: float, marks: Marks
    ) -> tuple[list[Object], str]: ...

    async def delete(self, namespace: str, name: str, timeout_s: float, marks: Marks) -> None: ...

    async def set_unschedulable(self, name: str, on: bool, timeout_s: float, marks: Marks) -> Object: ...

    def watch(
        self,
        resource: Resource,
        namespace: str | None,
        name: str | None,
        revision: str | None,
        on_open: Callable[[], None],
    ) -> AsyncIterator[tuple[str, Object]]:
        """Events as they come, of a BOOKMARK the revision alone; `on_open` once the stream is up."""

    def close(self) -> None: ...


class Marks(Protocol):
    """What tells a placer which try this is."""

    attempt: int
    previous: str
    sent_at_ms: float


class _Marks:
    __slots__ = ("attempt", "previous", "sent_at_ms")

    def __init__(self, attempt: int, previous: str) -> None:
        self.attempt, self.previous = attempt, previous
        self.sent_at_ms = time.time() * 1000.0


class DisciplinedClient:
    """See `PlacerClient`. `clock` is in seconds and does not step."""

    def __init__(
        self,
        transports: Sequence[Transport],
        *,
        seed: int | None = None,
        budget: Budget | None = None,
        spread_s: float = 5.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._transports = list(transports)
        rng = random.Random(seed)
        self.discipline = Discipline(len(self._transports), rng, budget, spread_s * 1000.0)
        self._clock = clock
        self._owners: OrderedDict[tuple[str, str], int] = OrderedDict()
        self.reconnects: list[float] = []  # when streams were up again, by the clock; the latest thousand

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def close(self) -> None:
        for transport in self._transports:
            transport.close()

    def _now(self) -> float:
        return self._clock() * 1000.0

    # ---- One call over its tries ----------------------------------------------------------------------

    async def _run(
        self,
        call: Call,
        make: Callable[[Transport, float, Marks], Awaitable[T]],
        look: Callable[[Transport, float, Marks], Awaitable[T | None]] | None = None,
    ) -> T:
        """Makes a call as the discipline says. `look` finds what an earlier try may have made."""
        discipline = self.discipline
        step = discipline.first(self._now(), call)
        last: Exception | None = None
        while True:
            if isinstance(step, GiveUp):
                raise self._failure(step, call, last)
            await asyncio.sleep(max(0.0, step.at - self._now()) / 1000.0)
            left_s = (call.deadline - self._now()) / 1000.0
            if left_s <= 0:  # the loop was late
                raise self._failure(GiveUp("its deadline is over", call.unknown), call, last)
            transport = self._transports[step.address]
            marks = _Marks(step.attempt, step.previous)
            try:
                async with asyncio.timeout(left_s):
                    result = await self._one_try(step, call, transport, left_s, marks, make, look)
            except ApiError as error:
                last, outcome = error, told(error.code, error.retry_after_s)
            except ServerUnreachableError as error:
                last, outcome = error, untold(error.may_have_arrived)
            except TimeoutError:
                last = ServerUnreachableError(f"{transport.address}: no answer in time", True)
                outcome = untold(True)
            else:
                discipline.worked(call)
                return result
            step = discipline.after(self._now(), call, outcome)

    async def _one_try(
        self,
        step: Try,
        call: Call,
        transport: Transport,
        left_s: float,
        marks: Marks,
        make: Callable[[Transport, float, Marks], Awaitable[T]],
        look: Callable[[Transport, float, Marks], Awaitable[T | None]] | None,
    ) -> T:
        if step.look_first and look is not None:
            found = await look(transport, left_s, marks)
            if found is not None:
                return found
            left_s = max(0.001, (call.deadline - self._now()) / 1000.0)
        return await make(transport, left_s, marks)

    def _failure(self, step: GiveUp, call: Call, last: Exception | None) -> Exception:
        if step.unknown:
            address = self._transports[call.address or 0].address
            return UnknownOutcomeError(f"{address}: {step.why}; it may have been taken ({last})", address)
        if last is not None:
            return last
        return ServerUnreachableError(step.why, False)

    def _call(self, deadline_s: float | None, *, repeatable: bool, address: int | None = None) -> Call:
        deadline = self._now() + (DEADLINE_S if deadline_s is None else deadline_s) * 1000.0
        return Call(deadline, repeatable, address, pinned=address is not None)

    # ---- Jobs -----------------------------------------------------------------------------------------

    async def submit(
        self,
        namespace: str,
        spec: JobSpec,
        *,
        name: str | None = None,
        labels: dict[str, str] | None = None,
        annotations: dict[str, str] | None = None,
        deadline_s: float | None = None,
    ) -> Job:
        data = spec.model_dump(by_alias=True, exclude_none=True)
        # Without a token a second try would be a second job.
        token = data.setdefault("clientToken", str(uuid.uuid4()))
        metadata: Object = {"name": name} if name else {}
        if labels:
            metadata["labels"] = labels
        if annotations:
            metadata["annotations"] = annotations
        patience_ms = spec.patience_ms
        if deadline_s is None and patience_ms is not None:
            deadline_s = patience_ms / 1000.0
        call = self._call(deadline_s, repeatable=False)
        bounded = deadline_s is not None

        async def make(transport: Transport, left_s: float, marks: Marks) -> Job:
            sent = data
            if bounded:
                left_ms = left_s * 1000.0 if patience_ms is None else min(patience_ms, left_s * 1000.0)
                sent = data | {"patience": f"{max(10.0, left_ms):.3f}ms"}
            body = {"metadata": metadata, "spec": sent}
            return Job.model_validate(await transport.create(namespace, body, left_s, marks))

        async def look(transport: Transport, left_s: float, marks: Marks) -> Job | None:
            try:
                found = await transport.read(JOBS, namespace, name or name_of_token(token), left_s, marks)
            except ApiError as error:
                if error.code == 404:
                    return None
                raise
            return Job.model_validate(found) if found["spec"].get("clientToken") == token else None

        job = await self._run(call, make, look)
        assert call.address is not None
        self._remember(namespace, job.metadata.name or "", call.address)
        return job

    def _remember(self, namespace: str, name: str, address: int) -> None:
        self._owners[namespace, name] = address
        self._owners.move_to_end((namespace, name))
        while len(self._owners) > OWNERS_MOST:
            self._owners.popitem(last=False)

    async def _owner(self, namespace: str, name: str) -> int:
        """The placer that has a job; asked of all where it is not remembered."""
        known = self._owners.get((namespace, name))
        if known is not None or len(self._transports) == 1:
            return known or 0
        missing: Exception | None = None
        for address in range(len(self._transports)):
            try:
                await self._run(
                    self._call(None, repeatable=True, address=address),
                    lambda transport, left, marks: transport.read(JOBS, namespace, name, left, marks),
                )
            except (ApiError, ServerUnreachableError) as error:
                if isinstance(error, ApiError) and error.code != 404:
                    raise
                missing = missing if isinstance(missing, ServerUnreachableError) else error
            else:
                self._remember(namespace, name, address)
                return address
        assert missing is not None
        raise missing

    async def get_job(self, namespace: str, name: str) -> Job:
        address = await self._owner(namespace, name)
        found = await self._run(
            self._call(None, repeatable=True, address=address),
            lambda transport, left, marks: transport.read(JOBS, namespace, name, left, marks),
        )
        return Job.model_validate(found)

    async def list_jobs(self, namespace: str | None = None) -> list[Job]:
        jobs = []
        for address in range(len(self._transports)):
            found, _ = await self._run(
                self._call(None, repeatable=True, address=address),
                lambda transport, left, marks: transport.list_objects(JOBS, namespace, left, marks),
            )
            jobs += [Job.model_validate(item) for item in found]
        return jobs

    async def delete_job(self, namespace: str, name: str) -> None:
        address = await self._owner(namespace, name)
        call = self._call(None, repeatable=True, address=address)
        try:
            await self._run(
                call, lambda transport, left, marks: transport.delete(namespace, name, left, marks)
            )
        except ApiError as error:
            if error.code != 404 or call.attempt == 0:
                raise  # a try before may have done it
        self._owners.pop((namespace, name), None)

    async def follow(self, job: Job) -> AsyncIterator[Job]:
        namespace, name = job.metadata.namespace or "", job.metadata.name or ""
        address = await self._owner(namespace, name)
        async for event in self._watch(address, JOBS, namespace, name):
            if event.kind == "DELETED":
                raise ApiError(404, f'job "{name}" was deleted', resource=JOBS, name=name)
            yield Job.model_validate(event.object)

    async def wait_answers(self, job: Job, *, timeout_s: float | None = None) -> Job:
        async with asyncio.timeout(timeout_s):
            async for state in self.follow(job):
                if state.status is not None and state.status.answered == len(state.status.tasks):
                    return state
        raise AssertionError("a watch does not end by itself")

    async def watch_jobs(self, namespace: str | None = None) -> AsyncIterator[Event]:
        address = self.discipline.addresses.choose(self._now())
        async for event in self._watch(address, JOBS, namespace, None):
            yield event

    # ---- Machines -------------------------------------------------------------------------------------

    async def list_machines(self) -> list[Machine]:
        found, _ = await self._run(
            self._call(None, repeatable=True),
            lambda transport, left, marks: transport.list_objects(MACHINES, None, left, marks),
        )
        return [Machine.model_validate(item) for item in found]

    async def set_unschedulable(self, machine: str, on: bool) -> Machine:
        async def at(address: int) -> Object:
            return await self._run(
                self._call(None, repeatable=True, address=address),
                lambda transport, left, marks: transport.set_unschedulable(machine, on, left, marks),
            )

        answers = await asyncio.gather(
            *(at(address) for address in range(len(self._transports))), return_exceptions=True
        )
        told = [answer for answer in answers if not isinstance(answer, BaseException)]
        failures = [answer for answer in answers if isinstance(answer, BaseException)]
        if failures:  # a drain that one placer has not heard of is not kept by it
            raise failures[0]
        return Machine.model_validate(told[0])

    # ---- Watches --------------------------------------------------------------------------------------

    async def _watch(
        self, address: int, resource: Resource, namespace: str | None, name: str | None
    ) -> AsyncIterator[Event]:
        """What is there, then every change, over cuts. Those that were cut together come back spread out."""
        transport, discipline = self._transports[address], self.discipline
        informer = Informer()
        failures, cut = 0, False

        def opened() -> None:
            nonlocal failures, cut
            if cut:
                self.reconnects = [*self.reconnects[-999:], self._clock()]
            failures, cut = 0, False

        while True:
            try:
                if informer.revision is None:
                    async for event in self._listed(transport, informer, resource, namespace, name):
                        yield event
                revision = informer.revision
                async for kind, obj in transport.watch(resource, namespace, name, revision, opened):
                    event_ = informer.line({"type": kind, "object": obj})
                    if event_ is not None:
                        yield event_
                continue  # the server ended it, as it does after a while
            except ApiError as error:
                if error.code == 410:
                    informer.revision = None
                    continue
                pause = discipline.stream_pause_ms(failures, error.code, error.retry_after_s)
                if pause is None:
                    raise
            except (ServerUnreachableError, TimeoutError):
                pause = discipline.reconnect_ms(failures)
            failures, cut = failures + 1, True
            await asyncio.sleep(pause / 1000.0)

    async def _listed(
        self,
        transport: Transport,
        informer: Informer,
        resource: Resource,
        namespace: str | None,
        name: str | None,
    ) -> AsyncIterator[Event]:
        marks: Any = _Marks(0, "")
        if name is None:
            items, revision = await transport.list_objects(resource, namespace, DEADLINE_S, marks)
        else:
            try:
                one = await transport.read(resource, namespace or "", name, DEADLINE_S, marks)
            except ApiError as error:
                if error.code != 404 or not informer.known:
                    raise
                items, revision = [], "0"
            else:
                items, revision = [one], one["metadata"]["resourceVersion"]
        for event in informer.listed(items, revision):
            yield event
