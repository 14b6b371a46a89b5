"""The spans of a task's trace, made from the record that the controller keeps of the task. No I/O, no clock.

Nothing is recorded for a trace while a task is placed: its record has all times already, so a trace costs
nothing until the task is over, and is then made once.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from kelpfront.api.jobs import Answer, TaskState
from kelpfront.controller.tasks import Attempt, Task

PARENT_ANNOTATION = "kelpfront.dev/traceparent"
"""A job's annotation: the client's own span, as W3C Trace Context."""
Value = str | int | float | bool
HEX_DIGITS = frozenset("0123456789abcdef")
TRACEPARENT_LENGTHS = [2, 32, 16, 2]
"""Lengths of version, trace id, parent id and flags; https://www.w3.org/TR/trace-context/."""


class ParentSpan(NamedTuple):
    """The client's span that a trace belongs to."""

    trace_id: int
    span_id: int


class SpanEvent(NamedTuple):
    """Something that happened at a moment of a span, in milliseconds of the common clock."""

    name: str
    at: float


@dataclass(frozen=True, slots=True)
class Span:
    """One part of a trace, with parts of its own.

    Attributes:
        begin: in milliseconds of the common clock, as `end`.
        error: what went wrong; empty where nothing did.
    """

    name: str
    begin: float
    end: float
    attributes: Mapping[str, Value] = field(default_factory=dict)
    events: tuple[SpanEvent, ...] = ()
    error: str = ""
    children: tuple[Span, ...] = ()


def trace_of(task: Task, controller_name: str, now: float) -> Span:
    """Return the root span of a task that the controller has no more to do with."""
    end = _end_of(task, now)
    is_failure = task.answer in (Answer.REFUSED, Answer.FAILED) or task.state is TaskState.LOST
    moments = (("answered", task.answered_at), ("running", task.running_at))
    return Span(
        f"task {task.state.value.lower()}",
        task.created_at,
        max(end, task.created_at),
        _attributes(task, controller_name),
        tuple(SpanEvent(name, at) for name, at in moments if at is not None),
        (task.reason or task.state.value) if is_failure else "",
        tuple(_children(task, end)),
    )


def _end_of(task: Task, now: float) -> float:
    """Return the end of a task's trace: its own, or that of its last attempt where it never ran."""
    end = max(filter(None, (task.ended_at, task.answered_at)), default=now)
    if task.ended_at is not None:
        return end
    attempt_ends = [a.ended_at for a in task.attempts if a.ended_at is not None and not a.placed]
    return max([end, *attempt_ends])


def _attributes(task: Task, controller_name: str) -> dict[str, Value]:
    job = task.job
    attributes: dict[str, Value] = {
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
    """Yield waits and attempts in the order of time; they do not overlap."""
    at = task.created_at
    for number, attempt in enumerate(task.attempts):
        if attempt.decided_at > at:
            yield Span("wait" if number == 0 else "wait for another attempt", at, attempt.decided_at)
        yield from _attempt_spans(task, attempt, end)
        settled_at = _settled_at(task, attempt)
        at = max(at, attempt.decided_at, end if settled_at is None else settled_at)
    if task.answered_at is not None and task.answered_at > at:
        yield Span("wait", at, task.answered_at, error="no machine took it in time")


def _settled_at(task: Task, attempt: Attempt) -> float | None:
    """Return when an attempt was no longer out: accepted, or ended."""
    return task.answered_at if attempt.placed else attempt.ended_at


def _attempt_spans(task: Task, attempt: Attempt, end: float) -> Iterator[Span]:
    """Yield the span of the offer, and that of the time on the machine where it was accepted."""
    settled_at = _settled_at(task, attempt)
    until = max(attempt.decided_at, end if settled_at is None else settled_at)
    yield Span(
        f"attempt at {attempt.host}",
        attempt.decided_at,
        until,
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


def _attempt_attributes(attempt: Attempt) -> dict[str, Value]:
    attributes: dict[str, Value] = {
        "kelpfront.machine": attempt.host,
        "kelpfront.attempt": attempt.number,
    }
    for name, text in (("end", attempt.end), ("reason", attempt.reason), ("message", attempt.message)):
        if text:
            attributes[f"kelpfront.{name}"] = text
    if attempt.held_back:
        attributes["kelpfront.held_back"] = True
    return attributes


def parent_of(annotations: Mapping[str, str]) -> ParentSpan | None:
    """Return the client's span that a job belongs to; None where none is named, or not properly.

    The form is that of W3C Trace Context: VERSION-TRACE-SPAN-FLAGS in lower-case hexadecimal, with neither
    trace nor span all zeros. Version 00 has no further parts; ff is not allowed.
    """
    parts = annotations.get(PARENT_ANNOTATION, "").split("-")
    version = parts[0]
    has_its_lengths = [len(part) for part in parts[:4]] == TRACEPARENT_LENGTHS
    if not has_its_lengths or version == "ff" or (version == "00" and len(parts) > 4):
        return None
    if not set("".join(parts[:4])) <= HEX_DIGITS:
        return None
    parent = ParentSpan(int(parts[1], 16), int(parts[2], 16))
    return parent if parent.trace_id and parent.span_id else None
