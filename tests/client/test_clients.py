"""Both client libraries: the discipline without I/O, and each on real sockets through the same tests."""

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
from kelpfront.client.disciplined import DisciplinedClient
from kelpfront.client.grpc import GrpcClient
from kelpfront.client.rest import RestClient
from kelpfront.client.retry import (
    BURST,
    EJECT_AFTER,
    LEAST_LEFT_MS,
    SHARE,
    Addresses,
    Budget,
    Call,
    Discipline,
    GiveUp,
    Kind,
    Outcome,
    Try,
    even_share_worst,
    told,
    untold,
)
from kelpfront.client.sync import SyncClient
from kelpfront.rpc.limits import MAX_STREAM_JOBS
from kelpfront.service.placer import PlacerService

BOTH = pytest.mark.parametrize("protocol", ["rest", "grpc"])
SERVED = ("placer.grpc=127.0.0.1:0",)


def discipline(addresses: int = 1, seed: int = 1, **more: Any) -> Discipline:
    return Discipline(addresses, random.Random(seed), **more)


# ---- The discipline ----------------------------------------------------------------------------------------

OUTCOMES = st.sampled_from(
    [
        Outcome(Kind.REFUSED),
        Outcome(Kind.REFUSED, 800.0),
        Outcome(Kind.NOT_SENT),
        Outcome(Kind.CUT),
        Outcome(Kind.FINAL),
    ]
)


@given(
    st.lists(OUTCOMES, max_size=30),
    st.integers(1, 4),
    st.booleans(),
    st.floats(10.0, 20_000.0),
    st.integers(0, 99),
)
@settings(derandomize=True)
def test_no_call_breaks_its_discipline(
    outcomes: list[Outcome], addresses: int, repeatable: bool, patience: float, seed: int
) -> None:
    its = discipline(addresses, seed)
    now = 1000.0
    call = Call(now + patience, repeatable)
    step = its.first(now, call)
    may_have_arrived_at: int | None = None
    for outcome in outcomes:
        assert isinstance(step, Try) and step.at < call.deadline
        if may_have_arrived_at is not None and not repeatable:
            assert step.address == may_have_arrived_at and step.look_first
        now = step.at
        if outcome.kind is Kind.CUT and not repeatable:
            may_have_arrived_at = step.address
        before, step = step, its.after(now, call, outcome)
        if isinstance(step, GiveUp):
            settled = outcome.kind is Kind.FINAL
            assert step.unknown == (may_have_arrived_at is not None and not settled)
            assert outcome.kind is Kind.FINAL or "deadline" in step.why or "budget" in step.why
            return
        assert outcome.kind is not Kind.FINAL
        assert step.attempt == before.attempt + 1 and step.previous == outcome.kind.value
        assert step.at >= now + outcome.retry_after_ms
        assert step.at + LEAST_LEFT_MS <= call.deadline
    assert its.counts.retries <= BURST + SHARE


def test_retries_stay_a_share_of_first_tries() -> None:
    its = discipline()
    for _ in range(5000):
        call = Call(1e9, True)
        its.first(0.0, call)
        for _ in range(5):
            if isinstance(its.after(0.0, call, Outcome(Kind.REFUSED)), GiveUp):
                break
    assert its.counts.retries <= SHARE * its.counts.first + BURST + 1
    assert its.counts.given_up["the retry budget is used up"] > 1000


def test_after_a_cut_nothing_goes_to_another_whatever_comes_then() -> None:
    """The try that was cut may still wait in its placer's line while a look finds nothing there."""
    its = discipline(3)
    call = Call(1e9, False)
    first = its.first(0.0, call)
    assert isinstance(first, Try)
    step: Try | GiveUp = its.after(0.0, call, Outcome(Kind.CUT))
    for outcome in (Outcome(Kind.REFUSED), Outcome(Kind.NOT_SENT)):
        assert isinstance(step, Try) and step.address == first.address and step.look_first
        step = its.after(0.0, call, outcome)
    assert isinstance(step, GiveUp) or step.address == first.address
    settled = its.after(0.0, call, Outcome(Kind.FINAL))
    assert isinstance(settled, GiveUp) and not settled.unknown
    other = Call(1e9, False)
    begun = its.first(0.0, other)
    its.budget.first()
    refused = its.after(0.0, other, Outcome(Kind.REFUSED))
    assert isinstance(begun, Try) and (isinstance(refused, GiveUp) or refused.address != begun.address)


