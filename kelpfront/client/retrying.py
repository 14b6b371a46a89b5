"""A client of one or several placers that retries calls by the policy in `retry`, over any transport.

A transport makes a single attempt at one address. This module and `retry` contain the retries for both
protocols.
"""

from __future__ import annotations

import asyncio
import random
import time
import uuid
from collections import OrderedDict
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from dataclasses import dataclass
from types import TracebackType
from typing import Generic, Self, TypeVar

from kelpfront.api.errors import ApiError
from kelpfront.api.jobs import Job, JobSpec
from kelpfront.api.machines import Machine
from kelpfront.api.meta import JOBS, MACHINES, Object, Resource, job_name_of_token
from kelpfront.client.events import all_answered, job_after_event, job_metadata
from kelpfront.client.informer import Event, Informer, ObjectList
from kelpfront.client.interface import ServerUnreachableError, UnknownOutcomeError
from kelpfront.client.retry import (
    Attempt,
    Call,
    GiveUp,
    Outcome,
    RetryBudget,
    RetryPolicy,
    outcome_of_error,
    outcome_without_response,
)
from kelpfront.client.transport import AttemptMarks, Transport

T = TypeVar("T")

DEFAULT_DEADLINE_S = 30.0  # of calls without a deadline and without a job that has a patience
MAX_REMEMBERED_JOBS = 100_000  # jobs whose placer is remembered
MAX_RECORDED_RECONNECTS = 1_000
MIN_PATIENCE_MS = 10.0  # the minimum that the API accepts
MIN_REQUEST_TIMEOUT_S = 0.001  # if checking for an earlier attempt took the rest of the deadline


Request = Callable[[Transport, float, AttemptMarks], Awaitable[T]]
"""Makes one attempt: takes the transport, the timeout in seconds and the marks of the attempt."""


@dataclass(frozen=True, slots=True)
class _Operation(Generic[T]):
    """A request, and a lookup of the object that an earlier attempt may have created."""

    request: Request[T]
    find_earlier: Request[T | None] | None = None


