"""Garbage collection that does not make answers late.

A full collection looks at every object of the process, and stops it meanwhile: with some hundred thousand
tasks and events that is tenths of a second, longer than an answer may be late. What lives long is therefore
moved out of the collector's sight once a second; collections then look at a second's worth of objects.
Objects are freed by their reference counts all the same. Only garbage that refers to itself and was moved
stays, and is collected when the placer has nothing to answer.
"""

from __future__ import annotations

import gc
import time
from collections.abc import Callable
from typing import Literal

import structlog

log = structlog.get_logger("kelpfront.garbage")

FREEZE_S = 1.0
FULL_S = 600.0  # between full collections, at the least


class Collector:
    """Looks after the collector of this process. `look` is to be called about once a second."""

    def __init__(self, late_ms: float, idle: Callable[[], bool]) -> None:
        self._late_ms, self._idle = late_ms, idle
        self._began = 0.0
        self._full_at = time.monotonic()

    def start(self) -> None:
        gc.collect()
        gc.freeze()
        gc.callbacks.append(self._on_collection)

    def stop(self) -> None:
        if self._on_collection in gc.callbacks:
            gc.callbacks.remove(self._on_collection)
        gc.unfreeze()

    def look(self) -> None:
        now = time.monotonic()
        if now >= self._full_at + FULL_S and self._idle():
            self._full_at = now
            gc.unfreeze()
            gc.collect()
        gc.freeze()

    def _on_collection(self, phase: Literal["start", "stop"], info: dict[str, int]) -> None:
        if phase == "start":
            self._began = time.perf_counter()
            return
        took_ms = (time.perf_counter() - self._began) * 1000.0
        if took_ms > self._late_ms:
            log.warning("garbage collection", took_ms=round(took_ms), generation=info["generation"])
