"""An asyncio event loop whose clock is virtual: it jumps to the next thing that is due, and sleeps never.

Callbacks run in the order in which they became ready; timers of one instant in the order in which they were
set. Nothing else happens: there are no file descriptors, threads or signals. The same program with the same
seeds runs the same way, however fast or busy the host is.
"""

from __future__ import annotations

import asyncio
import contextvars
import heapq
import itertools
import selectors
import time
from asyncio import events
from collections.abc import Callable, Mapping
from typing import Any, NoReturn

STILL_MOST = 200_000  # turns of the loop at one instant: a thousand machines that connect need some tens
RESOLUTION_S = 1e-9  # virtual times are sums of floats: what is this near is due


class DeadlockError(RuntimeError):
    """Nothing is left that could happen, and the main task still waits."""


class LivelockError(RuntimeError):
    """Something goes on and on without any time passing."""


# Where a callback runs, for parties that stand still while others go on.
HERE: contextvars.ContextVar[str] = contextvars.ContextVar("kelpfront-lab-place", default="outside")


BLOCKED_S = 0.5  # of the host's time in one callback: it would hold up a real loop for as long
BLOCKED_KEPT = 100
_host_time = time.perf_counter  # the host's own, also where reading it is forbidden to what runs


class _Callback(events.Handle):
    """A callback that waits where its party stands still."""

    __slots__ = ()

    def _run(self) -> None:
        if not self._loop.keeps_back(self):  # type: ignore[attr-defined]
            began = _host_time()
            super()._run()
            if _host_time() - began > BLOCKED_S:
                self._loop.note_blocked(self, _host_time() - began)  # type: ignore[attr-defined]


class _Timer(events.TimerHandle):
    """A timer that knows its place among those of one instant."""

    __slots__ = ("number",)
    number: int

    def _run(self) -> None:
        if not self._loop.keeps_back(self):  # type: ignore[attr-defined]
            began = _host_time()
            super()._run()
            if _host_time() - began > BLOCKED_S:
                self._loop.note_blocked(self, _host_time() - began)  # type: ignore[attr-defined]

    def __lt__(self, other: object) -> bool:
        if isinstance(other, _Timer):
            return (self._when, self.number) < (other._when, other.number)  # type: ignore[attr-defined]
        return NotImplemented


class _NoSelector(selectors.BaseSelector):
    """Waits for nothing: where the loop would sleep, virtual time moves on."""

    def __init__(self, sleep: Callable[[float | None], None]) -> None:
        self._sleep = sleep

    def select(self, timeout: float | None = None) -> list[Any]:
        self._sleep(timeout)
        return []

    def register(self, fileobj: Any, events: int, data: Any = None) -> NoReturn:
        raise RuntimeError("file descriptors have no place in virtual time")

    def unregister(self, fileobj: Any) -> NoReturn:
        raise KeyError(fileobj)

    def get_map(self) -> Mapping[Any, Any]:
        return {}

    def close(self) -> None:
        pass


class VirtualLoop(asyncio.SelectorEventLoop):
    """`network` carries connections; without one there are none."""

    network: Any = None

    def __init__(self) -> None:
        self._virtual = 0.0
        self._numbers = itertools.count()
        self.turns = 0
        self._still = 0
        self.blocked: list[str] = []  # callbacks that took long on the host, by name; not the same on each
        self._stalled: dict[str, list[events.Handle]] = {}  # place: what it has not run
        super().__init__(_NoSelector(self._sleep))
        self._clock_resolution = RESOLUTION_S

    # asyncio wakes its loop from other threads by a socket pair; here there are neither.
    def _make_self_pipe(self) -> None:
        self._ssock = self._csock = None

    def _close_self_pipe(self) -> None:
        pass

    def _write_to_self(self) -> None:
        """Nothing to wake: what calls this is on this thread, such as the end of a forgotten generator."""

    def time(self) -> float:
        return self._virtual

    def _sleep(self, timeout: float | None) -> None:
        self.turns += 1
        if timeout is None:
            raise DeadlockError("nothing is left to happen")
        if timeout > 0:
            self._virtual += timeout
            self._still = 0
            return
        self._still += 1
        if self._still > STILL_MOST:
            self._still = 0  # what is left may still be cancelled
            raise LivelockError(
                f"{STILL_MOST} turns at virtual second {self._virtual:.6f}: time stands still"
            )

    # ---- Parties that stand still ---------------------------------------------------------------------

    def stall(self, place: str) -> None:
        """Nothing of this place runs from now on, as when its process is stopped; what is due waits."""
        self._stalled.setdefault(place, [])

    def resume(self, place: str) -> None:
        """What waited runs now, in the order in which it was due."""
        self._ready.extend(self._stalled.pop(place, ()))  # type: ignore[attr-defined]

    def keeps_back(self, handle: events.Handle) -> bool:
        """Whether a callback has to wait; it is kept if so."""
        if not self._stalled:
            return False
        kept = self._stalled.get(handle._context.get(HERE, "outside"))  # type: ignore[attr-defined]
        if kept is None:
            return False
        kept.append(handle)
        return True

    def note_blocked(self, handle: events.Handle, took_s: float) -> None:
        if len(self.blocked) < BLOCKED_KEPT:
            self.blocked.append(f"{took_s:.1f} s at virtual second {self._virtual:.3f}: {handle!r}")

    def is_stalled(self, place: str) -> bool:
        return place in self._stalled

    def _call_soon(self, callback: Any, args: Any, context: contextvars.Context | None) -> events.Handle:
        handle = _Callback(callback, args, self, context)
        self._ready.append(handle)  # type: ignore[attr-defined]
        return handle

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.TimerHandle:
        self._check_closed()  # type: ignore[attr-defined]
        timer = _Timer(when, callback, args, self, context)
        timer.number = next(self._numbers)
        heapq.heappush(self._scheduled, timer)  # type: ignore[attr-defined]
        timer._scheduled = True  # type: ignore[attr-defined]
        return timer

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Any, *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.TimerHandle:
        return self.call_at(self._virtual + delay, callback, *args, context=context)

    def run_in_executor(  # type: ignore[override]
        self, executor: Any, func: Any, *args: Any
    ) -> NoReturn:
        raise RuntimeError("threads have no place in virtual time")

    # ---- The network ----------------------------------------------------------------------------------

    async def create_connection(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        return await self._its_network().connect(protocol_factory, str(host), int(port))

    async def create_server(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        return self._its_network().listen(protocol_factory, str(host), int(port))

    def _its_network(self) -> Any:
        if self.network is None:
            raise RuntimeError("this loop has no network")
        return self.network


def run(main: Any, loop: VirtualLoop | None = None) -> Any:
    """As `asyncio.run`, in virtual time."""
    loop = loop or VirtualLoop()
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(main)
