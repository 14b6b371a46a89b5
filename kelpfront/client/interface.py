"""The interface and the errors of the client libraries, independent of the protocol.

`rest` and `grpc` implement the interface; `retrying` contains the code that they share.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from types import TracebackType
from typing import Protocol, Self

from kelpfront.api.jobs import Job, JobSpec
from kelpfront.api.machines import Machine
from kelpfront.client.informer import Event


class ServerUnreachableError(Exception):
    """The server did not respond. `may_have_arrived` is False if the request was certainly not sent."""

    def __init__(self, message: str, *, may_have_arrived: bool) -> None:
        super().__init__(message)
        self.may_have_arrived = may_have_arrived


class UnknownOutcomeError(ServerUnreachableError):
    """A job was sent, but it is not known whether the placer accepted it.

    It is safe to submit the job again with the same client token to the same placer, `address`. A different
    placer may start it a second time.
    """

    def __init__(self, message: str, address: str) -> None:
        super().__init__(message, may_have_arrived=True)
        self.address = address


class PlacerClient(Protocol):
    """Asynchronous access to placers. Deadlines are in seconds from the start of the call.

    Methods raise ApiError if a placer responds with an error, ServerUnreachableError if none responds in
    time, and UnknownOutcomeError if a job may have been accepted.
    """

    async def submit(  # noqa: PLR0913 - fields of a job, all but two by keyword
        self,
        namespace: str,
        spec: JobSpec,
        *,
        name: str | None = None,
        labels: dict[str, str] | None = None,
        annotations: dict[str, str] | None = None,
        deadline_s: float | None = None,
    ) -> Job:
        """Submit a job once, over several attempts if needed. The remaining deadline limits its patience."""

    async def get_job(self, namespace: str, name: str) -> Job:
        """Return a job. Raises ApiError 404 if all placers respond and none has it."""

    async def list_jobs(self, namespace: str | None = None) -> list[Job]:
        """Return the jobs of a namespace, or of all namespaces, from all placers."""

    async def delete_job(self, namespace: str, name: str) -> None:
        """Delete a job and withdraw its tasks."""

    def follow(self, job: Job) -> AsyncIterator[Job]:
        """Yield the current job, then its state after each change, across reconnects.

        Raises ApiError 404 once the job is deleted.
        """

    async def wait_answers(self, job: Job, *, timeout_s: float | None = None) -> Job:
        """Return the job once each of its tasks has an answer."""

    def watch_jobs(self, namespace: str | None = None) -> AsyncIterator[Event]:
        """Yield the jobs of one placer, then every change to them, across reconnects."""

    async def list_machines(self) -> list[Machine]:
        """Return the machines as known to one placer."""

    async def set_unschedulable(self, machine: str, *, unschedulable: bool) -> Machine:
        """Drain a machine at every placer, or let it accept work again."""

    def close(self) -> None:
        """Close all connections."""

    async def __aenter__(self) -> Self: ...

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None: ...
