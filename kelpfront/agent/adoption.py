"""Adopts the tasks of an earlier agent process at startup: recorded tasks, and folders without a record.

`recovery` classifies the state of each task; the runtime monitors the tasks that have not ended.
"""

from __future__ import annotations

import shutil
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import structlog

from kelpfront.agent import task_folder
from kelpfront.agent.evidence import FolderInspection, decode_task_request, inspect_folder, void_start
from kelpfront.agent.idempotency_records import FileIdempotencyRecords
from kelpfront.agent.recovery import RecoveredState, classify, end_cause
from kelpfront.agent.runtime import Runtime
from kelpfront.agent.state_records import StoredState, TaskEnd, TaskRecord
from kelpfront.agent.task_completion import UNKNOWN_EXIT
from kelpfront.agent.task_folder import UnreadableRecordError
from kelpfront.machine.model import Phase
from kelpfront.machine.restoration import RestoredTask

log = structlog.get_logger("kelpfront.agent")


class OpenTask(NamedTuple):
    """A task that the state does not record as ended, with its folder."""

    record: TaskRecord
    folder: Path


class TaskAdoption:
    """Adopts all tasks of one node, once. `found_states` counts them by the values of `RecoveredState`."""

    def __init__(self, runtime: Runtime, idempotency_records: FileIdempotencyRecords | None) -> None:
        self.runtime = runtime
        self.context = runtime.context
        self.node = runtime.context.node
        self._idempotency_records = idempotency_records
        self.found_states: Counter[str] = Counter()

    def adopt_all(self, now: float, stored: StoredState) -> None:
        """Adopt all recorded tasks, and the tasks whose folder has no entry in the state."""
        shutil.rmtree(task_folder.trash_folder(self.context.tasks_folder), ignore_errors=True)
        open_tasks = self._adopt_records(stored)
        if self._idempotency_records is not None:
            uids = frozenset(record.request.offer.task for record, _ in open_tasks)
            self._idempotency_records.remove_machine(self.node.settings.name, uids)
        for record, folder in open_tasks:
            # A record recovered from a damaged state may be of a task whose folder has already been removed.
            may_be_outdated = stored.quarantine is not None and not folder.exists()
            self.adopt(now, record, folder, may_be_outdated=may_be_outdated)

    def _adopt_records(self, stored: StoredState) -> list[OpenTask]:
        """Adopt the tasks that are recorded as ended, and return the others."""
        open_tasks: list[OpenTask] = []
        recorded_folders = set()
        for record in sorted(stored.records, key=lambda record: record.since):
            try:
                name = task_folder.folder_name(record.key.task, record.started_attempt)
            except ValueError as error:  # only a damaged state contains an invalid uid or attempt
                log.error(  # noqa: TRY400 - an expected failure, logged without a traceback
                    "invalid task record ignored", error=str(error)
                )
                continue
            folder = self.context.tasks_folder / name
            recorded_folders.add(name)
            if record.end is not None:
                self._adopt_ended(record, folder)
            else:
                open_tasks.append(OpenTask(record, folder))
        for folder in sorted(path for path in self.context.tasks_folder.iterdir() if path.is_dir()):
            if folder.name in recorded_folders:
                continue
            unrecorded = self._read_unrecorded(folder)
            if unrecorded is not None:
                open_tasks.append(OpenTask(unrecorded, folder))
        return open_tasks

    def _adopt_ended(self, record: TaskRecord, folder: Path) -> None:
        self.node.restore_ended(record.request.placer, record.report(), record.end_seq)
        if record.end_acknowledged:
            self.node.acknowledge_task(record.request.offer.task)
        self.runtime.retain_folder(record.key, folder)

    def _read_unrecorded(self, folder: Path) -> TaskRecord | None:
        """Rebuild the state's record of a task from the task record in its folder.

        A folder has no entry in the state if the state was lost, or if the entry was in its damaged part.
        """
        try:
            return _read_task_record(folder)
        except (UnreadableRecordError, KeyError, ValueError) as error:
            log.error(  # noqa: TRY400 - an expected failure, logged without a traceback
                "task folder unreadable", folder=str(folder), error=str(error)
            )
            return None

    def adopt(self, now: float, record: TaskRecord, folder: Path, *, may_be_outdated: bool) -> None:
        """Adopt one task that is not recorded as ended.

        If its record `may_be_outdated`, a missing folder does not prove that it was never started.
        """
        inspection = self._inspect(record, folder)
        state = RecoveredState.ENDED_UNOBSERVED if may_be_outdated else classify(inspection.evidence)
        if state is RecoveredState.UNCLAIMED:
            try:
                void_start(folder)
                inspection = self._inspect(record, folder)
                state = classify(inspection.evidence)
            except OSError as error:  # adopted as starting; the runtime retries to void the start
                log.error(  # noqa: TRY400 - an expected failure, logged without a traceback
                    "start not voided", task=record.key.task, error=str(error)
                )
        self.found_states[state.value] += 1
        log.info("task adopted", task=record.key.task, attempt=record.key.attempt, state=state.value)
        self.context.state.record_intent(record)
        match state:
            case RecoveredState.NOT_EXECUTED:
                self._record_not_executed(record, folder, inspection)
            case RecoveredState.ENDED | RecoveredState.ENDED_UNOBSERVED:
                self._record_exited(record, folder, inspection)
            case _:
                self._resume(now, OpenTask(record, folder), state, inspection)

    def _inspect(self, record: TaskRecord, folder: Path) -> FolderInspection:
        return inspect_folder(folder, self.context.boot_id, record.boot_id)

    def _resume(
        self, now: float, task: OpenTask, state: RecoveredState, inspection: FolderInspection
    ) -> None:
        """Restore a task in the node, and hand it over to the runtime."""
        phase = Phase.STARTING
        if inspection.stop_cause:
            phase = Phase.STOPPING
        elif state in (RecoveredState.RUNNING, RecoveredState.UNSUPERVISED):
            phase = Phase.RUNNING
        record = task.record
        cause = inspection.stop_cause or "ended"
        self.node.restore(now, RestoredTask(record.request, phase, record.since, cause))
        self.runtime.adopt(record, task.folder, state, inspection)

    def _record_not_executed(self, record: TaskRecord, folder: Path, inspection: FolderInspection) -> None:
        reason = "" if inspection.exit is None else inspection.exit.error
        message = reason or "its agent went down before it was started"
        self.record_end(record, folder, TaskEnd("failed", ran=False, message=message))

    def _record_exited(self, record: TaskRecord, folder: Path, inspection: FolderInspection) -> None:
        exited = inspection.exit or UNKNOWN_EXIT
        cause = end_cause(
            inspection.stop_cause,
            same_boot=record.boot_id == self.context.boot_id,
            exit_known=inspection.exit is not None,
        )
        end = TaskEnd(cause, ran=True, exit_code=exited.code, cpu_s=exited.cpu_s, message=exited.error)
        self.record_end(record, folder, end)

    def record_end(self, record: TaskRecord, folder: Path, end: TaskEnd) -> None:
        """Record the end of a task that ended before this agent started; the next snapshot reports it."""
        record.end = end
        record.end_seq = self.node.incarnation.first_seq - 1  # the sequence number of the first snapshots
        self.node.restore_ended(record.request.placer, record.report(), record.end_seq)
        self.context.state.record_end(record)
        self.runtime.retain_folder(record.key, folder)


def _read_task_record(folder: Path) -> TaskRecord | None:
    """Read a folder's task record; return None if the folder has none.

    Raises UnreadableRecordError, KeyError or ValueError if the record is damaged.
    """
    record = task_folder.read_record(folder, task_folder.TASK)
    if record is None:
        return None  # the agent died between creating the folder and writing the record: nothing was started
    request = decode_task_request(record)
    offer = request.offer
    if task_folder.folder_name(offer.task, offer.attempt) != folder.name:
        raise UnreadableRecordError(f"{folder}: the task record belongs to another attempt")
    return TaskRecord(request, str(record["boot"]), float(record["since"]), offer.attempt)
