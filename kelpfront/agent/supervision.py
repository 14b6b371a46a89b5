"""Monitors the supervisors of tasks, and determines the outcome of a task whose supervisor has ended.

A pidfd shows the end of a supervisor immediately. `recovery` classifies the task then, and `task_completion`
reports to the node.
"""

from __future__ import annotations

import asyncio

import structlog

from kelpfront.agent.evidence import FolderInspection, inspect_folder, void_start
from kelpfront.agent.forkserver_client import ForkedSupervisor, ForkServerError
from kelpfront.agent.process import ProcessIdentity, open_pidfd
from kelpfront.agent.recovery import RecoveredState, classify
from kelpfront.agent.runtime_context import RuntimeContext
from kelpfront.agent.supervisor import request_stop_check
from kelpfront.agent.task_completion import TaskCompletion, stop_watching
from kelpfront.agent.task_run import NO_PIDFD, TaskRun

log = structlog.get_logger("kelpfront.agent")

RETRY_INTERVAL_S = 0.5  # between retries of operations that fail for lack of disk space or processes


class Supervision:
    """Monitors the supervisors of one node's runs."""

    def __init__(self, context: RuntimeContext, completion: TaskCompletion) -> None:
        self._context = context
        self._completion = completion
        self._closed = False

    def close(self) -> None:
        """Stop resolving outcomes and replacing supervisors."""
        self._closed = True

    async def watch_forked(self, run: TaskRun, forked: ForkedSupervisor) -> None:
        """Monitor a supervisor that the fork server has forked."""
        await self.watch(run, ProcessIdentity(forked.pid, forked.start_ticks, self._context.boot_id))

    async def watch(self, run: TaskRun, supervisor: ProcessIdentity) -> None:
        """Monitor a supervisor until it ends."""
        run.supervisor = supervisor
        pidfd = open_pidfd(supervisor, self._context.boot_id)
        if pidfd is None:
            await self.resolve_outcome(run)
            return
        run.pidfd = pidfd
        asyncio.get_running_loop().add_reader(pidfd, self._on_supervisor_ended, run)
        if run.stop_cause is not None and not request_stop_check(pidfd):
            self._on_supervisor_ended(run)
        else:
            self.check_running(run)

    def _on_supervisor_ended(self, run: TaskRun) -> None:
        stop_watching(run)
        self._context.checkpoint("exit-seen")
        self._context.background.spawn(self.resolve_outcome(run))

    def check_running(self, run: TaskRun) -> None:
        """Check in a task's folder whether it runs, since the supervisor's notice may be lost."""
        if run.ended or run.running:
            return
        if self._inspect(run).evidence.running:
            self._completion.report_running(run)

    def _inspect(self, run: TaskRun) -> FolderInspection:
        return inspect_folder(run.folder, self._context.boot_id, run.record.boot_id)

    async def resolve_outcome(self, run: TaskRun) -> None:
        """Classify a task whose supervisor is not monitored, and act on its state.

        If this is cancelled while it waits, the folder is unchanged, and the next agent classifies it again.
        """
        while not (run.ended or self._closed):
            inspection = self._inspect(run)
            state = classify(inspection.evidence)
            if state is RecoveredState.UNCLAIMED:
                if self._void_start(run):
                    continue  # the claim is written now: classify again by its content
            elif state is RecoveredState.UNSUPERVISED:
                if await self._replace_supervisor(run):
                    return
            else:
                await self._apply_state(run, inspection, state)
                return
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _apply_state(self, run: TaskRun, inspection: FolderInspection, state: RecoveredState) -> None:
        """Report a task that has ended, or monitor the supervisor of one that has not."""
        match state:
            case RecoveredState.NOT_EXECUTED:
                reason = "" if inspection.exit is None else inspection.exit.error
                self._completion.report_not_executed(run, reason or "its start was not begun")
            case RecoveredState.ENDED | RecoveredState.ENDED_UNOBSERVED:
                program_loaded = state is RecoveredState.ENDED or inspection.evidence.running
                self._completion.report_ended(run, inspection, program_loaded=program_loaded)
            case _:
                assert inspection.supervisor is not None
                if inspection.evidence.running:
                    self._completion.report_running(run)
                if run.pidfd == NO_PIDFD:
                    await self.watch(run, inspection.supervisor)

    def _void_start(self, run: TaskRun) -> bool:
        """Void an unclaimed start; return whether a claim exists now, by this agent or by a supervisor."""
        try:
            void_start(run.folder)
        except OSError as error:
            log.error(  # noqa: TRY400 - an expected failure, logged without a traceback
                "start not voided", task=run.task, error=str(error), retry_s=RETRY_INTERVAL_S
            )
            return False
        return True

    async def _replace_supervisor(self, run: TaskRun) -> bool:
        """Replace a supervisor that died; return whether a replacement was forked and is monitored."""
        self._completion.report_running(run)
        log.warning("supervisor died", task=run.task, replacements=run.replacements)
        if run.replacements:
            await asyncio.sleep(RETRY_INTERVAL_S)  # no busy loop if supervisors keep dying
        run.replacements += 1
        try:
            forked = await self._context.forkserver.replace_supervisor(run.folder)
        except ForkServerError as error:
            log.error(  # noqa: TRY400 - an expected failure, logged without a traceback
                "supervisor not replaced", task=run.task, error=str(error), retry_s=RETRY_INTERVAL_S
            )
            return False
        await self.watch_forked(run, forked)
        return True
