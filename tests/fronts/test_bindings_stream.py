"""Tests Bindings streams over real sockets."""

from __future__ import annotations

import asyncio
from typing import Any

import grpc
import msgspec
import pytest
from clusters import QUICK, spec
from grpc_calls import OPEN_REQUEST, credits_request, grpc_cluster, submit_request
from waiting import until

from kelpfront.api.meta import JOBS
from kelpfront.fronts.grpc.binding_session import MAX_REJECTIONS
from kelpfront.service.placer import PlacerService
from kelpfront.v1 import api_pb2 as pb
from kelpfront.v1 import resources_pb2

LONG_TASKS = msgspec.structs.replace(QUICK, life_ms=3_600_000.0)
"""A fleet model whose tasks run for an hour, so that none ends during a test, however slow the test is."""


async def test_a_stream_sends_offers_bindings_refusals_and_ends_of_tasks() -> None:
    async with grpc_cluster() as (test_cluster, service, stubs):
        call = stubs.jobs.Bindings()
        await call.write(OPEN_REQUEST)
        await call.write(credits_request(1000))
        await call.write(submit_request("fine"))
        await call.write(submit_request("wrong", "nope"))
        await call.write(submit_request("huge", cores=90_000.0, patience="300ms"))
        sent: dict[str, list[str]] = {"fine": [], "wrong": [], "huge": []}
        while not ("bound" in sent["fine"] and sent["wrong"] and {"refused", "failed"} & {*sent["huge"]}):
            event = await asyncio.wait_for(call.read(), 20)
            sent[event.ref].append(event.WhichOneof("event"))
            if event.ref == "wrong":
                assert event.rejected.violations[0].field == "spec.class"
        assert sent["fine"][:3] == ["accepted", "offered", "bound"]
        assert sent["wrong"] == ["rejected"]
        name = next(iter(test_cluster.fleet.machines))
        (uid,) = {line["task"] for line in test_cluster.events("start")}
        machine = next(m for m in test_cluster.fleet.machines.values() if uid in m.node.tasks)
        machine._exit(uid)
        event = await asyncio.wait_for(call.read(), 20)
        assert event.over.state == resources_pb2.TASK_STATE_ENDED
        assert name
        await call.done_writing()
        assert await asyncio.wait_for(call.read(), 20) is grpc.aio.EOF
        assert len(service.grpc.streams if service.grpc else ()) == 0


async def test_a_stream_sends_no_events_without_credits_and_all_of_them_once_credits_are_granted() -> None:
    async with grpc_cluster(model=LONG_TASKS) as (_, service, stubs):
        call = stubs.jobs.Bindings()
        await call.write(OPEN_REQUEST)
        for number in range(20):
            await call.write(submit_request(f"r{number}"))
        await until(lambda: service.store.count(JOBS) == 20 and not service.controller.open_tasks)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await call.read()
        # Cancelling a read ends the call, so the client opens another stream with the same client tokens.
        call = stubs.jobs.Bindings()
        await call.write(OPEN_REQUEST)
        for number in range(20):
            await call.write(submit_request(f"r{number}"))
        expected = {job["spec"]["clientToken"]: complete_events(job) for job in stored_jobs(service)}
        sent: dict[str, list[str]] = {}
        for _ in range(sum(len(events) for events in expected.values())):
            await call.write(credits_request(1))
            event = await asyncio.wait_for(call.read(), 20)
            sent.setdefault(event.ref, []).append(event.WhichOneof("event"))
        assert sent == expected
        assert len(sent) == 20
        assert service.store.count(JOBS) == 20
        call.cancel()


def stored_jobs(service: PlacerService) -> list[dict[str, Any]]:
    return [stored.body for stored in service.store.objects(JOBS)]


def complete_events(job: dict[str, Any]) -> list[str]:
    """Return the names of the events for a job whose only task was placed.

    If the event loop delays an offer for longer than the connect timeout of 250 ms, the offer ends before its
    first byte is sent, and another offer follows. Without such a delay the events are accepted, offered and
    bound.
    """
    (task,) = job["status"]["tasks"]
    assert task["answer"] == "Placed"
    events = ["accepted"]
    for attempt in task["attempts"]:
        events.append("offered")
        if attempt.get("end"):
            assert attempt["end"] in ("not sent", "unreachable")
            events.append("offer_ended")
    events.append("bound")
    return events


