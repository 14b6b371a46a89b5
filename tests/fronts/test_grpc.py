"""The gRPC front on real sockets, by the generated stubs and by a stock client that knows only reflection."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import grpc
import pytest
from clusters import TestCluster, cluster, spec
from google.protobuf import descriptor_pool, message_factory
from google.protobuf.duration_pb2 import Duration
from grpc_health.v1 import health_pb2, health_pb2_grpc
from grpc_reflection.v1alpha.proto_reflection_descriptor_database import ProtoReflectionDescriptorDatabase
from hypothesis import given, settings
from hypothesis import strategies as st
from waiting import until

from kelpfront.api.errors import REASON_OF_CODE, ApiError, Cause
from kelpfront.api.jobs import JOB_INPUT
from kelpfront.api.meta import JOBS, MACHINES
from kelpfront.fronts.grpc.binding_session import MAX_CREDITS, MAX_REJECTIONS, BindingSession
from kelpfront.rpc.jobs import job_data, job_object, spec_message
from kelpfront.rpc.limits import MAX_STREAM_JOBS
from kelpfront.rpc.machines import machine_message, machine_object
from kelpfront.rpc.status import CODE_OF_REASON, code_of, error_of, trailers
from kelpfront.service.placer import PlacerService
from kelpfront.v1 import api_pb2 as pb
from kelpfront.v1 import api_pb2_grpc, resources_pb2

SERVED = ("placer.grpc=127.0.0.1:0",)
Open = pb.BindingsRequest(open=pb.BindingsRequest.Open(namespace="climate"))


class Stubs:
    def __init__(self, target: str, **options: Any) -> None:
        self.channel = grpc.aio.insecure_channel(target, options=list(options.items()))
        self.jobs: Any = api_pb2_grpc.JobsStub(self.channel)
        self.machines: Any = api_pb2_grpc.MachinesStub(self.channel)


@asynccontextmanager
async def served(
    machines: int = 2, *overrides: str
) -> AsyncIterator[tuple[TestCluster, PlacerService, Stubs]]:
    async with cluster(machines, *SERVED, *overrides) as (its, service, _):
        stubs = Stubs(service.grpc_target)
        try:
            yield its, service, stubs
        finally:
            await stubs.channel.close()


def job_spec(cls: str = "web", **changes: Any) -> resources_pb2.JobSpec:
    return spec_message(spec(cls, **changes).model_dump(by_alias=True, exclude_none=True))


def submit(ref: str, cls: str = "web", **changes: Any) -> pb.BindingsRequest:
    changes.setdefault("clientToken", ref)
    return pb.BindingsRequest(submit=pb.BindingsRequest.Submit(ref=ref, spec=job_spec(cls, **changes)))


def credits(count: int) -> pb.BindingsRequest:
    return pb.BindingsRequest(credits=count)


async def refused(call: Any) -> tuple[grpc.StatusCode, ApiError | None]:
    with pytest.raises(grpc.aio.AioRpcError) as caught:
        await call
    error = caught.value
    return error.code(), error_of(error.code(), error.details() or "", error.trailing_metadata())


# ---- Errors and resources, without sockets -----------------------------------------------------------------


@pytest.mark.parametrize("reason", [*REASON_OF_CODE.values(), "AlreadyExists"])
def test_every_reason_of_the_rest_api_has_a_code_and_comes_back_whole(reason: str) -> None:
    http = next((code for code, name in REASON_OF_CODE.items() if name == reason), 409)
    causes = (Cause("spec.cores", "must be above 0"), Cause("spec.key", "is required", "FieldValueRequired"))
    error = ApiError(http, "words", reason=reason, name="x", causes=causes, retry_after_s=3)
    assert reason in CODE_OF_REASON
    back = error_of(code_of(error), "words", trailers(error))
    assert back is not None
    assert (back.code, back.reason, back.message, back.name) == (http, reason, "words", "x")
    assert (back.causes, back.retry_after_s) == (causes, 3)


def test_a_status_without_the_placers_word_is_the_transports() -> None:
    assert error_of(grpc.StatusCode.UNAVAILABLE, "x", ()) is None
    assert error_of(grpc.StatusCode.UNAVAILABLE, "x", (("grpc-status-details-bin", b"\xff\xff"),)) is None


@given(
    st.fixed_dictionaries(
        {"class": st.sampled_from(["web", "x"]), "service": st.text("abc", min_size=1, max_size=5)},
        optional={
            "cores": st.floats(0.1, 100.0),
            "memory": st.floats(0.1, 100.0),
            "count": st.integers(1, 1000),
            "patience": st.sampled_from(["10ms", "1500ms", "5s", "1h"]),
            "key": st.text("kx", min_size=1, max_size=5),
            "clientToken": st.text("tz", min_size=1, max_size=5),
            "command": st.lists(st.text("ab", min_size=1), min_size=1, max_size=3),
        },
    )
)
@settings(derandomize=True)
def test_a_job_means_the_same_whichever_way_it_came(data: dict[str, Any]) -> None:
    data = {"cores": 1.0, "memory": 2.0, **data}
    through = job_data(resources_pb2.ObjectMeta(name="n"), spec_message(data))
    rest = JOB_INPUT.validate_python({"metadata": {"name": "n"}, "spec": data})
    assert JOB_INPUT.validate_python(through) == rest


# ---- The whole path ----------------------------------------------------------------------------------------


async def test_submit_get_list_watch_delete(capsys: pytest.CaptureFixture[str]) -> None:
    async with served() as (_, service, stubs):
        labels = resources_pb2.ObjectMeta(name="front", labels={"tier": "web"})
        request = pb.SubmitRequest(namespace="climate", metadata=labels, spec=job_spec(count=2))
        made = await stubs.jobs.Submit(request)
        assert made.created and made.job.metadata.name == "front" and len(made.job.status.tasks) == 2
        seen: list[pb.WatchJobsResponse] = []
        watching = stubs.jobs.Watch(pb.WatchRequest(namespace="climate", label_selector="tier=web"))
        async for event in watching:
            seen.append(event)
            if event.job.status.answered == 2:
                break
        watching.cancel()
        tasks = seen[-1].job.status.tasks
        assert {task.answer for task in tasks} == {resources_pb2.ANSWER_PLACED}
        await until(
            lambda: service.store.get(JOBS, ("climate", "front")).body["status"]["counts"] == {"running": 2}
        )
        got = await stubs.jobs.Get(pb.GetRequest(namespace="climate", name="front"))
        assert job_object(got) == service.store.get(JOBS, ("climate", "front")).body
        listed = await stubs.jobs.List(pb.ListRequest(namespace="climate", limit=1))
        assert [job.metadata.name for job in listed.jobs] == ["front"] and listed.resume_token
        await stubs.jobs.Delete(pb.DeleteRequest(namespace="climate", name="front"))
        code, error = await refused(stubs.jobs.Get(pb.GetRequest(namespace="climate", name="front")))
        assert code is grpc.StatusCode.NOT_FOUND and error is not None and error.reason == "NotFound"
        resumed = stubs.jobs.Watch(pb.WatchRequest(namespace="climate", resume_token=listed.resume_token))
        kinds = []
        async for event in resumed:
            kinds.append(event.type)
            if event.type == pb.EVENT_TYPE_DELETED:
                break
        resumed.cancel()
        assert kinds[0] == pb.EVENT_TYPE_BOOKMARK


async def test_machines_are_read_and_drained() -> None:
    async with served() as (_, service, stubs):
        listed = await stubs.machines.List(pb.ListRequest())
        assert {machine.metadata.name for machine in listed.machines} == {"n0", "n1"}
        one = await stubs.machines.SetUnschedulable(pb.SetUnschedulableRequest(name="n0", unschedulable=True))
        assert one.status.state == resources_pb2.MACHINE_STATE_DRAINING
        body = service.store.get(MACHINES, ("", "n0")).body
        again = machine_object(machine_message(body))
        assert again["spec"] == body["spec"] and again["status"]["state"] == body["status"]["state"]
        watching = stubs.machines.Watch(pb.WatchRequest())
        states = {}
        async for event in watching:
            if event.type != pb.EVENT_TYPE_BOOKMARK:
                states[event.machine.metadata.name] = event.machine.status.state
            if len(states) == 2:
                break
        watching.cancel()
        assert states["n0"] == resources_pb2.MACHINE_STATE_DRAINING


async def test_one_job_by_both_apis_is_one_job() -> None:
    async with served() as (its, service, stubs):
        client = its.client(service)
        made = spec("blend", clientToken="once", count=3)
        request = pb.SubmitRequest(namespace="climate", spec=job_spec("blend", clientToken="once", count=3))
        answers = await asyncio.gather(
            *(call for _ in range(5) for call in (client.submit("climate", made), stubs.jobs.Submit(request)))
        )
        uids = {a.job.metadata.uid if isinstance(a, pb.SubmitResponse) else a.metadata.uid for a in answers}
        assert len(uids) == 1
        assert sum(isinstance(a, pb.SubmitResponse) and a.created for a in answers) <= 1
        await until(lambda: service.controller.open_tasks == 0)
        assert len(its.events("start")) == 3
        changed = pb.SubmitRequest(namespace="climate", spec=job_spec("web", clientToken="once"))
        code, error = await refused(stubs.jobs.Submit(changed))
        assert code is grpc.StatusCode.ABORTED and error is not None and error.reason == "Conflict"


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
async def test_what_is_wrong_is_named_field_by_field(change: dict[str, Any], field: str) -> None:
    async with served() as (_, _service, stubs):
        wrong = job_spec()
        for name, value in change.items():
            if isinstance(value, Duration):
                wrong.patience.CopyFrom(value)
            elif isinstance(value, dict):
                wrong.env.update(value)
            else:
                setattr(wrong, name, value)
        code, error = await refused(stubs.jobs.Submit(pb.SubmitRequest(namespace="climate", spec=wrong)))
        assert code is grpc.StatusCode.INVALID_ARGUMENT and error is not None
        assert error.reason == "Invalid" and field in [cause.field for cause in error.causes], error.causes


async def test_a_field_of_a_later_version_is_refused_and_passed_over_where_it_says_nothing() -> None:
    async with served() as (_, _service, stubs):
        later = resources_pb2.JobSpec.FromString(
            job_spec().SerializeToString() + b"\xf8\x07\x01"
        )  # field 127
        code, error = await refused(stubs.jobs.Submit(pb.SubmitRequest(namespace="climate", spec=later)))
        assert code is grpc.StatusCode.INVALID_ARGUMENT and error is not None
        assert [cause.field for cause in error.causes] == ["spec.127"]
        got = pb.ListRequest.FromString(b"\xf8\x07\x01")
        assert (await stubs.jobs.List(got)).resume_token


async def test_tokens_and_namespaces_that_are_none() -> None:
    async with served() as (_, _service, stubs):
        for request, wanted in (
            (stubs.jobs.Submit(pb.SubmitRequest(namespace="../x", spec=job_spec())), "BadRequest"),
            (stubs.jobs.List(pb.ListRequest(continue_token="nope")), "BadRequest"),
            (stubs.jobs.List(pb.ListRequest(limit=-1)), "BadRequest"),
            (stubs.jobs.List(pb.ListRequest(field_selector="status.no=1")), "BadRequest"),
        ):
            _, error = await refused(request)
            assert error is not None and error.reason == wanted
        for token, code in (("x", grpc.StatusCode.INVALID_ARGUMENT), ("5", grpc.StatusCode.OUT_OF_RANGE)):
            watching = stubs.jobs.Watch(pb.WatchRequest(resume_token=token))
            with pytest.raises(grpc.aio.AioRpcError) as caught:
                async for _ in watching:
                    pass
            assert caught.value.code() is code


# ---- Bindings ----------------------------------------------------------------------------------------------


async def test_a_stream_tells_offers_bindings_refusals_and_ends() -> None:
    async with served() as (its, service, stubs):
        call = stubs.jobs.Bindings()
        await call.write(Open)
        await call.write(credits(1000))
        await call.write(submit("fine"))
        await call.write(submit("wrong", "nope"))
        await call.write(submit("huge", cores=90_000.0, patience="300ms"))
        told: dict[str, list[str]] = {"fine": [], "wrong": [], "huge": []}
        while not ("bound" in told["fine"] and told["wrong"] and {"refused", "failed"} & {*told["huge"]}):
            event = await asyncio.wait_for(call.read(), 20)
            told[event.ref].append(event.WhichOneof("event"))
            if event.ref == "wrong":
                assert event.rejected.violations[0].field == "spec.class"
        assert told["fine"][:3] == ["accepted", "offered", "bound"] and told["wrong"] == ["rejected"]
        name = next(iter(its.fleet.machines))
        (uid,) = {line["task"] for line in its.events("start")}
        machine = next(m for m in its.fleet.machines.values() if uid in m.node.tasks)
        machine._exit(uid)
        event = await asyncio.wait_for(call.read(), 20)
        assert event.over.state == resources_pb2.TASK_STATE_ENDED and name
        await call.done_writing()
        assert await asyncio.wait_for(call.read(), 20) is grpc.aio.EOF
        assert len(service.grpc.streams if service.grpc else ()) == 0


async def test_without_credits_nothing_is_sent_and_what_is_sent_later_is_whole() -> None:
    async with served() as (_, service, stubs):
        call = stubs.jobs.Bindings()
        await call.write(Open)
        for number in range(20):
            await call.write(submit(f"r{number}"))
        await until(lambda: service.store.count(JOBS) == 20 and not service.controller.open_tasks)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await call.read()
        # A read that was given up ends the call; its client comes again with the same tokens.
        call = stubs.jobs.Bindings()
        await call.write(Open)
        for number in range(20):
            await call.write(submit(f"r{number}"))
        told: dict[str, list[str]] = {}
        for _ in range(60):
            await call.write(credits(1))
            event = await asyncio.wait_for(call.read(), 20)
            told.setdefault(event.ref, []).append(event.WhichOneof("event"))
        assert all(events == ["accepted", "offered", "bound"] for events in told.values()) and len(told) == 20
        assert service.store.count(JOBS) == 20
        call.cancel()


async def test_a_stream_cut_between_offer_and_binding_is_taken_up_by_token_by_either_api() -> None:
    async with served() as (its, service, stubs):
        for machine in its.fleet.machines.values():
            machine.troubles.late_ms = 400.0
        call = stubs.jobs.Bindings()
        await call.write(Open)
        await call.write(credits(10))
        await call.write(submit("one", "blend"))
        while (await asyncio.wait_for(call.read(), 20)).WhichOneof("event") != "offered":
            pass
        call.cancel()
        client = its.client(service)
        job = await client.wait_answers(await client.submit("climate", spec("blend", clientToken="one")))
        assert job.status is not None and job.status.tasks[0].answer == "Placed"
        again = stubs.jobs.Bindings()
        await again.write(Open)
        await again.write(credits(10))
        await again.write(submit("other-ref", "blend", clientToken="one"))
        events = [(await asyncio.wait_for(again.read(), 20)) for _ in range(3)]
        assert [event.WhichOneof("event") for event in events] == ["accepted", "offered", "bound"]
        assert not events[0].accepted.created and events[0].accepted.uid == job.metadata.uid
        assert len(its.events("start")) == 1
        again.cancel()


async def test_a_withdrawn_job_is_gone_and_a_deleted_one_is_told() -> None:
    async with served() as (its, service, stubs):
        call = stubs.jobs.Bindings()
        await call.write(Open)
        await call.write(credits(100))
        await call.write(submit("mine"))
        await call.write(submit("theirs"))
        names: dict[str, str] = {}
        while len(names) < 2 or service.controller.open_tasks:
            event = await asyncio.wait_for(call.read(), 20)
            if event.HasField("accepted"):
                names[event.ref] = event.accepted.name
        await call.write(pb.BindingsRequest(withdraw=pb.BindingsRequest.Withdraw(ref="mine")))
        await until(lambda: service.store.count(JOBS) == 1)
        await its.client(service).delete_job("climate", names["theirs"])
        while True:
            event = await asyncio.wait_for(call.read(), 20)
            if event.HasField("deleted"):
                assert event.ref == "theirs"
                break
        call.cancel()


@pytest.mark.parametrize(
    ("first", "code"),
    [
        (credits(5), grpc.StatusCode.INVALID_ARGUMENT),
        (pb.BindingsRequest(), grpc.StatusCode.INVALID_ARGUMENT),
        (
            pb.BindingsRequest(open=pb.BindingsRequest.Open.FromString(b"\x0a\x01a\x10\x63")),  # detail 99
            grpc.StatusCode.INVALID_ARGUMENT,
        ),
    ],
)
async def test_a_stream_that_does_not_begin_right_is_told_why(
    first: pb.BindingsRequest, code: grpc.StatusCode
) -> None:
    async with served() as (_, _service, stubs):
        call = stubs.jobs.Bindings()
        await call.write(first)
        with pytest.raises(grpc.aio.AioRpcError):
            await call.read()
        assert await call.code() is code and "open" in str(await call.details())


# ---- Bounds ------------------------------------------------------------------------------------------------


async def test_large_messages_and_metadata_are_refused_and_the_server_goes_on() -> None:
    async with served() as (_, _service, stubs):
        huge = pb.SubmitRequest(namespace="climate", spec=job_spec())
        huge.metadata.annotations["a"] = "x" * (50 << 20)
        code, _ = await refused(stubs.jobs.Submit(huge))
        assert code is grpc.StatusCode.RESOURCE_EXHAUSTED
        bomb = tuple((f"k{number}", "v" * 1000) for number in range(200))
        code, _ = await refused(stubs.jobs.Get(pb.GetRequest(namespace="a", name="b"), metadata=bomb))
        assert code in (grpc.StatusCode.RESOURCE_EXHAUSTED, grpc.StatusCode.UNAVAILABLE)
        code, error = await refused(stubs.jobs.Get(pb.GetRequest(namespace="a", name="b")))
        assert code is grpc.StatusCode.NOT_FOUND and error is not None


async def test_streams_are_bounded() -> None:
    async with served(1, "limits.watches=3") as (_, service, stubs):
        open_calls = [stubs.jobs.Bindings() for _ in range(3)]
        for call in open_calls:
            await call.write(Open)
        assert service.grpc is not None
        streams = service.grpc.streams
        await until(lambda: len(streams) == 3)
        code, error = await refused(_first(stubs.jobs.Watch(pb.WatchRequest())))
        assert code is grpc.StatusCode.RESOURCE_EXHAUSTED and error is not None and error.retry_after_s
        for call in open_calls:
            call.cancel()
        await until(lambda: len(streams) == 0)


async def test_connections_are_bounded() -> None:
    async with served(1, "limits.connections=3") as (_, service, _stubs):
        channels = [
            grpc.aio.insecure_channel(
                service.grpc_target, options=[("grpc.use_local_subchannel_pool", 1), ("x", number)]
            )
            for number in range(6)
        ]

        async def is_up(channel: grpc.aio.Channel) -> bool:
            try:
                await asyncio.wait_for(channel.channel_ready(), 2.0)
            except TimeoutError:
                return False
            return True

        up = await asyncio.gather(*(is_up(channel) for channel in channels))
        for channel in channels:
            await channel.close()
        assert 1 <= sum(up) <= 3


async def _first(call: Any) -> Any:
    async for message in call:
        return message


async def test_a_call_that_its_client_gives_up_leaves_nothing() -> None:
    async with served() as (_, service, stubs):
        with pytest.raises(grpc.aio.AioRpcError) as caught:
            async for _ in stubs.jobs.Watch(pb.WatchRequest(), timeout=0.2):
                pass
        assert caught.value.code() is grpc.StatusCode.DEADLINE_EXCEEDED
        assert service.grpc is not None
        streams = service.grpc.streams
        await until(lambda: not len(streams) and not service.store.watch_count(JOBS))


async def test_health_says_whether_jobs_are_taken() -> None:
    async with served() as (_, service, stubs):
        stub: Any = health_pb2_grpc.HealthStub(stubs.channel)
        request = health_pb2.HealthCheckRequest(service="kelpfront.v1.Jobs")
        assert (await stub.Check(request)).status == health_pb2.HealthCheckResponse.SERVING
        watching = stub.Watch(request)
        assert (await watching.read()).status == health_pb2.HealthCheckResponse.SERVING
        stopping = asyncio.create_task(service.stop())
        assert (await watching.read()).status == health_pb2.HealthCheckResponse.NOT_SERVING
        await stopping


async def test_when_the_placer_stops_streams_are_told() -> None:
    async with served() as (_, service, stubs):
        call = stubs.jobs.Bindings()
        await call.write(Open)
        watching = stubs.jobs.Watch(pb.WatchRequest())
        seen = asyncio.create_task(_all(watching))
        assert service.grpc is not None
        streams = service.grpc.streams
        await until(lambda: len(streams) == 2)
        await service.stop()
        with pytest.raises(grpc.aio.AioRpcError):
            await call.read()
        assert await call.code() is grpc.StatusCode.UNAVAILABLE
        error = error_of(await call.code(), "", await call.trailing_metadata())
        assert error is not None and error.retry_after_s
        events = await seen
        assert events[-1].type == pb.EVENT_TYPE_BOOKMARK and events[-1].resume_token


async def _all(call: Any) -> list[Any]:
    return [event async for event in call]


async def test_a_client_that_knows_only_reflection_submits_a_job() -> None:
    """Without any code of this project: the server's descriptors are enough."""
    async with served() as (_, service, _stubs):

        def stock() -> str:
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

        name = await asyncio.to_thread(stock)
        assert service.store.find(JOBS, ("climate", name)) is not None


