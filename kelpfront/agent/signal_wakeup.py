"""Turns a supervisor's signals into a descriptor that poll(2) can wait for. Standard library only.

`supervisor` decides how to react to a signal.
"""

from __future__ import annotations

import contextlib
import os
import signal

READ_BYTES = 4096


class SignalWakeup:
    """Makes `descriptor` readable when a signal arrives; `terminated` is whether SIGTERM was received."""

    def __init__(self) -> None:
        self.terminated = False
        self.descriptor, writer = os.pipe()
        for descriptor in (self.descriptor, writer):
            os.set_blocking(descriptor, False)
        signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
        for number in (signal.SIGCHLD, signal.SIGUSR1, signal.SIGTERM):
            signal.signal(number, self._on_signal)
        for number in (signal.SIGINT, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)

    def _on_signal(self, number: int, _frame: object) -> None:
        if number == signal.SIGTERM:  # the host is shutting down
            self.terminated = True

    def clear(self) -> None:
        """Read and discard the pending bytes, so that the descriptor is no longer readable."""
        with contextlib.suppress(BlockingIOError):
            os.read(self.descriptor, READ_BYTES)
