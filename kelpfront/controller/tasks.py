"""Jobs, tasks and attempts as the controller records them, and how the API shows them.

A task's state moves only along `TRANSITIONS`, and its answer is set once. Whatever else goes wrong in the
controller, these two cannot be got around: a second answer is an error here and never reaches a client.
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
    # A failed task may turn out to run: nothing was promised of it, and now it is found. The answer stays.
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
    """A transition that no task may make: a fault of the controller itself."""


class OrphanedInstance(NamedTuple):
    """An instance of a task that was given up and turned up on a machine."""

    host: str
    attempt_number: int


@dataclass(slots=True, eq=False)
class Attempt:
    """One offer of a task to a machine.

    Attributes:
        scheduler_number: the scheduler's number of the attempt, within one of its tasks.
        number: the number that machines and clients see.
        host: the machine by name.
        machine_id: the machine as the scheduler knows it.
        decided_at: when the scheduler chose the machine.
        timeout_at: when the attempt is given up.
        send_deadline: when it may begin to go out at the latest.
        sent_at: when it was cleared to go out; from then on it may have been executed.
        held_back: whether the gate did not let it go out, for which its machine is not to blame.
        placed: whether the machine has accepted it.
        ended_at: when it ended; None while it is open.
        end: how it ended, as clients read it.
        reason: the machine's reason, by its name in the machines' protocol.
        message: what the machine or the connection said.
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
        index: its place in the job; no index is used twice.
        uid: the name that machines and clients know.
        scheduler_id: its id with the scheduler, a new one each time it is handed over.
        deadline: when its answer is due.
        answer: the one answer, once it is given.
        host: the machine that accepted it.
        reason: why it has no place, or lost it; a word of the API.
        handed_over: whether the scheduler has it.
        withdrawn: whether its client no longer wants it.
        found: whether it ran already when this controller learnt of it; its answer, if any, was given by an
            earlier incarnation.
        orphan: an instance that was given up and turned up while another attempt is out.
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
        """Enter a state, and set the answer with the first state that is one.

        Raises:
            TaskStateError: the transition is not allowed.
        """
        if state not in TRANSITIONS[self.state]:
            raise TaskStateError(f"task {self.uid}: {self.state} to {state}")
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
        """Whether its client still waits for the answer."""
        return self.state in UNANSWERED_STATES

    @property
    def open_attempt(self) -> Attempt | None:
        """The attempt that is out or placed; there is never more than one."""
        return next((attempt for attempt in reversed(self.attempts) if attempt.is_open), None)

    @property
    def possibly_executed(self) -> bool:
        """Whether any attempt was cleared to go out."""
        return any(attempt.sent_at is not None for attempt in self.attempts)

    def attempt(self, number: int) -> Attempt | None:
        """Return an attempt by the number that machines know; of several, the last."""
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
        spec: what the client asked for, as the API shows it, with the defaults filled in.
        class_index: the task class, as the scheduler knows it.
        timeout_ms: how long the client waits for the answer of each task.
        feasible: whether any machine of the inventory could run a task of it.
        next_index: the index of the next task that is added.
        state_counts: how many tasks are in each state.
        unanswered_count: how many tasks have no answer yet.
        deleted: whether it is gone from the API.
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
        """Namespace and name, as the store has it."""
        return self.namespace, self.name

    @property
    def token(self) -> str:
        """The client's token for the submission; empty where it gave none."""
        token: str = self.spec.get("clientToken", "")
        return token

    @property
    def phase(self) -> Phase:
        """How far the job has come."""
        if self.unanswered_count:
            return Phase.PLACING
        final_count = sum(self.state_counts[state] for state in FINAL_STATES)
        return Phase.FINISHED if final_count == len(self.tasks) else Phase.ACTIVE

    def add(self, task: Task) -> None:
        """Add a task."""
        self.tasks[task.index] = task
        self.state_counts[task.state] += 1
        self.unanswered_count += task.needs_answer

    def remove(self, task: Task) -> None:
        """Remove a task."""
        del self.tasks[task.index]
        self.state_counts[task.state] -= 1
        self.unanswered_count -= task.needs_answer

    def record_transition(self, before: TaskState, after: TaskState) -> None:
        """Count a task of this job in another state than before."""
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
