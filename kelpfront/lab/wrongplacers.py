"""Placers that are wrong on purpose, each in one way: what judges placers must find every one of them."""

from __future__ import annotations

import itertools
import math
from dataclasses import replace
from typing import Any

import msgspec

from kelpfront.api.jobs import TaskState
from kelpfront.api.machines import State
from kelpfront.controller.attempts import AttemptEnd
from kelpfront.controller.intents import SendOffer
from kelpfront.controller.job_controller import JobController
from kelpfront.controller.offers import make_offer
from kelpfront.controller.tasks import Attempt, Task
from kelpfront.machine import messages as wire
from kelpfront.scheduling.actions import Bind
from kelpfront.scheduling.events import AttemptClosed, AttemptOutcome, Endpoint, OutcomeReason, SchedulerEvent
from kelpfront.scheduling.settings import FailureDomain


class ForgetsToAnswer(JobController):
    """Rule 1: a final answer is dropped."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self.answers.finish_unplaced = lambda *args: None  # type: ignore[method-assign]


class OffersAfterItsAnswer(JobController):
    """Rule 1: something goes out after the answer."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        answer = self.answers.answer

        def answered(now: float, task: Task, state: TaskState) -> None:
            answer(now, task, state)
            old = task.attempts[-1]
            late = Attempt(task, 7, 7, old.host, old.machine_id, now, 1e18, sent_at=None)
            sent = SendOffer(old.host, make_offer(self.cluster, task, late))
            self.context.timers.set(now + 600.0, lambda then: self.context.intents.append(sent))

        self.answers.answer = answered  # type: ignore[method-assign]

    def clear_to_send(self, now: float, task_uid: str, attempt_number: int) -> bool:
        return attempt_number == 7 or super().clear_to_send(now, task_uid, attempt_number)


class TakesSilenceForProof(JobController):
    """Rule 2: an attempt that may have run is told to the decisions as one that never ran."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        close = self.attempts.close

        def closed(now: float, attempt: Attempt, end: AttemptEnd) -> None:
            if end.outcome in (AttemptOutcome.RESET, AttemptOutcome.TIMED_OUT, AttemptOutcome.ERROR):
                end = replace(end, outcome=AttemptOutcome.NOT_SENT)
            close(now, attempt, end)

        self.attempts.close = closed  # type: ignore[method-assign]


class RefusesWhatMayHaveRun(JobController):
    """Rule 2: an owner is told that asking again does no harm, which is not known."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        finish = self.answers.finish_unplaced
        self.answers.finish_unplaced = (  # type: ignore[method-assign]
            lambda now, task_id, state, retry_after_ms: finish(
                now, task_id, TaskState.REFUSED, retry_after_ms
            )
        )


class OffersToTwo(JobController):
    """Rule 2: two attempts out at once."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        bind_once = self.dispatcher.bind

        def bind_twice(now: float, bind: Bind) -> None:
            bind_once(now, bind)
            task = self.context.task_table.by_scheduler_id[bind.task]
            first = task.attempts[-1]
            other = next(e for e in self.registry.entries.values() if e.name != first.host)
            second = Attempt(task, 9, 9, other.name, other.machine_id, now, first.timeout_at)
            self.context.intents.append(SendOffer(other.name, make_offer(self.cluster, task, second)))

        self.dispatcher.bind = bind_twice  # type: ignore[method-assign]

    def clear_to_send(self, now: float, task_uid: str, attempt_number: int) -> bool:
        return attempt_number == 9 or super().clear_to_send(now, task_uid, attempt_number)


class NeverTires(JobController):
    """Rule 2: more than four attempts."""

    def __init__(self, *args: Any, **more: Any) -> None:
        cluster = args[0]
        eager = replace(cluster, settings=replace(cluster.settings, max_attempts=8))
        super().__init__(eager, *args[1:], **more)


class DeafToLeaving(JobController):
    """Not wrong by itself: does not take a machine's sending tasks away for its word that it drains.

    Placers that are deaf to drains are so to each way of hearing of one, or the decisions would save them.
    """

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        feed = self.context.driver.feed

        def fed(now: float, event: SchedulerEvent) -> None:
            if isinstance(event, AttemptClosed) and event.reason is OutcomeReason.DRAINED:
                event = replace(event, reason=OutcomeReason.UNSPECIFIED)
            feed(now, event)

        self.context.driver.feed = fed  # type: ignore[method-assign]


class DeafToDrains(DeafToLeaving):
    """Rule 3: a machine that drains is used on."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        judge = self.registry.evaluate_state
        self.registry.evaluate_state = lambda now, entry: (  # type: ignore[method-assign]
            (State.READY, "") if judge(now, entry)[0] is State.DRAINING else judge(now, entry)
        )


