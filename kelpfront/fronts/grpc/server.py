"""The gRPC server of a placer: its services, health checks, reflection and limits on clients."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import grpc
from grpc_health.v1 import health, health_pb2, health_pb2_grpc
from grpc_reflection.v1alpha import reflection

from kelpfront.controller.operations import Operations
from kelpfront.fronts.grpc.jobs_service import JobsService
from kelpfront.fronts.grpc.machines_service import MachinesService
from kelpfront.fronts.grpc.service_context import ServiceContext
from kelpfront.fronts.open_streams import OpenStreams
from kelpfront.http.pacing import RequestPacer
from kelpfront.v1 import api_pb2, api_pb2_grpc

SERVICE_NAMES = tuple(api_pb2.DESCRIPTOR.services_by_name[name].full_name for name in ("Jobs", "Machines"))
CLOSE_TIMEOUT_S = 2.0
"""Time for open calls to finish; then they are cancelled."""
MAX_PING_STRIKES = 3
"""The number of pings that a client may send too early before it is disconnected."""
KEEPALIVE_INTERVAL_MS = 30_000
KEEPALIVE_TIMEOUT_MS = 20_000
"""A connection is closed if its client does not answer a ping for this long."""


@dataclass(frozen=True, slots=True)
class GrpcLimits:
    """Limits on the resources that clients can use.

    Attributes:
        connections: maximum number of connections of all clients.
        message_bytes: maximum size of a request.
        metadata_bytes: maximum size of a call's metadata.
        calls_per_connection: maximum number of concurrent calls on a connection, including watches.
        streams: maximum number of open watches and Bindings streams of all clients.
        min_ping_interval_ms: minimum time between pings; a client that pings more often is disconnected.
        idle_ms: time after which a connection without calls is closed.
    """

    connections: int = 10_000
    message_bytes: int = 1 << 20
    metadata_bytes: int = 16 << 10
    calls_per_connection: int = 100
    streams: int = 10_000
    min_ping_interval_ms: int = 10_000
    idle_ms: int = 3_600_000

    def channel_options(self) -> list[tuple[str, int]]:
        """Return the limits as options for the gRPC server."""
        return [
            ("grpc.max_allowed_incoming_connections", self.connections),
            ("grpc.max_receive_message_length", self.message_bytes),
            ("grpc.max_metadata_size", self.metadata_bytes),
            ("grpc.absolute_max_metadata_size", 2 * self.metadata_bytes),
            ("grpc.max_concurrent_streams", self.calls_per_connection),
            ("grpc.http2.min_recv_ping_interval_without_data_ms", self.min_ping_interval_ms),
            ("grpc.http2.max_ping_strikes", MAX_PING_STRIKES),
            ("grpc.max_connection_idle_ms", self.idle_ms),
            ("grpc.keepalive_time_ms", KEEPALIVE_INTERVAL_MS),
            ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
            ("grpc.so_reuseport", 0),
        ]


class GrpcFront:
    """The gRPC API of one placer.

    Args:
        operations: executes the requests.
        common_now: returns the common clock's time, in milliseconds since the epoch.
        pacer: the request pacer, shared with the REST API.
        notify_changed: called after each request that may have changed the controller's serving_status.
        limits: the limits on clients; the defaults if None.

    Attributes:
        port: the port that the server listens on; 0 before the start.
        streams: the open streams.
    """

    def __init__(
        self,
        operations: Operations,
        common_now: Callable[[], float],
        pacer: RequestPacer,
        notify_changed: Callable[[], None],
        limits: GrpcLimits | None = None,
    ) -> None:
        self.limits = limits or GrpcLimits()
        self.streams = OpenStreams(self.limits.streams)
        self.port = 0
        service = ServiceContext(operations, common_now, pacer, self.streams, notify_changed)
        self._jobs = JobsService(service)
        self._machines = MachinesService(service)
        self._health = health.aio.HealthServicer()
        self._server: grpc.aio.Server | None = None

    async def start(self, address: str) -> None:
        """Start to listen on `address`, as HOST:PORT.

        Raises:
            OSError: if the server cannot listen on the address.
        """
        server = grpc.aio.server(options=self.limits.channel_options())
        api_pb2_grpc.add_JobsServicer_to_server(self._jobs, server)
        api_pb2_grpc.add_MachinesServicer_to_server(self._machines, server)
        health_pb2_grpc.add_HealthServicer_to_server(self._health, server)
        names = (*SERVICE_NAMES, health.SERVICE_NAME, reflection.SERVICE_NAME)
        reflection.enable_server_reflection(names, server)
        self.port = _add_port(server, address)
        self._server = server
        await self.set_ready(ready=False)
        await server.start()

    async def set_ready(self, *, ready: bool) -> None:
        """Report through the standard health service whether jobs are accepted.

        The server as a whole, under the empty name, is always reported as serving.
        """
        serving = health_pb2.HealthCheckResponse.SERVING
        serving_status = serving if ready else health_pb2.HealthCheckResponse.NOT_SERVING
        await self._health.set("", serving)
        for name in SERVICE_NAMES:
            await self._health.set(name, serving_status)

    def end_streams(self) -> None:
        """Ask all streams to end: watches with a last resume token, Bindings streams with UNAVAILABLE."""
        self.streams.stop_all()

    async def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Accept no more calls, and cancel those that have not ended within `timeout_s`."""
        if self._server is not None:
            server = self._server
            self._server = None
            await server.stop(timeout_s)


def _add_port(server: grpc.aio.Server, address: str) -> int:
    try:
        port = server.add_insecure_port(address)
    except RuntimeError as error:
        raise OSError(f"cannot listen on {address}") from error
    if not port:
        raise OSError(f"cannot listen on {address}")
    return port
