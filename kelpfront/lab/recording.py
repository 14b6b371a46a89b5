"""Recordings of what went over the sockets, on the machines' and the clients' side: JSON lines.

Every line has `t` (milliseconds, one clock for all processes of a host), `by` (who wrote it) and `ev` (what
happened). Recorders know nothing of a placer's inside; `checker` judges from these lines alone.

Events of machines: `boot`, `down`, `fell`, `told`, `offer`, `answer`, `left`, `start`, `end`, `gone-told`.
Seen of a placer from outside, in virtual time: `sent-out` (an offer), `left`.
Events of clients: `submit`, `taken`, `rejected`, `answer-seen`, `withdrawn`, `drain-asked`.
Events of the day's director: `placer-up`, `placer-killed`, `placer-stalled`, `cut`, `healed`,
`agent-killed`, `fault`, `day-over`.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any, TextIO

import msgspec

Line = dict[str, Any]


def host_clock() -> float:
    """Milliseconds on a clock that all processes of one host share and that never steps."""
    return time.monotonic() * 1000.0


class Recorder:
    """Writes lines to a file, or keeps them in memory where there is none.

    `at_once`: each line is out before the next thing happens, for a process that is to be killed.
    """

    def __init__(
        self,
        by: str,
        path: Path | None = None,
        clock: Callable[[], float] = host_clock,
        *,
        at_once: bool = False,
    ) -> None:
        self.by, self.lines, self._clock = by, list[Line](), clock
        self._at_once = at_once
        self._file: TextIO | None = None if path is None else path.open("w", encoding="utf-8")

    def write(self, ev: str, **fields: Any) -> None:
        line = {"t": round(self._clock(), 3), "by": self.by, "ev": ev, **fields}
        if self._file is None:
            self.lines.append(line)
        else:
            self._file.write(msgspec.json.encode(line).decode() + "\n")
            if self._at_once:
                self._file.flush()

    def flush(self) -> None:
        if self._file is not None:
            self._file.flush()

    def close(self) -> None:
        if self._file is not None:
            self._file.close()


def read_recordings(paths: Iterable[Path]) -> list[Line]:
    """All lines of several recordings, in the order of their times; without a last line that was cut off."""
    lines = [line for path in paths for line in _read(path)]
    lines.sort(key=lambda line: line["t"])
    return lines


def _read(path: Path) -> Iterator[Line]:
    decode = msgspec.json.Decoder(Line).decode
    text = path.read_bytes()
    whole, _, _ = text.rpartition(b"\n")
    for raw in whole.split(b"\n"):
        if raw:
            yield decode(raw)
