"""The machines of each zone, in the same order in all processes that have the same endpoint list.

The bits of a digest's bitmaps correspond to positions in a membership view. The fingerprint of a view shows
whether sender and receiver refer to the same machines. Callers provide the list of machines.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b

from kelpfront.scheduling.events import MachineId

MAX_VIEW_MEMBERS = 1_024  # a larger zone has several views, so that a section fits into a datagram
MIN_RETAINED_VIEWS = 64  # views kept by fingerprint, because a detector's list may be older

_FINGERPRINT_BYTES = 4  # the width of the field in a digest


@dataclass(frozen=True, slots=True)
class MembershipView:
    """Machines of one zone, or a part of a large zone, in ascending order of their ids."""

    zone: int
    machines: tuple[MachineId, ...]
    fingerprint: int


def membership_views(zones: Mapping[int, Iterable[MachineId]]) -> list[MembershipView]:
    """Return the views of all zones, in ascending order of the zones."""
    views = []
    for zone in sorted(zones):
        ordered = sorted(zones[zone])
        for start in range(0, len(ordered), MAX_VIEW_MEMBERS):
            machines = tuple(ordered[start : start + MAX_VIEW_MEMBERS])
            views.append(MembershipView(zone, machines, fingerprint_of(machines)))
    return views


def fingerprint_of(machines: tuple[MachineId, ...]) -> int:
    """Return a 32-bit hash that identifies the machines of a membership view."""
    data = b"".join(machine.to_bytes(8) for machine in machines)
    return int.from_bytes(blake2b(data, digest_size=_FINGERPRINT_BYTES).digest())


def bitmap_of(flags: Iterable[bool]) -> int:
    """Return the flags as an integer; the first flag is the lowest bit."""
    return sum(1 << position for position, flag in enumerate(flags) if flag)


def members_in(bitmap: int, machines: tuple[MachineId, ...]) -> tuple[MachineId, ...]:
    """Return the machines whose bits are set."""
    all_are_set = bitmap.bit_count() == len(machines)
    if all_are_set:  # the usual case
        return machines
    return tuple(machine for position, machine in enumerate(machines) if bitmap >> position & 1)


class Membership:
    """The views of the current endpoint list, and earlier ones that a digest may still refer to."""

    def __init__(self) -> None:
        self.views: list[MembershipView] = []
        self._by_fingerprint: dict[int, MembershipView] = {}
        self._view_of: dict[MachineId, MembershipView] = {}

    def __contains__(self, machine: MachineId) -> bool:
        return machine in self._view_of

    def replace(self, zones: Mapping[int, Iterable[MachineId]]) -> None:
        """Replace the current machines, given by zone; the latest of the earlier views are retained."""
        self.views = membership_views(zones)
        for view in self.views:
            self._by_fingerprint.pop(view.fingerprint, None)
            self._by_fingerprint[view.fingerprint] = view
        while len(self._by_fingerprint) > max(MIN_RETAINED_VIEWS, 2 * len(self.views)):
            oldest = next(iter(self._by_fingerprint))
            del self._by_fingerprint[oldest]
        self._view_of = {machine: view for view in self.views for machine in view.machines}

    def find(self, fingerprint: int, member_count: int) -> MembershipView | None:
        """Return the current or earlier view that a digest refers to, or None if it is unknown."""
        view = self._by_fingerprint.get(fingerprint)
        if view is None or len(view.machines) != member_count:
            return None
        return view

    def zone_of(self, machine: MachineId) -> int:
        """Return the zone of a current machine. Raises KeyError for any other."""
        return self._view_of[machine].zone
