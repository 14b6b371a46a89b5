"""Runs a node's tasks as processes: carries out what the node decides, and adopts what an earlier agent left.

Starts are made by `task_launcher`, stops by `stop_records`; supervisors are followed by `supervision`, and
the node is told what becomes of tasks by `task_completion`. What is left here is the table of runs and which
part each call concerns.
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
    """The `TaskRuntime` of one node. All calls are from the event loop's thread."""

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
        """Stop following all supervisors; tasks run on."""
        self._supervision.close()
        for run in self.runs:
            stop_watching(run)
        await self.context.background.close()

    # ---- What the node decides ------------------------------------------------------------------------

    def start_task(self, start: StartTask) -> None:
        """Begin to start a task."""
        offer = start.offer
        active = self.context.node.tasks[offer.task]
        request = OfferRequest(active.placer, active.incarnation, offer)
        record = TaskRecord(request, self.context.boot_id, self.context.now(), offer.attempt)
        folder = self.context.tasks_folder / task_folder.folder_name(offer.task, offer.attempt)
        run = TaskRun(record, folder)
        self.runs.add(run)
        self.launch(run)

    def launch(self, run: TaskRun) -> None:
        """Begin to make a run's processes."""
        self.context.background.spawn(self._launcher.launch(run))

    def stop_task(self, stop: StopTask) -> None:
        """Begin to stop a task. The stop is on record before this returns: whoever asked may rely on it."""
        run = self.runs.get(stop.task)
        if run is None or run.stop_cause is not None:
            return
        run.stop_cause = stop.cause
        self.context.checkpoint("stop")
        if run.folder_ready:
            self._stops.write(run)

    def supersede_attempt(self, superseding: SupersedeAttempt) -> None:
        """Record that a task is a later attempt's, then tell the node."""
        self.context.background.spawn(self._supersede_attempt(superseding))

    async def _supersede_attempt(self, superseding: SupersedeAttempt) -> None:
        offer = superseding.offer
        run = self.runs.get(offer.task)
        if run is not None and not run.over:
            request = OfferRequest(superseding.placer, superseding.incarnation, offer)
            await self._record_superseded(run, request)
        self.context.node.attempt_superseded(self.context.now(), offer.task, offer.attempt)
        self.context.on_change()

    async def _record_superseded(self, run: TaskRun, request: OfferRequest) -> None:
        """Put the later attempt on record. Cancelled here, the state may still have the earlier one."""
        old = run.record
        run.record = TaskRecord(request, old.boot_id, old.since, old.started_attempt)
        try:
            await self.context.state.record_superseded(old.key, run.record)
        except StateError as error:
            # The task runs, whatever the disk says; after a restart the earlier attempt would be reported.
            log.error(  # noqa: TRY400 - a foreseen failure, told without a traceback
                "superseded attempt not recorded", task=run.task, error=str(error)
            )

    # ---- What supervisors do --------------------------------------------------------------------------

    def on_notice(self, event: str, folder: str) -> None:
        """Handle a notice of the supervisor of a folder."""
        run = self.runs.in_folder(folder)
        if run is None:
            return
        if event == RUNNING_NOTICE:
            self.context.checkpoint("started")
            self._completion.report_running(run)
        else:
            self._supervision.check_running(run)

    def check_starts(self) -> None:
        """Check the tasks that are being started: notices may be lost."""
        for run in self.runs:
            if run.folder_ready and not run.running:
                self._supervision.check_running(run)

    # ---- What earlier and ended tasks leave -----------------------------------------------------------

    def adopt(
        self, record: TaskRecord, folder: Path, state: RecoveredState, inspection: FolderInspection
    ) -> None:
        """Go on with a task that an earlier agent started; the node has been told of it."""
        is_running = state in (RecoveredState.RUNNING, RecoveredState.UNSUPERVISED)
        run = TaskRun(
            record,
            folder,
            stop_cause=inspection.stop_cause,
            folder_ready=folder.exists(),
            running=is_running,
        )
        self.runs.add(run)
        self.context.background.spawn(self._supervision.settle(run))

    def retain_folder(self, key: TaskKey, folder: Path) -> None:
        """Retain the folder of a task that ended before the agent started."""
        self._ended_folders.retain(key, folder)

    def output_folder(self, task: str, attempt: int | None) -> Path | None:
        """Return where the output of an attempt is, or of the task's last one here where none is named."""
        run = self.runs.get(task)
        if run is not None and attempt in (None, run.record.request.offer.attempt):
            return run.folder
        return self._ended_folders.find(task, attempt)
