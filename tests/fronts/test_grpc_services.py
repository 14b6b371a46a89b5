"""Tests the gRPC services over real sockets, with the generated stubs and with server reflection."""

from __future__ import annotations

import asyncio
from typing import Any

import grpc
import pytest
from clusters import spec
from google.protobuf import descriptor_pool, message_factory
from google.protobuf.duration_pb2 import Duration
from grpc_calls import call_error, grpc_cluster, job_spec
from grpc_reflection.v1alpha.proto_reflection_descriptor_database import ProtoReflectionDescriptorDatabase
from waiting import until

from kelpfront.api.meta import JOBS, MACHINES
from kelpfront.rpc.jobs import job_object
from kelpfront.rpc.machines import machine_message, machine_object
from kelpfront.v1 import api_pb2 as pb
from kelpfront.v1 import resources_pb2


async def test_jobs_are_submitted_read_listed_watched_and_deleted() -> None:
    async with grpc_cluster() as (_, service, stubs):
        metadata = resources_pb2.ObjectMeta(name="front", labels={"tier": "web"})
        request = pb.SubmitRequest(namespace="climate", metadata=metadata, spec=job_spec(count=2))
        submitted = await stubs.jobs.Submit(request)
        assert submitted.created
        assert submitted.job.metadata.name == "front"
        assert len(submitted.job.status.tasks) == 2
        received: list[pb.WatchJobsResponse] = []
        watch_call = stubs.jobs.Watch(pb.WatchRequest(namespace="climate", label_selector="tier=web"))
        async for event in watch_call:
            received.append(event)
            if event.job.status.answered == 2:
                break
        watch_call.cancel()
        tasks = received[-1].job.status.tasks
        assert {task.answer for task in tasks} == {resources_pb2.ANSWER_PLACED}
        await until(
            lambda: service.store.get(JOBS, ("climate", "front")).body["status"]["counts"] == {"running": 2}
        )
        stored_job = await stubs.jobs.Get(pb.GetRequest(namespace="climate", name="front"))
        assert job_object(stored_job) == service.store.get(JOBS, ("climate", "front")).body
        listed = await stubs.jobs.List(pb.ListRequest(namespace="climate", limit=1))
        assert [job.metadata.name for job in listed.jobs] == ["front"]
        assert listed.resume_token
        await stubs.jobs.Delete(pb.DeleteRequest(namespace="climate", name="front"))
        code, error = await call_error(stubs.jobs.Get(pb.GetRequest(namespace="climate", name="front")))
        assert code is grpc.StatusCode.NOT_FOUND
        assert error is not None
        assert error.reason == "NotFound"
        resumed_watch = stubs.jobs.Watch(
            pb.WatchRequest(namespace="climate", resume_token=listed.resume_token)
        )
        event_types = []
        async for event in resumed_watch:
            event_types.append(event.type)
            if event.type == pb.EVENT_TYPE_DELETED:
                break
        resumed_watch.cancel()
        assert event_types[0] == pb.EVENT_TYPE_BOOKMARK


async def test_machines_are_listed_watched_and_marked_unschedulable() -> None:
    async with grpc_cluster() as (_, service, stubs):
        listed = await stubs.machines.List(pb.ListRequest())
        assert {machine.metadata.name for machine in listed.machines} == {"n0", "n1"}
        drained = await stubs.machines.SetUnschedulable(
            pb.SetUnschedulableRequest(name="n0", unschedulable=True)
        )
        assert drained.status.state == resources_pb2.MACHINE_STATE_DRAINING
        body = service.store.get(MACHINES, ("", "n0")).body
        round_trip = machine_object(machine_message(body))
        assert round_trip["spec"] == body["spec"]
        assert round_trip["status"]["state"] == body["status"]["state"]
        watch_call = stubs.machines.Watch(pb.WatchRequest())
        states = {}
        async for event in watch_call:
            if event.type != pb.EVENT_TYPE_BOOKMARK:
                states[event.machine.metadata.name] = event.machine.status.state
            if len(states) == 2:
                break
        watch_call.cancel()
        assert states["n0"] == resources_pb2.MACHINE_STATE_DRAINING


