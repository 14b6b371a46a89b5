"""What both client libraries offer, whichever protocol they speak, and their errors.

`rest` and `grpc` implement it, `retrying` what they share.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from types import TracebackType
from typing import Protocol, Self

from kelpfront.api.jobs import Job, JobSpec
from kelpfront.api.machines import Machine
from kelpfront.client.informer import Event


class ServerUnreachableError(Exception):
    """There was no answer. `may_have_arrived` is False where it is certain that nothing was sent."""

    def __init__(self, message: str, *, may_have_arrived: bool) -> None:
        super().__init__(message)
        self.may_have_arrived = may_have_arrived


class UnknownOutcomeError(ServerUnreachableError):
    """A job was sent, and it is not known whether its placer accepted it.

    Submitting it again with the same client token to the same placer, `address`, does no harm; another placer
    may start it a second time.
    """

    def __init__(self, message: str, address: str) -> None:
        super().__init__(message, may_have_arrived=True)
        self.address = address


class PlacerClient(Protocol):
    """Asynchronous access to placers. Deadlines are seconds from the call.

    Methods raise ApiError for an error that a placer answered with, ServerUnreachableError where none
    answered in time, and UnknownOutcomeError where a job may have been accepted.
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
        """Submit a job once, however many attempts it takes. Its patience is what is left of the deadline."""

    async def get_job(self, namespace: str, name: str) -> Job:
        """Return a job. Raises ApiError 404 where no placer that can be reached has it."""

    async def list_jobs(self, namespace: str | None = None) -> list[Job]:
        """Return the jobs of a namespace, or of all, of all placers."""

    async def delete_job(self, namespace: str, name: str) -> None:
        """Remove a job and withdraw its tasks."""

    def follow(self, job: Job) -> AsyncIterator[Job]:
        """Yield the job as it is and after each change, over reconnects; ApiError 404 when it is deleted."""

    async def wait_answers(self, job: Job, *, timeout_s: float | None = None) -> Job:
        """Return the job once each of its tasks has its answer."""

    def watch_jobs(self, namespace: str | None = None) -> AsyncIterator[Event]:
        """Yield the jobs of one placer, and every change of them, over reconnects."""

    async def list_machines(self) -> list[Machine]:
        """Return the machines as one placer sees them."""

    async def set_unschedulable(self, machine: str, *, unschedulable: bool) -> Machine:
        """Drain a machine at every placer, or let it accept work again."""

    def close(self) -> None:
        """Close all connections."""

    async def __aenter__(self) -> Self: ...

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None: ...
