"""The gRPC server of a machine, which implements node.proto with one stream for each placer.

It shares its `MachineServer` with HTTP and serves each placer's stream by a `PlacerLink`. The node makes the
decisions and `grpc_conversion` converts the messages.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import grpc

from kelpfront.http.messages import AbortConnection
from kelpfront.machine.grpc_link import PlacerLink
from kelpfront.machine.server import MachineServer
from kelpfront.v1 import node_pb2 as pb
from kelpfront.v1 import node_pb2_grpc as rpc

Context = grpc.aio.ServicerContext

MAX_CONNECTIONS = 2_000  # a placer holds one; the rest is for placers that reconnect
MAX_STREAMS_PER_CONNECTION = 100
MAX_MESSAGE_BYTES = 1 << 20  # of a placer's message; the largest is an offer with its command and labels
MIN_PING_INTERVAL_MS = 5_000  # placers ping more often than gRPC's default allows
LOG_FRAGMENT_BYTES = 256 << 10

LogReader = Callable[[str, int, int], Awaitable[bytes | None]]


class GrpcNode(rpc.NodeServicer):
    """Serves a machine over gRPC.

    `read_log` returns the last bytes of a task's output, given the task, the attempt and the number of bytes;
    it is None if the machine keeps no output.
    """

    def __init__(self, server: MachineServer, read_log: LogReader | None = None) -> None:
        self._server = server
        self._read_log = read_log
        self._grpc: grpc.aio.Server | None = None
        self.port = 0

    async def start(self, address: str, *, reuse_port: bool = False) -> None:
        """Listen on an address; raises OSError if that fails."""
        server = grpc.aio.server(
            options=[
                ("grpc.so_reuseport", int(reuse_port)),
                ("grpc.max_allowed_incoming_connections", MAX_CONNECTIONS),
                ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
                ("grpc.max_concurrent_streams", MAX_STREAMS_PER_CONNECTION),
                ("grpc.http2.min_recv_ping_interval_without_data_ms", MIN_PING_INTERVAL_MS),
            ]
        )
        rpc.add_NodeServicer_to_server(self, server)
        try:
            self.port = server.add_insecure_port(address)
        except RuntimeError as error:
            self.port = 0
            raise OSError(f"cannot listen on {address}") from error
        if not self.port:
            raise OSError(f"cannot listen on {address}")
        self._grpc = server
        await server.start()

    async def close(self) -> None:
        """Close all streams and stop serving."""
        if self._grpc is not None:
            server = self._grpc
            self._grpc = None
            await server.stop(0.0)

    async def Link(  # noqa: N802 - the name of the call in node.proto
        self, requests: AsyncIterator[pb.PlacerMessage], context: Context[Any, Any]
    ) -> None:
        """Serve a placer's stream until it ends."""
        if self._server.closed.is_set():
            await context.abort(grpc.StatusCode.UNAVAILABLE, "it ends")
        first = await anext(aiter(requests), None)
        if first is None or first.WhichOneof("message") != "open" or not first.open.placer:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "open: is to be the first, with a placer")
            return
        link = PlacerLink(self._server, first.open, context)
        try:
            await link.run(requests)
        except AbortConnection:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "broken off")

    async def Log(  # noqa: N802 - the name of the call in node.proto
        self, request: pb.LogRequest, context: Context[Any, Any]
    ) -> AsyncIterator[pb.LogPiece]:
        """Serve the last bytes of a task's output, in fragments."""
        text = None
        if self._read_log is not None:
            text = await self._read_log(request.task, request.attempt, request.tail_bytes)
        if text is None:
            await context.abort(grpc.StatusCode.NOT_FOUND, f"task {request.task!r}: no output is kept here")
            return
        for start in range(0, len(text), LOG_FRAGMENT_BYTES):
            yield pb.LogPiece(data=text[start : start + LOG_FRAGMENT_BYTES])
