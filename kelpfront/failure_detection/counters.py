"""Counters of failure detection that detectors and placers keep from their start.

The programs write them periodically into a log line; `fields` returns the field names of that line.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass


@dataclass(slots=True)
class DetectorCounters:
    """Counters of a failure detector.

    Attributes:
        health_checks_unsent: checks for which no connection could be made, or whose connection was congested.
        unexpected_answers: answers that match no check in flight, because they were late or duplicated.
        reconnections: new connections to machines that were connected before.
        digests_sent: datagrams with a digest, counted for each subscriber.
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
        digests_outdated: duplicates, and digests that arrived after later ones.
        invalid_datagrams: datagrams that could not be decoded.
        misaddressed_datagrams: datagrams that do not answer a hello of this incarnation of the placer.
        unknown_membership_sections: sections whose membership view this placer does not know.
        restart_checks: machines checked because they may have restarted.
        path_checks: machines checked in rotation, regardless of the reports of detectors.
        unreachable_from_here: machines that answered detectors but not this placer.
        zone_checks: zones in which all machines were checked because one of them was unreachable from here.
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
