"""The decisions of one machine, without I/O: a node passes each event to the component that handles it.

The owner of a `Node` calls it for each event (an offer, a started process, a timer) with the current time,
then pops the node's effects and carries them out in order. The components hold the state; the node connects
them.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from kelpfront.machine.admission import select_evictions
from kelpfront.machine.admission_queue import AdmissionQueue
from kelpfront.machine.drain import Drain
from kelpfront.machine.effects import Effect, EffectBuffer
from kelpfront.machine.evaluation import Evaluation
from kelpfront.machine.idempotency_records import IdempotencyRecords, KeyClaims, SharedIdempotencyRecords
from kelpfront.machine.load_meter import LoadMeter
from kelpfront.machine.messages import (
    GoneCause,
    Heartbeat,
    Hello,
    LoadReport,
    Note,
    OfferRequest,
    Snapshot,
    StopReply,
    StopRequest,
    TaskReport,
)
from kelpfront.machine.model import (
    LIVE_PHASES,
    ActiveTask,
    EndedTask,
    Incarnation,
    NodeSettings,
    OtherPrograms,
    Phase,
    ResourceUsage,
)
from kelpfront.machine.offer_answers import OfferAnswers
from kelpfront.machine.offer_screening import OfferScreening
from kelpfront.machine.outbox import Outbox
from kelpfront.machine.report_log import ReportLog
from kelpfront.machine.restoration import Restoration, RestoredTask
from kelpfront.machine.running_tasks import RunningTasks
from kelpfront.machine.start_queue import StartQueue
from kelpfront.machine.supersession import Supersession
from kelpfront.machine.task_starter import TaskStarter
from kelpfront.machine.task_stops import TaskStops
from kelpfront.machine.task_table import TaskTable
from kelpfront.machine.withdrawals import Withdrawals


def _no_delay_ms() -> float:
    """Return the duration of an evaluation that takes no time."""
    return 0.0


class Node:
    """One incarnation of a machine. Times are milliseconds of the common clock.

    `evaluation_ms` returns how long the evaluation of an offer takes.
    """

    def __init__(
        self,
        settings: NodeSettings,
        incarnation: Incarnation,
        evaluation_ms: Callable[[], float] = _no_delay_ms,
        idempotency_records: IdempotencyRecords | None = None,
    ) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self._effects = EffectBuffer()
        records = idempotency_records or SharedIdempotencyRecords()
        self._tasks = TaskTable(KeyClaims(settings, records))
        self._report_log = ReportLog(incarnation.first_seq, self._tasks.placers)
        self._admission_queue = AdmissionQueue(evaluation_ms)
        self._start_queue = StartQueue(settings, incarnation)
        self._load = LoadMeter(settings.capacity, self._tasks, self._admission_queue, self._start_queue)
        self._answers = OfferAnswers(settings, self._report_log, self._load, self._effects)
        self._running = RunningTasks(
            self._tasks, self._start_queue, self._answers, self._report_log, self._effects
        )
        self._withdrawals = Withdrawals(
            self._tasks, self._admission_queue, self._start_queue, self._answers, self._report_log
        )
        self._stops = TaskStops(self._running, self._withdrawals)
        self._drain = Drain(settings, self._tasks, self._withdrawals, self._running)
        self._screening = OfferScreening(settings, self._load, self._report_log, self._drain)
        self._supersession = Supersession(self._withdrawals, self._answers, self._effects)
        self._evaluation = Evaluation(settings, self._tasks, self._start_queue, self._answers, self._stops)
        self._starter = TaskStarter(self._tasks, self._start_queue, self._answers, self._effects)
        self._restoration = Restoration(self._tasks, self._start_queue, self._answers, self._report_log)

    # ---- Offers and stops of placers ----------------------------------------------------------------------

    def offer(self, now: float, request: OfferRequest) -> None:
        """Queue an offer for evaluation, or answer it at once; the AnswerOffer effect may follow later."""
        offer = request.offer
        if self._answers.repeat(offer):
            return
        active = self._tasks.get(offer.task)
        if active is not None and not self._supersession.resolve(active, request):
            return
        refusal = self._screening.refusal(offer)
        if refusal is not None:
            self._answers.give(offer, refusal)
            return
        task = ActiveTask(offer, request.placer, request.incarnation, Phase.PENDING, now)
        self._tasks.add(task)
        self._admission_queue.append(task)
        self.advance(now)

    def abandon(self, now: float, task: str, attempt: int) -> None:
        """Drop an attempt whose answer no one waits for, if it is unanswered and its start has not begun."""
        active = self._tasks.get(task)
        if active is None or active.offer.attempt != attempt:
            return
        if not active.answered and not active.has_begun:
            self._withdrawals.drop(active)
            self.advance(now)

    def stop(self, now: float, request: StopRequest) -> StopReply:
        """Stop the requested attempt of a task, or an earlier attempt that is active."""
        active = self._tasks.get(request.task)
        if active is None:
            self._screening.remember_stop(request.task, request.attempt)
            return StopReply("unknown")
        if active.offer.attempt > request.attempt:
            return StopReply("unknown")
        has_begun = self._stops.end(active, "stopped", "stopped by its placer")
        if has_begun:
            return StopReply("stopping")
        self.advance(now)
        return StopReply("stopped")

    def stop_placer_tasks(self, now: float, placer: str, cause: GoneCause) -> int:
        """Stop all tasks of a placer that has failed; returns the number of tasks."""
        tasks = [task for task in self._tasks.of_placer(placer) if task.phase is not Phase.STOPPING]
        for task in tasks:
            self._stops.end(task, cause, "its placer is away")
        self.advance(now)
        return len(tasks)

    def set_draining(self, now: float, *, draining: bool) -> None:
        """Start or cancel a drain; a draining machine refuses new offers."""
        if self._drain.is_draining == draining:
            return
        if draining:
            self._drain.begin(now)
        else:
            self._drain.cancel()
        self.advance(now)

    # ---- Events of tasks ----------------------------------------------------------------------------------

    def started(self, now: float, task: str) -> None:
        """Handle the successful start of a task."""
        active = self._tasks.get(task)
        if active is None or active.phase is not Phase.STARTING:
            return
        self._running.mark_running(active)
        self.advance(now)

    def attempt_superseded(self, now: float, task: str, attempt: int) -> None:
        """Answer a later attempt, once it is recorded that the task belongs to it."""
        active = self._tasks.get(task)
        if active is None or active.offer.attempt != attempt or active.answered:
            return
        self._supersession.confirm(active)
        self.advance(now)

    def start_failed(self, now: float, task: str, message: str) -> None:
        """Handle a start in which the task's process could not be created: the task never ran."""
        active = self._tasks.get(task)
        if active is None or active.phase not in (Phase.STARTING, Phase.STOPPING):
            return
        self._running.end_never_ran(active, message)
        self.advance(now)

    def start_unconfirmed(self, now: float, task: str, message: str) -> None:
        """Handle a failed start after which it is unknown whether the task ran: its answer is an error."""
        active = self._tasks.get(task)
        if active is None or not active.has_begun:
            return
        self._running.end_start_unconfirmed(active, message)
        self.advance(now)

    def exited(
        self,
        now: float,
        task: str,
        exit_code: int | None = None,
        cpu_s: float | None = None,
        message: str = "",
    ) -> None:
        """Handle the exit of a task's process; `cpu_s` is the CPU time of the process and its children."""
        active = self._tasks.get(task)
        if active is None or not active.has_begun:
            return
        self._running.end_exited(active, exit_code, cpu_s, message)
        self.advance(now)

    def record_usage(self, now: float, usage_by_task: Mapping[str, ResourceUsage]) -> None:
        """Record the resource usage of tasks, and evict tasks if memory has run out."""
        for task, usage in usage_by_task.items():
            active = self._tasks.get(task)
            if active is not None:
                active.usage = usage
        claims = [task.claim() for task in self._tasks.all() if task.phase in LIVE_PHASES]
        for victim in select_evictions(self.settings.capacity, claims, self.other_programs.memory):
            self._running.stop(self._tasks.by_uid[victim], "evicted")
        self.advance(now)

    def report_status(self, status_report: Note) -> None:
        """Send a status report of a running task to its placer."""
        active = self._tasks.get(status_report.task)
        if active is not None and active.phase is Phase.RUNNING:
            self.outbox(active.placer).add_status_report(status_report)

    # ---- Time and effects ---------------------------------------------------------------------------------

    def advance(self, now: float) -> None:
        """Perform the actions that are due: evaluate offers, begin starts, evict tasks."""
        while (evaluated := self._admission_queue.pop_evaluated(now)) is not None:
            self._evaluation.evaluate(now, evaluated)
        self._starter.start_due(now)
        self._drain.evict_due(now)

    def next_timer(self) -> float:
        """Return the time at which `advance` is next due; infinity if nothing is due."""
        return min(self._admission_queue.next_due, self._start_queue.next_due, self._drain.next_due)

    def pop_effects(self) -> list[Effect]:
        """Remove and return the effects to carry out, in order."""
        return self._effects.pop_all()

    # ---- Recovery after a restart -------------------------------------------------------------------------

    def restore(self, now: float, restored: RestoredTask) -> None:
        """Add a task that an earlier process of the machine started."""
        self._restoration.restore(now, restored)

    def restore_ended(self, placer: str, report: TaskReport, seq: int) -> None:
        """Add an ended task; `seq` is the number of the message that reports its end."""
        self._restoration.restore_ended(placer, report, seq)

    # ---- Messages to placers ------------------------------------------------------------------------------

    def outbox(self, placer: str) -> Outbox:
        """Return the outbox to a placer; it is created on first use."""
        return self._report_log.outbox(placer)

    def hello(self, now: float, placer: str, next_seq: int | None) -> Hello:
        """Return the first message of a placer's stream; the placer requests messages from `next_seq` on."""
        outbox = self.outbox(placer)
        resumed = next_seq is not None and outbox.reaches(next_seq)
        return Hello(
            boot=self.boot,
            age_ms=max(0.0, now - self.started_at),
            kind=self.settings.kind,
            heartbeat_ms=self.settings.heartbeat_ms,
            resumed=resumed,
            next_seq=next_seq if resumed and next_seq is not None else outbox.next_seq,
        )

    def snapshot(self, placer: str) -> Snapshot:
        """Return a snapshot of a placer's active tasks and its ended tasks that it has not acknowledged."""
        active = [task.report() for task in self._tasks.of_placer(placer)]
        return self._report_log.snapshot(placer, active)

    def acknowledge(self, placer: str, next_seq: int) -> list[str]:
        """Record that a placer has received all messages before `next_seq`.

        Returns the ended tasks that this acknowledges for the first time.
        """
        return self._report_log.acknowledge(placer, next_seq)

    def acknowledge_task(self, task: str) -> None:
        """Mark an ended task as acknowledged, according to the records of an earlier process."""
        self._report_log.acknowledge_task(task)

    def heartbeat(self) -> Heartbeat:
        """Return the machine's state and load for its placers."""
        return Heartbeat("draining" if self.draining else "ready", self.load())

    def load(self) -> LoadReport:
        """Return the machine's load."""
        return self._load.report()

    # ---- State --------------------------------------------------------------------------------------------

    @property
    def boot(self) -> str:
        """The identifier of this incarnation."""
        return self.incarnation.boot

    @property
    def started_at(self) -> float:
        """The time at which this incarnation began."""
        return self.incarnation.started_at

    @property
    def draining(self) -> bool:
        """Whether the machine is draining and refuses new offers."""
        return self._drain.is_draining

    @property
    def other_programs(self) -> OtherPrograms:
        """The resource usage of the host's programs that are not tasks; callers may set its fields."""
        return self._load.other_programs

    @property
    def tasks(self) -> dict[str, ActiveTask]:
        """The active tasks by uid; callers must not modify the dict."""
        return self._tasks.by_uid

    @property
    def cached_programs(self) -> set[str]:
        """The services whose program is on the machine; the first start of any other service takes longer."""
        return self._start_queue.programs.services()

    def ended_task(self, task: str) -> EndedTask | None:
        """Return the record of an ended task, or None if it is unknown or no longer kept."""
        return self._report_log.ended.get(task)
