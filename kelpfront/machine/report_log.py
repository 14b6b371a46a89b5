"""The reports of a machine to its placers: an outbox for each placer, and the recently ended tasks.

This module numbers and retains the messages. The node decides what to report, and `message_stream` sends the
messages.
"""

from __future__ import annotations

from collections.abc import Callable

from kelpfront.machine.bounded_cache import BoundedCache
from kelpfront.machine.messages import Gone, Snapshot, TaskReport
from kelpfront.machine.model import EndedTask
from kelpfront.machine.outbox import Outbox

MAX_ENDED_TASKS = 2_000  # retained for snapshots; a placer reads its stream long before so many tasks end
MAX_PLACERS = 1_000  # outboxes that are kept; bounds their memory


class TooManyPlacersError(OverflowError):
    """A new outbox would exceed `MAX_PLACERS`, and every placer that has one has tasks on this machine."""


class ReportLog:
    """All outboxes of a machine. Message numbers of this process start at `first_seq`.

    `placers_with_tasks` returns the placers that have tasks on this machine. Their outboxes are never
    dropped, since their message numbers must continue.
    """

    def __init__(self, first_seq: int, placers_with_tasks: Callable[[], set[str]]) -> None:
        self.ended: BoundedCache[str, EndedTask] = BoundedCache(MAX_ENDED_TASKS)
        self._first_seq = first_seq
        self._placers_with_tasks = placers_with_tasks
        self._outboxes: dict[str, Outbox] = {}

    def outbox(self, placer: str) -> Outbox:
        """Return the outbox to a placer; it is created on first use.

        Raises TooManyPlacersError if that exceeds `MAX_PLACERS` and every placer has tasks on this machine.
        """
        outbox = self._outboxes.get(placer)
        if outbox is None:
            if len(self._outboxes) >= MAX_PLACERS:
                self._drop_idle_outbox()
            outbox = Outbox(self._first_seq)
            self._outboxes[placer] = outbox
        return outbox

    def _drop_idle_outbox(self) -> None:
        with_tasks = self._placers_with_tasks()
        idle = next((placer for placer in self._outboxes if placer not in with_tasks), None)
        if idle is None:
            raise TooManyPlacersError(f"{MAX_PLACERS} placers have tasks here, which is the most")
        del self._outboxes[idle]

    def append_ended(self, placer: str, report: TaskReport) -> None:
        """Number and retain the message that a task has ended."""
        offer = report.offer

        def message(seq: int) -> Gone:
            return Gone(
                seq,
                offer.task,
                offer.attempt,
                report.cause or "ended",
                report.ran,
                report.exit_code,
                report.message,
                report.cpu_s,
            )

        ended_message = self.outbox(placer).append_ended(message)
        self.add_ended(EndedTask(placer, report, ended_message.seq))

    def add_ended(self, ended: EndedTask) -> None:
        """Remember an ended task for the snapshots of its placer."""
        self.ended.put(ended.report.offer.task, ended)

    def snapshot(self, placer: str, active: list[TaskReport]) -> Snapshot:
        """Return the snapshot for a placer: its unacknowledged ended tasks and its active ones."""
        ended_reports = [
            ended.report for ended in self.ended.values() if ended.placer == placer and not ended.acknowledged
        ]
        return Snapshot(self.outbox(placer).next_seq - 1, (*ended_reports, *active))

    def acknowledge(self, placer: str, next_seq: int) -> list[str]:
        """Mark the ended tasks whose message a placer has received: it requests messages from `next_seq` on.

        Returns those that were not marked before.
        """
        newly_acknowledged = []
        for task, ended in self.ended.items():
            is_known = ended.placer == placer and ended.seq < next_seq
            if is_known and not ended.acknowledged:
                ended.acknowledged = True
                newly_acknowledged.append(task)
        return newly_acknowledged

    def acknowledge_task(self, task: str) -> None:
        """Mark one ended task as acknowledged, according to the records of an earlier process."""
        ended = self.ended.get(task)
        if ended is not None:
            ended.acknowledged = True
