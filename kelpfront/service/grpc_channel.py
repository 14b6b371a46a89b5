"""gRPC channels to machines: their options, their connection, and calls that need no stream.

The stream and its reconnects are left to the link.
"""

from __future__ import annotations

from typing import Any

import grpc

from kelpfront.service.machine_link import (
    MAX_MESSAGE_BYTES,
    TASK_OUTPUT_TIMEOUT_S,
    TaskOutputUnavailableError,
)
from kelpfront.v1 import node_pb2 as pb
from kelpfront.v1 import node_pb2_grpc as rpc

CHANNEL_OPTIONS = [
    ("grpc.enable_retries", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.http2.max_pings_without_data", 0),
]
"""No retry of gRPC's own, which would send an offer twice, and no connection shared with another channel."""


async def wait_until_connected(channel: grpc.aio.Channel) -> None:
    """Return when the channel is connected. Raises ValueError where it cannot be."""
    state = channel.get_state(try_to_connect=True)
    while state is not grpc.ChannelConnectivity.READY:
        if state is grpc.ChannelConnectivity.TRANSIENT_FAILURE:
            raise ValueError("cannot be connected to")
        await channel.wait_for_state_change(state)
        state = channel.get_state(try_to_connect=True)


async def read_output(target: str, request: pb.LogRequest) -> bytes | None:
    """Return a task's output over a connection of its own, or None where the machine has none.

    Raises TaskOutputUnavailableError where the machine does not answer.
    """
    async with grpc.aio.insecure_channel(target, options=CHANNEL_OPTIONS) as channel:
        stub: Any = rpc.NodeStub(channel)
        try:
            fragments = [part.data async for part in stub.Log(request, timeout=TASK_OUTPUT_TIMEOUT_S)]
        except grpc.aio.AioRpcError as error:
            if error.code() is grpc.StatusCode.NOT_FOUND:
                return None
            raise TaskOutputUnavailableError(error.details() or "") from error
    return b"".join(fragments)
