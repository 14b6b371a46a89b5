"""A placer's position in a machine's stream, independent of the transport and without I/O.

The messages `Taken` and `Gone` are numbered within an incarnation of the machine. After a disconnect the
placer requests the first message that it has not received; a machine that no longer retains it sends a
snapshot first. The placer's links reconnect.
"""

from __future__ import annotations

from typing import NamedTuple

from kelpfront.machine.messages import Gone, Hello, Snapshot, StreamMessage, Taken


class StreamGapError(ValueError):
    """A numbered message was received although an earlier one is missing."""


class ResumePoint(NamedTuple):
    """The machine's incarnation and the first message number to request."""

    boot: str
    next_seq: int


class StreamOffset:
    """The offset in one machine's stream, kept across reconnections."""

    def __init__(self) -> None:
        self._resumable_boot = ""  # empty while the stream cannot be resumed
        self._current_boot = ""
        self._next_seq = 0

    @property
    def resume_point(self) -> ResumePoint | None:
        """The point to resume from, or None if the stream has to start with a snapshot.

        A stream that breaks between a `Hello` that does not resume and its snapshot must not be resumed: the
        placer would miss what the snapshot would have reported.
        """
        if not self._resumable_boot:
            return None
        return ResumePoint(self._resumable_boot, self._next_seq)

    def accept(self, message: StreamMessage) -> bool:
        """Advance past a message; returns False for a message that was received before.

        Raises StreamGapError if an earlier numbered message is missing.
        """
        match message:
            case Hello(boot, _, _, _, resumed, next_seq):
                self._resumable_boot = boot if resumed else ""
                self._current_boot = boot
                self._next_seq = next_seq
            case Snapshot(seq):
                self._resumable_boot = self._current_boot
                self._next_seq = seq + 1
            case Taken(seq) | Gone(seq):
                return self._accept_numbered(seq)
        return True

    def _accept_numbered(self, seq: int) -> bool:
        if seq < self._next_seq:
            return False  # received before the disconnect
        if seq > self._next_seq:
            raise StreamGapError(f"message {seq} came where {self._next_seq} was expected")
        self._next_seq = seq + 1
        return True
