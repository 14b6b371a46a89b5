"""Resource usage and resource limits of this process."""

from __future__ import annotations

import os
import resource
from pathlib import Path

UNKNOWN = -1
"""Returned in place of a value that the system does not report."""


def memory_mb() -> float:
    """Return the resident memory in megabytes, or UNKNOWN."""
    try:
        with Path("/proc/self/statm").open() as file:
            pages = int(file.read().split()[1])
    except OSError:
        return float(UNKNOWN)
    return round(pages * os.sysconf("SC_PAGE_SIZE") / 1e6, 1)


def allowed_descriptors(requested: int) -> int:
    """Return the requested number of descriptors, limited to what the system allows this process."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return requested if limit == resource.RLIM_INFINITY else min(requested, limit)


def open_descriptors() -> int:
    """Return the number of open descriptors, except the one that this call uses, or UNKNOWN."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1
    except OSError:
        return UNKNOWN
