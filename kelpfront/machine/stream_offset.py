"""How far a placer has read a machine's stream, whatever carries it. No I/O.

Messages that change what the placer knows are numbered. After a break the placer asks for the first that it
has not received, of the incarnation that the numbers belong to; a machine that no longer has it begins with a
snapshot. Connecting again is left to the placer's links.
"""

from __future__ import annotations

from typing import NamedTuple

from kelpfront.machine.messages import Gone, Hello, Snapshot, StreamMessage, Taken


class StreamGapError(ValueError):
    """A numbered message came while one before it is missing."""


class ResumePoint(NamedTuple):
    """The incarnation and the first message number to ask for."""

    boot: str
    next_seq: int


class StreamOffset:
    """The offset in one machine's stream, over all breaks of the connection."""

    def __init__(self) -> None:
        self._resumable_boot = ""  # empty while the stream cannot be resumed
        self._current_boot = ""
        self._next_seq = 0

    @property
    def resume(self) -> ResumePoint | None:
        """Where to resume; None where the stream is to begin anew.

        Between a hello that does not resume and its snapshot nothing is known of an incarnation: a stream
        that breaks there must not be resumed behind what the snapshot would have reported.
        """
        if not self._resumable_boot:
            return None
        return ResumePoint(self._resumable_boot, self._next_seq)

    def accept(self, message: StreamMessage) -> bool:
        """Advance over a message and return whether it is new.

        Raises StreamGapError where one before it is missing.
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
            return False  # received before the break
        if seq > self._next_seq:
            raise StreamGapError(f"message {seq} came where {self._next_seq} was expected")
        self._next_seq = seq + 1
        return True
