"""What both client libraries offer, whichever protocol they speak."""

from __future__ import annotations

from collections.abc import AsyncIterator
from types import TracebackType
from typing import Protocol, Self

from kelpfront.api.jobs import Job, JobSpec
from kelpfront.api.machines import Machine
from kelpfront.client.informer import Event


class ServerUnreachableError(Exception):
    """No answer came. `may_have_arrived` is False where it is certain that the request was not sent."""

    def __init__(self, message: str, may_have_arrived: bool) -> None:
        super().__init__(message)
        self.may_have_arrived = may_have_arrived


class UnknownOutcomeError(ServerUnreachableError):
    """A job was sent, and whether its placer took it was not found out in time.

    Asking again with the same client token at the same placer does no harm; at another it may start twice.
    """

    def __init__(self, message: str, address: str) -> None:
        super().__init__(message, True)
        self.address = address


class PlacerClient(Protocol):
    """Asynchronous access to placers. Deadlines are seconds from the call.

    Errors: ApiError is a placer's word; ServerUnreachableError that none came in time; UnknownOutcomeError
    that a job may have been taken.
    """

    async def submit(
        self,
        namespace: str,
        spec: JobSpec,
        *,
        name: str | None = None,
        labels: dict[str, str] | None = None,
        annotations: dict[str, str] | None = None,
        deadline_s: float | None = None,
    ) -> Job:
        """Hands a job over, once however often it is tried. Its patience is what is left of the deadline."""

    async def get_job(self, namespace: str, name: str) -> Job:
        """The job as it is; ApiError 404 where no placer that can be reached has it."""

    async def list_jobs(self, namespace: str | None = None) -> list[Job]:
        """Jobs of a namespace, or of all, of all placers."""

    async def delete_job(self, namespace: str, name: str) -> None:
        """Removes a job and withdraws its tasks."""

    def follow(self, job: Job) -> AsyncIterator[Job]:
        """The job as it is and after each change, over cuts, until it is deleted: ApiError 404."""

    async def wait_answers(self, job: Job, *, timeout_s: float | None = None) -> Job:
        """The job once each of its tasks has its answer."""

    def watch_jobs(self, namespace: str | None = None) -> AsyncIterator[Event]:
        """Jobs of one placer, and every change of them, over cuts."""

    async def list_machines(self) -> list[Machine]:
        """Machines as one placer sees them."""

    async def set_unschedulable(self, machine: str, on: bool) -> Machine:
        """Drains a machine at every placer that can be reached, or takes that back."""

    def close(self) -> None:
        """Closes all connections."""

    async def __aenter__(self) -> Self: ...

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None: ...
