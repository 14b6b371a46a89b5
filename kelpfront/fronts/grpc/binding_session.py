"""Tracks what one Bindings stream has sent to its client, and selects what it sends next. No I/O.

Events of jobs are not queued: `job_progress` derives them when the client has credits for them. A client that
grants no credits therefore uses no more memory than its jobs do, however often they change.
"""

from __future__ import annotations

from collections import deque

from kelpfront.api.errors import ApiError, Cause
from kelpfront.api.meta import Object
from kelpfront.fronts.grpc.job_progress import Event, JobProgress
from kelpfront.rpc.limits import MAX_STREAM_JOBS
from kelpfront.rpc.status import status_code_of
from kelpfront.rpc.times import duration_message

MAX_REJECTIONS = 1_000
"""Rejections that a client has not read. The stream of a client that exceeds this is ended."""
MAX_CREDITS = 100_000
"""Limit of unused credits. A larger grant, by a faulty client, is rejected; a larger sum is capped."""
MAX_REF_LENGTH = 128
"""In characters."""
RETRY_AFTER_S = 1


class BindingSession:
    """The state of one stream. The `record_*` methods record what happens to its jobs.

    `next_events` returns the events to send.

    Args:
        answers_only: whether to leave out the events of offers.

    Attributes:
        credits: the number of events that may still be sent to the client.
    """

    def __init__(self, *, answers_only: bool) -> None:
        self.credits = 0
        self._answers_only = answers_only
        self._jobs: dict[str, JobProgress] = {}
        self._rejections: deque[Event] = deque()
        self._pending_refs: dict[str, None] = {}  # ordered set of jobs that may have events, oldest first

    @property
    def active_refs(self) -> frozenset[str]:
        """The refs of the jobs that may still have events to send."""
        return frozenset(self._jobs)

    @property
    def is_drained(self) -> bool:
        """Whether all events were sent."""
        return not (self._jobs or self._rejections)

    def grant_credits(self, credits: int) -> None:
        """Allow `credits` more events to be sent, up to `MAX_CREDITS` in total.

        Raises:
            ApiError: 400 if `credits` is out of range.
        """
        if not 1 <= credits <= MAX_CREDITS:
            raise ApiError(400, f"credits: {credits} is not from 1 to {MAX_CREDITS}")
        self.credits = min(MAX_CREDITS, self.credits + credits)

    def check_ref(self, ref: str) -> None:
        """Check that a job can be submitted under `ref`.

        Raises:
            ApiError: 400 for an invalid length, 409 if `ref` is in use, 429 if too many jobs are unfinished.
        """
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
        """Record that a job was accepted, or, if `created` is False, that it existed already."""
        accepted = Event.Accepted(
            name=job["metadata"]["name"],
            uid=job["metadata"]["uid"],
            tasks=len(job["status"]["tasks"]),
            created=created,
        )
        self._jobs[ref] = JobProgress(ref, job, Event(ref=ref, accepted=accepted))
        self._pending_refs[ref] = None

    def record_rejection(self, ref: str, error: ApiError) -> None:
        """Record that a submission was rejected. An earlier job with the same ref is not affected.

        Raises:
            ApiError: 429 if too many rejections are unread.
        """
        if len(self._rejections) >= MAX_REJECTIONS:
            raise ApiError(
                429,
                f"{MAX_REJECTIONS} rejections wait to be read, which is the most",
                retry_after_s=RETRY_AFTER_S,
            )
        self._rejections.append(Event(ref=ref[:MAX_REF_LENGTH], rejected=_rejected_event(error)))

    def record_change(self, ref: str, job: Object) -> None:
        """Record the current state of a job."""
        progress = self._jobs.get(ref)
        if progress is not None:
            progress.job = job
            self._pending_refs[ref] = None

    def record_deletion(self, ref: str) -> None:
        """Record that a job was deleted."""
        progress = self._jobs.get(ref)
        if progress is not None:
            progress.is_deleted = True
            self._pending_refs[ref] = None

    def forget(self, ref: str) -> None:
        """Stop tracking a job; no more events are sent for it."""
        self._jobs.pop(ref, None)
        self._pending_refs.pop(ref, None)

    def next_events(self, limit: int) -> list[Event]:
        """Return the next events, at most `limit` and at most as many as the client has credits for."""
        events: list[Event] = []
        while self._rejections and len(events) < limit and self.credits:
            events.append(self._rejections.popleft())
            self.credits -= 1
        while self._pending_refs and len(events) < limit and self.credits:
            ref = next(iter(self._pending_refs))
            progress = self._jobs[ref]
            event = progress.next_event(answers_only=self._answers_only)
            if event is not None:
                events.append(event)
                self.credits -= 1
                continue
            del self._pending_refs[ref]
            if progress.is_complete():
                del self._jobs[ref]
        return events


def _rejected_event(error: ApiError) -> Event.Rejected:
    return Event.Rejected(
        code=status_code_of(error).value[0],
        reason=error.reason,
        message=error.message,
        retry_after=duration_message(f"{error.retry_after_s}s" if error.retry_after_s else None),
        violations=[_violation(cause) for cause in error.causes],
    )


def _violation(cause: Cause) -> Event.Rejected.Violation:
    return Event.Rejected.Violation(field=cause.field, message=cause.message, reason=cause.reason)
