"""What the services of the gRPC API share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from kelpfront.controller.operations import Operations
from kelpfront.fronts.open_streams import OpenStreams
from kelpfront.http.pacing import RequestPacer


@dataclass(frozen=True, slots=True)
class ServiceContext:
    """What the services of one server share.

    Attributes:
        operations: carry requests out.
        now: the common clock, in milliseconds since the epoch.
        pacer: shared with the REST API.
        streams: the open streams of all services.
        notify_changed: to be called after something was reported to the controller.
    """

    operations: Operations
    now: Callable[[], float]
    pacer: RequestPacer
    streams: OpenStreams
    notify_changed: Callable[[], None]