async def test_after_a_stream_breaks_both_apis_find_its_job_by_the_client_token() -> None:
    async with grpc_cluster() as (test_cluster, service, stubs):
        for machine in test_cluster.fleet.machines.values():
            machine.troubles.late_ms = 400.0
        call = stubs.jobs.Bindings()
        await call.write(OPEN_REQUEST)
        await call.write(credits_request(10))
        await call.write(submit_request("one", "blend"))
        while (await asyncio.wait_for(call.read(), 20)).WhichOneof("event") != "offered":
            pass
        call.cancel()
        client = test_cluster.client(service)
        job = await client.wait_answers(await client.submit("climate", spec("blend", clientToken="one")))
        assert job.status is not None
        assert job.status.tasks[0].answer == "Placed"
        second_call = stubs.jobs.Bindings()
        await second_call.write(OPEN_REQUEST)
        await second_call.write(credits_request(10))
        await second_call.write(submit_request("other-ref", "blend", clientToken="one"))
        events = [(await asyncio.wait_for(second_call.read(), 20)) for _ in range(3)]
        assert [event.WhichOneof("event") for event in events] == ["accepted", "offered", "bound"]
        assert not events[0].accepted.created
        assert events[0].accepted.uid == job.metadata.uid
        assert len(test_cluster.events("start")) == 1
        second_call.cancel()


async def test_withdrawing_deletes_a_job_and_a_deletion_by_another_client_is_reported() -> None:
    async with grpc_cluster() as (test_cluster, service, stubs):
        call = stubs.jobs.Bindings()
        await call.write(OPEN_REQUEST)
        await call.write(credits_request(100))
        await call.write(submit_request("mine"))
        await call.write(submit_request("theirs"))
        names: dict[str, str] = {}
        while len(names) < 2 or service.controller.open_tasks:
            event = await asyncio.wait_for(call.read(), 20)
            if event.HasField("accepted"):
                names[event.ref] = event.accepted.name
        await call.write(pb.BindingsRequest(withdraw=pb.BindingsRequest.Withdraw(ref="mine")))
        await until(lambda: service.store.count(JOBS) == 1)
        await test_cluster.client(service).delete_job("climate", names["theirs"])
        while True:
            event = await asyncio.wait_for(call.read(), 20)
            if event.HasField("deleted"):
                assert event.ref == "theirs"
                break
        call.cancel()


@pytest.mark.parametrize(
    ("first_request", "code"),
    [
        (credits_request(5), grpc.StatusCode.INVALID_ARGUMENT),
        (pb.BindingsRequest(), grpc.StatusCode.INVALID_ARGUMENT),
        (
            pb.BindingsRequest(open=pb.BindingsRequest.Open.FromString(b"\x0a\x01a\x10\x63")),  # detail 99
            grpc.StatusCode.INVALID_ARGUMENT,
        ),
    ],
)
async def test_a_stream_without_a_valid_open_message_is_rejected_with_the_reason(
    first_request: pb.BindingsRequest, code: grpc.StatusCode
) -> None:
    async with grpc_cluster() as (_, _service, stubs):
        call = stubs.jobs.Bindings()
        await call.write(first_request)
        with pytest.raises(grpc.aio.AioRpcError):
            await call.read()
        assert await call.code() is code
        assert "open" in str(await call.details())


async def test_a_client_that_sends_invalid_jobs_and_reads_nothing_is_disconnected() -> None:
    async with grpc_cluster(1) as (_, service, stubs):
        call = stubs.jobs.Bindings()
        await call.write(OPEN_REQUEST)
        for number in range(MAX_REJECTIONS + 1):
            await call.write(submit_request(f"r{number}", "nope"))
        with pytest.raises(grpc.aio.AioRpcError) as caught:
            await call.read()
        assert caught.value.code() is grpc.StatusCode.RESOURCE_EXHAUSTED
        assert service.grpc is not None
        streams = service.grpc.streams
        await until(lambda: not len(streams))
