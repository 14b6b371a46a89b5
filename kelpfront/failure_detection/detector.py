"""The core of a failure detector: schedules health checks, records their results and builds digests.

The detector does not declare machines as failed; placers decide that. Subscriptions are in `subscribers`, and
the log of machines that stop answering is in `availability_log`. Times are milliseconds on the detector's own
monotonic clock.
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

CHECK_TICK_MS = 50.0  # between two scans for due checks
DIGEST_INTERVAL_MS = 1_000.0  # between two digests
MAX_CHECKS_IN_FLIGHT = 4  # per machine; answers to older checks no longer count
MISSED_CHECKS_BEFORE_RECONNECT = 3  # consecutive; a middlebox may have dropped the connection's state
FRESHNESS_INTERVALS = 1.5  # check intervals for which an answer counts: one, and half of one for its delivery
SETTLING_INTERVALS = 3.0  # check intervals after the start before unresponsive machines are logged
RECONNECTION_NOTICE_MS = 10_000.0  # digests report a reconnection for this long, because some are lost

_CALL_ID_MASK = (1 << 64) - 1  # call ids have 16 hexadecimal digits


@dataclass(frozen=True, slots=True)
class ListedMachine:
    """A machine of the endpoint list."""

    id: MachineId
    name: str


@dataclass(frozen=True, slots=True)
class DueCheck:
    """A health check to be sent now, on a new connection if `reconnect` is set."""

    machine: MachineId
    reconnect: bool


@dataclass(frozen=True, slots=True)
class OutgoingDigest:
    """A datagram and the address of the placer that receives it."""

    address: PlacerAddress
    data: bytes


class FailureDetector:
    """One incarnation of a failure detector.

    `incarnation` must be different for each start. Every machine is checked once in `check_interval_ms`. The
    caller writes `log_events` to the log and clears the list.
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
        """The number of placers that receive digests."""
        return len(self._subscribers)

    def apply_endpoint_list(
        self, now: float, zones: Mapping[int, Sequence[ListedMachine]]
    ) -> list[MachineId]:
        """Monitor exactly these machines, given by zone; return those that are no longer monitored."""
        if not self.machines:
            self._monitoring_since = now
        listed = {machine.id: machine for members in zones.values() for machine in members}
        removed = [machine_id for machine_id in self.machines if machine_id not in listed]
        for machine_id in removed:
            del self.machines[machine_id]
        for position, machine in enumerate(listed.values()):
            if machine.id not in self.machines:
                # First checks are spread over one interval, to avoid bursts.
                first_check_at = now + self._check_interval_ms * position / len(listed)
                self.machines[machine.id] = MonitoredMachine(machine.id, machine.name, first_check_at)
        self._membership_views = membership_views(
            {zone: [machine.id for machine in members] for zone, members in zones.items()}
        )
        return removed

    # ---- Health checks --------------------------------------------------------------------------------

    def checks_due(self, now: float) -> list[DueCheck]:
        """Return the checks to be sent now. Must be called every CHECK_TICK_MS."""
        due = []
        for position, machine in enumerate(self.machines.values()):
            if now < machine.next_check_at:
                continue
            machine.next_check_at += self._check_interval_ms
            if machine.next_check_at <= now:
                # The process was suspended. Checks are spread again, or all would stay due at the same time.
                share = (1 + position / len(self.machines)) / 2
                machine.next_check_at = now + self._check_interval_ms * share
            missed_count = machine.consecutive_missed
            reconnect = missed_count > 0 and missed_count % MISSED_CHECKS_BEFORE_RECONNECT == 0
            due.append(DueCheck(machine.id, reconnect))
        return due

    def begin_check(self, now: float, machine_id: MachineId) -> str | None:
        """Return the call id of a check that is about to be sent, or None if the machine is not monitored."""
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
        """Count a check that could not be sent as missed."""
        machine = self.machines.get(machine_id)
        if machine is not None:
            machine.consecutive_missed += 1
            self.counters.health_checks_unsent += 1

    def record_answer(self, machine_id: MachineId, call_id: str) -> None:
        """Apply an answer, whatever its result: a machine that reports itself as unhealthy is alive."""
        machine = self.machines.get(machine_id)
        sent_at = None if machine is None else machine.in_flight.pop(call_id, None)
        if machine is None or sent_at is None:
            self.counters.unexpected_answers += 1
            return
        self.counters.answers += 1
        machine.answered_check_sent_at = max(machine.answered_check_sent_at, sent_at)
        machine.consecutive_missed = 0

    def record_connection(self, now: float, machine_id: MachineId) -> None:
        """Record a new connection. If the machine was connected before, it may have restarted."""
        machine = self.machines.get(machine_id)
        if machine is None:
            return
        if machine.was_connected:
            machine.reconnected_at = now
            self.counters.reconnections += 1
        machine.was_connected = True

    # ---- Digests --------------------------------------------------------------------------------------

    def receive_hello(self, now: float, address: PlacerAddress, hello: Hello) -> None:
        """Subscribe the placer at this address to digests."""
        if not self._subscribers.receive(now, address, hello):
            self.counters.subscribers_rejected += 1

    def build_digests(self, now: float) -> list[OutgoingDigest]:
        """Return the digests to be sent now. Must be called every DIGEST_INTERVAL_MS."""
        checked_since = now - FRESHNESS_INTERVALS * self._check_interval_ms
        sections = [pack_section(self._section(now, checked_since, view)) for view in self._membership_views]
        self._log_availability(now, checked_since)
        self._subscribers.expire(now)
        digests: list[OutgoingDigest] = []
        for datagram_sections in group_by_datagram(sections):
            self._sequence += 1
            for address, subscriber in self._subscribers:
                # The receipt is rounded up and the check time down, so that observations only become older.
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