# ---- The session, without sockets --------------------------------------------------------------------------


def session_job(state: str, answer: str = "", attempts: int = 1, end: str = "") -> dict[str, Any]:
    tries = [{"attempt": n, "machine": f"n{n}", "sentAt": "", "end": "refused"} for n in range(attempts)]
    if tries:
        tries[-1]["end"] = end
    task = {"index": 0, "uid": "u-0", "state": state, "attempts": tries}
    return {
        "metadata": {"name": "j", "uid": "u"},
        "status": {"tasks": [task | ({"answer": answer} if answer else {})]},
    }


def kinds(session: BindingSession, most: int = 100) -> list[str | None]:
    return [event.WhichOneof("event") for event in session.next_events(most)]


def test_a_session_tells_everything_once_however_late_it_is_read() -> None:
    session = BindingSession(answers_only=False)
    session.record_submission("r", session_job("Pending", attempts=0), created=True)
    for attempts in (1, 2, 3):
        session.record_change("r", session_job("Placing", attempts=attempts))
    session.record_change("r", session_job("Ended", "Placed", attempts=3, end="ended"))
    assert kinds(session) == []
    session.grant_credits(2)
    assert kinds(session) == ["accepted", "offered"]
    session.grant_credits(100)
    told = kinds(session)
    assert told == ["offer_ended", "offered", "offer_ended", "offered", "bound", "over"] or told == [
        "offer_ended",
        "offered",
        "offer_ended",
        "offered",
        "offer_ended",
        "bound",
        "over",
    ]
    assert not session.refs and kinds(session) == []