def test_an_ended_stream_is_opened_again_only_where_that_can_help() -> None:
    its = discipline(spread_ms=100.0)
    pause = its.stream_pause_ms(0, 503, 2)
    assert pause is not None and 2000.0 <= pause <= 2100.0
    assert its.stream_pause_ms(0, 404) is None
    broken = its.stream_pause_ms(0, 500)
    assert broken is not None and broken <= 100.0


def test_what_an_error_means_for_the_next_try() -> None:
    assert told(503, 2) == Outcome(Kind.REFUSED, 2000.0) and told(422, 0).kind is Kind.FINAL
    assert (untold(True).kind, untold(False).kind) == (Kind.CUT, Kind.NOT_SENT)


def test_an_address_that_fails_in_a_row_is_avoided_but_never_most_of_them() -> None:
    addresses = Addresses(4, random.Random(1))
    for bad in (0, 1, 2):
        for _ in range(EJECT_AFTER):
            addresses.failed(0.0, bad)
    assert addresses.avoided(1.0) == [0, 1]
    assert {addresses.choose(1.0) for _ in range(20)} == {2, 3}
    assert {addresses.choose(1e6) for _ in range(20)} == {0, 1, 2, 3}
    addresses.worked(0)
    assert 0 not in addresses.avoided(1.0)


def test_clients_that_begin_together_begin_at_different_addresses() -> None:
    firsts = [Addresses(5, random.Random(seed)).choose(0.0) for seed in range(200)]
    assert all(25 <= firsts.count(address) <= 60 for address in range(5))


def test_those_that_were_cut_together_come_back_over_the_interval() -> None:
    its = [discipline(seed=seed, spread_ms=5000.0) for seed in range(1000)]
    times = [one.reconnect_ms(0) for one in its]
    assert min(times) >= 0 and max(times) <= 5000.0
    assert even_share_worst(times, 5000.0, 100.0) < 3.0
    assert even_share_worst([100.0] * 50, 5000.0, 100.0) == 50.0


def test_a_budget_refills_by_first_tries_only_and_holds_no_more_than_its_burst() -> None:
    budget = Budget(0.5, 2.0)
    assert [budget.take() for _ in range(3)] == [True, True, False]
    budget.first()
    assert not budget.take()
    for _ in range(100):
        budget.first()
    assert budget.tokens == 2.0


# ---- Each library on sockets -------------------------------------------------------------------------------


def client_of(protocol: str, *services: PlacerService, **more: Any) -> DisciplinedClient:
    more = {"seed": 1, "spread_s": 0.3, **more}
    if protocol == "rest":
        return RestClient([service.url for service in services], **more)
    return GrpcClient([service.grpc_target for service in services], **more)


@asynccontextmanager
async def served(
    protocol: str, machines: int = 2, **more: Any
) -> AsyncIterator[tuple[TestCluster, PlacerService, DisciplinedClient]]:
    async with (
        cluster(machines, *SERVED) as (its, service, _),
        client_of(protocol, service, **more) as client,
    ):
        yield its, service, client


@BOTH
async def test_the_same_calls_by_either_library(protocol: str) -> None:
    async with served(protocol) as (_, service, client):
        its_interface: PlacerClient = client
        job = await its_interface.submit("climate", spec(count=2), labels={"a": "b"}, deadline_s=10.0)
        job = await client.wait_answers(job, timeout_s=20)
        assert job.status is not None and {task.answer for task in job.status.tasks} == {"Placed"}
        assert job.metadata.labels == {"a": "b"}
        name = job.metadata.name or ""
        assert (await client.get_job("climate", name)).metadata.uid == job.metadata.uid
        assert [one.metadata.name for one in await client.list_jobs("climate")] == [name]
        assert {machine.metadata.name for machine in await client.list_machines()} == {"n0", "n1"}
        assert (await client.set_unschedulable("n0", True)).spec.unschedulable
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


