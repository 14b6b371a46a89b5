"""What one Bindings stream has been told, and what it is to be told next. No I/O.

Events are not queued: they are worked out from how a job is now and what was told of it, when the client can
take them. A client that grants no credits costs what its jobs cost, however much happens to them; and what it
is told later is complete, since a job keeps all its attempts.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from kelpfront.api.errors import ApiError, Cause
from kelpfront.api.meta import Object
from kelpfront.rpc.enums import TASK_STATES
from kelpfront.rpc.limits import MAX_STREAM_JOBS
from kelpfront.rpc.status import code_of
from kelpfront.rpc.times import duration_message
from kelpfront.v1 import api_pb2 as pb

REJECTIONS_MOST = 1_000  # that a client has not taken; one that goes on without taking any is cut off
CREDITS_MOST = 100_000  # that may be granted and not used; more is a client that cannot count
REF_MOST = 128

Event = pb.BindingsResponse


@dataclass(slots=True)
class _Told:
    """What was told of one task."""

    offered: int = 0  # attempts
    ended: int = 0  # of them
    answered: bool = False
    over: bool = False


@dataclass(slots=True)
class _Entry:
    ref: str
    job: Object | None = None  # as it was last seen
    first: Event | None = None  # Accepted, told before all else
    tasks: dict[int, _Told] = field(default_factory=dict)
    deleted: bool = False


class BindingSession:
    """`submitted`, `changed` and `deleted` are told by the stream's holder; `take` gives what may be sent."""

    def __init__(self, answers_only: bool) -> None:
        self._answers_only = answers_only
        self._entries: dict[str, _Entry] = {}
        self._rejections: deque[Event] = deque()
        self._due: dict[str, None] = {}  # refs of which something may be to tell, the oldest first
        self.credits = 0

    @property
    def refs(self) -> frozenset[str]:
        """Jobs that are not told to their end."""
        return frozenset(self._entries)

    @property
    def told_all(self) -> bool:
        return not (self._entries or self._rejections)

    def grant(self, credits: int) -> None:
        if not 1 <= credits <= CREDITS_MOST:
            raise ApiError(400, f"credits: {credits} is not from 1 to {CREDITS_MOST}")
        self.credits = min(CREDITS_MOST, self.credits + credits)

    def check_ref(self, ref: str) -> None:
        """ApiError where a submission cannot be one of this stream."""
        if not 1 <= len(ref) <= REF_MOST:
            raise ApiError(400, f"ref: {len(ref)} characters; 1 to {REF_MOST} are allowed")
        if ref in self._entries:
            raise ApiError(409, f"ref: {ref!r} is on this stream already", reason="AlreadyExists")
        if len(self._entries) >= MAX_STREAM_JOBS:
            raise ApiError(
                429,
                f"{MAX_STREAM_JOBS} jobs of this stream are not at their end, which is the most",
                retry_after_s=1,
            )

    def submitted(self, ref: str, job: Object, created: bool) -> None:
        """A job was taken, or found."""
        accepted = Event.Accepted(
            name=job["metadata"]["name"],
            uid=job["metadata"]["uid"],
            tasks=len(job["status"]["tasks"]),
            created=created,
        )
        self._entries[ref] = _Entry(ref, job, Event(ref=ref, accepted=accepted))
        self._due[ref] = None

    def rejected(self, ref: str, error: ApiError) -> None:
        """A submission was not taken; another by the same ref goes on. ApiError 429 where too many wait."""
        if len(self._rejections) >= REJECTIONS_MOST:
            raise ApiError(
                429, f"{REJECTIONS_MOST} rejections wait to be read, which is the most", retry_after_s=1
            )
        self._rejections.append(Event(ref=ref[:REF_MOST], rejected=_rejected(error)))

    def changed(self, ref: str, job: Object) -> None:
        entry = self._entries.get(ref)
        if entry is not None:
            entry.job = job
            self._due[ref] = None

    def deleted(self, ref: str) -> None:
        entry = self._entries.get(ref)
        if entry is not None:
            entry.deleted = True
            self._due[ref] = None

    def withdrawn(self, ref: str) -> None:
        """The client wants to hear no more of it."""
        self._entries.pop(ref, None)
        self._due.pop(ref, None)

    def take(self, most: int) -> list[Event]:
        """Events that the client has credits for, at most so many."""
        events: list[Event] = []
        while self._rejections and len(events) < most and self.credits:
            events.append(self._rejections.popleft())
            self.credits -= 1
        while self._due and len(events) < most and self.credits:
            ref = next(iter(self._due))
            entry = self._entries[ref]
            event = self._next(entry)
            if event is not None:
                events.append(event)
                self.credits -= 1
                continue
            del self._due[ref]
            if self._told_to_end(entry):
                del self._entries[ref]
        return events

    # ---- One job --------------------------------------------------------------------------------------

    def _next(self, entry: _Entry) -> Event | None:
        """The next thing to tell of a job; None where nothing is."""
        if entry.first is not None:
            first, entry.first = entry.first, None
            return first
        for task in () if entry.job is None else entry.job["status"]["tasks"]:
            told = entry.tasks.setdefault(task["index"], _Told())
            event = self._next_of_task(entry.ref, task, told)
            if event is not None:
                return event
        if entry.deleted and entry.job is not None:
            entry.job = None
            return Event(ref=entry.ref, deleted=Event.Deleted())
        return None

    def _next_of_task(self, ref: str, task: Object, told: _Told) -> Event | None:
        index, answer = task["index"], task.get("answer")
        if not told.answered:
            event = None if self._answers_only else _next_offer(ref, task, told)
            if event is not None:
                return event
            if answer is None:
                return None
            told.answered = True
            told.over = answer != "Placed"
            return _answer(ref, index, task, answer)
        if not told.over and task["state"] in ("Ended", "Lost"):
            told.over = True
            over = Event.Over(
                index=index,
                state=TASK_STATES.numbers[task["state"]],
                exit_code=task.get("exitCode"),
                reason=task.get("reason", ""),
            )
            return Event(ref=ref, over=over)
        return None

    @staticmethod
    def _told_to_end(entry: _Entry) -> bool:
        if entry.deleted or entry.job is None:
            return True
        tasks = entry.job["status"]["tasks"]
        return all(entry.tasks[task["index"]].over for task in tasks if task["index"] in entry.tasks) and len(
            entry.tasks
        ) >= len(tasks)


