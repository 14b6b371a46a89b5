"""The controller's records of jobs, tasks and attempts, and their representation in the API.

A task's state changes only as `TRANSITIONS` allows, and its answer is set once. Both rules are enforced here,
so that no fault elsewhere in the controller can send a second answer to a client.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from kelpfront.api.jobs import Answer, Phase, TaskState
from kelpfront.api.meta import API_VERSION, Object
from kelpfront.clock import timestamp
from kelpfront.scheduling.events import MachineId, TaskId
from kelpfront.units import format_duration

TRANSITIONS: dict[TaskState, frozenset[TaskState]] = {
    TaskState.PENDING: frozenset({TaskState.PLACING, TaskState.PLACED, TaskState.REFUSED, TaskState.FAILED}),
    TaskState.PLACING: frozenset({TaskState.PENDING, TaskState.PLACED, TaskState.REFUSED, TaskState.FAILED}),
    TaskState.PLACED: frozenset({TaskState.RUNNING, TaskState.ENDED, TaskState.LOST}),
    TaskState.RUNNING: frozenset({TaskState.ENDED, TaskState.LOST}),
    TaskState.REFUSED: frozenset(),
    # A failed task may be found running later: its failure left open whether it ran. The answer stays.
    TaskState.FAILED: frozenset({TaskState.PLACED}),
    TaskState.ENDED: frozenset(),
    TaskState.LOST: frozenset(),
}
ANSWER_OF_STATE = {
    TaskState.PLACED: Answer.PLACED,
    TaskState.REFUSED: Answer.REFUSED,
    TaskState.FAILED: Answer.FAILED,
}
UNANSWERED_STATES = frozenset({TaskState.PENDING, TaskState.PLACING})
FINAL_STATES = frozenset({TaskState.REFUSED, TaskState.FAILED, TaskState.ENDED, TaskState.LOST})


class TaskStateError(RuntimeError):
    """A task was moved along a transition that is not allowed, which is a bug in the controller."""


class OrphanedInstance(NamedTuple):
    """An instance on a machine whose attempt was given up before."""

    host: str
    attempt_number: int


@dataclass(slots=True, eq=False)
class Attempt:
    """One offer of a task to a machine.

    Attributes:
        scheduler_number: the scheduler's number of the attempt, counted per scheduler id of the task.
        number: the number that machines and clients see.
        host: the name of the machine.
        machine_id: the scheduler's id of the machine.
        decided_at: when the scheduler chose the machine.
        timeout_at: when the attempt is given up.
        send_deadline: the latest time at which sending may start.
        sent_at: when it was cleared to be sent; from then on it may have been executed.
        held_back: whether it was not cleared to be sent, which does not count against its machine.
        placed: whether the machine has accepted it.
        ended_at: when it ended; None while it is open.
        end: how it ended, as the API shows it.
        reason: the machine's reason, by its name in the machine protocol.
        message: the machine's message, or an error of the connection.
    """

    task: Task
    scheduler_number: int
    number: int
    host: str
    machine_id: MachineId
    decided_at: float
    timeout_at: float
    send_deadline: float = math.inf
    sent_at: float | None = None
    held_back: bool = False
    placed: bool = False
    ended_at: float | None = None
    end: str = ""
    reason: str = ""
    message: str = ""

    @property
    def is_open(self) -> bool:
        """Whether it has not ended."""
        return self.ended_at is None

    def to_api(self) -> Object:
        """Return the attempt as the API shows it."""
        body: Object = {"attempt": self.number, "machine": self.host, "sentAt": timestamp(self.decided_at)}
        if self.ended_at is not None:
            body["endedAt"] = timestamp(self.ended_at)
        for name, value in (("end", self.end), ("reason", self.reason), ("message", self.message)):
            if value:
                body[name] = value
        return body


@dataclass(slots=True, eq=False)
class Task:
    """One task of a job.

    Attributes:
        index: its index in the job; no index is used twice.
        uid: the id that machines and clients use.
        scheduler_id: its id in the scheduler; a new one each time it is handed over.
        deadline: when its answer is due.
        answer: its only answer; None until it is answered.
        host: the name of the machine that accepted it.
        reason: why it was not placed or was lost; a value of the API.
        handed_over: whether it was handed to the scheduler.
        withdrawn: whether its client no longer wants it.
        found: whether it was already running when this controller learned of it; if it was answered, an
            earlier incarnation did so.
        orphan: an orphaned instance that was found while another attempt is outstanding.
    """

    job: Job
    index: int
    uid: str
    scheduler_id: TaskId
    created_at: float
    deadline: float
    state: TaskState = TaskState.PENDING
    answer: Answer | None = None
    host: str = ""
    reason: str = ""
    retry_after_ms: float = 0.0
    exit_code: int | None = None
    cpu_s: float | None = None
    attempts: list[Attempt] = field(default_factory=list)
    answered_at: float | None = None
    running_at: float | None = None
    ended_at: float | None = None
    handed_over: bool = False
    withdrawn: bool = False
    found: bool = False
    orphan: OrphanedInstance | None = None

    def move(self, now: float, state: TaskState) -> None:
        """Enter a state; the first state that implies an answer also sets the answer.

        Raises:
            TaskStateError: the transition is not allowed.
        """
        if state not in TRANSITIONS[self.state]:
            raise TaskStateError(f"transition not allowed for task {self.uid}: {self.state} to {state}")
        answer = ANSWER_OF_STATE.get(state)
        if self.answer is None and answer is not None:
            self.answer = answer
            self.answered_at = now
        if state is TaskState.RUNNING:
            self.running_at = now
        elif state in (TaskState.ENDED, TaskState.LOST):
            self.ended_at = now
        self.job.record_transition(self.state, state)
        self.state = state

    @property
    def needs_answer(self) -> bool:
        """Whether it has not been answered yet."""
        return self.state in UNANSWERED_STATES

    @property
    def open_attempt(self) -> Attempt | None:
        """The outstanding or placed attempt; there is never more than one."""
        return next((attempt for attempt in reversed(self.attempts) if attempt.is_open), None)

    @property
    def possibly_executed(self) -> bool:
        """Whether any attempt was cleared to be sent."""
        return any(attempt.sent_at is not None for attempt in self.attempts)

    def attempt(self, number: int) -> Attempt | None:
        """Return the last attempt with a number, as machines and clients see it."""
        return next((attempt for attempt in reversed(self.attempts) if attempt.number == number), None)

    def to_api(self) -> Object:
        """Return the task as the API shows it."""
        body: Object = {
            "index": self.index,
            "uid": self.uid,
            "state": self.state.value,
            "attempts": [attempt.to_api() for attempt in self.attempts],
            "createdAt": timestamp(self.created_at),
        }
        if self.answer is not None:
            body["answer"] = self.answer.value
        if self.found:
            body["found"] = True
        for name, text in (("machine", self.host), ("reason", self.reason)):
            if text:
                body[name] = text
        if self.retry_after_ms:
            body["retryAfter"] = format_duration(round(self.retry_after_ms))
        if self.exit_code is not None:
            body["exitCode"] = self.exit_code
        if self.cpu_s is not None:
            body["cpuSeconds"] = round(self.cpu_s, 3)
        for name, at in (
            ("answeredAt", self.answered_at),
            ("runningAt", self.running_at),
            ("endedAt", self.ended_at),
        ):
            if at is not None:
                body[name] = timestamp(at)
        return body


@dataclass(slots=True, eq=False)
class Job:
    """A job with its tasks.

    Attributes:
        spec: the spec as the API shows it, with defaults filled in.
        class_index: the scheduler's index of the task class.
        timeout_ms: how long the client waits for the answer of each task.
        feasible: whether any machine of the inventory is large enough for one of its tasks.
        next_index: the index of the next task to be added.
        state_counts: the number of tasks in each state.
        unanswered_count: the number of tasks without an answer.
        deleted: whether it was deleted from the API.
    """

    namespace: str
    name: str
    uid: str
    spec: Object
    labels: dict[str, str]
    annotations: dict[str, str]
    created_at: float
    class_index: int
    timeout_ms: float
    generation: int = 1
    feasible: bool = True
    next_index: int = 0
    tasks: dict[int, Task] = field(default_factory=dict)
    state_counts: Counter[TaskState] = field(default_factory=Counter)
    unanswered_count: int = 0
    deleted: bool = False

    @property
    def key(self) -> tuple[str, str]:
        """The job's key in the store: its namespace and name."""
        return self.namespace, self.name

    @property
    def token(self) -> str:
        """The client token of the submission; empty if there was none."""
        token: str = self.spec.get("clientToken", "")
        return token

    @property
    def phase(self) -> Phase:
        """The phase of the job, derived from the states of its tasks."""
        if self.unanswered_count:
            return Phase.PLACING
        final_count = sum(self.state_counts[state] for state in FINAL_STATES)
        return Phase.FINISHED if final_count == len(self.tasks) else Phase.ACTIVE

    def add(self, task: Task) -> None:
        """Add a task and count it."""
        self.tasks[task.index] = task
        self.state_counts[task.state] += 1
        self.unanswered_count += task.needs_answer

    def remove(self, task: Task) -> None:
        """Remove a task and its counts."""
        del self.tasks[task.index]
        self.state_counts[task.state] -= 1
        self.unanswered_count -= task.needs_answer

    def record_transition(self, before: TaskState, after: TaskState) -> None:
        """Update the counts after a task moved from one state to another."""
        self.state_counts[before] -= 1
        self.state_counts[after] += 1
        if before in UNANSWERED_STATES and after not in UNANSWERED_STATES:
            self.unanswered_count -= 1

    def to_api(self) -> Object:
        """Return the job as the API shows it."""
        metadata: Object = {
            "name": self.name,
            "namespace": self.namespace,
            "uid": self.uid,
            "resourceVersion": "",
            "generation": self.generation,
            "creationTimestamp": timestamp(self.created_at)[:19] + "Z",
        }
        if self.labels:
            metadata["labels"] = self.labels
        if self.annotations:
            metadata["annotations"] = self.annotations
        counts = {state.value.lower(): count for state, count in self.state_counts.items() if count}
        return {
            "apiVersion": API_VERSION,
            "kind": "Job",
            "metadata": metadata,
            "spec": self.spec,
            "status": {
                "phase": self.phase.value,
                "observedGeneration": self.generation,
                "answered": len(self.tasks) - self.unanswered_count,
                "counts": counts,
                "tasks": [task.to_api() for task in self.tasks.values()],
            },
        }
