"""Processes of this host, known by pid, start time and the host's boot together. Standard library only.

A pid is given out again; together with the time at which its process started, in clock ticks since the boot
(field 22 of /proc/PID/stat, proc(5)), and the boot's id it names one process for ever. Ticks since the boot
do not move when the wall clock is set, which times of day made from them do.
"""

from __future__ import annotations

import os
import signal
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

DEAD_STATES = frozenset("ZXx")


@dataclass(frozen=True, slots=True)
class Identity:
    """One process for ever."""

    pid: int
    ticks: int  # since the boot, at which it started
    boot: str


@dataclass(frozen=True, slots=True)
class Stat:
    """A line of /proc/PID/stat, as far as it is needed."""

    pid: int
    state: str
    ppid: int
    session: int
    ticks: int


def boot_id() -> str:
    """One boot of the host."""
    with open("/proc/sys/kernel/random/boot_id") as file:
        return file.read().strip()


def uptime_s() -> float:
    """Seconds since the host's boot, with those that it slept."""
    with open("/proc/uptime") as file:
        return float(file.read().split()[0])


def parse_stat(pid: int, line: str) -> Stat:
    """The program's name, in parentheses, may itself have spaces and parentheses: what counts is after."""
    fields = line.rpartition(")")[2].split()
    return Stat(pid, fields[0], int(fields[1]), int(fields[3]), int(fields[19]))


def read_stat(pid: int) -> Stat | None:
    """What /proc says of a process; None where there is none."""
    try:
        with open(f"/proc/{pid}/stat") as file:
            return parse_stat(pid, file.read())
    except (OSError, IndexError, ValueError):
        return None


def identify(pid: int, boot: str) -> Identity | None:
    """The process that has this pid now."""
    stat = read_stat(pid)
    return None if stat is None else Identity(pid, stat.ticks, boot)


def is_alive(identity: Identity, boot: str, stat: Stat | None) -> bool:
    """Whether `stat`, what has the identity's pid now, is the same process and has not ended."""
    return (
        stat is not None
        and identity.boot == boot
        and stat.pid == identity.pid
        and stat.ticks == identity.ticks
        and stat.state not in DEAD_STATES
    )


def alive(identity: Identity, boot: str) -> bool:
    return is_alive(identity, boot, read_stat(identity.pid))


def open_pidfd(identity: Identity, boot: str) -> int | None:
    """A descriptor of just this process, which turns readable at its end; None where it has ended.

    The identity is looked at after the descriptor was had: from then on the pid cannot mean another.
    """
    try:
        fd = os.pidfd_open(identity.pid)
    except OSError:
        return None
    if alive(identity, boot):
        return fd
    os.close(fd)
    return None


def send_signal(pidfd: int, number: int) -> bool:
    """False where the process has ended."""
    try:
        signal.pidfd_send_signal(pidfd, number)
    except ProcessLookupError:
        return False
    return True


def all_stats() -> Iterator[Stat]:
    for name in os.listdir("/proc"):
        if name.isdigit() and (stat := read_stat(int(name))) is not None:
            yield stat


def below(stats: Iterable[Stat], root: int | None, sessions: frozenset[int] = frozenset()) -> list[int]:
    """Living processes below `root`, and those of some sessions with all below them; without `root` itself.

    Pure. Without a root only the sessions count: nothing is ever taken for a child of nobody.
    """
    children: dict[int, list[int]] = {}
    found: dict[int, None] = {}
    for stat in stats:
        if stat.state in DEAD_STATES or stat.pid <= 1:
            continue
        children.setdefault(stat.ppid, []).append(stat.pid)
        if stat.session in sessions and stat.pid != root:
            found[stat.pid] = None
    todo = [*([root] if root is not None and root > 1 else []), *found]
    while todo:
        for pid in children.get(todo.pop(), ()):
            if pid not in found and pid != root:
                found[pid] = None
                todo.append(pid)
    return list(found)


def descendants(root: int | None, sessions: frozenset[int] = frozenset()) -> list[int]:
    """`below` of all processes of this host."""
    return below(all_stats(), root, sessions)
