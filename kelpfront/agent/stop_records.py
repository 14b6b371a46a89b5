"""Carries stops to supervisors: writes the stop into the task's folder, then signals its supervisor.

Whether a task is to stop is decided by the node; the signals to its processes are the supervisor's.
"""

from __future__ import annotations

import asyncio

import structlog

from kelpfront.agent import task_folder
from kelpfront.agent.runtime_context import RuntimeContext
from kelpfront.agent.supervision import RETRY_INTERVAL_S
from kelpfront.agent.supervisor import request_stop_check
from kelpfront.agent.task_records import StopRecord
from kelpfront.agent.task_run import NO_PIDFD, TaskRun

log = structlog.get_logger("kelpfront.agent")


class StopRecorder:
    """Writes the stop records of one node's tasks."""

    def __init__(self, context: RuntimeContext) -> None:
        self._context = context

    def write(self, run: TaskRun) -> None:
        """Write a run's stop before this returns; where the disk prevents that it is retried."""
        command = run.record.request.offer.run
        grace_ms = 0.0 if command is None else command.grace_ms
        assert run.stop_cause is not None
        record = StopRecord(run.stop_cause, grace_ms).to_record()
        try:
            task_folder.write_once(run.folder, task_folder.STOP, record)
        except OSError as error:
            log.error(  # noqa: TRY400 - a foreseen failure, told without a traceback
                "stop not recorded", task=run.task, error=str(error), retry_s=RETRY_INTERVAL_S
            )
            self._context.background.spawn(self._retry(run))
            return
        self._context.checkpoint("stop-written")
        if run.pidfd != NO_PIDFD:
            request_stop_check(run.pidfd)
            self._context.checkpoint("stop-asked")

    async def _retry(self, run: TaskRun) -> None:
        await asyncio.sleep(RETRY_INTERVAL_S)
        if not run.over:
            self.write(run)
