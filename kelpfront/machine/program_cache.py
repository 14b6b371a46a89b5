"""The services whose program is on the machine.

A program is present while a task of its service is starting, running or stopping. The programs of the most
recently used services stay cached after their last task. The first start of any other service takes longer,
since its program has to be fetched.
"""

from __future__ import annotations

from collections import Counter

from kelpfront.machine.bounded_cache import BoundedCache


class ProgramCache:
    """The programs in use, and up to `max_idle` cached programs that no task uses."""

    def __init__(self, max_idle: int) -> None:
        self._task_counts: Counter[str] = Counter()
        self._idle: BoundedCache[str, None] = BoundedCache(max_idle)

    def services(self) -> set[str]:
        """Return the services whose program is present."""
        return {service for service, count in self._task_counts.items() if count} | set(self._idle)

    def has(self, service: str) -> bool:
        """Return whether the program of a service is present."""
        return bool(self._task_counts[service]) or service in self._idle

    def acquire(self, service: str) -> None:
        """Count a task of a service as active."""
        self._task_counts[service] += 1
        self._idle.discard(service)

    def release(self, service: str, *, cache_idle: bool) -> None:
        """Count a task of a service as ended; `cache_idle` caches the program after the last task."""
        self._task_counts[service] -= 1
        if self._task_counts[service]:
            return
        del self._task_counts[service]
        if cache_idle:
            self._idle.put(service, None)
