"""The messages of a placer's stream: `Hello`, a `Snapshot` if the stream cannot resume, then new messages.

`StreamReader` selects the messages to send next and does no I/O. The server waits for new messages and for
the end of the connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from kelpfront.http.peer import Peer
from kelpfront.machine.messages import Heartbeat, Sequenced, StreamMessage
from kelpfront.machine.node import Node


@dataclass(frozen=True, slots=True, eq=False)
class PlacerStream:
    """One stream of a placer. `wake` is set when a message may be ready, or the stream may have ended.

    `first_seq` is the number of the first message that the placer has not received; None requests all state.
    `stop_watching` removes the callback on changes of `peer`.
    """

    placer: str
    first_seq: int | None
    peer: Peer
    wake: asyncio.Event
    stop_watching: Callable[[], None]


@dataclass(frozen=True, slots=True)
class StreamHooks:
    """Callbacks of a stream: `heartbeat` creates one, `on_streamed` is called before a message is sent.

    `on_streamed` is called for heartbeats and numbered messages only.
    """

    heartbeat: Callable[[], Heartbeat]
    on_streamed: Callable[[str, Heartbeat | Sequenced], None]


class StreamReader:
    """Reads the messages to one placer, in batches. Times in seconds are those of the event loop's clock."""

    def __init__(
        self, node: Node, stream: PlacerStream, hooks: StreamHooks, now_ms: float, loop_s: float
    ) -> None:
        self._node = node
        self._placer = stream.placer
        self._hooks = hooks
        self.outbox = node.outbox(stream.placer)
        self.outbox.on_change = stream.wake.set
        hello = node.hello(now_ms, stream.placer, stream.first_seq)
        self._batch: list[StreamMessage] = [hello]
        if hello.resumed:
            self._next_seq = hello.next_seq
        else:
            self._add_snapshot()
        self._was_draining = node.draining
        self.heartbeat_at_s = loop_s

    @property
    def has_more(self) -> bool:
        """Whether the outbox has a numbered message that was not read yet."""
        return self._next_seq < self.outbox.next_seq

    def next_batch(self, loop_s: float) -> list[StreamMessage]:
        """Return the messages to send now, in order; the list may be empty."""
        if self.outbox.reaches(self._next_seq):
            self._add_numbered()
        else:  # the placer reads too slowly: the next messages are no longer retained
            self._add_snapshot()
        self._batch += self.outbox.pop_status_reports()
        state_changed = self._node.draining != self._was_draining
        if loop_s >= self.heartbeat_at_s or state_changed:
            self._add_heartbeat(loop_s)
        batch = self._batch
        self._batch = []
        return batch

    def _add_snapshot(self) -> None:
        snapshot = self._node.snapshot(self._placer)
        self._batch.append(snapshot)
        self._next_seq = snapshot.seq + 1

    def _add_numbered(self) -> None:
        messages = self.outbox.messages_from(self._next_seq)
        self._batch += messages
        for message in messages:
            self._hooks.on_streamed(self._placer, message)
        self._next_seq += len(messages)

    def _add_heartbeat(self, loop_s: float) -> None:
        self._was_draining = self._node.draining
        self.heartbeat_at_s = loop_s + self._node.settings.heartbeat_ms / 1000.0
        heartbeat = self._hooks.heartbeat()
        self._batch.append(heartbeat)
        self._hooks.on_streamed(self._placer, heartbeat)
