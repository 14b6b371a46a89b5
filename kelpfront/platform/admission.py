"""Who gets a descriptor: bounds on connections of owners and to machines, and on what one may hold. Pure."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

K = TypeVar("K")

SILENT_S = 2.0  # a connection that has said nothing sound for so long, and carries nothing, is closed
PIECE_S = 4.0  # a line that was begun goes on within it: as long as owners keep a connection without a task
LINE_S = 10.0  # and ends within it
FIRST_S = 2.5  # since it was opened: who has begun a line by then and never ended one may mean no request
IDLE_S = 0.5  # one that was opened or heard later than this ago may have asked, or be about to ask again
TURN_LINES = 256  # lines of one connection that are taken before the others have their turn
UNREAD_MOST = 256 << 10  # bytes that an owner may leave unread before its connection is broken
ACCEPT_BURST = 24  # connections that are accepted before their bounds are looked at, where there are many
FILES = 16  # descriptors that are no connections: standard streams, the listener, the loop's own, modules
FILES_LATER = 8  # of those, opened after the start: the listener, the file of a reload, looks for the log
ASKS = 6  # for the list: two out, two being dropped, and those of another address after a move
OWNERS_LEAST = 32  # whatever machines hold: a placer that lets nobody in is of no use
BURST_SHARE = 16  # of the descriptors that are accepted in one go, at most one in so many


@dataclass(frozen=True, slots=True)
class Shares:
    """How many descriptors each side may hold.

    The rest is for files, for the asks for the list, and for `burst` connections that were just accepted and
    as many that were just broken to make room, whose sockets are closed a turn later. Nobody else takes it:
    a placer without a descriptor cannot hear of a drain, and a machine that it cannot dial seems dead.

    Past their share a machine without a connection still gets one, for tasks stand there: to `machines_most`.
    Idle owners make room for it, and where none is idle, the connection to another machine that is.
    """

    owners: int
    owners_least: int
    machines: int
    machines_most: int
    both: int
    burst: int

    @classmethod
    def of(cls, sockets: int, open_at_start: int = 0) -> Shares:
        """`open_at_start`: descriptors that the process had before it opened any connection."""
        burst = max(2, min(ACCEPT_BURST, sockets // BURST_SHARE))
        spare = max(FILES, open_at_start + FILES_LATER) + ASKS + 2 * burst
        both = max(4, sockets - spare)
        least = min(OWNERS_LEAST, both // 2)
        machines = min(sockets // 4, both - least)
        owners = min(sockets * 11 // 20, both - machines)
        return cls(owners, least, machines, both - least, both, burst)

    def owners_beside(self, machines: int) -> int:
        """How many connections owners may hold beside so many to machines."""
        return max(self.owners_least, min(self.owners, self.both - machines))

    def machine_may_open(self, machines: int, owners: int) -> bool:
        """Whether one more connection to a machine has a descriptor, beside so many of either side."""
        return machines < self.machines_most and machines + owners < self.both


@dataclass(slots=True)
class Line:
    """A line that was begun and has not ended; when that was, and when its last piece came, in seconds."""

    began_at: float
    grew_at: float

    @classmethod
    def after(cls, line: Line | None, ended: bool, partial: bool, now: float) -> Line | None:
        """What a read leaves behind: `ended`: it brought the end of a line, `partial`: not the end of all."""
        if not partial:
            return None
        return cls(now if line is None or ended else line.began_at, now)


class EvictionOrder(Generic[K]):
    """Owners' connections in the order in which they may have to make room for a new one; times in seconds.

    Kept in order as they come and are heard, since at the bound each new connection asks for one.
    """

    def __init__(self) -> None:
        self._new: dict[K, float] = {}  # when it was opened; what it may have sent was not looked for yet
        self._silent: dict[K, float] = {}  # when it was opened; nothing sound came so far
        self._heard: dict[K, float] = {}  # when it was heard last, the longest ago first

    def opened(self, key: K, now: float) -> None:
        self._new[key] = now

    def looked_at(self, key: K) -> None:
        """What it had sent when it was opened has been read."""
        if key in self._new:
            self._silent[key] = self._new.pop(key)

    def heard(self, key: K, now: float) -> None:
        self.gone(key)
        self._heard[key] = now

    def gone(self, key: K) -> None:
        self._new.pop(key, None)
        self._silent.pop(key, None)
        self._heard.pop(key, None)

    def next_evicted(self, now: float, carries: Callable[[K], bool]) -> K | None:
        """Whose connection makes room; None where all are in use, or were opened or heard just now.

        First the one that has been silent longest, then the one that was heard longest ago and carries
        nothing: some owners ask once and hold on for good, and would shut out all who come later. Then who
        came lately and said nothing. Not who was opened a moment ago, when hundreds come at once: what it
        has sent may lie unread.
        """
        oldest = next(iter(self._silent.items()), None)
        if oldest is not None and oldest[1] <= now - IDLE_S:
            return oldest[0]
        for key, heard_at in self._heard.items():
            if heard_at > now - IDLE_S:
                break
            if not carries(key):
                return key
        return None if oldest is None else oldest[0]


def closed_for_silence(
    opened_at: float, heard_at: float, carries: bool, line: Line | None, now: float
) -> bool:
    """Whether a connection is closed, by seconds: it never said anything sound, or stopped in a line.

    Owners may send a set-up in pieces, also a while after the last one: a line's time is its own. Who has
    sent nothing whole yet is closed, or answered, within 3 s: half a request alone must not hold on longer.
    """
    if carries:
        return False
    if heard_at < opened_at:  # nothing sound so far
        return now - opened_at >= (SILENT_S if line is None else FIRST_S)
    return line is not None and (now - line.grew_at >= PIECE_S or now - line.began_at >= LINE_S)
