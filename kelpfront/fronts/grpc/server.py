"""The gRPC server of a placer: services, health, reflection, and what one client may take of it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import grpc
from grpc_health.v1 import health, health_pb2, health_pb2_grpc
from grpc_reflection.v1alpha import reflection

from kelpfront.api.errors import ApiError
from kelpfront.controller.operations import Operations
from kelpfront.fronts.grpc.services import JobsService, MachinesService
from kelpfront.http.pacing import RequestPacer
from kelpfront.v1 import api_pb2, api_pb2_grpc

SERVICES = tuple(api_pb2.DESCRIPTOR.services_by_name[name].full_name for name in ("Jobs", "Machines"))
CLOSE_S = 2.0


@dataclass(frozen=True, slots=True)
class GrpcLimits:
    """What one server spends on its clients."""

    connections: int = 10_000
    message_bytes: int = 1 << 20  # of a request
    metadata_bytes: int = 16 << 10  # of a call
    streams_a_connection: int = 100  # calls at a time, watches among them
    streams: int = 10_000  # watches and Bindings, of all clients
    ping_least_ms: int = 10_000  # between pings of a client; one that pings more often is cut off
    idle_ms: int = 3_600_000  # a connection without calls is closed after this


class OpenStreams:
    def __init__(self, most: int) -> None:
        self._most = most
        self._number = 0
        self._stops: dict[int, Callable[[], None]] = {}

    def __len__(self) -> int:
        return len(self._stops)

    def enter(self, stop: Callable[[], None]) -> Callable[[], None]:
        if len(self._stops) >= self._most:
            raise ApiError(429, f"{self._most} streams are open, which is the most", retry_after_s=1)
        self._number += 1
        number = self._number
        self._stops[number] = stop
        return lambda: self._stops.pop(number, None) and None

    def stop_all(self) -> None:
        for stop in list(self._stops.values()):
            stop()


class GrpcFront:
    """`changed` is called after anything was told to the controller; `ready` says why no jobs are taken."""

    def __init__(
        self,
        operations: Operations,
        common_now: Callable[[], float],
        pacer: RequestPacer,
        changed: Callable[[], None],
        limits: GrpcLimits | None = None,
    ) -> None:
        self.limits = limits or GrpcLimits()
        self.streams = OpenStreams(self.limits.streams)
        self.port = 0
        parts = operations, common_now, pacer, self.streams, changed
        self._jobs, self._machines = JobsService(*parts), MachinesService(*parts)
        self._health = health.aio.HealthServicer()
        self._server: grpc.aio.Server | None = None

    async def start(self, address: str) -> None:
        """Listens; OSError where the address cannot be had."""
        limits = self.limits
        server = grpc.aio.server(
            options=[
                ("grpc.max_allowed_incoming_connections", limits.connections),
                ("grpc.max_receive_message_length", limits.message_bytes),
                ("grpc.max_metadata_size", limits.metadata_bytes),
                ("grpc.absolute_max_metadata_size", 2 * limits.metadata_bytes),
                ("grpc.max_concurrent_streams", limits.streams_a_connection),
                ("grpc.http2.min_recv_ping_interval_without_data_ms", limits.ping_least_ms),
                ("grpc.http2.max_ping_strikes", 3),
                ("grpc.max_connection_idle_ms", limits.idle_ms),
                ("grpc.keepalive_time_ms", 30_000),
                ("grpc.keepalive_timeout_ms", 20_000),
                ("grpc.so_reuseport", 0),
            ]
        )
        api_pb2_grpc.add_JobsServicer_to_server(self._jobs, server)
        api_pb2_grpc.add_MachinesServicer_to_server(self._machines, server)
        health_pb2_grpc.add_HealthServicer_to_server(self._health, server)
        names = (*SERVICES, health.SERVICE_NAME, reflection.SERVICE_NAME)
        reflection.enable_server_reflection(names, server)
        try:
            self.port = server.add_insecure_port(address)
        except RuntimeError:
            self.port = 0
        if not self.port:
            raise OSError(f"{address}: cannot be listened on")
        self._server = server
        await self.set_ready(False)
        await server.start()

    async def set_ready(self, ready: bool) -> None:
        """What the standard health service says of the API's services; the server as a whole lives."""
        serving = health_pb2.HealthCheckResponse.SERVING
        state = serving if ready else health_pb2.HealthCheckResponse.NOT_SERVING
        await self._health.set("", serving)
        for name in SERVICES:
            await self._health.set(name, state)

    def end_streams(self) -> None:
        """Lets every watch end behind a last token, and every Bindings stream say that the placer stops."""
        self.streams.stop_all()

    async def close(self, within_s: float = CLOSE_S) -> None:
        if self._server is not None:
            server, self._server = self._server, None
            await server.stop(within_s)
