"""Typed log records of failure detection, for detectors and placers.

The class of a record determines the event name; its attributes are the fields of the log line. The programs
write the lines.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any, ClassVar


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Base class of log records: one log line with its event name and fields."""

    event: ClassVar[str]

    def fields(self) -> dict[str, Any]:
        """Return the fields by name."""
        return asdict(self)


@dataclass(frozen=True, slots=True)
class ZoneAvailabilityChanged(LogEvent):
    """Machines of a zone stopped answering a detector, or answer again.

    Attributes:
        unresponsive: names of the first few machines that stopped answering.
        recovered: names of the first few machines that answer again.
        zone_unresponsive_count: machines of the zone that do not answer now.
        zone_machine_count: all machines of the zone.
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
    """The first digest of a failure detector arrived; `detector` is its position in the configuration."""

    event: ClassVar[str] = "failure detector discovered"
    detector: int


@dataclass(frozen=True, slots=True)
class DetectorRestarted(LogEvent):
    """A digest of a later incarnation of a failure detector arrived."""

    event: ClassVar[str] = "failure detector restarted"
    detector: int


@dataclass(frozen=True, slots=True)
class MembershipDiverged(LogEvent):
    """A failure detector's list of machines differs from this placer's list in some zone."""

    event: ClassVar[str] = "failure detector membership differs"
    detector: int


@dataclass(frozen=True, slots=True)
class MembershipConverged(LogEvent):
    """A failure detector has the same list of machines as this placer again."""

    event: ClassVar[str] = "failure detector membership agrees"
    detector: int


@dataclass(frozen=True, slots=True)
class MachineUnreachableFromHere(LogEvent):
    """A machine answers failure detectors but not this placer, which now checks all machines of its zone.

    Attributes:
        machine: the machine id in hexadecimal digits.
    """

    event: ClassVar[str] = "machine unreachable from this placer only"
    machine: str
    zone: int


@dataclass(frozen=True, slots=True)
class ReachabilityRestored(LogEvent):
    """This placer again reaches all machines that failure detectors reach."""

    event: ClassVar[str] = "all observed machines reachable again"
