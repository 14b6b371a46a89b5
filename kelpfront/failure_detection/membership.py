"""Which machines each zone has, in an order on which all processes with the same list agree.

A digest's bitmaps are positions in a membership view, and the fingerprint of a view tells whether sender and
receiver mean the same machines. Where the list of machines comes from is left to the callers.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b

from kelpfront.scheduling.events import MachineId

MAX_VIEW_MEMBERS = 1_024  # machines; a larger zone has several views, so that a section fits a datagram
MIN_RETAINED_VIEWS = 64  # views that are remembered by fingerprint: a detector's list may be behind

_FINGERPRINT_BYTES = 4  # as wide as the digest's field


@dataclass(frozen=True, slots=True)
class MembershipView:
    """Machines of one zone, ascending by id; of a large zone a part of them."""

    zone: int
    machines: tuple[MachineId, ...]
    fingerprint: int


def membership_views(zones: Mapping[int, Iterable[MachineId]]) -> list[MembershipView]:
    """Return the views of all zones, ascending by zone."""
    views = []
    for zone in sorted(zones):
        ordered = sorted(zones[zone])
        for start in range(0, len(ordered), MAX_VIEW_MEMBERS):
            machines = tuple(ordered[start : start + MAX_VIEW_MEMBERS])
            views.append(MembershipView(zone, machines, fingerprint_of(machines)))
    return views


def fingerprint_of(machines: tuple[MachineId, ...]) -> int:
    """Return 32 bits that tell two membership views apart."""
    data = b"".join(machine.to_bytes(8) for machine in machines)
    return int.from_bytes(blake2b(data, digest_size=_FINGERPRINT_BYTES).digest())


def bitmap_of(flags: Iterable[bool]) -> int:
    """Return an integer whose lowest bit is the first flag."""
    return sum(1 << position for position, flag in enumerate(flags) if flag)


def members_in(bitmap: int, machines: tuple[MachineId, ...]) -> tuple[MachineId, ...]:
    """Return the machines whose bits are set."""
    all_are_set = bitmap.bit_count() == len(machines)
    if all_are_set:  # the usual case by far
        return machines
    return tuple(machine for position, machine in enumerate(machines) if bitmap >> position & 1)


class Membership:
    """The views of the present endpoint list, and the former ones that a digest may still speak of."""

    def __init__(self) -> None:
        self.views: list[MembershipView] = []
        self._by_fingerprint: dict[int, MembershipView] = {}
        self._view_of: dict[MachineId, MembershipView] = {}

    def __contains__(self, machine: MachineId) -> bool:
        return machine in self._view_of

    def replace(self, zones: Mapping[int, Iterable[MachineId]]) -> None:
        """Take the machines of an endpoint list, by zone; the latest former views are retained."""
        self.views = membership_views(zones)
        for view in self.views:
            self._by_fingerprint.pop(view.fingerprint, None)
            self._by_fingerprint[view.fingerprint] = view
        while len(self._by_fingerprint) > max(MIN_RETAINED_VIEWS, 2 * len(self.views)):
            oldest = next(iter(self._by_fingerprint))
            del self._by_fingerprint[oldest]
        self._view_of = {machine: view for view in self.views for machine in view.machines}

    def find(self, fingerprint: int, member_count: int) -> MembershipView | None:
        """Return the present or former view that a digest means, or None where none is known."""
        view = self._by_fingerprint.get(fingerprint)
        if view is None or len(view.machines) != member_count:
            return None
        return view

    def zone_of(self, machine: MachineId) -> int:
        """Return the zone of a machine of the present list. Raises KeyError for any other."""
        return self._view_of[machine].zone
