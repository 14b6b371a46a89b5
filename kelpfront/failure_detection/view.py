"""A placer's view of which machines failure detectors have seen alive, and when.

The view accepts digests and converts them into events for the scheduler, which alone decides which machines
are lost. `path_checks` finds machines that only this placer cannot reach. Times are milliseconds on the
placer's clock; the clocks of detectors need not be synchronized with it (`clock_offset`).
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping

from kelpfront.failure_detection.clock_offset import ClockOffset
from kelpfront.failure_detection.counters import ViewCounters
from kelpfront.failure_detection.digest import Digest, DigestError, Hello, Section, unpack
from kelpfront.failure_detection.log_events import (
    DetectorDiscovered,
    DetectorRestarted,
    LogEvent,
    MembershipConverged,
    MembershipDiverged,
)
from kelpfront.failure_detection.membership import Membership, MembershipView, members_in
from kelpfront.failure_detection.path_checks import RECHECK_INTERVAL_MS, PathChecks, request_checks
from kelpfront.scheduling.events import LivenessObserved, MachineId

HELLO_INTERVAL_MS = 1_000.0  # between two hellos to a detector; each one updates the clock offset

# How much earlier each third of a membership view counts as observed. When digests stop, the placer thus does
# not check all machines at once, which would delay all its other work. The smallest value allows for the
# delays of a busy placer: without it, some tasks of 550 machines were released 8.2 s after the machines
# failed, and the limit is 8 s.
STAGGER_MS = (600.0, 1_000.0, 1_400.0)


class _DetectorState:
    """The state that a view keeps for the current incarnation of one detector."""

    def __init__(self, incarnation: int | None, last_observed: dict[MachineId, float]) -> None:
        self.incarnation = incarnation
        self.last_sequence = -1
        self.last_hello_sent_at = -1
        self.clock_offset = ClockOffset()
        self.last_observed = last_observed
        self.membership_differs = False

    def is_outdated(self, digest: Digest) -> bool:
        """Return whether a digest is a duplicate or arrived after a later one."""
        if digest.incarnation == self.incarnation:
            return digest.sequence <= self.last_sequence
        # A new incarnation has received a later hello than any earlier incarnation.
        return digest.hello.sent_at_ms <= self.last_hello_sent_at

    def advance(self, digest: Digest) -> None:
        """Record the sequence number and the hello of an accepted digest."""
        self.last_sequence = digest.sequence
        self.last_hello_sent_at = max(self.last_hello_sent_at, digest.hello.sent_at_ms)


class LivenessView:
    """The observations of all detectors about all machines, for one incarnation of a placer.

    Detectors are identified by their position in the configuration. The caller writes `log_events` to the log
    and clears the list.
    """

    def __init__(self, incarnation: int, detector_count: int) -> None:
        self._incarnation = incarnation
        self._detectors = [_DetectorState(None, {}) for _ in range(detector_count)]
        self._membership = Membership()
        self._restart_checked_at: dict[MachineId, float] = {}
        self.counters = ViewCounters()
        self.log_events: list[LogEvent] = []
        self._path_checks = PathChecks(
            self._membership, self.last_observed_at, self.counters, self.log_events
        )

    def hello(self, now: float) -> Hello:
        """Return the hello that must be sent to every detector every HELLO_INTERVAL_MS."""
        return Hello(self._incarnation, math.floor(now))

    def apply_endpoint_list(self, zones: Mapping[int, Iterable[MachineId]]) -> None:
        """Replace the known machines, given by zone, and discard the state of all others."""
        self._membership.replace(zones)
        self._path_checks.forget_removed()
        last_observed = [detector.last_observed for detector in self._detectors]
        for times_by_machine in (self._restart_checked_at, *last_observed):
            for machine in [machine for machine in times_by_machine if machine not in self._membership]:
                del times_by_machine[machine]

    def receive(self, now: float, detector_index: int, data: bytes) -> list[LivenessObserved]:
        """Apply a datagram from a detector's address. It is ignored unless it is a current digest."""
        digest = self._decode(now, data)
        if digest is None:
            return []
        detector = self._detectors[detector_index]
        if detector.is_outdated(digest):
            self.counters.digests_outdated += 1
            return []
        if digest.incarnation != detector.incarnation:
            detector = self._replace_incarnation(detector_index, digest.incarnation)
        detector.advance(digest)
        self.counters.digests_accepted += 1
        return self._apply(now, detector_index, digest)

    def last_observed_at(self, machine: MachineId) -> float:
        """Return when any detector last saw a machine alive, or minus infinity if none ever did."""
        times = (detector.last_observed.get(machine, -math.inf) for detector in self._detectors)
        return max(times, default=-math.inf)

    def record_health_check(self, now: float, machine: MachineId, *, missed: bool) -> None:
        """Apply the result of one of the placer's own health checks."""
        self._path_checks.record_health_check(now, machine, missed=missed)

    def checks_due(self, now: float, runs_tasks: Callable[[MachineId], bool]) -> list[LivenessObserved]:
        """Return requests for checks that are due regardless of the reports of detectors.

        Must be called every PATH_CHECK_INTERVAL_MS.
        """
        return self._path_checks.due(now, runs_tasks)

    def _decode(self, now: float, data: bytes) -> Digest | None:
        try:
            digest = unpack(data)
        except DigestError:
            self.counters.invalid_datagrams += 1
            return None
        is_answer = (
            isinstance(digest, Digest)
            and digest.hello.incarnation == self._incarnation
            and digest.hello.sent_at_ms <= now
        )
        if not is_answer:
            self.counters.misaddressed_datagrams += 1
            return None
        assert isinstance(digest, Digest)
        return digest

    def _replace_incarnation(self, detector_index: int, incarnation: int) -> _DetectorState:
        """Start with a new incarnation of a detector; observations of the former one remain valid."""
        former = self._detectors[detector_index]
        is_first = former.incarnation is None
        event = DetectorDiscovered(detector_index) if is_first else DetectorRestarted(detector_index)
        self.log_events.append(event)
        self._detectors[detector_index] = _DetectorState(incarnation, former.last_observed)
        return self._detectors[detector_index]

    def _apply(self, now: float, detector_index: int, digest: Digest) -> list[LivenessObserved]:
        detector = self._detectors[detector_index]
        observed_at = detector.clock_offset.convert_checked_since(now, digest)
        observations: list[LivenessObserved] = []
        differs = False
        for section in digest.sections:
            view = self._membership.find(section.fingerprint, section.member_count)
            if view is None:
                differs = True
                self.counters.unknown_membership_sections += 1
                continue
            answered = members_in(section.answered, view.machines)
            detector.last_observed.update(dict.fromkeys(answered, observed_at))
            observations += _staggered(answered, observed_at)
            observations += self._restart_checks(now, view, section)
        if differs != detector.membership_differs:
            detector.membership_differs = differs
            event = MembershipDiverged(detector_index) if differs else MembershipConverged(detector_index)
            self.log_events.append(event)
        return observations

    def _restart_checks(self, now: float, view: MembershipView, section: Section) -> list[LivenessObserved]:
        """Request checks of machines that may have restarted between two checks by a detector."""
        if not section.reconnected:
            return []
        due = []
        for machine in members_in(section.reconnected, view.machines):
            checked_at = self._restart_checked_at.get(machine, -math.inf)
            if now - checked_at >= RECHECK_INTERVAL_MS and machine in self._membership:
                due.append(machine)
        if not due:
            return []
        self._restart_checked_at.update(dict.fromkeys(due, now))
        self.counters.restart_checks += len(due)
        return [request_checks(tuple(due))]


def _staggered(machines: tuple[MachineId, ...], observed_at: float) -> list[LivenessObserved]:
    """Split an observation into parts, each of which is dated earlier by its stagger."""
    observations = []
    for part, stagger_ms in enumerate(STAGGER_MS):
        members = machines[part :: len(STAGGER_MS)]
        if members:
            observations.append(LivenessObserved(members, observed_at - stagger_ms))
    return observations
