"""Placers that are wrong on purpose, each in one way: what judges placers must find every one of them."""

from __future__ import annotations

import itertools
import math
from dataclasses import replace
from typing import Any

import msgspec

from kelpfront.api.jobs import TaskState
from kelpfront.api.machines import State
from kelpfront.controller.controller import Controller
from kelpfront.controller.intents import SendOffer
from kelpfront.controller.offers import make_offer
from kelpfront.controller.tasks import Attempt, Task
from kelpfront.machine import messages as wire
from kelpfront.scheduling.actions import Bind
from kelpfront.scheduling.events import AttemptClosed, AttemptOutcome, Endpoint, OutcomeReason, SchedulerEvent
from kelpfront.scheduling.settings import FailureDomain


class ForgetsToAnswer(Controller):
    """Rule 1: a final answer is dropped."""

    def _final(self, now: float, number: int, state: TaskState, wait_ms: float) -> None:
        pass


class OffersAfterItsAnswer(Controller):
    """Rule 1: something goes out after the answer."""

    def _answered(self, now: float, task: Task, state: TaskState) -> None:
        super()._answered(now, task, state)
        old = task.attempts[-1]
        late = Attempt(task, 7, 7, old.host, old.machine, now, 1e18, sent_at=None)
        self._timers.set(
            now + 600.0,
            lambda then: self._intents.append(SendOffer(old.host, make_offer(self.cluster, task, late))),
        )

    def clear_to_send(self, now: float, uid: str, wire_number: int) -> bool:
        return wire_number == 7 or super().clear_to_send(now, uid, wire_number)


class TakesSilenceForProof(Controller):
    """Rule 2: an attempt that may have run is told to the decisions as one that never ran."""

    def _close(self, now: float, attempt: Attempt, how: AttemptOutcome, *args: Any, **more: Any) -> None:
        unproven = how in (AttemptOutcome.RESET, AttemptOutcome.TIMED_OUT, AttemptOutcome.ERROR)
        super()._close(now, attempt, AttemptOutcome.NOT_SENT if unproven else how, *args, **more)


class RefusesWhatMayHaveRun(Controller):
    """Rule 2: an owner is told that asking again does no harm, which is not known."""

    def _final(self, now: float, number: int, state: TaskState, wait_ms: float) -> None:
        super()._final(now, number, TaskState.REFUSED, wait_ms)


class OffersToTwo(Controller):
    """Rule 2: two attempts out at once."""

    def _bind(self, now: float, bind: Bind) -> None:
        super()._bind(now, bind)
        task = self._numbers[bind.task]
        first = task.attempts[-1]
        other = next(e for e in self.directory.entries.values() if e.name != first.host)
        second = Attempt(task, 9, 9, other.name, other.number, now, first.timeout_at)
        self._intents.append(SendOffer(other.name, make_offer(self.cluster, task, second)))

    def clear_to_send(self, now: float, uid: str, wire_number: int) -> bool:
        return wire_number == 9 or super().clear_to_send(now, uid, wire_number)


class NeverTires(Controller):
    """Rule 2: more than four attempts."""

    def __init__(self, *args: Any, **more: Any) -> None:
        cluster = args[0]
        eager = replace(cluster, settings=replace(cluster.settings, max_attempts=8))
        super().__init__(eager, *args[1:], **more)


class DeafToLeaving(Controller):
    """Not wrong by itself: does not take a machine's sending tasks away for its word that it drains.

    Placers that are deaf to drains are so to each way of hearing of one, or the decisions would save them.
    """

    def _feed(self, now: float, event: SchedulerEvent) -> None:
        if isinstance(event, AttemptClosed) and event.reason is OutcomeReason.DRAINED:
            event = replace(event, reason=OutcomeReason.UNSPECIFIED)
        super()._feed(now, event)


class DeafToDrains(DeafToLeaving):
    """Rule 3: a machine that drains is used on."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        judge = self.directory._state
        self.directory._state = lambda now, entry: (  # type: ignore[method-assign]
            (State.READY, "") if judge(now, entry)[0] is State.DRAINING else judge(now, entry)
        )


class BlindToCold(Controller):
    """Rule 4: machines that have just come up count as long up."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        machine = self.directory._machine

        def long_up(entry: Any) -> Endpoint | None:
            its = machine(entry)
            return None if its is None else replace(its, started_at=0.0)

        self.directory._machine = long_up  # type: ignore[method-assign]


class Crowds(Controller):
    """Rule 5: the spread of a class is not heard of."""

    def __init__(self, *args: Any, **more: Any) -> None:
        cluster = args[0]
        classes = tuple(replace(cls, spread_domain=FailureDomain.NONE) for cls in cluster.settings.classes)
        super().__init__(
            replace(cluster, settings=replace(cluster.settings, classes=classes)), *args[1:], **more
        )


class Oversleeps(Controller):
    """Rule 1: timers are late by four tenths of a second, and answers with them."""

    def next_timer(self) -> float:
        return super().next_timer() + 400.0


class ForgetsThatItSent(Controller):
    """Rule 2: an offer that went out counts as one that did not."""

    def clear_to_send(self, now: float, uid: str, wire_number: int) -> bool:
        cleared = super().clear_to_send(now, uid, wire_number)
        task = self._tasks.get(uid)
        attempt = None if task is None else task.attempt(wire_number)
        if cleared and attempt is not None:
            attempt.sent_at = None
        return cleared


