"""What detectors and placers log of failure detection, as typed records.

A record's class names the event and its attributes are the fields of the log line. Writing the lines is left
to the programs.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any, ClassVar


@dataclass(frozen=True, slots=True)
class LogEvent:
    """One log line: its event and its fields."""

    event: ClassVar[str]

    def fields(self) -> dict[str, Any]:
        """Return the fields by name."""
        return asdict(self)


@dataclass(frozen=True, slots=True)
class ZoneAvailabilityChanged(LogEvent):
    """Machines of a zone stopped answering a detector, or answer again.

    Attributes:
        unresponsive: the first few names of those that stopped answering.
        recovered: the first few names of those that answer again.
        zone_unresponsive_count: machines of the zone that do not answer now.
        zone_machine_count: machines of the zone.
    """

    event: ClassVar[str] = "zone availability changed"
    zone: int
    unresponsive: tuple[str, ...]
    unresponsive_count: int
    recovered: tuple[str, ...]
    recovered_count: int
    zone_unresponsive_count: int
    zone_machine_count: int


@dataclass(frozen=True, slots=True)
class DetectorDiscovered(LogEvent):
    """The first digest of a configured failure detector arrived; `detector` is its position."""

    event: ClassVar[str] = "failure detector discovered"
    detector: int


@dataclass(frozen=True, slots=True)
class DetectorRestarted(LogEvent):
    """A digest of a later incarnation of a failure detector arrived."""

    event: ClassVar[str] = "failure detector restarted"
    detector: int


@dataclass(frozen=True, slots=True)
class MembershipDiverged(LogEvent):
    """A failure detector's list of machines differs from this placer's in some zone."""

    event: ClassVar[str] = "failure detector membership differs"
    detector: int


@dataclass(frozen=True, slots=True)
class MembershipConverged(LogEvent):
    """A failure detector has this placer's list of machines again."""

    event: ClassVar[str] = "failure detector membership agrees"
    detector: int


@dataclass(frozen=True, slots=True)
class MachineUnreachableFromHere(LogEvent):
    """A machine answers failure detectors and not this placer, which now checks all of its zone.

    Attributes:
        machine: the id in hexadecimal digits.
    """

    event: ClassVar[str] = "machine unreachable from this placer only"
    machine: str
    zone: int


@dataclass(frozen=True, slots=True)
class ReachabilityRestored(LogEvent):
    """This placer reaches all machines again that failure detectors reach."""

    event: ClassVar[str] = "all observed machines reachable again"
