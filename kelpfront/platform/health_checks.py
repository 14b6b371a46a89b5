"""Tracks the health checks in flight, their machines and their results. Performs no I/O.

The scheduler decides which machine to check and when, and receives every result.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from kelpfront.platform import messages
from kelpfront.platform.intents import (
    HEALTH_CHECK_ATTEMPT,
    AbandonAttempt,
    AttemptKey,
    Outbox,
    SendHealthCheck,
)
from kelpfront.scheduling.events import (
    HealthCheckCompleted,
    LivenessObserved,
    LoadReport,
    MachineId,
    SchedulerEvent,
)
from kelpfront.timers import Timers

HealthCheckObserver = Callable[[float, HealthCheckCompleted], None]
"""Called with the time and the result of a health check."""


class HealthCheckResult(msgspec.Struct, frozen=True):
    """A machine's answer to a health check, or the absence of an answer."""

    ok: bool
    load: LoadReport | None = None
    no_response: bool = False


class _InFlight(msgspec.Struct):
    machine: MachineId
    sent_at: float
    is_repeated: bool = False


class HealthChecks:
    """Health checks of one placer, at most one in flight per machine.

    Attributes:
        observer: called with each result; set only if failure detectors report on machines too.
    """

    def __init__(
        self, submit: Callable[[float, SchedulerEvent], None], outbox: Outbox, timers: Timers
    ) -> None:
        self._submit = submit
        self._outbox = outbox
        self._timers = timers
        self._in_flight: dict[str, _InFlight] = {}
        self.observer: HealthCheckObserver | None = None

    def __len__(self) -> int:
        """Return the number of health checks in flight."""
        return len(self._in_flight)

    def send(self, now: float, machine: MachineId, check_id: str, timeout_ms: float) -> None:
        """Send a health check; it fails if it is not answered within `timeout_ms`."""
        self._in_flight[check_id] = _InFlight(machine, now)
        self._timers.set(now + timeout_ms, lambda expired_at: self._on_timeout(expired_at, check_id))
        self._outbox.put(SendHealthCheck(machine, check_id, _encode(check_id)))

    def on_connection_lost(self, check_id: str) -> None:
        """Repeat a health check once, on a new connection, after its connection has ended.

        The end of an old connection proves nothing about the machine, which may have closed or forgotten it.
        A machine that does not answer on a new connection either misses the check at its time-out.
        """
        check = self._in_flight.get(check_id)
        if check is None or check.is_repeated:
            return
        check.is_repeated = True
        data = _encode(check_id)
        self._outbox.put(SendHealthCheck(check.machine, check_id, data, on_new_connection=True))

    def on_answer(self, now: float, check_id: str, result: HealthCheckResult) -> None:
        """Handle a machine's answer; ignore it if the health check is not in flight."""
        check = self._in_flight.pop(check_id, None)
        if check is None:
            return
        elapsed_ms = now - check.sent_at
        completed = HealthCheckCompleted(
            check.machine, result.ok, elapsed_ms, result.load, result.no_response
        )
        self._submit(now, completed)
        if self.observer is not None:
            self.observer(now, completed)

    def on_liveness_observed(self, now: float, observed: LivenessObserved) -> None:
        """Submit a liveness report of failure detectors, which can replace health checks."""
        self._submit(now, observed)

    def _on_timeout(self, now: float, check_id: str) -> None:
        check = self._in_flight.get(check_id)
        if check is None:
            return
        key = AttemptKey(check_id, HEALTH_CHECK_ATTEMPT)
        self._outbox.put(AbandonAttempt(check.machine, key, b"", no_response=True))
        self.on_answer(now, check_id, HealthCheckResult(ok=False, no_response=True))


def _encode(check_id: str) -> bytes:
    return messages.encode("test", check_id, {}, 0)
