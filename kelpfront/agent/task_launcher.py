"""Starts tasks, with steps in an order that allows the agent to die at any point.

The intent is durable before the folder is created; the folder exists before a supervisor is requested; the
supervisor claims the start before it forks; the process is recorded before its program may run. After a crash
between two steps, `recovery` determines from the evidence which steps were completed.
"""

from __future__ import annotations

import os

import structlog

from kelpfront.agent import task_folder
from kelpfront.agent.evidence import encode_task_record
from kelpfront.agent.forkserver_client import ForkServerError
from kelpfront.agent.runtime_context import RuntimeContext
from kelpfront.agent.state_database import StateError
from kelpfront.agent.stop_records import StopRecorder
from kelpfront.agent.supervision import Supervision
from kelpfront.agent.task_completion import TaskCompletion
from kelpfront.agent.task_run import TaskRun

log = structlog.get_logger("kelpfront.agent")

DEFAULT_PATH = "/usr/local/bin:/usr/bin:/bin"  # for tasks whose job does not set PATH
DEFAULT_HOME = "/"
DEFAULT_LANG = "C.UTF-8"


class TaskLauncher:
    """Starts the tasks of one node."""

    def __init__(
        self,
        context: RuntimeContext,
        completion: TaskCompletion,
        supervision: Supervision,
        stops: StopRecorder,
    ) -> None:
        self._context = context
        self._completion = completion
        self._supervision = supervision
        self._stops = stops

    async def launch(self, run: TaskRun) -> None:
        """Start a task and monitor its supervisor.

        If this is cancelled, it leaves an intent without a folder, a folder without a claim, or a supervisor
        that is not monitored: the next agent classifies and handles each of these.
        """
        self._context.checkpoint("intent")
        if not await self._record_intent(run) or not self._make_folder(run):
            return
        try:
            forked = await self._context.forkserver.start_supervisor(run.folder)
        except ForkServerError as error:
            log.warning("start not confirmed", task=run.task, error=str(error))
            await self._supervision.resolve_outcome(run)
            return
        self._context.checkpoint("spawned")
        await self._supervision.watch_forked(run, forked)

    async def _record_intent(self, run: TaskRun) -> bool:
        """Make the intent durable; return whether the task should still be started."""
        try:
            await self._context.state.record_intent(run.record)
        except StateError as error:
            self._completion.report_not_executed(run, f"not started: {error}", has_record=False)
            return False
        self._context.checkpoint("intent-durable")
        if run.stop_cause is not None:
            self._completion.report_not_executed(run, "stopped before it started")
            return False
        return True

    def _make_folder(self, run: TaskRun) -> bool:
        """Create the task's folder with its record; return whether that succeeded."""
        try:
            run.folder.mkdir(parents=True)
            task_folder.write_once(run.folder, task_folder.TASK, self._task_record(run))
            run.folder_ready = True
            self._context.checkpoint("folder")
            if run.stop_cause is not None:
                self._stops.write(run)
        except OSError as error:
            self._completion.report_not_executed(run, f"{run.folder}: {error.strerror}")
            return False
        return True

    def _task_record(self, run: TaskRun) -> task_folder.Record:
        record = run.record
        return encode_task_record(
            record.request, record.boot_id, record.since, self._environment(run), self._context.output_limits
        )

    def _environment(self, run: TaskRun) -> dict[str, str]:
        """Return the environment of a task: defaults, the job's variables, and variables that identify it."""
        offer = run.record.request.offer
        assert offer.run is not None
        return {
            "PATH": DEFAULT_PATH,
            "HOME": os.environ.get("HOME", DEFAULT_HOME),
            "LANG": os.environ.get("LANG", DEFAULT_LANG),
            **offer.run.env,
            "KELPFRONT_TASK": offer.task,
            "KELPFRONT_ATTEMPT": str(offer.attempt),
            "KELPFRONT_JOB": f"{offer.job.namespace}/{offer.job.name}",
            "KELPFRONT_INDEX": str(offer.job.index),
            "KELPFRONT_MACHINE": self._context.node.settings.name,
        }
