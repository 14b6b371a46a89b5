"""What clients of the gRPC API may take of a placer, and what is left of them."""

from __future__ import annotations

import asyncio
from typing import Any

import grpc
import pytest
from grpc_calls import Open, all_messages, first_message, job_spec, refused, served
from grpc_health.v1 import health_pb2, health_pb2_grpc
from waiting import until

from kelpfront.api.meta import JOBS
from kelpfront.rpc.status import error_of
from kelpfront.v1 import api_pb2 as pb


async def test_large_messages_and_metadata_are_rejected_and_the_server_continues() -> None:
    async with served() as (_, _service, stubs):
        huge = pb.SubmitRequest(namespace="climate", spec=job_spec())
        huge.metadata.annotations["a"] = "x" * (50 << 20)
        code, _ = await refused(stubs.jobs.Submit(huge))
        assert code is grpc.StatusCode.RESOURCE_EXHAUSTED
        bomb = tuple((f"k{number}", "v" * 1000) for number in range(200))
        code, _ = await refused(stubs.jobs.Get(pb.GetRequest(namespace="a", name="b"), metadata=bomb))
        assert code in (grpc.StatusCode.RESOURCE_EXHAUSTED, grpc.StatusCode.UNAVAILABLE)
        code, error = await refused(stubs.jobs.Get(pb.GetRequest(namespace="a", name="b")))
        assert code is grpc.StatusCode.NOT_FOUND
        assert error is not None


async def test_the_number_of_streams_is_limited() -> None:
    async with served(1, "limits.watches=3") as (_, service, stubs):
        open_calls = [stubs.jobs.Bindings() for _ in range(3)]
        for call in open_calls:
            await call.write(Open)
        assert service.grpc is not None
        streams = service.grpc.streams
        await until(lambda: len(streams) == 3)
        code, error = await refused(first_message(stubs.jobs.Watch(pb.WatchRequest())))
        assert code is grpc.StatusCode.RESOURCE_EXHAUSTED
        assert error is not None
        assert error.retry_after_s
        for call in open_calls:
            call.cancel()
        await until(lambda: len(streams) == 0)


async def test_the_number_of_connections_is_limited() -> None:
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


async def test_a_call_whose_deadline_passes_leaves_no_watch() -> None:
    async with served() as (_, service, stubs):
        with pytest.raises(grpc.aio.AioRpcError) as caught:
            async for _ in stubs.jobs.Watch(pb.WatchRequest(), timeout=0.2):
                pass
        assert caught.value.code() is grpc.StatusCode.DEADLINE_EXCEEDED
        assert service.grpc is not None
        streams = service.grpc.streams
        await until(lambda: not len(streams) and not service.store.watch_count(JOBS))


async def test_the_health_service_reports_whether_jobs_are_accepted() -> None:
    async with served() as (_, service, stubs):
        stub: Any = health_pb2_grpc.HealthStub(stubs.channel)
        request = health_pb2.HealthCheckRequest(service="kelpfront.v1.Jobs")
        assert (await stub.Check(request)).status == health_pb2.HealthCheckResponse.SERVING
        watching = stub.Watch(request)
        assert (await watching.read()).status == health_pb2.HealthCheckResponse.SERVING
        stopping = asyncio.create_task(service.stop())
        assert (await watching.read()).status == health_pb2.HealthCheckResponse.NOT_SERVING
        await stopping


async def test_streams_end_with_a_token_or_a_status_when_the_placer_stops() -> None:
    async with served() as (_, service, stubs):
        call = stubs.jobs.Bindings()
        await call.write(Open)
        watching = stubs.jobs.Watch(pb.WatchRequest())
        reading = asyncio.create_task(all_messages(watching))
        assert service.grpc is not None
        streams = service.grpc.streams
        await until(lambda: len(streams) == 2)
        await service.stop()
        with pytest.raises(grpc.aio.AioRpcError):
            await call.read()
        assert await call.code() is grpc.StatusCode.UNAVAILABLE
        error = error_of(await call.code(), "", await call.trailing_metadata())
        assert error is not None
        assert error.retry_after_s
        events = await reading
        assert events[-1].type == pb.EVENT_TYPE_BOOKMARK
        assert events[-1].resume_token
