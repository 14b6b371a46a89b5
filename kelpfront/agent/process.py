"""Processes of this host, identified by pid, start time and boot together. Standard library only.

Pids are reused. A pid identifies one process uniquely only together with the process's start time, in clock
ticks since the boot (field 22 of /proc/PID/stat, proc(5)), and the id of the boot. Ticks since the boot do
not change when the wall clock is set; times of day derived from them do.
"""

from __future__ import annotations

import os
import signal
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

ENDED_STATES = frozenset("ZXx")
"""States in /proc/PID/stat of a process that has ended: a zombie, or one that the kernel is removing."""

INIT_PID = 1


@dataclass(frozen=True, slots=True)
class ProcessIdentity:
    """A unique identity of one process; `start_ticks` is its start time in clock ticks since the boot."""

    pid: int
    start_ticks: int
    boot_id: str

    def to_record(self) -> dict[str, Any]:
        """Return the stored form of an identity in task folders."""
        return {"pid": self.pid, "ticks": self.start_ticks, "boot": self.boot_id}

    @classmethod
    def from_record(cls, record: dict[str, Any]) -> ProcessIdentity:
        """Read an identity from a record of a task folder. Raises KeyError if a field is missing."""
        return cls(record["pid"], record["ticks"], record["boot"])


@dataclass(frozen=True, slots=True)
class ProcessStat:
    """The fields of /proc/PID/stat that the agent uses."""

    pid: int
    state: str
    parent_pid: int
    session_id: int
    start_ticks: int


def read_boot_id() -> str:
    """Return the id of the host's current boot."""
    with open("/proc/sys/kernel/random/boot_id") as file:
        return file.read().strip()


def read_uptime_s() -> float:
    """Return the seconds since the host's boot, including those in which it was suspended."""
    with open("/proc/uptime") as file:
        return float(file.read().split()[0])


def parse_stat(pid: int, line: str) -> ProcessStat:
    """Parse a line of /proc/PID/stat.

    The program's name is in parentheses and may itself contain spaces and parentheses, so only the text after
    the last closing parenthesis can be split into fields.
    """
    fields = line.rpartition(")")[2].split()
    return ProcessStat(pid, fields[0], int(fields[1]), int(fields[3]), int(fields[19]))


def read_stat(pid: int) -> ProcessStat | None:
    """Return the /proc status of a process, or None if there is no such process."""
    try:
        with open(f"/proc/{pid}/stat") as file:
            return parse_stat(pid, file.read())
    except (OSError, IndexError, ValueError):
        return None


def identify(pid: int, boot_id: str) -> ProcessIdentity | None:
    """Return the identity of the process that currently has this pid, or None if there is none."""
    stat = read_stat(pid)
    return None if stat is None else ProcessIdentity(pid, stat.start_ticks, boot_id)


def is_same_running_process(identity: ProcessIdentity, boot_id: str, stat: ProcessStat | None) -> bool:
    """Return whether `stat` is of the identified process and shows it running.

    `stat` is read from the identity's pid, which another process may have by now.
    """
    if stat is None or identity.boot_id != boot_id:
        return False
    is_same_process = stat.pid == identity.pid and stat.start_ticks == identity.start_ticks
    return is_same_process and stat.state not in ENDED_STATES


def is_running(identity: ProcessIdentity, boot_id: str) -> bool:
    """Return whether a process still runs; `boot_id` is the host's current boot."""
    return is_same_running_process(identity, boot_id, read_stat(identity.pid))


def open_pidfd(identity: ProcessIdentity, boot_id: str) -> int | None:
    """Open a pidfd of exactly this process, which becomes readable when it ends; None if it has ended.

    The identity is checked after the pidfd was opened: if it still matches then, the pidfd cannot refer to
    another process that has reused the pid.
    """
    try:
        descriptor = os.pidfd_open(identity.pid)
    except OSError:
        return None
    if is_running(identity, boot_id):
        return descriptor
    os.close(descriptor)
    return None


def send_signal(pidfd: int, number: int) -> bool:
    """Send a signal to the process of a pidfd; return False if it has ended."""
    try:
        signal.pidfd_send_signal(pidfd, number)
    except ProcessLookupError:
        return False
    return True


def all_stats() -> Iterator[ProcessStat]:
    """Yield the status of each process of this host."""
    for name in os.listdir("/proc"):
        if not name.isdigit():
            continue
        stat = read_stat(int(name))
        if stat is not None:
            yield stat


def select_descendants(
    stats: Iterable[ProcessStat], root: int | None, sessions: frozenset[int] = frozenset()
) -> list[int]:
    """Return the pids of running descendants of `root`, and of the processes in `sessions` with theirs.

    The root itself is not included. Without a root, only the sessions are searched. Pure: no I/O.
    """
    children: dict[int, list[int]] = {}
    found: dict[int, None] = {}
    for stat in stats:
        if stat.state in ENDED_STATES or stat.pid <= INIT_PID:
            continue
        children.setdefault(stat.parent_pid, []).append(stat.pid)
        if stat.session_id in sessions and stat.pid != root:
            found[stat.pid] = None
    to_visit = list(found)
    if root is not None and root > INIT_PID:
        to_visit.insert(0, root)
    while to_visit:
        for pid in children.get(to_visit.pop(), ()):
            if pid not in found and pid != root:
                found[pid] = None
                to_visit.append(pid)
    return list(found)


def find_descendants(root: int | None, sessions: frozenset[int] = frozenset()) -> list[int]:
    """Return `select_descendants` applied to all processes of this host."""
    return select_descendants(all_stats(), root, sessions)
