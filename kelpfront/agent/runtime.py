"""Runs a node's tasks as processes: executes the node's decisions, and continues the adopted tasks.

`task_launcher` starts tasks, `stop_records` stops them, `supervision` monitors supervisors, and
`task_completion` reports the progress of tasks to the node. This module holds the table of runs, and
dispatches each call to one of these components.
"""

from __future__ import annotations

from pathlib import Path

import structlog

from kelpfront.agent import task_folder
from kelpfront.agent.ended_folders import EndedFolders
from kelpfront.agent.evidence import FolderInspection
from kelpfront.agent.recovery import RecoveredState
from kelpfront.agent.runtime_context import RuntimeContext
from kelpfront.agent.state_database import StateError
from kelpfront.agent.state_records import TaskKey, TaskRecord
from kelpfront.agent.stop_records import StopRecorder
from kelpfront.agent.supervision import Supervision
from kelpfront.agent.supervisor import RUNNING_NOTICE
from kelpfront.agent.task_completion import TaskCompletion, stop_watching
from kelpfront.agent.task_launcher import TaskLauncher
from kelpfront.agent.task_run import RunTable, TaskRun
from kelpfront.machine.effects import StartTask, StopTask, SupersedeAttempt
from kelpfront.machine.messages import OfferRequest

log = structlog.get_logger("kelpfront.agent")


class Runtime:
    """The `TaskRuntime` of one node. All methods must be called from the event loop's thread."""

    completion_class: type[TaskCompletion] = TaskCompletion

    def __init__(self, context: RuntimeContext) -> None:
        self.context = context
        self.runs = RunTable()
        self._ended_folders = EndedFolders(context)
        self._completion = self.completion_class(context, self.runs, self._ended_folders)
        self._supervision = Supervision(context, self._completion)
        self._stops = StopRecorder(context)
        self._launcher = TaskLauncher(context, self._completion, self._supervision, self._stops)

    async def close(self) -> None:
        """Stop monitoring all supervisors; tasks keep running."""
        self._supervision.close()
        for run in self.runs:
            stop_watching(run)
        await self.context.background.close()

    # ---- Decisions of the node ------------------------------------------------------------------------

    def start_task(self, start: StartTask) -> None:
        """Begin to start a task, in the background."""
        offer = start.offer
        active = self.context.node.tasks[offer.task]
        request = OfferRequest(active.placer, active.incarnation, offer)
        record = TaskRecord(request, self.context.boot_id, self.context.now(), offer.attempt)
        folder = self.context.tasks_folder / task_folder.folder_name(offer.task, offer.attempt)
        run = TaskRun(record, folder)
        self.runs.add(run)
        self.launch(run)

    def launch(self, run: TaskRun) -> None:
        """Begin to start a run's supervisor and process, in the background."""
        self.context.background.spawn(self._launcher.launch(run))

    def stop_task(self, stop: StopTask) -> None:
        """Begin to stop a task.

        If the task's folder exists, the stop is recorded there before this returns, so that an answered stop
        request survives a crash of the agent.
        """
        run = self.runs.get(stop.task)
        if run is None or run.stop_cause is not None:
            return
        run.stop_cause = stop.cause
        self.context.checkpoint("stop")
        if run.folder_ready:
            self._stops.write(run)

    def supersede_attempt(self, superseding: SupersedeAttempt) -> None:
        """Record that a later attempt takes over a running task, then notify the node."""
        self.context.background.spawn(self._supersede_attempt(superseding))

    async def _supersede_attempt(self, superseding: SupersedeAttempt) -> None:
        offer = superseding.offer
        run = self.runs.get(offer.task)
        if run is not None and not run.ended:
            request = OfferRequest(superseding.placer, superseding.incarnation, offer)
            await self._record_superseded(run, request)
        self.context.node.attempt_superseded(self.context.now(), offer.task, offer.attempt)
        self.context.on_change()

    async def _record_superseded(self, run: TaskRun, request: OfferRequest) -> None:
        """Record the later attempt. If this is cancelled, the state may still have the earlier attempt."""
        old = run.record
        run.record = TaskRecord(request, old.boot_id, old.since, old.started_attempt)
        try:
            await self.context.state.record_superseded(old.key, run.record)
        except StateError as error:
            # The task keeps running; after a restart the agent would report it as the earlier attempt.
            log.error(  # noqa: TRY400 - an expected failure, logged without a traceback
                "superseded attempt not recorded", task=run.task, error=str(error)
            )

    # ---- Events of supervisors ------------------------------------------------------------------------

    def on_notice(self, event: str, folder: str) -> None:
        """Handle a notice from the supervisor of a folder."""
        run = self.runs.in_folder(folder)
        if run is None:
            return
        if event == RUNNING_NOTICE:
            self.context.checkpoint("started")
            self._completion.report_running(run)
        else:
            self._supervision.check_running(run)

    def check_starts(self) -> None:
        """Check whether tasks that are starting run by now, since notices may be lost."""
        for run in self.runs:
            if run.folder_ready and not run.running:
                self._supervision.check_running(run)

    # ---- Adopted and ended tasks ----------------------------------------------------------------------

    def adopt(
        self, record: TaskRecord, folder: Path, state: RecoveredState, inspection: FolderInspection
    ) -> None:
        """Continue a task that an earlier agent started; it is already restored in the node."""
        is_running = state in (RecoveredState.RUNNING, RecoveredState.UNSUPERVISED)
        run = TaskRun(
            record,
            folder,
            stop_cause=inspection.stop_cause,
            folder_ready=folder.exists(),
            running=is_running,
        )
        self.runs.add(run)
        self.context.background.spawn(self._supervision.resolve_outcome(run))

    def retain_folder(self, key: TaskKey, folder: Path) -> None:
        """Retain the folder of a task that ended before the agent started."""
        self._ended_folders.retain(key, folder)

    def output_folder(self, task: str, attempt: int | None) -> Path | None:
        """Return the folder with an attempt's output, or of the task's last attempt if `attempt` is None."""
        run = self.runs.get(task)
        if run is not None and attempt in (None, run.record.request.offer.attempt):
            return run.folder
        return self._ended_folders.find(task, attempt)
