"""Passes on the trace of each task when the controller removes the task.

`spans` builds the trace from the task's record at that moment.
"""

from __future__ import annotations

from collections.abc import Callable

from kelpfront.controller.job_controller import JobController
from kelpfront.controller.tasks import Task
from kelpfront.tracing.spans import ParentSpan, Span, build_trace, parse_parent_span

TraceSink = Callable[[Span, ParentSpan | None], None]


def trace_finished_tasks(controller: JobController, sink: TraceSink, now: Callable[[], float]) -> None:
    """Call `sink` with the trace of each task that the controller removes.

    Args:
        controller: the controller to trace; its decisions and answers are not affected.
        sink: receives a trace and the client's span to which it belongs, if any.
        now: returns the time of the common clock.
    """

    def on_removed(task: Task) -> None:
        sink(build_trace(task, controller.name, now()), parse_parent_span(task.job.annotations))

    controller.context.task_table.on_removed = on_removed
