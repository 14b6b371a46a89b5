"""A failure detector's core: which machine is health-checked when, what came of it, and which digests go out.

It counts no machine as failed; placers decide that. Subscriptions are in `subscribers`, the log of machines
that stop answering in `availability_log`. Times are milliseconds on the detector's own clock, which only goes
forward.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from kelpfront.failure_detection.availability_log import AvailabilityLog
from kelpfront.failure_detection.counters import DetectorCounters
from kelpfront.failure_detection.digest import (
    DigestHeader,
    Hello,
    Section,
    group_by_datagram,
    pack_digest,
    pack_section,
)
from kelpfront.failure_detection.log_events import LogEvent
from kelpfront.failure_detection.membership import MembershipView, bitmap_of, membership_views
from kelpfront.failure_detection.monitored_machine import MonitoredMachine
from kelpfront.failure_detection.subscribers import PlacerAddress, Subscribers
from kelpfront.scheduling.events import MachineId

CHECK_TICK_MS = 50.0  # between scans for the checks that are due
DIGEST_INTERVAL_MS = 1_000.0  # between digests
MAX_CHECKS_IN_FLIGHT = 4  # of one machine: answers to earlier ones do not count any more
MISSED_CHECKS_BEFORE_RECONNECT = 3  # in a row: a path may have forgotten the connection
FRESHNESS_INTERVALS = 1.5  # check intervals for which an answer counts: half of one is for it to arrive
SETTLING_INTERVALS = 3.0  # check intervals from the start until unresponsive machines are logged
RECONNECTION_NOTICE_MS = 10_000.0  # for which digests name a reconnection: some may be lost

_CALL_ID_MASK = (1 << 64) - 1  # ids of calls have 16 hexadecimal digits


@dataclass(frozen=True, slots=True)
class ListedMachine:
    """A machine of the endpoint list."""

    id: MachineId
    name: str


@dataclass(frozen=True, slots=True)
class DueCheck:
    """A health check that is to be sent now, on a new connection where `reconnect` is set."""

    machine: MachineId
    reconnect: bool


@dataclass(frozen=True, slots=True)
class OutgoingDigest:
    """A datagram and the placer that it is for."""

    address: PlacerAddress
    data: bytes


class FailureDetector:
    """One incarnation of a failure detector.

    `incarnation` must differ for each start. Every machine is checked every `check_interval_ms`. `log_events`
    is emptied by whoever writes the log.
    """

    def __init__(self, incarnation: int, check_interval_ms: float) -> None:
        self._incarnation = incarnation
        self._check_interval_ms = check_interval_ms
        self.machines: dict[MachineId, MonitoredMachine] = {}
        self._membership_views: list[MembershipView] = []
        self._subscribers = Subscribers()
        self._sequence = 0
        self._call_count = 0
        self._monitoring_since = 0.0
        self._availability_log = AvailabilityLog()
        self.counters = DetectorCounters()
        self.log_events: list[LogEvent] = []

    @property
    def subscriber_count(self) -> int:
        """How many placers receive digests."""
        return len(self._subscribers)

    def apply_endpoint_list(
        self, now: float, zones: Mapping[int, Sequence[ListedMachine]]
    ) -> list[MachineId]:
        """Monitor exactly these machines, by zone; returns those that are not monitored any more."""
        if not self.machines:
            self._monitoring_since = now
        listed = {machine.id: machine for members in zones.values() for machine in members}
        removed = [machine_id for machine_id in self.machines if machine_id not in listed]
        for machine_id in removed:
            del self.machines[machine_id]
        for position, machine in enumerate(listed.values()):
            if machine.id not in self.machines:
                # First checks are spread over one interval.
                first_at = now + self._check_interval_ms * position / len(listed)
                self.machines[machine.id] = MonitoredMachine(machine.id, machine.name, first_at)
        self._membership_views = membership_views(
            {zone: [machine.id for machine in members] for zone, members in zones.items()}
        )
        return removed

    # ---- Health checks --------------------------------------------------------------------------------

    def checks_due(self, now: float) -> list[DueCheck]:
        """Return the checks to be sent now; to be called every CHECK_TICK_MS."""
        due = []
        for position, machine in enumerate(self.machines.values()):
            if now < machine.next_check_at:
                continue
            machine.next_check_at += self._check_interval_ms
            if machine.next_check_at <= now:
                # The process was suspended. Checks are spread again, or they would stay bunched.
                share = (1 + position / len(self.machines)) / 2
                machine.next_check_at = now + self._check_interval_ms * share
            missed = machine.consecutive_missed
            reconnect = missed > 0 and missed % MISSED_CHECKS_BEFORE_RECONNECT == 0
            due.append(DueCheck(machine.id, reconnect))
        return due

    def begin_check(self, now: float, machine_id: MachineId) -> str | None:
        """Return the call id of a check that is about to be sent; None for a machine not monitored."""
        machine = self.machines.get(machine_id)
        if machine is None:
            return None
        self._call_count += 1
        call_id = f"{(self._incarnation + self._call_count) & _CALL_ID_MASK:016x}"
        machine.in_flight[call_id] = now
        if len(machine.in_flight) > MAX_CHECKS_IN_FLIGHT:
            oldest = next(iter(machine.in_flight))
            del machine.in_flight[oldest]
        self.counters.health_checks_sent += 1
        machine.consecutive_missed += 1
        return call_id

    def record_unsent_check(self, machine_id: MachineId) -> None:
        """Count a check as missed that could not be sent."""
        machine = self.machines.get(machine_id)
        if machine is not None:
            machine.consecutive_missed += 1
            self.counters.health_checks_unsent += 1

    def record_answer(self, machine_id: MachineId, call_id: str) -> None:
        """Apply an answer, with whatever result: a machine that reports itself unhealthy is alive."""
        machine = self.machines.get(machine_id)
        sent_at = None if machine is None else machine.in_flight.pop(call_id, None)
        if machine is None or sent_at is None:
            self.counters.unexpected_answers += 1
            return
        self.counters.answers += 1
        machine.answered_check_sent_at = max(machine.answered_check_sent_at, sent_at)
        machine.consecutive_missed = 0

    def record_connection(self, now: float, machine_id: MachineId) -> None:
        """Note a connection that came up. After a former one, the machine may have restarted."""
        machine = self.machines.get(machine_id)
        if machine is None:
            return
        if machine.was_connected:
            machine.reconnected_at = now
            self.counters.reconnections += 1
        machine.was_connected = True

    # ---- Digests --------------------------------------------------------------------------------------

    def receive_hello(self, now: float, address: PlacerAddress, hello: Hello) -> None:
        """Subscribe the placer at an address to digests."""
        if not self._subscribers.receive(now, address, hello):
            self.counters.subscribers_rejected += 1

    def build_digests(self, now: float) -> list[OutgoingDigest]:
        """Return the digests to be sent now; to be called every DIGEST_INTERVAL_MS."""
        checked_since = now - FRESHNESS_INTERVALS * self._check_interval_ms
        sections = [pack_section(self._section(now, checked_since, view)) for view in self._membership_views]
        self._log_availability(now, checked_since)
        self._subscribers.expire(now)
        digests: list[OutgoingDigest] = []
        for datagram_sections in group_by_datagram(sections):
            self._sequence += 1
            for address, subscriber in self._subscribers:
                # Rounding makes observations older: receipt up, checks down.
                header = DigestHeader(
                    self._incarnation,
                    self._sequence,
                    subscriber.hello,
                    hello_received_at_ms=math.ceil(subscriber.received_at),
                    checked_since_ms=math.floor(checked_since),
                )
                digests.append(OutgoingDigest(address, pack_digest(header, datagram_sections)))
        self.counters.digests_sent += len(digests)
        return digests

    def _section(self, now: float, checked_since: float, view: MembershipView) -> Section:
        machines = [self.machines[machine] for machine in view.machines]
        answered = bitmap_of(machine.answered_since(checked_since) for machine in machines)
        reconnected = bitmap_of(now - machine.reconnected_at < RECONNECTION_NOTICE_MS for machine in machines)
        return Section(view.fingerprint, len(machines), answered, reconnected)

    def _log_availability(self, now: float, checked_since: float) -> None:
        zones: dict[int, list[MonitoredMachine]] = {}
        for view in self._membership_views:
            zones.setdefault(view.zone, []).extend(self.machines[machine] for machine in view.machines)
        self._availability_log.retain_zones(set(zones))
        all_were_checked = now >= self._monitoring_since + SETTLING_INTERVALS * self._check_interval_ms
        if not all_were_checked:
            return
        for zone, machines in zones.items():
            change = self._availability_log.record(zone, machines, checked_since)
            if change is not None:
                self.log_events.append(change)