class RetryingClient:
    """A `PlacerClient` over transports. `clock` is a monotonic clock in seconds.

    After a restart of a placer, its clients reconnect at random times within `spread_s`. `reconnects` has the
    most recent times, by `clock`, at which streams were reconnected.
    """

    def __init__(
        self,
        transports: Sequence[Transport],
        *,
        seed: int | None = None,
        budget: RetryBudget | None = None,
        spread_s: float = 5.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._transports = list(transports)
        rng = random.Random(seed)
        self.retry_policy = RetryPolicy(len(self._transports), rng, budget, spread_s * 1000.0)
        self._clock = clock
        self._address_of_job: OrderedDict[tuple[str, str], int] = OrderedDict()
        self.reconnects: list[float] = []

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def close(self) -> None:
        """Close all connections."""
        for transport in self._transports:
            transport.close()

    def _now_ms(self) -> float:
        return self._clock() * 1000.0

    # ---- The attempts of a call -----------------------------------------------------------------------

    async def _run(self, call: Call, operation: _Operation[T]) -> T:
        """Run a call with as many attempts as the policy allows."""
        policy = self.retry_policy
        decision = policy.first_attempt(self._now_ms(), call)
        last_error: Exception | None = None
        while True:
            if isinstance(decision, GiveUp):
                raise self._failure(decision, call, last_error)
            await asyncio.sleep(max(0.0, decision.start_ms - self._now_ms()) / 1000.0)
            remaining_s = (call.deadline - self._now_ms()) / 1000.0
            if remaining_s <= 0:  # the event loop resumed this task late
                give_up = GiveUp("the deadline has expired", call.outcome_unknown)
                raise self._failure(give_up, call, last_error)
            transport = self._transports[decision.address]
            try:
                async with asyncio.timeout(remaining_s):
                    result = await self._attempt(decision, call, transport, remaining_s, operation)
            except (ApiError, ServerUnreachableError) as error:
                last_error = error
                outcome = _outcome_of(error)
            except TimeoutError:
                last_error = ServerUnreachableError(
                    f"{transport.address}: no response before the deadline", may_have_arrived=True
                )
                outcome = outcome_without_response(may_have_arrived=True)
            else:
                policy.record_success(call)
                return result
            decision = policy.next_attempt(self._now_ms(), call, outcome)

    async def _attempt(
        self, attempt: Attempt, call: Call, transport: Transport, remaining_s: float, operation: _Operation[T]
    ) -> T:
        marks = AttemptMarks(attempt.number, attempt.previous_outcome)
        if attempt.check_first and operation.find_earlier is not None:
            found = await operation.find_earlier(transport, remaining_s, marks)
            if found is not None:
                return found
            remaining_s = max(MIN_REQUEST_TIMEOUT_S, (call.deadline - self._now_ms()) / 1000.0)
        return await operation.request(transport, remaining_s, marks)

    def _failure(self, decision: GiveUp, call: Call, last_error: Exception | None) -> Exception:
        if decision.outcome_unknown:
            address = self._transports[call.address or 0].address
            message = f"{address}: {decision.reason}; the job may have been accepted ({last_error})"
            return UnknownOutcomeError(message, address)
        if last_error is not None:
            return last_error
        return ServerUnreachableError(decision.reason, may_have_arrived=False)

    def _new_call(self, deadline_s: float | None, *, idempotent: bool, address: int | None = None) -> Call:
        timeout_s = DEFAULT_DEADLINE_S if deadline_s is None else deadline_s
        return Call(self._now_ms() + timeout_s * 1000.0, idempotent, address, pinned=address is not None)

    async def _run_at_address(self, address: int, request: Request[T]) -> T:
        """Run an idempotent call at one placer, with the default deadline."""
        return await self._run(self._new_call(None, idempotent=True, address=address), _Operation(request))

    # ---- Jobs -----------------------------------------------------------------------------------------

    async def submit(  # noqa: PLR0913 - fields of a job, all but two by keyword
        self,
        namespace: str,
        spec: JobSpec,
        *,
        name: str | None = None,
        labels: dict[str, str] | None = None,
        annotations: dict[str, str] | None = None,
        deadline_s: float | None = None,
    ) -> Job:
        """Submit a job, as `PlacerClient.submit` does."""
        spec_data = spec.model_dump(by_alias=True, exclude_none=True)
        # Without a client token, a second attempt would create a second job.
        token = spec_data.setdefault("clientToken", str(uuid.uuid4()))
        metadata = job_metadata(name, labels, annotations)
        patience_ms = spec.patience_ms
        if deadline_s is None and patience_ms is not None:
            deadline_s = patience_ms / 1000.0
        has_deadline = deadline_s is not None

        async def request(transport: Transport, remaining_s: float, marks: AttemptMarks) -> Job:
            sent_spec = spec_data
            if has_deadline:
                sent_spec = spec_data | {"patience": _remaining_patience(patience_ms, remaining_s)}
            body = {"metadata": metadata, "spec": sent_spec}
            return Job.model_validate(await transport.create(namespace, body, remaining_s, marks))

        async def find_earlier(transport: Transport, remaining_s: float, marks: AttemptMarks) -> Job | None:
            job_name = name or job_name_of_token(token)
            try:
                found = await transport.read(JOBS, namespace, job_name, remaining_s, marks)
            except ApiError as error:
                if error.code == 404:
                    return None
                raise
            return Job.model_validate(found) if found["spec"].get("clientToken") == token else None

        call = self._new_call(deadline_s, idempotent=False)
        job = await self._run(call, _Operation(request, find_earlier))
        assert call.address is not None
        self._remember_address(namespace, job.metadata.name or "", call.address)
        return job

    def _remember_address(self, namespace: str, name: str, address: int) -> None:
        self._address_of_job[namespace, name] = address
        self._address_of_job.move_to_end((namespace, name))
        while len(self._address_of_job) > MAX_REMEMBERED_JOBS:
            self._address_of_job.popitem(last=False)

    async def _find_address(self, namespace: str, name: str) -> int:
        """Return the address of the placer that has a job; query all placers if it is not remembered."""
        remembered = self._address_of_job.get((namespace, name))
        if remembered is not None or len(self._transports) == 1:
            return remembered or 0
        missing: Exception | None = None
        for address in range(len(self._transports)):
            try:
                await self._run_at_address(
                    address,
                    lambda transport, timeout_s, marks: transport.read(
                        JOBS, namespace, name, timeout_s, marks
                    ),
                )
            except (ApiError, ServerUnreachableError) as error:
                if isinstance(error, ApiError) and error.code != 404:
                    raise
                # An unreachable placer may have the job, so its error takes precedence over a 404.
                missing = missing if isinstance(missing, ServerUnreachableError) else error
            else:
                self._remember_address(namespace, name, address)
                return address
        assert missing is not None
        raise missing

    async def get_job(self, namespace: str, name: str) -> Job:
        """Return a job. Raises ApiError 404 if all placers respond and none has it."""
        address = await self._find_address(namespace, name)
        found = await self._run_at_address(
            address,
            lambda transport, timeout_s, marks: transport.read(JOBS, namespace, name, timeout_s, marks),
        )
        return Job.model_validate(found)

    async def list_jobs(self, namespace: str | None = None) -> list[Job]:
        """Return the jobs of a namespace, or of all namespaces, from all placers."""
        jobs = []
        for address in range(len(self._transports)):
            found = await self._run_at_address(
                address,
                lambda transport, timeout_s, marks: transport.list_objects(JOBS, namespace, timeout_s, marks),
            )
            jobs += [Job.model_validate(item) for item in found.items]
        return jobs

    async def delete_job(self, namespace: str, name: str) -> None:
        """Delete a job and withdraw its tasks."""
        address = await self._find_address(namespace, name)
        call = self._new_call(None, idempotent=True, address=address)
        try:
            await self._run(
                call,
                _Operation(
                    lambda transport, timeout_s, marks: transport.delete(namespace, name, timeout_s, marks)
                ),
            )
        except ApiError as error:
            deleted_by_earlier_attempt = error.code == 404 and call.attempt > 0
            if not deleted_by_earlier_attempt:
                raise
        self._address_of_job.pop((namespace, name), None)

    async def follow(self, job: Job) -> AsyncIterator[Job]:
        """Yield the current job, then its state after each change. Raises ApiError 404 once it is deleted."""
        namespace = job.metadata.namespace or ""
        name = job.metadata.name or ""
        address = await self._find_address(namespace, name)
        async for event in self._watch(address, JOBS, namespace, name):
            yield job_after_event(event, name)

    async def wait_answers(self, job: Job, *, timeout_s: float | None = None) -> Job:
        """Return the job once each of its tasks has an answer."""
        async with asyncio.timeout(timeout_s):
            async for state in self.follow(job):
                if all_answered(state):
                    return state
        raise AssertionError("the watch ended without an error")

    async def watch_jobs(self, namespace: str | None = None) -> AsyncIterator[Event]:
        """Yield the jobs of one placer, then every change to them."""
        address = self.retry_policy.addresses.choose(self._now_ms())
        async for event in self._watch(address, JOBS, namespace, None):
            yield event

    # ---- Machines -------------------------------------------------------------------------------------

    async def list_machines(self) -> list[Machine]:
        """Return the machines as known to one placer."""
        found = await self._run(
            self._new_call(None, idempotent=True),
            _Operation(
                lambda transport, timeout_s, marks: transport.list_objects(MACHINES, None, timeout_s, marks)
            ),
        )
        return [Machine.model_validate(item) for item in found.items]

    async def set_unschedulable(self, machine: str, *, unschedulable: bool) -> Machine:
        """Drain a machine at every placer, or let it accept work again.

        Raises the first error if any placer fails to respond, because it would keep using the machine.
        """

        def request(transport: Transport, timeout_s: float, marks: AttemptMarks) -> Awaitable[Object]:
            return transport.set_unschedulable(machine, timeout_s, marks, unschedulable=unschedulable)

        results = await asyncio.gather(
            *(self._run_at_address(address, request) for address in range(len(self._transports))),
            return_exceptions=True,
        )
        for result in results:
            if isinstance(result, BaseException):
                raise result
        return Machine.model_validate(results[0])

    # ---- Watches --------------------------------------------------------------------------------------

    async def _watch(
        self, address: int, resource: Resource, namespace: str | None, name: str | None
    ) -> AsyncIterator[Event]:
        """Yield the existing objects, then every change, across reconnects."""
        transport = self._transports[address]
        informer = Informer()
        failures = 0
        is_reconnecting = False

        def on_open() -> None:
            nonlocal failures, is_reconnecting
            if is_reconnecting:
                self.reconnects = [*self.reconnects[1 - MAX_RECORDED_RECONNECTS :], self._clock()]
            failures = 0
            is_reconnecting = False

        while True:
            try:
                if informer.revision is None:
                    async for event in self._list(transport, informer, resource, namespace, name):
                        yield event
                revision = informer.revision
                async for line in transport.watch(resource, namespace, name, revision, on_open):
                    change = informer.apply_line({"type": line.type, "object": line.object})
                    if change is not None:
                        yield change
                continue  # the server closes each watch after some time
            except (ApiError, ServerUnreachableError, TimeoutError) as error:
                if isinstance(error, ApiError) and error.code == 410:
                    informer.revision = None
                    continue
                backoff_ms = self._stream_backoff_ms(error, failures)
            failures += 1
            is_reconnecting = True
            await asyncio.sleep(backoff_ms / 1000.0)

    def _stream_backoff_ms(self, error: Exception, failures: int) -> float:
        """Return the delay before reopening a stream that failed; raise `error` if reopening cannot help."""
        if not isinstance(error, ApiError):
            return self.retry_policy.reconnect_backoff_ms(failures)
        backoff_ms = self.retry_policy.stream_backoff_ms(failures, error.code, error.retry_after_s)
        if backoff_ms is None:
            raise error
        return backoff_ms

    async def _list(
        self,
        transport: Transport,
        informer: Informer,
        resource: Resource,
        namespace: str | None,
        name: str | None,
    ) -> AsyncIterator[Event]:
        marks = AttemptMarks(0, "")
        if name is None:
            found = await transport.list_objects(resource, namespace, DEFAULT_DEADLINE_S, marks)
        else:
            try:
                item = await transport.read(resource, namespace or "", name, DEFAULT_DEADLINE_S, marks)
            except ApiError as error:
                if error.code != 404 or not informer.objects:
                    raise
                found = ObjectList([], "0")
            else:
                found = ObjectList([item], item["metadata"]["resourceVersion"])
        for event in informer.apply_list(found.items, found.revision):
            yield event


def _outcome_of(error: ApiError | ServerUnreachableError) -> Outcome:
    if isinstance(error, ApiError):
        return outcome_of_error(error.code, error.retry_after_s)
    return outcome_without_response(may_have_arrived=error.may_have_arrived)


def _remaining_patience(patience_ms: float | None, remaining_s: float) -> str:
    """Return the patience to send: the time until the deadline, at most the patience of the job."""
    remaining_ms = remaining_s * 1000.0
    if patience_ms is not None:
        remaining_ms = min(patience_ms, remaining_ms)
    return f"{max(MIN_PATIENCE_MS, remaining_ms):.3f}ms"
