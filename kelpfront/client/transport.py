"""The interface of a transport, which makes single attempts at one placer over one protocol.

`rest` and `grpc` implement it; `retrying` decides on retries.
"""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from kelpfront.api.meta import Object, Resource
from kelpfront.client.informer import ObjectList


def _now_ms() -> float:
    return time.time() * 1000.0


@dataclass(slots=True)
class AttemptMarks:
    """The description of an attempt that is sent with its request.

    `previous_outcome` is the outcome of the previous attempt, empty for the first.
    """

    attempt: int
    previous_outcome: str
    sent_at_ms: float = field(default_factory=_now_ms)


class WatchLine(NamedTuple):
    """One line of a watch. The object of a BOOKMARK has only its resource version."""

    type: str
    object: Object


class Transport(Protocol):
    """Access to the placer at one address over one protocol.

    Methods raise ApiError if the placer responds with an error, and ServerUnreachableError if it does not
    respond. `marks` is sent with the request.
    """

    address: str

    async def create(self, namespace: str, body: Object, timeout_s: float, marks: AttemptMarks) -> Object:
        """Submit a job."""
        ...

    async def read(
        self, resource: Resource, namespace: str, name: str, timeout_s: float, marks: AttemptMarks
    ) -> Object:
        """Return an object."""
        ...

    async def list_objects(
        self, resource: Resource, namespace: str | None, timeout_s: float, marks: AttemptMarks
    ) -> ObjectList:
        """Return all objects, read in pages."""
        ...

    async def delete(self, namespace: str, name: str, timeout_s: float, marks: AttemptMarks) -> None:
        """Delete a job."""
        ...

    async def set_unschedulable(
        self, name: str, timeout_s: float, marks: AttemptMarks, *, unschedulable: bool
    ) -> Object:
        """Drain a machine, or let it accept work again."""
        ...

    def watch(
        self,
        resource: Resource,
        namespace: str | None,
        name: str | None,
        revision: str | None,
        on_open: Callable[[], None],
    ) -> AsyncIterator[WatchLine]:
        """Yield the lines of one watch until it ends or fails; `on_open` is called once it is accepted."""
        ...

    def close(self) -> None:
        """Close the connections."""
