"""What one Bindings stream has sent to its client, and what it is to send next. No I/O.

Events are not queued: `job_progress` derives them when the client can take them. A client that grants no
credits costs what its jobs cost, however much happens to them.
"""

from __future__ import annotations

from collections import deque

from kelpfront.api.errors import ApiError, Cause
from kelpfront.api.meta import Object
from kelpfront.fronts.grpc.job_progress import Event, JobProgress
from kelpfront.rpc.limits import MAX_STREAM_JOBS
from kelpfront.rpc.status import code_of
from kelpfront.rpc.times import duration_message

MAX_REJECTIONS = 1_000
"""That a client has not read; one that goes on without reading any is cut off."""
MAX_CREDITS = 100_000
"""That may be granted and not used; more is a client that cannot count."""
MAX_REF_LENGTH = 128
RETRY_AFTER_S = 1


class BindingSession:
    """The state of one stream. Its holder records what happens; `next_events` returns what may be sent.

    Args:
        answers_only: whether the client wants no events of offers.

    Attributes:
        credits: how many events the client can take.
    """

    def __init__(self, *, answers_only: bool) -> None:
        self.credits = 0
        self._answers_only = answers_only
        self._jobs: dict[str, JobProgress] = {}
        self._rejections: deque[Event] = deque()
        self._due: dict[str, None] = {}  # refs of which there may be something to send, the oldest first

    @property
    def refs(self) -> frozenset[str]:
        """The jobs of which there may be more to send."""
        return frozenset(self._jobs)

    @property
    def is_drained(self) -> bool:
        """Whether everything was sent."""
        return not (self._jobs or self._rejections)

    def grant_credits(self, credits: int) -> None:
        """Let so many more events be sent. Raises ApiError 400 for a number that is out of range."""
        if not 1 <= credits <= MAX_CREDITS:
            raise ApiError(400, f"credits: {credits} is not from 1 to {MAX_CREDITS}")
        self.credits = min(MAX_CREDITS, self.credits + credits)

    def check_ref(self, ref: str) -> None:
        """Raise ApiError where a submission cannot be one of this stream."""
        if not 1 <= len(ref) <= MAX_REF_LENGTH:
            raise ApiError(400, f"ref: {len(ref)} characters; 1 to {MAX_REF_LENGTH} are allowed")
        if ref in self._jobs:
            raise ApiError(409, f"ref: {ref!r} is on this stream already", reason="AlreadyExists")
        if len(self._jobs) >= MAX_STREAM_JOBS:
            raise ApiError(
                429,
                f"{MAX_STREAM_JOBS} jobs of this stream are not at their end, which is the most",
                retry_after_s=RETRY_AFTER_S,
            )

    def record_submission(self, ref: str, job: Object, *, created: bool) -> None:
        """Record that a job was accepted, or found where `created` is False."""
        accepted = Event.Accepted(
            name=job["metadata"]["name"],
            uid=job["metadata"]["uid"],
            tasks=len(job["status"]["tasks"]),
            created=created,
        )
        self._jobs[ref] = JobProgress(ref, job, Event(ref=ref, accepted=accepted))
        self._due[ref] = None

    def record_rejection(self, ref: str, error: ApiError) -> None:
        """Record that a submission was rejected; another by the same ref goes on.

        Raises ApiError 429 where too many rejections are unread.
        """
        if len(self._rejections) >= MAX_REJECTIONS:
            raise ApiError(
                429,
                f"{MAX_REJECTIONS} rejections wait to be read, which is the most",
                retry_after_s=RETRY_AFTER_S,
            )
        self._rejections.append(Event(ref=ref[:MAX_REF_LENGTH], rejected=_rejected(error)))

    def record_change(self, ref: str, job: Object) -> None:
        """Record how a job is now."""
        progress = self._jobs.get(ref)
        if progress is not None:
            progress.job = job
            self._due[ref] = None

    def record_deletion(self, ref: str) -> None:
        """Record that a job was deleted."""
        progress = self._jobs.get(ref)
        if progress is not None:
            progress.is_deleted = True
            self._due[ref] = None

    def forget(self, ref: str) -> None:
        """Send nothing more of a job."""
        self._jobs.pop(ref, None)
        self._due.pop(ref, None)

    def next_events(self, limit: int) -> list[Event]:
        """Return the next events that the client has credits for, at most `limit`."""
        events: list[Event] = []
        while self._rejections and len(events) < limit and self.credits:
            events.append(self._rejections.popleft())
            self.credits -= 1
        while self._due and len(events) < limit and self.credits:
            ref = next(iter(self._due))
            progress = self._jobs[ref]
            event = progress.next_event(answers_only=self._answers_only)
            if event is not None:
                events.append(event)
                self.credits -= 1
                continue
            del self._due[ref]
            if progress.is_complete():
                del self._jobs[ref]
        return events


def _rejected(error: ApiError) -> Event.Rejected:
    return Event.Rejected(
        code=code_of(error).value[0],
        reason=error.reason,
        message=error.message,
        retry_after=duration_message(f"{error.retry_after_s}s" if error.retry_after_s else None),
        violations=[_violation(cause) for cause in error.causes],
    )


def _violation(cause: Cause) -> Event.Rejected.Violation:
    return Event.Rejected.Violation(field=cause.field, message=cause.message, reason=cause.reason)
