"""gRPC channels to machines: their options, connecting, and calls outside of the stream.

The stream and its reconnects are handled by the link.
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
"""gRPC must not retry, which would send an offer twice, nor share a connection between channels."""


async def wait_until_connected(channel: grpc.aio.Channel) -> None:
    """Return when the channel is connected. Raises ValueError if the connection fails."""
    state = channel.get_state(try_to_connect=True)
    while state is not grpc.ChannelConnectivity.READY:
        if state is grpc.ChannelConnectivity.TRANSIENT_FAILURE:
            raise ValueError("cannot be connected to")
        await channel.wait_for_state_change(state)
        state = channel.get_state(try_to_connect=True)


async def read_output(target: str, request: pb.LogRequest) -> bytes | None:
    """Return a task's output over a separate connection, or None if the machine has none.

    Raises TaskOutputUnavailableError if the machine does not answer.
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
