"""Tests the retry policy without I/O, and both client libraries over real sockets."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest
from clusters import TestCluster, cluster, spec
from hypothesis import given, settings
from hypothesis import strategies as st
from proxy import proxy
from waiting import until

from kelpfront.api.errors import ApiError
from kelpfront.api.meta import JOBS
from kelpfront.client import PlacerClient, ServerUnreachableError, UnknownOutcomeError
from kelpfront.client.grpc import GrpcClient
from kelpfront.client.rest import RestClient
from kelpfront.client.retry import (
    EJECT_AFTER_FAILURES,
    MIN_REMAINING_MS,
    RETRY_BURST,
    RETRY_SHARE,
    AddressSelector,
    Attempt,
    Call,
    GiveUp,
    Outcome,
    OutcomeKind,
    RetryBudget,
    RetryPolicy,
    outcome_of_error,
    outcome_without_response,
    worst_window_share,
)
from kelpfront.client.retrying import RetryingClient
from kelpfront.client.sync import SyncClient
from kelpfront.rpc.limits import MAX_STREAM_JOBS
from kelpfront.service.placer import PlacerService

BOTH_PROTOCOLS = pytest.mark.parametrize("protocol", ["rest", "grpc"])
GRPC_ENABLED = ("placer.grpc=127.0.0.1:0",)


def retry_policy(addresses: int = 1, seed: int = 1, **options: Any) -> RetryPolicy:
    return RetryPolicy(addresses, random.Random(seed), **options)


# ---- The retry policy --------------------------------------------------------------------------------------

OUTCOMES = st.sampled_from(
    [
        Outcome(OutcomeKind.REFUSED),
        Outcome(OutcomeKind.REFUSED, 800.0),
        Outcome(OutcomeKind.NOT_SENT),
        Outcome(OutcomeKind.NO_RESPONSE),
        Outcome(OutcomeKind.FINAL),
    ]
)


@given(
    outcomes=st.lists(OUTCOMES, max_size=30),
    addresses=st.integers(1, 4),
    idempotent=st.booleans(),
    timeout_ms=st.floats(10.0, 20_000.0),
    seed=st.integers(0, 99),
)
@settings(derandomize=True)
def test_attempts_respect_deadline_budget_and_outcome_of_earlier_attempts(
    *, outcomes: list[Outcome], addresses: int, idempotent: bool, timeout_ms: float, seed: int
) -> None:
    policy = retry_policy(addresses, seed)
    now = 1000.0
    call = Call(now + timeout_ms, idempotent)
    decision = policy.first_attempt(now, call)
    possible_arrival_address: int | None = None
    for outcome in outcomes:
        assert isinstance(decision, Attempt)
        assert decision.start_ms < call.deadline
        if possible_arrival_address is not None and not idempotent:
            assert decision.address == possible_arrival_address
            assert decision.check_first
        now = decision.start_ms
        if outcome.kind is OutcomeKind.NO_RESPONSE and not idempotent:
            possible_arrival_address = decision.address
        previous, decision = decision, policy.next_attempt(now, call, outcome)
        if isinstance(decision, GiveUp):
            is_settled = outcome.kind is OutcomeKind.FINAL
            assert decision.outcome_unknown == (possible_arrival_address is not None and not is_settled)
            assert (
                outcome.kind is OutcomeKind.FINAL
                or "deadline" in decision.reason
                or "budget" in decision.reason
            )
            return
        assert outcome.kind is not OutcomeKind.FINAL
        assert decision.number == previous.number + 1
        assert decision.previous_outcome == outcome.kind.value
        assert decision.start_ms >= now + outcome.retry_after_ms
        assert decision.start_ms + MIN_REMAINING_MS <= call.deadline
    assert policy.counts.retries <= RETRY_BURST + RETRY_SHARE


def test_retries_stay_a_share_of_first_attempts() -> None:
    policy = retry_policy()
    for _ in range(5000):
        call = Call(1e9, idempotent=True)
        policy.first_attempt(0.0, call)
        for _ in range(5):
            if isinstance(policy.next_attempt(0.0, call, Outcome(OutcomeKind.REFUSED)), GiveUp):
                break
    assert policy.counts.retries <= RETRY_SHARE * policy.counts.first + RETRY_BURST + 1
    assert policy.counts.given_up["the retry budget is exhausted"] > 1000


def test_after_a_lost_response_retries_go_to_the_same_address() -> None:
    """The first attempt may still be in its placer's queue although a check finds no job there."""
    policy = retry_policy(3)
    call = Call(1e9, idempotent=False)
    first = policy.first_attempt(0.0, call)
    assert isinstance(first, Attempt)
    decision: Attempt | GiveUp = policy.next_attempt(0.0, call, Outcome(OutcomeKind.NO_RESPONSE))
    for outcome in (Outcome(OutcomeKind.REFUSED), Outcome(OutcomeKind.NOT_SENT)):
        assert isinstance(decision, Attempt)
        assert decision.address == first.address
        assert decision.check_first
        decision = policy.next_attempt(0.0, call, outcome)
    assert isinstance(decision, GiveUp) or decision.address == first.address
    final_decision = policy.next_attempt(0.0, call, Outcome(OutcomeKind.FINAL))
    assert isinstance(final_decision, GiveUp)
    assert not final_decision.outcome_unknown
    other = Call(1e9, idempotent=False)
    first_of_other = policy.first_attempt(0.0, other)
    policy.budget.record_first_attempt()
    refused = policy.next_attempt(0.0, other, Outcome(OutcomeKind.REFUSED))
    assert isinstance(first_of_other, Attempt)
    assert isinstance(refused, GiveUp) or refused.address != first_of_other.address