class BlindToCold(JobController):
    """Rule 4: machines that have just come up count as long up."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        machine = self.registry.endpoint_of

        def long_up(entry: Any) -> Endpoint | None:
            its = machine(entry)
            return None if its is None else replace(its, started_at=0.0)

        self.registry.endpoint_of = long_up  # type: ignore[method-assign]


class Crowds(JobController):
    """Rule 5: the spread of a class is not heard of."""

    def __init__(self, *args: Any, **more: Any) -> None:
        cluster = args[0]
        classes = tuple(replace(cls, spread_domain=FailureDomain.NONE) for cls in cluster.settings.classes)
        super().__init__(
            replace(cluster, settings=replace(cluster.settings, classes=classes)), *args[1:], **more
        )


class Oversleeps(JobController):
    """Rule 1: timers are late by four tenths of a second, and answers with them."""

    def next_timer(self) -> float:
        return super().next_timer() + 400.0


class ForgetsThatItSent(JobController):
    """Rule 2: an offer that went out counts as one that did not."""

    def clear_to_send(self, now: float, task_uid: str, attempt_number: int) -> bool:
        cleared = super().clear_to_send(now, task_uid, attempt_number)
        attempt = self.context.task_table.find_attempt(task_uid, attempt_number)
        if cleared and attempt is not None:
            attempt.sent_at = None
        return cleared


class SeesOneGroup(JobController):
    """Rule 2: keyed work that may have run is sent again anywhere, as if all machines knew of each other."""

    def __init__(self, *args: Any, **more: Any) -> None:
        cluster = args[0]
        classes = tuple(replace(cls, idempotency_scope=FailureDomain.ALL) for cls in cluster.settings.classes)
        super().__init__(
            replace(cluster, settings=replace(cluster.settings, classes=classes)), *args[1:], **more
        )


class LosesWatchEvents(JobController):
    """Rule 1: each ninth change of the store is kept and shown to no watch, so that owners miss answers."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        record, changes = self.store._record_change, itertools.count(1)

        def gapped(table: Any, change: Any) -> None:
            if next(changes) % 9:
                record(table, change)

        self.store._record_change = gapped  # type: ignore[method-assign]


class TrustsTheFirstDrain(DeafToLeaving):
    """Rule 3: that a machine drains is heard, and forgotten with its next word."""

    def on_machine_message(self, now: float, host: str, message: Any) -> None:
        if isinstance(message, wire.Heartbeat) and message.state == "draining":
            message = msgspec.structs.replace(message, state="ready")
        super().on_machine_message(now, host, message)


class NeverStops(JobController):
    """Strays: the verdict to stop a copy that was given up or withdrawn is not carried out."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self.context.stops.request = lambda *args: None  # type: ignore[method-assign]


class GateOpenToDrains(JobController):
    """Rule 3: right before the first byte a machine that drains is taken as usable."""

    def clear_to_send(self, now: float, task_uid: str, attempt_number: int) -> bool:
        attempt = self.context.task_table.find_attempt(task_uid, attempt_number)
        entry = None if attempt is None else self.registry.entries.get(attempt.host)
        if entry is None or entry.state is not State.DRAINING:
            return super().clear_to_send(now, task_uid, attempt_number)
        entry.state = State.READY
        try:
            return super().clear_to_send(now, task_uid, attempt_number)
        finally:
            entry.state = State.DRAINING


class LosesAMachinesTasks(JobController):
    """Rule 1: the index of tasks misses each fifth, so that its machine's answer goes nowhere."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        accept = self.attempts.accept

        def accepted(now: float, attempt: Attempt, *, running: bool) -> None:
            if attempt.task.scheduler_id % 5:
                accept(now, attempt, running=running)

        self.attempts.accept = accepted  # type: ignore[method-assign]


