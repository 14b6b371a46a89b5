"""Runs the core on an event loop: carries out its intents, writes its log records, and runs its timers."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import structlog

from kelpfront.platform.core import PlacerCore
from kelpfront.platform.intents import Intent, MachineIntent, SendToClient

log = structlog.get_logger("kelpfront.platform")


class CoreRunner:
    """Runs one core on the event loop.

    Attributes:
        send_to_client: carries out an intent for a client.
        send_to_machine: carries out an intent for a machine.
    """

    def __init__(self, core: PlacerCore, now: Callable[[], float]) -> None:
        """Create a runner; its senders need `flush` themselves and are set later, before the first flush."""
        self.send_to_client: Callable[[SendToClient], None] = _raise_no_sender
        self.send_to_machine: Callable[[MachineIntent], None] = _raise_no_sender
        self._core = core
        self._now = now
        self._flushing = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0

    def flush(self) -> None:
        """Carry out the core's intents, including those that they cause, write its log, and set its timer."""
        if self._flushing:
            return
        self._flushing = True
        try:
            while self._core.outbox:
                for intent in self._core.outbox.drain():
                    self._carry_out(intent)
        finally:
            self._flushing = False
        for record in self._core.log.drain():
            log.info(record.event, **record.fields())
        self._set_timer()

    def _carry_out(self, intent: Intent) -> None:
        if isinstance(intent, SendToClient):
            self.send_to_client(intent)
        else:
            self.send_to_machine(intent)

    def _set_timer(self) -> None:
        due = self._core.timers.next()
        if self._timer is not None and due < self._timer_at:
            self.stop()
        if due < math.inf and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer_at = due
            delay_s = max(0.0, due - self._now()) / 1000.0
            # After a stall of the loop, unread data is read before timers run; that takes two iterations.
            self._timer = loop.call_later(delay_s, loop.call_soon, loop.call_soon, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._core.timers.run(self._now())
        self.flush()

    def stop(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _raise_no_sender(intent: Intent) -> None:
    raise RuntimeError(f"no sender is set for {type(intent).__name__}")
