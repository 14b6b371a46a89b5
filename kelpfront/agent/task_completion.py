"""Notifies the node that tasks run or have ended, and records their ends in the agent's state.

`supervision` detects that a task has ended.
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
    """Reports the progress of runs to the node, each report once."""

    def __init__(self, context: RuntimeContext, runs: RunTable, ended_folders: EndedFolders) -> None:
        self._context = context
        self._runs = runs
        self._ended_folders = ended_folders

    def report_running(self, run: TaskRun) -> None:
        """Notify the node that a task runs, unless it was notified before."""
        if run.running or run.ended:
            return
        run.running = True
        self._context.node.started(self._context.now(), run.task)
        self._context.checkpoint("answer")
        self._context.on_change()

    def report_not_executed(self, run: TaskRun, reason: str, *, has_record: bool = True) -> None:
        """Notify the node that a task never ran; `has_record` is whether its intent is in the state."""
        if run.ended:
            return
        run.ended = True
        stop_watching(run)
        self._context.node.start_failed(self._context.now(), run.task, reason)
        log.info("task not started", task=run.task, reason=reason)
        end = TaskEnd("failed", ran=False, message=reason)
        self._record_end(run, end, has_record=has_record)

    def report_ended(self, run: TaskRun, inspection: FolderInspection, *, program_loaded: bool) -> None:
        """Notify the node that a task has ended.

        If it is not known that the program was loaded (`program_loaded` is False), the node answers the offer
        with an error, because the task may have run.
        """
        if run.ended:
            return
        run.ended = True
        stop_watching(run)
        now = self._context.now()
        node = self._context.node
        exited = inspection.exit or UNKNOWN_EXIT
        if program_loaded and not run.running:  # it ended before its start was reported
            node.started(now, run.task)
        node.exited(now, run.task, exited.code, exited.cpu_s, exited.error)
        self._context.checkpoint("exit-told")
        cause = self._reported_cause(run)
        log.info("task ended", task=run.task, cause=cause, exit_code=exited.code)
        end = TaskEnd(cause, ran=True, exit_code=exited.code, cpu_s=exited.cpu_s, message=exited.error)
        self._record_end(run, end, has_record=True)

    def _reported_cause(self, run: TaskRun) -> GoneCause:
        """Return the cause that the node has reported to the task's placer."""
        ended = self._context.node.ended_task(run.task)
        if ended is None or ended.report.cause is None:
            return "ended"
        return ended.report.cause

    def _record_end(self, run: TaskRun, end: TaskEnd, *, has_record: bool) -> None:
        """Record a task's end, and trigger the sending of the node's reports."""
        self._runs.remove(run)
        ended = self._context.node.ended_task(run.task)
        run.record.end = end
        run.record.end_seq = 0 if ended is None else ended.seq
        if has_record:
            self._context.state.record_end(run.record)
            self._ended_folders.retain(run.record.key, run.folder)
        self._context.checkpoint("exit-recorded")
        self._context.on_change()


def stop_watching(run: TaskRun) -> None:
    """Stop monitoring a run's supervisor, and close its pidfd."""
    if run.pidfd != NO_PIDFD:
        asyncio.get_running_loop().remove_reader(run.pidfd)
        os.close(run.pidfd)
        run.pidfd = NO_PIDFD
