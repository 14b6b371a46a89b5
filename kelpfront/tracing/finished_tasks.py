"""Hands over the trace of each task that a controller is done with.

The trace is made from the task's record at that moment; what it consists of is `spans`' matter.
"""

from __future__ import annotations

from collections.abc import Callable

from kelpfront.controller.job_controller import JobController
from kelpfront.controller.tasks import Task
from kelpfront.tracing.spans import ParentSpan, Span, parent_of, trace_of

Sink = Callable[[Span, ParentSpan | None], None]


def trace_finished_tasks(controller: JobController, sink: Sink, now: Callable[[], float]) -> None:
    """Have the trace of each task go to `sink` when the controller forgets the task.

    Args:
        controller: decides and answers as without traces.
        sink: takes a trace, and the client's span that it belongs to.
        now: tells the common clock.
    """

    def on_removed(task: Task) -> None:
        sink(trace_of(task, controller.name, now()), parent_of(task.job.annotations))

    controller.context.task_table.on_removed = on_removed