def test_a_stream_is_reopened_only_after_transient_errors() -> None:
    policy = retry_policy(spread_ms=100.0)
    backoff_ms = policy.stream_backoff_ms(0, 503, 2)
    assert backoff_ms is not None
    assert 2000.0 <= backoff_ms <= 2100.0
    assert policy.stream_backoff_ms(0, 404) is None
    broken = policy.stream_backoff_ms(0, 500)
    assert broken is not None
    assert broken <= 100.0


def test_the_error_determines_the_outcome_of_an_attempt() -> None:
    assert outcome_of_error(503, 2) == Outcome(OutcomeKind.REFUSED, 2000.0)
    assert outcome_of_error(422, 0).kind is OutcomeKind.FINAL
    assert outcome_without_response(may_have_arrived=True).kind is OutcomeKind.NO_RESPONSE
    assert outcome_without_response(may_have_arrived=False).kind is OutcomeKind.NOT_SENT


def test_failing_addresses_are_ejected_but_at_most_half_of_them() -> None:
    addresses = AddressSelector(4, random.Random(1))
    for failing in (0, 1, 2):
        for _ in range(EJECT_AFTER_FAILURES):
            addresses.record_failure(0.0, failing)
    assert addresses.ejected(1.0) == [0, 1]
    assert {addresses.choose(1.0) for _ in range(20)} == {2, 3}
    assert {addresses.choose(1e6) for _ in range(20)} == {0, 1, 2, 3}
    addresses.record_success(0)
    assert 0 not in addresses.ejected(1.0)


def test_clients_that_start_together_start_at_different_addresses() -> None:
    firsts = [AddressSelector(5, random.Random(seed)).choose(0.0) for seed in range(200)]
    assert all(25 <= firsts.count(address) <= 60 for address in range(5))


def test_clients_disconnected_together_reconnect_spread_over_the_interval() -> None:
    policies = [retry_policy(seed=seed, spread_ms=5000.0) for seed in range(1000)]
    times = [policy.reconnect_backoff_ms(0) for policy in policies]
    assert min(times) >= 0
    assert max(times) <= 5000.0
    assert worst_window_share(times, 5000.0, 100.0) < 3.0
    assert worst_window_share([100.0] * 50, 5000.0, 100.0) == 50.0


def test_first_attempts_refill_the_retry_budget_up_to_its_burst() -> None:
    budget = RetryBudget(0.5, 2.0)
    assert [budget.try_retry() for _ in range(3)] == [True, True, False]
    budget.record_first_attempt()
    assert not budget.try_retry()
    for _ in range(100):
        budget.record_first_attempt()
    assert budget.tokens == 2.0


