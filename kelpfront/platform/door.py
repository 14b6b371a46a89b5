"""What is let in: bounds on owners' connections and on what one of them may hold. Pure."""

from __future__ import annotations

from dataclasses import dataclass

SILENT_S = 2.0  # a connection that has said nothing sound for so long, and carries nothing, is closed
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


def closed_for_silence(opened_at: float, heard_at: float, carries: bool, partial: bool, now: float) -> bool:
    """Whether a connection is closed, by seconds: it never said anything sound, or stopped in a line."""
    if carries:
        return False
    if heard_at < opened_at:  # nothing sound so far
        return now - opened_at >= SILENT_S
    return partial and now - heard_at >= SILENT_S