async def test_submissions_with_the_same_client_token_over_both_apis_create_one_job() -> None:
    async with grpc_cluster() as (test_cluster, service, stubs):
        client = test_cluster.client(service)
        blend_spec = spec("blend", clientToken="once", count=3)
        request = pb.SubmitRequest(namespace="climate", spec=job_spec("blend", clientToken="once", count=3))
        answers = await asyncio.gather(
            *(
                call
                for _ in range(5)
                for call in (client.submit("climate", blend_spec), stubs.jobs.Submit(request))
            )
        )
        uids = {a.job.metadata.uid if isinstance(a, pb.SubmitResponse) else a.metadata.uid for a in answers}
        assert len(uids) == 1
        assert sum(isinstance(a, pb.SubmitResponse) and a.created for a in answers) <= 1
        await until(lambda: service.controller.open_tasks == 0)
        assert len(test_cluster.events("start")) == 3
        changed = pb.SubmitRequest(namespace="climate", spec=job_spec("web", clientToken="once"))
        code, error = await call_error(stubs.jobs.Submit(changed))
        assert code is grpc.StatusCode.ABORTED
        assert error is not None
        assert error.reason == "Conflict"


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"cores": 0.0}, "spec.cores"),
        ({"cores": float("nan")}, "spec.cores"),
        ({"count": 0}, "spec.count"),
        ({"service": ""}, "spec.service"),
        ({"patience": Duration(seconds=-5)}, "spec.patience"),
        ({"patience": Duration(seconds=4000)}, "spec.patience"),
        ({"class": "nope"}, "spec.class"),
        ({"client_token": "x" * 200}, "spec.clientToken"),
        ({"env": {"A": "b"}}, "spec"),
    ],
)
async def test_an_invalid_field_is_reported_by_name(change: dict[str, Any], field: str) -> None:
    async with grpc_cluster() as (_, _service, stubs):
        invalid = job_spec()
        for name, value in change.items():
            if isinstance(value, Duration):
                invalid.patience.CopyFrom(value)
            elif isinstance(value, dict):
                invalid.env.update(value)
            else:
                setattr(invalid, name, value)
        code, error = await call_error(stubs.jobs.Submit(pb.SubmitRequest(namespace="climate", spec=invalid)))
        assert code is grpc.StatusCode.INVALID_ARGUMENT
        assert error is not None
        assert error.reason == "Invalid"
        assert field in [cause.field for cause in error.causes], error.causes


async def test_unknown_fields_are_rejected_in_a_spec_and_ignored_elsewhere() -> None:
    async with grpc_cluster() as (_, _service, stubs):
        unknown_field_spec = resources_pb2.JobSpec.FromString(
            job_spec().SerializeToString() + b"\xf8\x07\x01"
        )  # field 127
        code, error = await call_error(
            stubs.jobs.Submit(pb.SubmitRequest(namespace="climate", spec=unknown_field_spec))
        )
        assert code is grpc.StatusCode.INVALID_ARGUMENT
        assert error is not None
        assert [cause.field for cause in error.causes] == ["spec.127"]
        list_request = pb.ListRequest.FromString(b"\xf8\x07\x01")
        assert (await stubs.jobs.List(list_request)).resume_token


async def test_invalid_tokens_and_namespaces_are_rejected() -> None:
    async with grpc_cluster() as (_, _service, stubs):
        for request, reason in (
            (stubs.jobs.Submit(pb.SubmitRequest(namespace="../x", spec=job_spec())), "BadRequest"),
            (stubs.jobs.List(pb.ListRequest(continue_token="nope")), "BadRequest"),
            (stubs.jobs.List(pb.ListRequest(limit=-1)), "BadRequest"),
            (stubs.jobs.List(pb.ListRequest(field_selector="status.no=1")), "BadRequest"),
        ):
            _, error = await call_error(request)
            assert error is not None
            assert error.reason == reason
        for token, code in (("x", grpc.StatusCode.INVALID_ARGUMENT), ("5", grpc.StatusCode.OUT_OF_RANGE)):
            watch_call = stubs.jobs.Watch(pb.WatchRequest(resume_token=token))
            with pytest.raises(grpc.aio.AioRpcError) as caught:
                async for _ in watch_call:
                    pass
            assert caught.value.code() is code


async def test_a_client_that_uses_only_reflection_submits_a_job() -> None:
    """The client needs no code of this project: the descriptors that the server sends are sufficient."""
    async with grpc_cluster() as (_, service, _stubs):

        def submit_by_reflection() -> str:
            with grpc.insecure_channel(service.grpc_target) as channel:
                database: Any = ProtoReflectionDescriptorDatabase(channel)
                assert "kelpfront.v1.Jobs" in database.get_services()
                pool: Any = descriptor_pool.DescriptorPool(database)
                method = pool.FindServiceByName("kelpfront.v1.Jobs").FindMethodByName("Submit")
                request: Any = message_factory.GetMessageClass(method.input_type)()
                answer = message_factory.GetMessageClass(method.output_type)
                request.namespace = "climate"
                setattr(request.spec, "class", "web")
                request.spec.service, request.spec.cores, request.spec.memory = "front", 1.0, 2.0
                call: Any = channel.unary_unary(
                    "/kelpfront.v1.Jobs/Submit",
                    request_serializer=lambda message: message.SerializeToString(),
                    response_deserializer=answer.FromString,
                )
                name: str = call(request, timeout=20).job.metadata.name
                return name

        name = await asyncio.to_thread(submit_by_reflection)
        assert service.store.find(JOBS, ("climate", name)) is not None
