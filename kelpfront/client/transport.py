"""The interface of a transport, which makes single attempts at one placer over one protocol.

`rest` and `grpc` implement it. Whether and where another attempt is made is decided in `retrying`.
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
    """What a request says of itself: which attempt it is, how the one before ended, and when it was sent."""

    attempt: int
    previous: str
    sent_at_ms: float = field(default_factory=_now_ms)


class WatchLine(NamedTuple):
    """One event of a watch; of a BOOKMARK the object has the revision alone."""

    type: str
    object: Object


class Transport(Protocol):
    """One protocol to one address.

    Methods raise ApiError for an error that the placer answered with, and ServerUnreachableError where it did
    not answer. `marks` are sent with the request.
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
        """Yield the lines of one watch, until it ends or breaks; `on_open` is called once it is up."""
        ...

    def close(self) -> None:
        """Close the connections."""