class SeesOneGroup(Controller):
    """Rule 2: keyed work that may have run is sent again anywhere, as if all machines knew of each other."""

    def __init__(self, *args: Any, **more: Any) -> None:
        cluster = args[0]
        classes = tuple(replace(cls, idempotency_scope=FailureDomain.ALL) for cls in cluster.settings.classes)
        super().__init__(
            replace(cluster, settings=replace(cluster.settings, classes=classes)), *args[1:], **more
        )


class LosesWatchEvents(Controller):
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

    def stream_message(self, now: float, host: str, message: Any) -> None:
        if isinstance(message, wire.Heartbeat) and message.state == "draining":
            message = msgspec.structs.replace(message, state="ready")
        super().stream_message(now, host, message)


class NeverStops(Controller):
    """Strays: the verdict to stop a copy that was given up or withdrawn is not carried out."""

    def _stop(self, host: str, uid: str, wire_number: int, why: str) -> None:
        pass


class GateOpenToDrains(Controller):
    """Rule 3: right before the first byte a machine that drains is taken as usable."""

    def clear_to_send(self, now: float, uid: str, wire_number: int) -> bool:
        task = self._tasks.get(uid)
        attempt = None if task is None else task.attempt(wire_number)
        entry = None if attempt is None else self.directory.entries.get(attempt.host)
        if entry is None or entry.state is not State.DRAINING:
            return super().clear_to_send(now, uid, wire_number)
        entry.state = State.READY
        try:
            return super().clear_to_send(now, uid, wire_number)
        finally:
            entry.state = State.DRAINING


class LosesAMachinesTasks(Controller):
    """Rule 1: the index of tasks misses each fifth, so that its machine's answer goes nowhere."""

    def _placed(self, now: float, attempt: Attempt, running: bool) -> None:
        if attempt.task.number % 5:
            super()._placed(now, attempt, running)


class StaleSpread(Controller):
    """Rule 5: how many of a service stand where is counted once a second."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        constraints = self._scheduler._constraints
        count, kept = constraints.spread_counts, dict[int, tuple[float, Any]]()

        def taken(task: Any) -> Any:
            at, found = kept.get(task.service, (-math.inf, None))
            now = self._scheduler._context.now
            if now - at >= 1_000.0:
                at, found = kept[task.service] = now, count(task)
            return found

        constraints.spread_counts = taken  # type: ignore[method-assign]


class StopsLate(Controller):
    """Strays: copies that nobody wants are stopped, after ten seconds."""

    def _stop(self, host: str, uid: str, wire_number: int, why: str) -> None:
        now = self._scheduler._context.now
        self._timers.set(
            now + 10_000.0, lambda then: super(StopsLate, self)._stop(host, uid, wire_number, why)
        )


class OneTooMany(Controller):
    """Rule 5: the bound of a service's tasks in one place is taken as the last that still fits."""

    def __init__(self, *args: Any, **more: Any) -> None:
        cluster = args[0]
        classes = tuple(
            replace(cls, max_per_domain=cls.max_per_domain + 1) for cls in cluster.settings.classes
        )
        super().__init__(
            replace(cluster, settings=replace(cluster.settings, classes=classes)), *args[1:], **more
        )


class SeesNoWindow(Controller):
    """Rule 2: keyed work that may have run is sent again long after its window."""

    def __init__(self, *args: Any, **more: Any) -> None:
        cluster = args[0]
        classes = tuple(replace(cls, idempotency_window_ms=1e9) for cls in cluster.settings.classes)
        super().__init__(
            replace(cluster, settings=replace(cluster.settings, classes=classes)), *args[1:], **more
        )


class TakesOldDrains(Controller):
    """Rule 3: heartbeats are taken in pairs, the later first: an older state wins."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self._held: dict[str, Any] = {}

    def stream_message(self, now: float, host: str, message: Any) -> None:
        if not isinstance(message, wire.Heartbeat):
            super().stream_message(now, host, message)
            return
        held = self._held.pop(host, None)
        if held is None:
            self._held[host] = message
            return
        super().stream_message(now, host, message)
        super().stream_message(now, host, held)


class SendsWhatWasAnswered(Controller):
    """Rule 1: the gate does not ask whether the task still waits, nor whether its time is up."""

    def clear_to_send(self, now: float, uid: str, wire_number: int) -> bool:
        task = self._tasks.get(uid)
        attempt = None if task is None else task.attempt(wire_number)
        if attempt is None:
            return False
        if attempt.sent_at is None:
            attempt.sent_at = now
        return True


class ForgetsAttempts(Controller):
    """Rule 2: the count of attempts is lost where a connection breaks."""

    def _close(self, now: float, attempt: Attempt, how: AttemptOutcome, *args: Any, **more: Any) -> None:
        super()._close(now, attempt, how, *args, **more)
        known = self._scheduler._tasks.get(attempt.task.number)
        if known is not None and how is not AttemptOutcome.REJECTED:
            known.attempt_count = 0
            known.possibly_executed.clear()


WRONG: dict[str, type[Controller]] = {
    heart.__name__: heart
    for heart in (
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
