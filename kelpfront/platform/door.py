"""What is let in: bounds on owners' connections and on what one of them may hold. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeVar

K = TypeVar("K")

SILENT_S = 2.0  # a connection that has said nothing sound for so long, and carries nothing, is closed
IDLE_S = 0.5  # an idle connection that was heard later than this ago may be about to ask again
TURN_LINES = 256  # lines of one connection that are taken before the others have their turn
UNREAD_MOST = 256 << 10  # bytes that an owner may leave unread before its connection is broken
ACCEPT_BURST = 24  # connections that are accepted before their bounds are looked at


@dataclass(frozen=True, slots=True)
class Shares:
    """How many descriptors each side may hold; the rest is for files and what is just being accepted."""

    owners: int
    machines: int

    @classmethod
    def of(cls, sockets: int) -> Shares:
        return cls(owners=sockets * 11 // 20, machines=sockets // 4)


@dataclass(frozen=True, slots=True)
class Guest:
    """An owner's connection, by seconds; `heard_at` is before `opened_at` where it said nothing sound yet."""

    opened_at: float
    heard_at: float
    carries: bool
    """Whether a set-up is open or a task stands on it."""


def least_wanted(guests: Iterable[tuple[K, Guest]], now: float) -> K | None:
    """Whose connection makes room for a new one; None where all are in use.

    First the one that has been silent longest since it opened, then the one that was heard longest ago and
    is idle: some owners ask once and hold on for good, and would shut out all who come later.
    """
    idle = [(key, guest) for key, guest in guests if not guest.carries]
    silent = [(guest.opened_at, key) for key, guest in idle if guest.heard_at < guest.opened_at]
    heard = [
        (guest.heard_at, key) for key, guest in idle if guest.opened_at <= guest.heard_at <= now - IDLE_S
    ]
    found = silent or heard
    return min(found, key=lambda pair: pair[0])[1] if found else None


def closed_for_silence(opened_at: float, heard_at: float, carries: bool, partial: bool, now: float) -> bool:
    """Whether a connection is closed, by seconds: it never said anything sound, or stopped in a line."""
    if carries:
        return False
    if heard_at < opened_at:  # nothing sound so far
        return now - opened_at >= SILENT_S
    return partial and now - heard_at >= SILENT_S