# ---- Both client libraries over sockets --------------------------------------------------------------------


def client_of(protocol: str, *services: PlacerService, **options: Any) -> RetryingClient:
    options = {"seed": 1, "spread_s": 0.3, **options}
    if protocol == "rest":
        return RestClient([service.url for service in services], **options)
    return GrpcClient([service.grpc_target for service in services], **options)


@asynccontextmanager
async def served_client(
    protocol: str, machines: int = 2, **options: Any
) -> AsyncIterator[tuple[TestCluster, PlacerService, RetryingClient]]:
    async with (
        cluster(machines, *GRPC_ENABLED) as (test_cluster, service, _),
        client_of(protocol, service, **options) as client,
    ):
        yield test_cluster, service, client


@BOTH_PROTOCOLS
async def test_each_client_library_supports_all_calls(protocol: str) -> None:
    async with served_client(protocol) as (_, service, client):
        interface: PlacerClient = client
        job = await interface.submit("climate", spec(count=2), labels={"a": "b"}, deadline_s=10.0)
        job = await client.wait_answers(job, timeout_s=20)
        assert job.status is not None
        assert {task.answer for task in job.status.tasks} == {"Placed"}
        assert job.metadata.labels == {"a": "b"}
        name = job.metadata.name or ""
        assert (await client.get_job("climate", name)).metadata.uid == job.metadata.uid
        assert [listed.metadata.name for listed in await client.list_jobs("climate")] == [name]
        assert {machine.metadata.name for machine in await client.list_machines()} == {"n0", "n1"}
        assert (await client.set_unschedulable("n0", unschedulable=True)).spec.unschedulable
        seen = []
        async for event in client.watch_jobs("climate"):
            seen.append(event.kind)
            if event.kind == "DELETED":
                break
            await client.delete_job("climate", name)
        assert seen[-1] == "DELETED"
        with pytest.raises(ApiError) as caught:
            await client.get_job("climate", name)
        assert caught.value.code == 404
        with pytest.raises(ApiError) as caught:
            await client.submit("climate", spec("web").model_copy(update={"class_": "nope"}))
        assert (caught.value.reason, caught.value.causes[0].field) == ("Invalid", "spec.class")
        assert service.operations.retries == 0


@BOTH_PROTOCOLS
async def test_a_retryable_refusal_is_retried_and_counted_as_a_retry(protocol: str) -> None:
    async with served_client(protocol) as (_, service, client):
        service.operations.rejection_message = "busy"
        submitting = asyncio.create_task(client.submit("climate", spec(), deadline_s=20.0))
        await until(lambda: service.operations.first_tries == 1)
        service.operations.rejection_message = ""
        assert (await submitting).metadata.uid
        assert (service.operations.first_tries, service.operations.retries) == (1, 1)
        assert client.retry_policy.counts.retries == 1


@BOTH_PROTOCOLS
async def test_no_attempt_is_made_after_the_deadline(protocol: str) -> None:
    async with served_client(protocol) as (_, service, client):
        service.operations.rejection_message = "busy"
        loop = asyncio.get_running_loop()
        began = loop.time()
        with pytest.raises(ApiError) as caught:
            await client.submit("climate", spec(), deadline_s=0.7)
        assert caught.value.code == 503
        assert service.operations.retries == 0  # the requested delay of a second exceeds the deadline
        assert loop.time() - began < 5.0


@BOTH_PROTOCOLS
async def test_the_deadline_is_sent_as_the_patience_of_the_job(protocol: str) -> None:
    async with served_client(protocol) as (_, _service, client):
        job = await client.submit("climate", spec(cores=90_000.0), deadline_s=0.8)
        assert job.spec.patience_ms is not None
        assert 300.0 < job.spec.patience_ms <= 800.0
        done = await client.wait_answers(job, timeout_s=20)
        assert done.status is not None
        assert done.status.tasks[0].answer in ("Refused", "Failed")


def client_at(protocol: str, *addresses: str, **options: Any) -> RetryingClient:
    """Return a client of placers at HOST:PORT addresses."""
    if protocol == "rest":
        return RestClient([f"http://{address}" for address in addresses], seed=1, **options)
    return GrpcClient(addresses, seed=1, **options)


