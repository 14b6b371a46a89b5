"""Paces Python's garbage collection so that it does not delay answers.

A full collection visits every object and pauses the process. With some hundred thousand tasks and events the
pause takes tenths of a second, which is longer than an answer may be late. The pacer therefore calls
`gc.freeze` once a second, so that a collection visits only the objects of the last second. Reference counting
still frees frozen objects. Only frozen cyclic garbage remains; it is collected while no task is open.
"""

from __future__ import annotations

import asyncio
import gc
import time
from collections.abc import Callable
from types import TracebackType
from typing import Literal, Self

import structlog

from kelpfront.clock import MS_PER_S

log = structlog.get_logger("kelpfront.garbage")

FREEZE_INTERVAL_S = 1.0
"""A collection visits only objects that were created since the last freeze."""
FULL_COLLECTION_INTERVAL_S = 600.0
"""Minimum time between full collections: each pauses the process, even while no task is open."""


class GarbageCollectionPacer:
    """Paces the garbage collection of this process within a `with` block.

    Args:
        max_pause_ms: a collection that takes longer is logged.
        is_idle: returns whether no task is open, so that a full collection delays no answer.
    """

    def __init__(self, max_pause_ms: float, is_idle: Callable[[], bool]) -> None:
        self._max_pause_ms = max_pause_ms
        self._is_idle = is_idle
        self._collection_started_s = 0.0
        self._full_collection_at_s = time.monotonic()

    def __enter__(self) -> Self:
        gc.collect()
        gc.freeze()
        gc.callbacks.append(self._on_collection)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._on_collection in gc.callbacks:
            gc.callbacks.remove(self._on_collection)
        gc.unfreeze()

    async def run(self) -> None:
        """Freeze all current objects once per interval until the task is cancelled."""
        while True:
            await asyncio.sleep(FREEZE_INTERVAL_S)
            self._freeze()

    def _freeze(self) -> None:
        now_s = time.monotonic()
        is_full_collection_due = now_s >= self._full_collection_at_s + FULL_COLLECTION_INTERVAL_S
        if is_full_collection_due and self._is_idle():
            self._full_collection_at_s = now_s
            gc.unfreeze()
            gc.collect()
        gc.freeze()

    def _on_collection(self, phase: Literal["start", "stop"], info: dict[str, int]) -> None:
        if phase == "start":
            self._collection_started_s = time.perf_counter()
            return
        duration_ms = (time.perf_counter() - self._collection_started_s) * MS_PER_S
        if duration_ms > self._max_pause_ms:
            log.warning(
                "garbage collection slow", duration_ms=round(duration_ms), generation=info["generation"]
            )