@BOTH
async def test_a_refusal_that_allows_it_is_tried_again_as_a_marked_retry(protocol: str) -> None:
    async with served(protocol) as (_, service, client):
        service.operations.closed = "busy"
        submitting = asyncio.create_task(client.submit("climate", spec(), deadline_s=20.0))
        await until(lambda: service.operations.first_tries == 1)
        service.operations.closed = ""
        assert (await submitting).metadata.uid
        assert (service.operations.first_tries, service.operations.retries) == (1, 1)
        assert client.discipline.counts.retries == 1


@BOTH
async def test_no_try_is_made_that_its_deadline_would_cut_short(protocol: str) -> None:
    async with served(protocol) as (_, service, client):
        service.operations.closed = "busy"
        loop = asyncio.get_running_loop()
        began = loop.time()
        with pytest.raises(ApiError) as caught:
            await client.submit("climate", spec(), deadline_s=0.7)
        assert caught.value.code == 503
        assert service.operations.retries == 0  # it was told to come back after a second, which is too late
        assert loop.time() - began < 5.0


@BOTH
async def test_the_deadline_is_what_the_placer_gives_the_tasks(protocol: str) -> None:
    async with served(protocol) as (_, _service, client):
        job = await client.submit("climate", spec(cores=90_000.0), deadline_s=0.8)
        assert job.spec.patience_ms is not None and 300.0 < job.spec.patience_ms <= 800.0
        done = await client.wait_answers(job, timeout_s=20)
        assert done.status is not None and done.status.tasks[0].answer in ("Refused", "Failed")


def client_at(protocol: str, *addresses: str, **more: Any) -> DisciplinedClient:
    """Of addresses HOST:PORT."""
    if protocol == "rest":
        return RestClient([f"http://{address}" for address in addresses], seed=1, **more)
    return GrpcClient(addresses, seed=1, **more)


def address_of(protocol: str, service: PlacerService) -> str:
    return service.url.removeprefix("http://") if protocol == "rest" else service.grpc_target


@BOTH
async def test_after_a_cut_it_looks_and_finds_the_job_that_the_first_try_made(protocol: str) -> None:
    async with cluster(2, *SERVED) as (its, service, _):
        port = int(address_of(protocol, service).rpartition(":")[2])
        async with proxy(port) as between, client_at(protocol, f"127.0.0.1:{between.port}") as client:
            await client.list_machines()  # the connection is up
            between.swallow_answers = True
            submitting = asyncio.create_task(client.submit("climate", spec("blend"), deadline_s=20.0))
            await until(lambda: service.store.count(JOBS) == 1)
            between.swallow_answers = False
            between.cut()
            job = await submitting
            assert client.discipline.counts.retries >= 1
            await client.wait_answers(job, timeout_s=20)
        assert service.operations.first_tries + service.operations.retries == 1, "it was not sent again"
        assert len(its.events("start")) == 1


@BOTH
async def test_where_the_look_is_not_possible_the_outcome_is_told_as_unknown(protocol: str) -> None:
    async with cluster(2, *SERVED) as (its, service, _):
        other = await its.placer()
        port = int(address_of(protocol, service).rpartition(":")[2])
        async with proxy(port) as between:
            addresses = f"127.0.0.1:{between.port}", address_of(protocol, other)
            async with client_at(protocol, *addresses) as client:
                client.discipline.addresses._next = 0
                await client.list_machines()
                client.discipline.addresses._next = 0
                between.swallow_answers = True
                began = asyncio.get_running_loop().time()
                with pytest.raises(UnknownOutcomeError) as caught:  # its deadline ends during the attempt
                    await client.submit("climate", spec("blend"), deadline_s=1.5)
                assert 1.0 < asyncio.get_running_loop().time() - began < 3.0
                assert str(between.port) in caught.value.address
        assert service.store.count(JOBS) == 1 and other.store.count(JOBS) == 0


@BOTH
async def test_a_placer_that_is_gone_is_passed_over(protocol: str) -> None:
    async with cluster(2, *SERVED) as (its, service, _):
        second = await its.placer()
        gone = address_of(protocol, service)
        async with client_of(protocol, service, second, budget=Budget(1.0, 50.0)) as client:
            await service.close()
            for number in range(8):
                job = await client.submit("climate", spec(client_token=f"t{number}"), deadline_s=10.0)
                assert job.metadata.name
            assert second.operations.first_tries + second.operations.retries == 8
            assert client.discipline.addresses.avoided(client._now()) == [0]
            with pytest.raises(ServerUnreachableError):
                async with client_at(protocol, gone, budget=Budget(1.0, 3.0)) as alone:
                    await alone.submit("climate", spec(), deadline_s=2.0)


