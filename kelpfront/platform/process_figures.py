"""What this process uses of the system, and what the system allows it."""

from __future__ import annotations

import os
import resource
from pathlib import Path

UNKNOWN = -1
"""In place of a figure that the system does not give."""


def memory_mb() -> float:
    """Return the resident memory in megabytes, or UNKNOWN."""
    try:
        with Path("/proc/self/statm").open() as file:
            pages = int(file.read().split()[1])
    except OSError:
        return float(UNKNOWN)
    return round(pages * os.sysconf("SC_PAGE_SIZE") / 1e6, 1)


def allowed_descriptors(wanted: int) -> int:
    """Return how many of so many descriptors the system allows this process."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return wanted if limit == resource.RLIM_INFINITY else min(wanted, limit)


def open_descriptors() -> int:
    """Return how many are open, without the one that this call takes, or UNKNOWN."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1
    except OSError:
        return UNKNOWN