def address_of(protocol: str, service: PlacerService) -> str:
    return service.url.removeprefix("http://") if protocol == "rest" else service.grpc_target


@BOTH_PROTOCOLS
async def test_after_a_lost_response_the_job_of_the_first_attempt_is_found(protocol: str) -> None:
    async with cluster(2, *GRPC_ENABLED) as (test_cluster, service, _):
        port = int(address_of(protocol, service).rpartition(":")[2])
        async with proxy(port) as forwarder, client_at(protocol, f"127.0.0.1:{forwarder.port}") as client:
            await client.list_machines()  # opens the connection
            forwarder.swallow_answers = True
            submitting = asyncio.create_task(client.submit("climate", spec("blend"), deadline_s=20.0))
            await until(lambda: service.store.count(JOBS) == 1)
            forwarder.swallow_answers = False
            forwarder.cut()
            job = await submitting
            assert client.retry_policy.counts.retries >= 1
            await client.wait_answers(job, timeout_s=20)
        assert service.operations.first_tries + service.operations.retries == 1, "the job was sent again"
        assert len(test_cluster.events("start")) == 1


@BOTH_PROTOCOLS
async def test_the_outcome_is_unknown_if_the_job_cannot_be_looked_up(protocol: str) -> None:
    async with cluster(2, *GRPC_ENABLED) as (test_cluster, service, _):
        other = await test_cluster.placer()
        port = int(address_of(protocol, service).rpartition(":")[2])
        async with proxy(port) as forwarder:
            addresses = f"127.0.0.1:{forwarder.port}", address_of(protocol, other)
            async with client_at(protocol, *addresses) as client:
                client.retry_policy.addresses._next = 0
                await client.list_machines()
                client.retry_policy.addresses._next = 0
                forwarder.swallow_answers = True
                began = asyncio.get_running_loop().time()
                with pytest.raises(UnknownOutcomeError) as caught:  # the deadline expires during the attempt
                    await client.submit("climate", spec("blend"), deadline_s=1.5)
                assert 1.0 < asyncio.get_running_loop().time() - began < 3.0
                assert str(forwarder.port) in caught.value.address
        assert service.store.count(JOBS) == 1
        assert other.store.count(JOBS) == 0


@BOTH_PROTOCOLS
async def test_a_stopped_placer_is_ejected(protocol: str) -> None:
    async with cluster(2, *GRPC_ENABLED) as (test_cluster, service, _):
        second = await test_cluster.placer()
        stopped = address_of(protocol, service)
        async with client_of(protocol, service, second, budget=RetryBudget(1.0, 50.0)) as client:
            await service.close()
            for number in range(8):
                job = await client.submit("climate", spec(client_token=f"t{number}"), deadline_s=10.0)
                assert job.metadata.name
            assert second.operations.first_tries + second.operations.retries == 8
            assert client.retry_policy.addresses.ejected(client._now_ms()) == [0]
            with pytest.raises(ServerUnreachableError):
                async with client_at(protocol, stopped, budget=RetryBudget(1.0, 3.0)) as alone:
                    await alone.submit("climate", spec(), deadline_s=2.0)


@BOTH_PROTOCOLS
async def test_a_job_is_found_again_over_the_other_protocol(protocol: str) -> None:
    other = "grpc" if protocol == "rest" else "rest"
    async with served_client(protocol) as (test_cluster, service, client):
        job_spec = spec("blend", client_token="mine")
        job = await client.submit("climate", job_spec)
        client.close()
        async with client_of(other, service) as other_client:
            again = await other_client.submit("climate", job_spec)
            assert again.metadata.uid == job.metadata.uid
            done = await other_client.wait_answers(again, timeout_s=20)
            assert done.status is not None
            assert done.status.tasks[0].answer == "Placed"
        assert len(test_cluster.events("start")) == 1