@BOTH
async def test_a_client_that_left_is_back_by_the_other_protocol(protocol: str) -> None:
    other = "grpc" if protocol == "rest" else "rest"
    async with served(protocol) as (its, service, client):
        made = spec("blend", client_token="mine")
        job = await client.submit("climate", made)
        client.close()
        async with client_of(other, service) as back:
            again = await back.submit("climate", made)
            assert again.metadata.uid == job.metadata.uid
            done = await back.wait_answers(again, timeout_s=20)
            assert done.status is not None and done.status.tasks[0].answer == "Placed"
        assert len(its.events("start")) == 1


@BOTH
async def test_a_watch_goes_on_over_a_restart_of_its_placer(protocol: str) -> None:
    async with cluster(2, *SERVED) as (its, service, _):
        address = service.url.removeprefix("http://")
        target = service.grpc_target
        async with client_of(protocol, service) as client:
            job = await client.submit("climate", spec("blend"))
            states: list[Any] = []

            async def follow() -> None:
                async for state in client.follow(job):
                    states.append(state)

            following = asyncio.create_task(follow())
            await until(lambda: states and states[-1].status.counts.running == 1)
            await service.close()
            count = len(states)
            second = await its.placer(f"placer.listen={address}", f"placer.grpc={target}")
            await until(lambda: len(states) > count)
            assert states[-1].metadata.uid == job.metadata.uid and states[-1].status.tasks[0].found
            await until(lambda: client.reconnects)
            await client.delete_job("climate", job.metadata.name or "")
            with pytest.raises(ApiError):
                await asyncio.wait_for(following, 20)
            assert second.controller.store.count(JOBS) == 0


async def test_a_stream_of_the_library_resumes_and_what_is_withdrawn_in_a_cut_is_gone() -> None:
    async with cluster(2, *SERVED) as (its, service, _):
        port = int(service.grpc_target.rpartition(":")[2])
        async with (
            proxy(port) as between,
            client_at("grpc", f"127.0.0.1:{between.port}", spread_s=0.1) as client,
        ):
            assert isinstance(client, GrpcClient)
            async with client.bindings("climate") as stream:
                for ref in ("stays", "goes"):
                    stream.submit(ref, spec("blend", client_token=ref))
                with pytest.raises(ValueError, match="already"):
                    stream.submit("stays", spec("blend", client_token="other"))
                told: list[tuple[str, str | None]] = []

                async def read() -> None:
                    async for event in stream:
                        told.append((event.ref, event.WhichOneof("event")))

                reading = asyncio.create_task(read())
                await until(lambda: sum(kind == "bound" for _, kind in told) == 2)
                between.cut()
                await stream.withdraw("goes")
                await until(lambda: service.store.count(JOBS) == 1)
                await until(lambda: stream.cuts >= 1)
                machines = list(its.fleet.machines.values())

                def held() -> list[str]:
                    return [task for machine in machines for task in machine.node.tasks]

                await until(lambda: len(held()) == 1)
                (uid,) = held()
                machine = next(machine for machine in machines if uid in machine.node.tasks)
                stream.done()
                machine._exit(uid)
                await asyncio.wait_for(reading, 20)
                assert told.count(("stays", "bound")) == 1 and told[-1] == ("stays", "over")
        assert len(its.events("start")) == 2


def test_a_stream_takes_no_more_jobs_than_its_placer_would() -> None:
    async def run() -> None:
        async with GrpcClient("127.0.0.1:1") as client:
            stream = client.bindings("climate")
            for number in range(MAX_STREAM_JOBS):
                stream.submit(f"r{number}", spec(client_token=f"t{number}"))
            with pytest.raises(OverflowError, match="which is the most"):
                stream.submit("more", spec(client_token="more"))
            with pytest.raises(ValueError, match="needs a client token"):
                stream.submit("none", spec())

    asyncio.run(run())


@BOTH
async def test_without_asyncio(protocol: str) -> None:
    async with cluster(2, *SERVED) as (_, service, _client):

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
                assert client.list_jobs() == [] and len(client.list_machines()) == 2
                return states

        assert (await asyncio.to_thread(program))[0] in ("Placed", "Running")
