"""Reads a file of traces, and draws the slowest and the failed ones as waterfalls."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

NS_MS = 1e6
BAR = 44  # characters


class SpanLine(msgspec.Struct, frozen=True):
    trace: str
    span: str
    name: str
    start: int
    end: int
    attributes: dict[str, Any] = {}
    parent: str = ""
    events: list[dict[str, Any]] = []
    error: str | None = None


@dataclass(slots=True)
class Trace:
    """One task. `parts` are in the order in which they began."""

    root: SpanLine
    parts: list[SpanLine] = field(default_factory=list)

    @property
    def answered_ms(self) -> float:
        """Time to the answer; to the end, where there is none."""
        at = next((event["at"] for event in self.root.events if event["name"] == "answered"), self.root.end)
        return float(at - self.root.start) / NS_MS

    @property
    def failed(self) -> bool:
        return self.root.error is not None


class TracesError(ValueError):
    """A file that holds no traces; the message names its line."""


def read_traces(paths: Iterable[Path]) -> list[Trace]:
    """All whole traces; a last line that was cut off is left out, any other that is wrong is an error."""
    decode = msgspec.json.Decoder(SpanLine).decode
    roots: dict[str, Trace] = {}
    parts: dict[str, list[SpanLine]] = {}
    for path in paths:
        raw = path.read_bytes()
        lines = raw.split(b"\n")
        for number, line in enumerate(lines, 1):
            if not line:
                continue
            try:
                span = decode(line)
            except msgspec.DecodeError as error:
                if number == len(lines):
                    break
                raise TracesError(f"{path}:{number}: is no span: {error}") from None
            if "kelpfront.task" in span.attributes:
                roots[span.span] = Trace(span)
            else:
                parts.setdefault(span.parent, []).append(span)
    for ident, found in roots.items():
        found.parts = sorted(parts.get(ident, ()), key=lambda one: (one.start, one.end))
    return list(roots.values())


def chosen(traces: Iterable[Trace], slowest: int, failed: int, task: str = "") -> list[Trace]:
    """Of one task, or the slowest of those that were placed and then the slowest of those that were not."""
    all_traces = list(traces)
    if task:
        return [one for one in all_traces if one.root.attributes["kelpfront.task"] == task]
    ranked = sorted(all_traces, key=lambda one: (-one.answered_ms, one.root.attributes["kelpfront.task"]))
    good = [one for one in ranked if not one.failed][:slowest]
    return good + [one for one in ranked if one.failed][:failed]


def waterfall(trace: Trace) -> Iterator[tuple[str, str, str]]:
    """Rows of what, when (milliseconds from the begin), and a bar to scale with what went wrong."""
    root = trace.root
    answered_ns = int(trace.answered_ms * NS_MS)
    # What the task did once it was placed may last for hours: drawn to scale is the way to its answer.
    scale = max(1, answered_ns)
    its = root.attributes
    outcome = its.get("kelpfront.answer", its.get("kelpfront.state", ""))
    title = f"{its['kelpfront.namespace']}/{its['kelpfront.job']} {its['kelpfront.class']}: {outcome}"
    yield title, f"0 to {trace.answered_ms:.1f}", root.error or ""
    for span in trace.parts:
        begin, end = span.start - root.start, span.end - root.start
        left = min(BAR, max(0, round(begin / scale * BAR)))
        right = min(BAR, max(left + 1, round(end / scale * BAR)))
        bar = "." * left + "#" * (right - left) if left < BAR else ""
        yield (
            f"  {span.name}",
            f"{begin / NS_MS:.1f} to {end / NS_MS:.1f}",
            f"{bar} {span.error or ''}".rstrip(),
        )
