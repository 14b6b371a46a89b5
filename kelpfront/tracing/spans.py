"""Builds the spans of a task's trace from the record that the controller keeps of the task.

The module does no I/O and reads no clock. Nothing is recorded for tracing while a task is being placed: its
record already has all times. The trace is built once, after the task has ended.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from kelpfront.api.jobs import Answer, TaskState
from kelpfront.controller.tasks import Attempt, Task

PARENT_ANNOTATION = "kelpfront.dev/traceparent"
"""The job annotation in which a client passes its own span, in the format of W3C Trace Context."""
AttributeValue = str | int | float | bool
HEX_DIGITS = frozenset("0123456789abcdef")
TRACEPARENT_LENGTHS = [2, 32, 16, 2]
"""Lengths of the version, trace id, parent id and flags; see https://www.w3.org/TR/trace-context/."""


class ParentSpan(NamedTuple):
    """The client's span to which a trace belongs."""

    trace_id: int
    span_id: int


class SpanEvent(NamedTuple):
    """An event within a span; `at` is in milliseconds of the common clock."""

    name: str
    at: float


@dataclass(frozen=True, slots=True)
class Span:
    """A span of a trace, with its child spans.

    Attributes:
        begin: the start time in milliseconds of the common clock.
        end: the end time in milliseconds of the common clock.
        error: a description of the failure; empty if there was none.
    """

    name: str
    begin: float
    end: float
    attributes: Mapping[str, AttributeValue] = field(default_factory=dict)
    events: tuple[SpanEvent, ...] = ()
    error: str = ""
    children: tuple[Span, ...] = ()


def build_trace(task: Task, controller_name: str, now: float) -> Span:
    """Return the root span of a task that the controller has finished."""
    end = _end_time(task, now)
    is_failure = task.answer in (Answer.REFUSED, Answer.FAILED) or task.state is TaskState.LOST
    event_times = (("answered", task.answered_at), ("running", task.running_at))
    return Span(
        f"task {task.state.value.lower()}",
        task.created_at,
        max(end, task.created_at),
        _attributes(task, controller_name),
        tuple(SpanEvent(name, at) for name, at in event_times if at is not None),
        (task.reason or task.state.value) if is_failure else "",
        tuple(_children(task, end)),
    )


def _end_time(task: Task, now: float) -> float:
    """Return the end of a task's trace: the task's own end or, if it has none, its answer or last attempt."""
    end = max(filter(None, (task.ended_at, task.answered_at)), default=now)
    if task.ended_at is not None:
        return end
    attempt_ends = [
        attempt.ended_at for attempt in task.attempts if attempt.ended_at is not None and not attempt.placed
    ]
    return max([end, *attempt_ends])


def _attributes(task: Task, controller_name: str) -> dict[str, AttributeValue]:
    job = task.job
    attributes: dict[str, AttributeValue] = {
        "kelpfront.placer": controller_name,
        "kelpfront.namespace": job.namespace,
        "kelpfront.job": job.name,
        "kelpfront.task": task.uid,
        "kelpfront.class": str(job.spec.get("class", "")),
        "kelpfront.service": str(job.spec.get("service", "")),
        "kelpfront.attempts": len(task.attempts),
        "kelpfront.state": task.state.value,
        "kelpfront.patience_ms": task.deadline - task.created_at,
    }
    if task.answer is not None:
        attributes["kelpfront.answer"] = task.answer.value
    if task.reason:
        attributes["kelpfront.reason"] = task.reason
    if task.host:
        attributes["kelpfront.machine"] = task.host
    if task.withdrawn:
        attributes["kelpfront.withdrawn"] = True
    if task.found:
        attributes["kelpfront.found"] = True
    return attributes


def _children(task: Task, end: float) -> Iterator[Span]:
    """Yield the spans of waits and attempts in chronological order, without overlap."""
    previous_end = task.created_at
    for number, attempt in enumerate(task.attempts):
        if attempt.decided_at > previous_end:
            yield Span(
                "wait" if number == 0 else "wait for another attempt", previous_end, attempt.decided_at
            )
        yield from _attempt_spans(task, attempt, end)
        settled_at = _settled_at(task, attempt)
        previous_end = max(previous_end, attempt.decided_at, end if settled_at is None else settled_at)
    if task.answered_at is not None and task.answered_at > previous_end:
        yield Span("wait", previous_end, task.answered_at, error="no machine took it in time")


def _settled_at(task: Task, attempt: Attempt) -> float | None:
    """Return when an attempt was accepted or ended; None if it was neither."""
    return task.answered_at if attempt.placed else attempt.ended_at


def _attempt_spans(task: Task, attempt: Attempt, end: float) -> Iterator[Span]:
    """Yield the span of the offer and, if it was accepted, that of the time on the machine."""
    settled_at = _settled_at(task, attempt)
    attempt_end = max(attempt.decided_at, end if settled_at is None else settled_at)
    yield Span(
        f"attempt at {attempt.host}",
        attempt.decided_at,
        attempt_end,
        _attempt_attributes(attempt),
        () if attempt.sent_at is None else (SpanEvent("sent", attempt.sent_at),),
        "" if attempt.placed else (attempt.reason or attempt.end or "no answer"),
    )
    if attempt.placed and task.answered_at is not None:
        ended_at = end if attempt.ended_at is None else attempt.ended_at
        lost_reason = task.reason if task.state is TaskState.LOST else ""
        yield Span(
            f"on {attempt.host}",
            task.answered_at,
            max(task.answered_at, ended_at),
            {"kelpfront.end": attempt.end},
            error=lost_reason,
        )


def _attempt_attributes(attempt: Attempt) -> dict[str, AttributeValue]:
    attributes: dict[str, AttributeValue] = {
        "kelpfront.machine": attempt.host,
        "kelpfront.attempt": attempt.number,
    }
    for name, text in (("end", attempt.end), ("reason", attempt.reason), ("message", attempt.message)):
        if text:
            attributes[f"kelpfront.{name}"] = text
    if attempt.held_back:
        attributes["kelpfront.held_back"] = True
    return attributes


def parse_parent_span(annotations: Mapping[str, str]) -> ParentSpan | None:
    """Return the client's span from a job's annotations; None if it is missing or malformed.

    The format is that of W3C Trace Context: VERSION-TRACE-SPAN-FLAGS in lower-case hexadecimal, where neither
    trace nor span is all zeros. Version 00 has no further parts; version ff is not allowed.
    """
    parts = annotations.get(PARENT_ANNOTATION, "").split("-")
    version = parts[0]
    has_valid_lengths = [len(part) for part in parts[:4]] == TRACEPARENT_LENGTHS
    if not has_valid_lengths or version == "ff" or (version == "00" and len(parts) > 4):
        return None
    if not set("".join(parts[:4])) <= HEX_DIGITS:
        return None
    parent = ParentSpan(int(parts[1], 16), int(parts[2], 16))
    return parent if parent.trace_id and parent.span_id else None
