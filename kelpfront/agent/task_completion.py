"""Tells the node that tasks run or are over, and puts their ends on record.

How it is found out that a task is over is left to `supervision`.
"""

from __future__ import annotations

import asyncio
import os

import structlog

from kelpfront.agent.ended_folders import EndedFolders
from kelpfront.agent.evidence import FolderInspection
from kelpfront.agent.runtime_context import RuntimeContext
from kelpfront.agent.state_records import TaskEnd
from kelpfront.agent.task_records import EXIT_STATUS_UNKNOWN, ExitRecord
from kelpfront.agent.task_run import NO_PIDFD, RunTable, TaskRun
from kelpfront.machine.messages import GoneCause

log = structlog.get_logger("kelpfront.agent")

UNKNOWN_EXIT = ExitRecord(ran=True, at=None, error=EXIT_STATUS_UNKNOWN)


class TaskCompletion:
    """Reports the progress of runs; each report is made once."""

    def __init__(self, context: RuntimeContext, runs: RunTable, ended_folders: EndedFolders) -> None:
        self._context = context
        self._runs = runs
        self._ended_folders = ended_folders

    def report_running(self, run: TaskRun) -> None:
        """Tell the node that a task runs, unless it knows."""
        if run.running or run.over:
            return
        run.running = True
        self._context.node.started(self._context.now(), run.task)
        self._context.checkpoint("answer")
        self._context.on_change()

    def report_not_executed(self, run: TaskRun, reason: str, *, has_record: bool = True) -> None:
        """Tell the node that a task never ran; `has_record` is whether its intent is in the state."""
        if run.over:
            return
        run.over = True
        stop_watching(run)
        self._context.node.start_failed(self._context.now(), run.task, reason)
        log.info("task not started", task=run.task, reason=reason)
        end = TaskEnd("failed", ran=False, message=reason)
        self._record_end(run, end, has_record=has_record)

    def report_ended(self, run: TaskRun, inspection: FolderInspection, *, program_loaded: bool) -> None:
        """Tell the node that a task is over.

        Where its program is not known to have been loaded its offer is answered with an error: it may have
        run.
        """
        if run.over:
            return
        run.over = True
        stop_watching(run)
        now = self._context.now()
        node = self._context.node
        ending = inspection.exit or UNKNOWN_EXIT
        if program_loaded and not run.running:  # it ended before the notice that it runs
            node.started(now, run.task)
        node.exited(now, run.task, ending.code, ending.cpu_s, ending.error)
        self._context.checkpoint("exit-told")
        cause = self._reported_cause(run)
        log.info("task ended", task=run.task, cause=cause, exit_code=ending.code)
        end = TaskEnd(cause, ran=True, exit_code=ending.code, cpu_s=ending.cpu_s, message=ending.error)
        self._record_end(run, end, has_record=True)

    def _reported_cause(self, run: TaskRun) -> GoneCause:
        """Return the cause that the node has reported to the task's placer."""
        ended = self._context.node.ended(run.task)
        if ended is None or ended.report.cause is None:
            return "ended"
        return ended.report.cause

    def _record_end(self, run: TaskRun, end: TaskEnd, *, has_record: bool) -> None:
        """Put an end on record, and let the node's reports of it go out."""
        self._runs.remove(run)
        ended = self._context.node.ended(run.task)
        run.record.end = end
        run.record.end_seq = 0 if ended is None else ended.seq
        if has_record:
            self._context.state.record_end(run.record)
            self._ended_folders.retain(run.record.key, run.folder)
        self._context.checkpoint("exit-recorded")
        self._context.on_change()


def stop_watching(run: TaskRun) -> None:
    """Close the descriptor of a run's supervisor."""
    if run.pidfd != NO_PIDFD:
        asyncio.get_running_loop().remove_reader(run.pidfd)
        os.close(run.pidfd)
        run.pidfd = NO_PIDFD
