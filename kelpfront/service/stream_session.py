"""The state of a machine's stream across reconnects, for all protocols: offset, backoff and reports.

The link of each protocol connects, reads and decodes.
"""

from __future__ import annotations

import asyncio
import logging

from kelpfront.backoff import Backoff
from kelpfront.clock import MS_PER_S
from kelpfront.machine.messages import Hello, StreamMessage
from kelpfront.machine.stream_offset import ResumePoint, StreamOffset
from kelpfront.service.machine_link import LinkContext, log


class StreamSession:
    """Passes each message of a stream to the controller once, and paces reconnects."""

    def __init__(self, host: str, context: LinkContext) -> None:
        self._host = host
        self._context = context
        self._backoff = Backoff(context.rng)
        self._offset = StreamOffset()

    @property
    def resume_point(self) -> ResumePoint | None:
        """The offset at which the next connection resumes; None if the stream must start anew."""
        return self._offset.resume_point

    def receive(self, message: StreamMessage) -> None:
        """Pass a message to the controller unless it was received before the last break.

        Raises StreamGapError if the message before it is missing.
        """
        if isinstance(message, Hello):
            self._backoff.reset()
            log.info(
                "machine stream connected", machine=self._host, boot=message.boot, resumed=message.resumed
            )
        if not self._offset.accept(message):
            return
        self._context.controller.on_machine_message(self._context.now(), self._host, message)

    def report_down(self) -> None:
        """Report to the controller that the link to the machine is down."""
        self._context.controller.on_link_down(self._context.now(), self._host)
        self._context.notify_changed()

    async def wait_before_reconnect(self, error: str) -> None:
        """Log why the stream broke and wait for the backoff's delay."""
        delay_ms = self._backoff.next_delay_ms()
        is_first_failure = self._backoff.failure_count == 1
        level = logging.INFO if is_first_failure else logging.DEBUG  # a machine that is down fails repeatedly
        fields = {"machine": self._host, "error": error, "retry_in_ms": round(delay_ms)}
        log.log(level, "machine stream broken", **fields)
        await asyncio.sleep(delay_ms / MS_PER_S)
