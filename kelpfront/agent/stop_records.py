"""Passes stop requests to supervisors: writes the stop record to the task's folder, then sends a signal.

The node decides which tasks stop; the supervisor signals the task's processes.
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
        """Write a run's stop record before returning; if the disk prevents that, retry in the background."""
        command = run.record.request.offer.run
        grace_ms = 0.0 if command is None else command.grace_ms
        assert run.stop_cause is not None
        record = StopRecord(run.stop_cause, grace_ms).to_record()
        try:
            task_folder.write_once(run.folder, task_folder.STOP, record)
        except OSError as error:
            log.error(  # noqa: TRY400 - an expected failure, logged without a traceback
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
        if not run.ended:
            self.write(run)
