"""Helpers that call the gRPC API of a placer through the generated stubs."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import grpc
import pytest
from clusters import QUICK, TestCluster, cluster, spec

from kelpfront.api.errors import ApiError
from kelpfront.lab.standins import FleetModel
from kelpfront.rpc.jobs import spec_message
from kelpfront.rpc.status import error_from_status
from kelpfront.service.placer import PlacerService
from kelpfront.v1 import api_pb2 as pb
from kelpfront.v1 import api_pb2_grpc, resources_pb2

GRPC_SETTINGS = ("placer.grpc=127.0.0.1:0",)

OPEN_REQUEST = pb.BindingsRequest(open=pb.BindingsRequest.Open(namespace="climate"))


class Stubs:
    def __init__(self, target: str, **options: Any) -> None:
        self.channel = grpc.aio.insecure_channel(target, options=list(options.items()))
        self.jobs: Any = api_pb2_grpc.JobsStub(self.channel)
        self.machines: Any = api_pb2_grpc.MachinesStub(self.channel)


@asynccontextmanager
async def grpc_cluster(
    machines: int = 2, *overrides: str, model: FleetModel = QUICK
) -> AsyncIterator[tuple[TestCluster, PlacerService, Stubs]]:
    async with cluster(machines, *GRPC_SETTINGS, *overrides, model=model) as (test_cluster, service, _):
        stubs = Stubs(service.grpc_target)
        try:
            yield test_cluster, service, stubs
        finally:
            await stubs.channel.close()


def job_spec(class_name: str = "web", **changes: Any) -> resources_pb2.JobSpec:
    return spec_message(spec(class_name, **changes).model_dump(by_alias=True, exclude_none=True))


def submit_request(ref: str, class_name: str = "web", **changes: Any) -> pb.BindingsRequest:
    changes.setdefault("clientToken", ref)
    return pb.BindingsRequest(submit=pb.BindingsRequest.Submit(ref=ref, spec=job_spec(class_name, **changes)))


def credits_request(count: int) -> pb.BindingsRequest:
    return pb.BindingsRequest(credits=count)


async def call_error(call: Any) -> tuple[grpc.StatusCode, ApiError | None]:
    with pytest.raises(grpc.aio.AioRpcError) as caught:
        await call
    error = caught.value
    return error.code(), error_from_status(error.code(), error.details() or "", error.trailing_metadata())


async def first_message(call: Any) -> Any:
    return await anext(aiter(call), None)


async def all_messages(call: Any) -> list[Any]:
    return [message async for message in call]
