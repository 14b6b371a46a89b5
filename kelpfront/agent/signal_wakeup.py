"""Turns the signals of a supervisor into something that poll(2) can wait for. Standard library only.

What a signal is to cause is left to `supervisor`.
"""

from __future__ import annotations

import contextlib
import os
import signal

READ_BYTES = 4096


class SignalWakeup:
    """Turns signals into a readable descriptor; `terminated` is whether SIGTERM was among them."""

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
        if number == signal.SIGTERM:  # the host goes down
            self.terminated = True

    def clear(self) -> None:
        """Read what is in the descriptor."""
        with contextlib.suppress(BlockingIOError):
            os.read(self.descriptor, READ_BYTES)