def _next_offer(ref: str, task: Object, told: _Told) -> Event | None:
    """Offers that went out and ended, each told once, in their order."""
    attempts = task["attempts"]
    if told.ended < told.offered:
        last = attempts[told.ended]
        if last.get("end"):
            told.ended += 1
            ended = Event.OfferEnded(
                index=task["index"],
                attempt=last["attempt"],
                machine=last["machine"],
                end=last["end"],
                reason=last.get("reason", ""),
            )
            return Event(ref=ref, offer_ended=ended)
        return None
    if told.offered < len(attempts):
        new = attempts[told.offered]
        told.offered += 1
        offered = Event.Offered(index=task["index"], attempt=new["attempt"], machine=new["machine"])
        return Event(ref=ref, offered=offered)
    return None


def _answer(ref: str, index: int, task: Object, answer: str) -> Event:
    reason = task.get("reason", "")
    match answer:
        case "Placed":
            return Event(ref=ref, bound=Event.Bound(index=index, machine=task.get("machine", "")))
        case "Refused":
            after = duration_message(task.get("retryAfter"))
            return Event(ref=ref, refused=Event.Refused(index=index, reason=reason, retry_after=after))
    return Event(ref=ref, failed=Event.Failed(index=index, reason=reason))


def _rejected(error: ApiError) -> Event.Rejected:
    def violation(cause: Cause) -> Event.Rejected.Violation:
        return Event.Rejected.Violation(field=cause.field, message=cause.message, reason=cause.reason)

    return Event.Rejected(
        code=code_of(error).value[0],
        reason=error.reason,
        message=error.message,
        retry_after=duration_message(f"{error.retry_after_s}s" if error.retry_after_s else None),
        violations=[violation(cause) for cause in error.causes],
    )