class StaleSpread(JobController):
    """Rule 5: how many of a service stand where is counted once a second."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        constraints = self.context.driver.scheduler._constraints
        count, kept = constraints.spread_counts, dict[int, tuple[float, Any]]()

        def taken(task: Any) -> Any:
            at, found = kept.get(task.service, (-math.inf, None))
            now = self.context.driver.scheduler._context.now
            if now - at >= 1_000.0:
                at, found = kept[task.service] = now, count(task)
            return found

        constraints.spread_counts = taken  # type: ignore[method-assign]


class StopsLate(JobController):
    """Strays: copies that nobody wants are stopped, after ten seconds."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        request = self.context.stops.request

        def requested(host: str, task_uid: str, attempt_number: int, reason: str) -> None:
            now = self.context.driver.scheduler._context.now
            self.context.timers.set(
                now + 10_000.0, lambda then: request(host, task_uid, attempt_number, reason)
            )

        self.context.stops.request = requested  # type: ignore[method-assign]


class OneTooMany(JobController):
    """Rule 5: the bound of a service's tasks in one place is taken as the last that still fits."""

    def __init__(self, *args: Any, **more: Any) -> None:
        cluster = args[0]
        classes = tuple(
            replace(cls, max_per_domain=cls.max_per_domain + 1) for cls in cluster.settings.classes
        )
        super().__init__(
            replace(cluster, settings=replace(cluster.settings, classes=classes)), *args[1:], **more
        )


class SeesNoWindow(JobController):
    """Rule 2: keyed work that may have run is sent again long after its window."""

    def __init__(self, *args: Any, **more: Any) -> None:
        cluster = args[0]
        classes = tuple(replace(cls, idempotency_window_ms=1e9) for cls in cluster.settings.classes)
        super().__init__(
            replace(cluster, settings=replace(cluster.settings, classes=classes)), *args[1:], **more
        )


class TakesOldDrains(JobController):
    """Rule 3: heartbeats are taken in pairs, the later first: an older state wins."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self._held: dict[str, Any] = {}

    def on_machine_message(self, now: float, host: str, message: Any) -> None:
        if not isinstance(message, wire.Heartbeat):
            super().on_machine_message(now, host, message)
            return
        held = self._held.pop(host, None)
        if held is None:
            self._held[host] = message
            return
        super().on_machine_message(now, host, message)
        super().on_machine_message(now, host, held)


class SendsWhatWasAnswered(JobController):
    """Rule 1: the gate does not ask whether the task still waits, nor whether its time is up."""

    def clear_to_send(self, now: float, task_uid: str, attempt_number: int) -> bool:
        attempt = self.context.task_table.find_attempt(task_uid, attempt_number)
        if attempt is None:
            return False
        if attempt.sent_at is None:
            attempt.sent_at = now
        return True


class ForgetsAttempts(JobController):
    """Rule 2: the count of attempts is lost where a connection breaks."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        close = self.attempts.close

        def closed(now: float, attempt: Attempt, end: AttemptEnd) -> None:
            close(now, attempt, end)
            known = self.context.driver.scheduler._tasks.get(attempt.task.scheduler_id)
            if known is not None and end.outcome is not AttemptOutcome.REJECTED:
                known.attempt_count = 0
                known.possibly_executed.clear()

        self.attempts.close = closed  # type: ignore[method-assign]


WRONG: dict[str, type[JobController]] = {
    controller.__name__: controller
    for controller in (
        ForgetsToAnswer,
        OffersAfterItsAnswer,
        Oversleeps,
        TakesSilenceForProof,
        ForgetsThatItSent,
        RefusesWhatMayHaveRun,
        OffersToTwo,
        NeverTires,
        SeesOneGroup,
        DeafToDrains,
        BlindToCold,
        Crowds,
        LosesWatchEvents,
        TrustsTheFirstDrain,
        NeverStops,
        GateOpenToDrains,
        LosesAMachinesTasks,
        StaleSpread,
        StopsLate,
        OneTooMany,
        SeesNoWindow,
        TakesOldDrains,
        SendsWhatWasAnswered,
        ForgetsAttempts,
    )
}