@BOTH_PROTOCOLS
async def test_a_watch_resumes_after_a_restart_of_its_placer(protocol: str) -> None:
    async with cluster(2, *GRPC_ENABLED) as (test_cluster, service, _):
        address = service.url.removeprefix("http://")
        target = service.grpc_target
        async with client_of(protocol, service) as client:
            job = await client.submit("climate", spec("blend"))
            states: list[Any] = []

            async def follow() -> None:
                async for state in client.follow(job):
                    states.append(state)  # noqa: PERF401 - read while the watch runs

            following = asyncio.create_task(follow())
            await until(lambda: states and states[-1].status.counts.running == 1)
            await service.close()
            count = len(states)
            second = await test_cluster.placer(f"placer.listen={address}", f"placer.grpc={target}")
            await until(lambda: len(states) > count)
            assert states[-1].metadata.uid == job.metadata.uid
            assert states[-1].status.tasks[0].found
            await until(lambda: client.reconnects)
            await client.delete_job("climate", job.metadata.name or "")
            with pytest.raises(ApiError):
                await asyncio.wait_for(following, 20)
            assert second.controller.store.count(JOBS) == 0


async def test_a_broken_bindings_stream_resumes_and_a_job_withdrawn_meanwhile_is_deleted() -> None:
    async with cluster(2, *GRPC_ENABLED) as (test_cluster, service, _):
        port = int(service.grpc_target.rpartition(":")[2])
        async with (
            proxy(port) as forwarder,
            client_at("grpc", f"127.0.0.1:{forwarder.port}", spread_s=0.1) as client,
        ):
            assert isinstance(client, GrpcClient)
            async with client.bindings("climate") as stream:
                for ref in ("stays", "goes"):
                    stream.submit(ref, spec("blend", client_token=ref))
                with pytest.raises(ValueError, match="already in use"):
                    stream.submit("stays", spec("blend", client_token="other"))
                events: list[tuple[str, str | None]] = []

                async def read() -> None:
                    async for event in stream:
                        events.append((event.ref, event.WhichOneof("event")))  # noqa: PERF401 - read while it grows

                reading = asyncio.create_task(read())
                await until(lambda: sum(kind == "bound" for _, kind in events) == 2)
                forwarder.cut()
                await stream.withdraw("goes")
                await until(lambda: service.store.count(JOBS) == 1)
                await until(lambda: stream.cuts >= 1)
                machines = list(test_cluster.fleet.machines.values())

                def running() -> list[str]:
                    return [task for machine in machines for task in machine.node.tasks]

                await until(lambda: len(running()) == 1)
                (uid,) = running()
                machine = next(machine for machine in machines if uid in machine.node.tasks)
                stream.done()
                machine._exit(uid)
                await asyncio.wait_for(reading, 20)
                assert events.count(("stays", "bound")) == 1
                assert events[-1] == ("stays", "over")
        assert len(test_cluster.events("start")) == 2


def test_a_bindings_stream_limits_its_open_jobs_and_requires_client_tokens() -> None:
    async def run() -> None:
        async with GrpcClient("127.0.0.1:1") as client:
            stream = client.bindings("climate")
            for number in range(MAX_STREAM_JOBS):
                stream.submit(f"r{number}", spec(client_token=f"t{number}"))
            with pytest.raises(OverflowError, match="which is the maximum"):
                stream.submit("more", spec(client_token="more"))
            with pytest.raises(ValueError, match="needs a client token"):
                stream.submit("none", spec())

    asyncio.run(run())


@BOTH_PROTOCOLS
async def test_a_program_without_asyncio_can_make_the_same_calls(protocol: str) -> None:
    async with cluster(2, *GRPC_ENABLED) as (_, service, _client):

        def program() -> list[str]:
            with SyncClient(lambda: client_of(protocol, service)) as client:
                job = client.wait_answers(client.submit("climate", spec()), timeout_s=20)
                states = []
                for state in client.follow(job):
                    assert state.status is not None
                    states.append(state.status.tasks[0].state.value)
                    break
                client.delete_job("climate", job.metadata.name or "")
                with pytest.raises(ApiError):
                    client.get_job("climate", job.metadata.name or "")
                assert client.list_jobs() == []
                assert len(client.list_machines()) == 2
                return states

        assert (await asyncio.to_thread(program))[0] in ("Placed", "Running")
