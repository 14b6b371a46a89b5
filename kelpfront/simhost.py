"""Runs many isolated schedulers for the simulator, over frames on standard input and output.

All decisions are made by the schedulers. An exception in a scheduler is reported to the simulator as the
protocol's fault action; a malformed frame causes one line on standard error and exit code 2.
"""

from __future__ import annotations

import sys
from typing import BinaryIO

from kelpfront.scheduling.scheduler import Scheduler
from kelpfront.wire import (
    Decoder,
    HostAction,
    HostEvent,
    InstanceAction,
    InstanceFailed,
    InstanceStarted,
    InstanceStopped,
    InvalidSettings,
    WireError,
    encode_reply,
    read_frames,
)

EXIT_BROKEN_PIPE = 1
EXIT_MALFORMED_FRAME = 2


class Host:
    """The schedulers of one process, by instance number."""

    def __init__(self) -> None:
        self._schedulers: dict[int, Scheduler] = {}

    def handle(self, now: float, instance: int, event: HostEvent) -> list[HostAction]:
        """Handle one event of an instance and return its actions.

        A scheduler that raises an exception is removed; the other instances are not affected.
        """
        try:
            return self._handle(now, instance, event)
        except Exception as error:
            self._schedulers.pop(instance, None)
            return [InstanceFailed(f"{type(error).__name__}: {error}")]

    def _handle(self, now: float, instance: int, event: HostEvent) -> list[HostAction]:
        match event:
            case InstanceStarted():
                self._schedulers[instance] = Scheduler(event.settings, event.seed)
            case InstanceStopped():
                self._schedulers.pop(instance, None)
            case InvalidSettings():
                return [InstanceFailed(event.text)]
            case _ if instance in self._schedulers:
                return [*self._schedulers[instance].handle(now, event)]
        return []


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to each batch until the input ends.

    Raises:
        WireError: a frame is malformed.
    """
    decoder = Decoder()
    host = Host()
    for frame in read_frames(source.read):
        batch = decoder.decode(frame)
        reply = [
            InstanceAction(instance, action)
            for instance, event in batch.events
            for action in host.handle(batch.now, instance, event)
        ]
        sink.write(encode_reply(batch.number, reply))
        sink.flush()


def main() -> int:
    """Serve standard input and output; return the exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"kelpfront.simhost: {error}", file=sys.stderr)
        return EXIT_MALFORMED_FRAME
    except BrokenPipeError:
        return EXIT_BROKEN_PIPE
    return 0


if __name__ == "__main__":
    sys.exit(main())
