"""A placer's view of which machines failure detectors see alive, and as of when.

The view accepts digests and turns them into events for the scheduler, which alone decides what is lost; paths
that only this placer lacks are found by `path_checks`. Times are milliseconds on the placer's clock; a
detector's clock is not known and need not be (`clock_offset`).
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

HELLO_INTERVAL_MS = 1_000.0  # between hellos to a detector: each dates observations anew

# By how much earlier the thirds of a membership view count as observed. Where digests stop, a placer that
# checked all machines at once would be late with everything else. The least is for a busy placer's own
# delays: without it, some of what 550 machines ran was released 8.2 s after their end, and 8 are allowed.
STAGGER_MS = (600.0, 1_000.0, 1_400.0)


class _DetectorState:
    """What is known of the present incarnation of one detector."""

    def __init__(self, incarnation: int | None, last_observed: dict[MachineId, float]) -> None:
        self.incarnation = incarnation
        self.last_sequence = -1
        self.last_hello_sent_at = -1
        self.clock_offset = ClockOffset()
        self.last_observed = last_observed
        self.membership_differs = False

    def is_outdated(self, digest: Digest) -> bool:
        """Return whether a digest is a duplicate, or was overtaken by a later one."""
        if digest.incarnation == self.incarnation:
            return digest.sequence <= self.last_sequence
        # A new incarnation has received a later hello than any former one.
        return digest.hello.sent_at_ms <= self.last_hello_sent_at

    def advance(self, digest: Digest) -> None:
        """Remember how far the digests have come."""
        self.last_sequence = digest.sequence
        self.last_hello_sent_at = max(self.last_hello_sent_at, digest.hello.sent_at_ms)


class LivenessView:
    """What all detectors say of all machines, for one incarnation of a placer.

    Detectors are known by their position in the configuration. `log_events` is emptied by whoever writes the
    log.
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
        """Return what every detector is to be sent every HELLO_INTERVAL_MS."""
        return Hello(self._incarnation, math.floor(now))

    def apply_endpoint_list(self, zones: Mapping[int, Iterable[MachineId]]) -> None:
        """Take the machines that there are, by zone, and forget all others."""
        self._membership.replace(zones)
        self._path_checks.forget_removed()
        last_observed = [detector.last_observed for detector in self._detectors]
        for known in (self._restart_checked_at, *last_observed):
            for machine in [machine for machine in known if machine not in self._membership]:
                del known[machine]

    def receive(self, now: float, detector_index: int, data: bytes) -> list[LivenessObserved]:
        """Apply a datagram from the address of a detector; one that is no current digest changes nothing."""
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
        """Return when any detector last saw a machine alive; minus infinity where none ever did."""
        times = (detector.last_observed.get(machine, -math.inf) for detector in self._detectors)
        return max(times, default=-math.inf)

    def record_health_check(self, now: float, machine: MachineId, *, missed: bool) -> None:
        """Apply the outcome of one of the placer's own health checks."""
        self._path_checks.record_health_check(now, machine, missed=missed)

    def checks_due(self, now: float, runs_tasks: Callable[[MachineId], bool]) -> list[LivenessObserved]:
        """Return which machines to check whatever detectors say; called every PATH_CHECK_INTERVAL_MS."""
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
        """Start over with a new incarnation; what the former one observed still holds."""
        former = self._detectors[detector_index]
        is_first = former.incarnation is None
        event = DetectorDiscovered(detector_index) if is_first else DetectorRestarted(detector_index)
        self.log_events.append(event)
        self._detectors[detector_index] = _DetectorState(incarnation, former.last_observed)
        return self._detectors[detector_index]

    def _apply(self, now: float, detector_index: int, digest: Digest) -> list[LivenessObserved]:
        detector = self._detectors[detector_index]
        observed_at = detector.clock_offset.date(now, digest)
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
            changed = MembershipDiverged(detector_index) if differs else MembershipConverged(detector_index)
            self.log_events.append(changed)
        return observations

    def _restart_checks(self, now: float, view: MembershipView, section: Section) -> list[LivenessObserved]:
        """Request checks of machines that may have restarted between two checks of a detector."""
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
    """Return the observation in parts, each dated earlier by its stagger."""
    observations = []
    for part, stagger_ms in enumerate(STAGGER_MS):
        members = machines[part :: len(STAGGER_MS)]
        if members:
            observations.append(LivenessObserved(members, observed_at - stagger_ms))
    return observations