def test_a_session_that_wants_answers_only_gets_these() -> None:
    session = BindingSession(answers_only=True)
    session.grant_credits(100)
    session.record_submission("r", session_job("Refused", "Refused", attempts=4, end="refused"), created=True)
    assert kinds(session) == ["accepted", "refused"] and not session.refs


def test_a_session_is_bounded() -> None:
    session = BindingSession(answers_only=False)
    for number in range(MAX_STREAM_JOBS):
        session.check_ref(f"r{number}")
        session.record_submission(f"r{number}", session_job("Pending", attempts=0), created=True)
    with pytest.raises(ApiError, match="which is the most"):
        session.check_ref("more")
    with pytest.raises(ApiError, match="on this stream already"):
        session.check_ref("r1")
    for wrong in (0, -1, MAX_CREDITS + 1):
        with pytest.raises(ApiError, match="credits"):
            session.grant_credits(wrong)
    session.grant_credits(MAX_CREDITS)
    session.grant_credits(MAX_CREDITS)
    assert session.credits == MAX_CREDITS


def test_rejections_that_nobody_reads_are_bounded() -> None:
    session = BindingSession(answers_only=False)
    for number in range(MAX_REJECTIONS):
        session.record_rejection(f"r{number}", ApiError(422, "x"))
    with pytest.raises(ApiError, match="rejections wait"):
        session.record_rejection("more", ApiError(422, "x"))
    session.grant_credits(1)
    assert kinds(session) == ["rejected"] and not session.is_drained


async def test_a_client_that_sends_nonsense_and_reads_nothing_is_cut_off() -> None:
    async with served(1) as (_, service, stubs):
        call = stubs.jobs.Bindings()
        await call.write(Open)
        for number in range(MAX_REJECTIONS + 1):
            await call.write(submit(f"r{number}", "nope"))
        with pytest.raises(grpc.aio.AioRpcError) as caught:
            await call.read()
        assert caught.value.code() is grpc.StatusCode.RESOURCE_EXHAUSTED
        assert service.grpc is not None
        streams = service.grpc.streams
        await until(lambda: not len(streams))


def test_a_second_submission_by_a_ref_that_is_in_use_is_rejected_and_the_first_goes_on() -> None:
    session = BindingSession(answers_only=False)
    session.grant_credits(100)
    session.record_submission("r", session_job("Pending", attempts=0), created=True)
    for _ in range(3):
        session.record_rejection("r", ApiError(409, "x", reason="AlreadyExists"))
    told = sorted(str(kind) for kind in kinds(session))
    assert told == ["accepted", "rejected", "rejected", "rejected"]
    session.record_change("r", session_job("Running", "Placed"))
    assert kinds(session) == ["offered", "bound"]
