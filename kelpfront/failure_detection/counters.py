"""What detectors and placers count of failure detection since they started.

The programs write these records into their periodic log line of counters; `fields` has the names that the
line shows.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass


@dataclass(slots=True)
class DetectorCounters:
    """Counters of a failure detector.

    Attributes:
        health_checks_unsent: checks for which no connection came up, or whose connection was congested.
        unexpected_answers: answers to no check in flight: they came too late, or twice.
        reconnections: connections to machines that were connected before.
        digests_sent: datagrams, each to one subscriber.
        subscribers_rejected: hellos of new subscribers beyond the limit.
        invalid_datagrams: datagrams that could not be decoded.
    """

    health_checks_sent: int = 0
    health_checks_unsent: int = 0
    answers: int = 0
    unexpected_answers: int = 0
    reconnections: int = 0
    digests_sent: int = 0
    subscribers_rejected: int = 0
    invalid_datagrams: int = 0

    def fields(self) -> dict[str, int]:
        """Return the counters by name."""
        return asdict(self)


@dataclass(slots=True)
class ViewCounters:
    """Counters of a placer's view of failure detectors.

    Attributes:
        digests_accepted: digests that were applied.
        digests_outdated: duplicates and digests overtaken by later ones.
        invalid_datagrams: datagrams that could not be decoded.
        misaddressed_datagrams: datagrams that answer no hello of this placer's incarnation.
        unknown_membership_sections: sections of a list of machines that this placer does not know.
        restart_checks: machines checked since they may have restarted.
        path_checks: machines checked in turn, whatever detectors say of them.
        unreachable_from_here: machines found to answer detectors and not this placer.
        zone_checks: zones that were checked as a whole for that reason.
    """

    digests_accepted: int = 0
    digests_outdated: int = 0
    invalid_datagrams: int = 0
    misaddressed_datagrams: int = 0
    unknown_membership_sections: int = 0
    restart_checks: int = 0
    path_checks: int = 0
    unreachable_from_here: int = 0
    zone_checks: int = 0

    def fields(self) -> dict[str, int]:
        """Return the counters by name."""
        return asdict(self)
