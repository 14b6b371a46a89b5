"""Tracks which events of a job were sent to its client, and derives the next one. No I/O.

Events are derived from the current state of the job and from the events sent so far. They are complete
however late they are derived, because a job keeps all its attempts.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from kelpfront.api.meta import Object
from kelpfront.rpc.enums import TASK_STATES
from kelpfront.rpc.times import duration_message
from kelpfront.v1 import api_pb2 as pb

Event = pb.BindingsResponse

FINAL_STATES = ("Ended", "Lost")


@dataclass(slots=True)
class TaskProgress:
    """The events sent for one task.

    Attributes:
        offers_sent: the number of attempts whose `offered` event was sent.
        offer_ends_sent: the number of those whose `offer_ended` event was sent.
        is_answered: whether the answer was sent.
        is_finished: whether all events of the task were sent.
    """

    offers_sent: int = 0
    offer_ends_sent: int = 0
    is_answered: bool = False
    is_finished: bool = False

    def next_event(self, ref: str, task: Object, *, answers_only: bool) -> Event | None:
        """Return the next event of the task, or None if there is none yet."""
        if not self.is_answered:
            event = None if answers_only else self._next_offer(ref, task)
            return self._next_answer(ref, task) if event is None else event
        if self.is_finished or task["state"] not in FINAL_STATES:
            return None
        self.is_finished = True
        over = Event.Over(
            index=task["index"],
            state=TASK_STATES.numbers[task["state"]],
            exit_code=task.get("exitCode"),
            reason=task.get("reason", ""),
        )
        return Event(ref=ref, over=over)

    def _next_answer(self, ref: str, task: Object) -> Event | None:
        answer = task.get("answer")
        if answer is None:
            return None
        self.is_answered = True
        self.is_finished = answer != "Placed"
        return answer_event(ref, task["index"], task, answer)

    def _next_offer(self, ref: str, task: Object) -> Event | None:
        """Return the next `offered` or `offer_ended` event, or None; the attempts are reported in order."""
        attempts = task["attempts"]
        if self.offer_ends_sent < self.offers_sent:
            attempt = attempts[self.offer_ends_sent]
            if not attempt.get("end"):
                return None
            self.offer_ends_sent += 1
            return _offer_ended_event(ref, task["index"], attempt)
        if self.offers_sent >= len(attempts):
            return None
        attempt = attempts[self.offers_sent]
        self.offers_sent += 1
        offered = Event.Offered(index=task["index"], attempt=attempt["attempt"], machine=attempt["machine"])
        return Event(ref=ref, offered=offered)


@dataclass(slots=True)
class JobProgress:
    """The events sent for one job.

    Attributes:
        ref: the client's name for the job on its stream.
        job: the current state of the job; None once its deletion was sent.
        accepted: the first event; None once it was sent.
        tasks: the progress of its tasks, by index.
        is_deleted: whether the job was deleted.
    """

    ref: str
    job: Object | None
    accepted: Event | None
    tasks: dict[int, TaskProgress] = field(default_factory=dict)
    is_deleted: bool = False

    def next_event(self, *, answers_only: bool) -> Event | None:
        """Return the next event of the job, or None if there is none yet."""
        if self.accepted is not None:
            accepted = self.accepted
            self.accepted = None
            return accepted
        if self.job is None:
            return None
        for task in self.job["status"]["tasks"]:
            progress = self.tasks.setdefault(task["index"], TaskProgress())
            event = progress.next_event(self.ref, task, answers_only=answers_only)
            if event is not None:
                return event
        if not self.is_deleted:
            return None
        self.job = None
        return Event(ref=self.ref, deleted=Event.Deleted())

    def is_complete(self) -> bool:
        """Return whether all events were sent. To be called after `next_event` has returned None."""
        if self.is_deleted or self.job is None:
            return True
        tasks = self.job["status"]["tasks"]
        are_known_tasks_finished = all(
            self.tasks[task["index"]].is_finished for task in tasks if task["index"] in self.tasks
        )
        return are_known_tasks_finished and len(self.tasks) >= len(tasks)


def answer_event(ref: str, index: int, task: Object, answer: str) -> Event:
    """Return the event that reports a task's answer."""
    reason = task.get("reason", "")
    match answer:
        case "Placed":
            return Event(ref=ref, bound=Event.Bound(index=index, machine=task.get("machine", "")))
        case "Refused":
            retry_after = duration_message(task.get("retryAfter"))
            return Event(ref=ref, refused=Event.Refused(index=index, reason=reason, retry_after=retry_after))
    return Event(ref=ref, failed=Event.Failed(index=index, reason=reason))


def _offer_ended_event(ref: str, index: int, attempt: Object) -> Event:
    ended = Event.OfferEnded(
        index=index,
        attempt=attempt["attempt"],
        machine=attempt["machine"],
        end=attempt["end"],
        reason=attempt.get("reason", ""),
    )
    return Event(ref=ref, offer_ended=ended)
