"""The dependencies that the services of the gRPC API share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from kelpfront.controller.operations import Operations
from kelpfront.fronts.open_streams import OpenStreams
from kelpfront.http.pacing import RequestPacer


@dataclass(frozen=True, slots=True)
class ServiceContext:
    """The dependencies that the services of one server share.

    Attributes:
        operations: executes the requests.
        now: returns the common clock's time, in milliseconds since the epoch.
        pacer: the request pacer, shared with the REST API.
        streams: the open streams of all services.
        notify_changed: must be called after each request that may have changed the controller's state.
    """

    operations: Operations
    now: Callable[[], float]
    pacer: RequestPacer
    streams: OpenStreams
    notify_changed: Callable[[], None]
