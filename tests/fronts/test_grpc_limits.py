"""Tests the limits on clients of the gRPC API, the health service, and how calls and streams end."""

from __future__ import annotations

import asyncio
from typing import Any

import grpc
import pytest
from grpc_calls import OPEN_REQUEST, all_messages, call_error, first_message, grpc_cluster, job_spec
from grpc_health.v1 import health_pb2, health_pb2_grpc
from waiting import until

from kelpfront.api.meta import JOBS
from kelpfront.rpc.status import error_from_status
from kelpfront.v1 import api_pb2 as pb


async def test_large_messages_and_metadata_are_rejected_and_the_server_continues() -> None:
    async with grpc_cluster() as (_, _service, stubs):
        large_request = pb.SubmitRequest(namespace="climate", spec=job_spec())
        large_request.metadata.annotations["a"] = "x" * (50 << 20)
        code, _ = await call_error(stubs.jobs.Submit(large_request))
        assert code is grpc.StatusCode.RESOURCE_EXHAUSTED
        large_metadata = tuple((f"k{number}", "v" * 1000) for number in range(200))
        code, _ = await call_error(
            stubs.jobs.Get(pb.GetRequest(namespace="a", name="b"), metadata=large_metadata)
        )
        assert code in (grpc.StatusCode.RESOURCE_EXHAUSTED, grpc.StatusCode.UNAVAILABLE)
        code, error = await call_error(stubs.jobs.Get(pb.GetRequest(namespace="a", name="b")))
        assert code is grpc.StatusCode.NOT_FOUND
        assert error is not None


async def test_the_number_of_streams_is_limited() -> None:
    async with grpc_cluster(1, "limits.watches=3") as (_, service, stubs):
        open_calls = [stubs.jobs.Bindings() for _ in range(3)]
        for call in open_calls:
            await call.write(OPEN_REQUEST)
        assert service.grpc is not None
        streams = service.grpc.streams
        await until(lambda: len(streams) == 3)
        code, error = await call_error(first_message(stubs.jobs.Watch(pb.WatchRequest())))
        assert code is grpc.StatusCode.RESOURCE_EXHAUSTED
        assert error is not None
        assert error.retry_after_s
        for call in open_calls:
            call.cancel()
        await until(lambda: len(streams) == 0)


async def test_the_number_of_connections_is_limited() -> None:
    async with grpc_cluster(1, "limits.connections=3") as (_, service, _stubs):
        channels = [
            grpc.aio.insecure_channel(
                service.grpc_target, options=[("grpc.use_local_subchannel_pool", 1), ("x", number)]
            )
            for number in range(6)
        ]

        async def is_connected(channel: grpc.aio.Channel) -> bool:
            try:
                await asyncio.wait_for(channel.channel_ready(), 2.0)
            except TimeoutError:
                return False
            return True

        connected = await asyncio.gather(*(is_connected(channel) for channel in channels))
        for channel in channels:
            await channel.close()
        assert 1 <= sum(connected) <= 3


async def test_a_call_whose_deadline_passes_leaves_no_watch() -> None:
    async with grpc_cluster() as (_, service, stubs):
        with pytest.raises(grpc.aio.AioRpcError) as caught:
            async for _ in stubs.jobs.Watch(pb.WatchRequest(), timeout=0.2):
                pass
        assert caught.value.code() is grpc.StatusCode.DEADLINE_EXCEEDED
        assert service.grpc is not None
        streams = service.grpc.streams
        await until(lambda: not len(streams) and not service.store.watch_count(JOBS))


async def test_the_health_service_reports_whether_jobs_are_accepted() -> None:
    async with grpc_cluster() as (_, service, stubs):
        stub: Any = health_pb2_grpc.HealthStub(stubs.channel)
        request = health_pb2.HealthCheckRequest(service="kelpfront.v1.Jobs")
        assert (await stub.Check(request)).status == health_pb2.HealthCheckResponse.SERVING
        watch_call = stub.Watch(request)
        assert (await watch_call.read()).status == health_pb2.HealthCheckResponse.SERVING
        stop_task = asyncio.create_task(service.stop())
        assert (await watch_call.read()).status == health_pb2.HealthCheckResponse.NOT_SERVING
        await stop_task


async def test_streams_end_with_a_token_or_a_status_when_the_placer_stops() -> None:
    async with grpc_cluster() as (_, service, stubs):
        call = stubs.jobs.Bindings()
        await call.write(OPEN_REQUEST)
        watch_call = stubs.jobs.Watch(pb.WatchRequest())
        read_task = asyncio.create_task(all_messages(watch_call))
        assert service.grpc is not None
        streams = service.grpc.streams
        await until(lambda: len(streams) == 2)
        await service.stop()
        with pytest.raises(grpc.aio.AioRpcError):
            await call.read()
        assert await call.code() is grpc.StatusCode.UNAVAILABLE
        error = error_from_status(await call.code(), "", await call.trailing_metadata())
        assert error is not None
        assert error.retry_after_s
        events = await read_task
        assert events[-1].type == pb.EVENT_TYPE_BOOKMARK
        assert events[-1].resume_token
