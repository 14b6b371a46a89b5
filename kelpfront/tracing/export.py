"""Writes spans through the OpenTelemetry SDK to a file of JSON lines.

The size of the file and the number of queued spans are bounded. `spans` builds the traces; this module does
not depend on their content. The SDK is specified at https://opentelemetry.io/docs/specs/otel/trace/sdk/
"""

from __future__ import annotations

import contextlib
import json
import random
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.id_generator import IdGenerator
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased

from kelpfront.tracing.spans import ParentSpan, Span

MAX_QUEUED_SPANS = 8_192
"""Number of spans that may be queued for writing. The SDK drops any more, so that a slow disk loses traces
instead of filling the memory."""
NS_PER_MS = 1_000_000
DEFAULT_MAX_BYTES = 64 << 20
"""Size limit of one file; the current file and its predecessor are kept."""


class FileExporter(SpanExporter):
    """Writes one line for each span. A full file is renamed to NAME.1 and replaces an earlier NAME.1."""

    def __init__(self, path: Path, max_bytes: int) -> None:
        """Open the file at `path` for appending; it is rotated before it exceeds `max_bytes`."""
        self._path = path
        self._max_bytes = max_bytes
        self._open()

    def _open(self) -> None:
        self._file = self._path.open("a", encoding="utf-8")
        self._size = self._file.tell()

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write spans. If the disk is full or the file is closed, return FAILURE; tasks are not affected."""
        try:
            if self._file.closed:  # an earlier rotation failed after closing the file
                self._open()
            for span in spans:
                line = json.dumps(_to_json(span), separators=(",", ":")) + "\n"
                if self._size and self._size + len(line) > self._max_bytes:
                    self._rotate()
                self._size += self._file.write(line)
            self._file.flush()
        except (OSError, ValueError):
            return SpanExportResult.FAILURE
        return SpanExportResult.SUCCESS

    def _rotate(self) -> None:
        self._file.close()
        self._path.replace(self._path.with_name(self._path.name + ".1"))
        self._open()

    def shutdown(self) -> None:
        """Close the file."""
        with contextlib.suppress(OSError):  # the disk may be too full for buffered data
            self._file.close()


def _to_json(span: ReadableSpan) -> dict[str, Any]:
    """Convert a span to a JSON object. Times are nanoseconds since the epoch; ids are hexadecimal text."""
    context = span.get_span_context()
    assert context is not None
    record: dict[str, Any] = {
        "trace": format(context.trace_id, "032x"),
        "span": format(context.span_id, "016x"),
        "name": span.name,
        "start": span.start_time,
        "end": span.end_time,
        "attributes": dict(span.attributes or {}),
    }
    if span.parent is not None:
        record["parent"] = format(span.parent.span_id, "016x")
    if span.events:
        record["events"] = [{"name": event.name, "at": event.timestamp} for event in span.events]
    if span.status.status_code is trace.StatusCode.ERROR:
        record["error"] = span.status.description or ""
    return record


class _SeededIds(IdGenerator):
    """Generates ids from a seed, so that runs in virtual time are reproducible."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(f"traces/{seed}")

    def generate_trace_id(self) -> int:
        return self._rng.getrandbits(128) or 1

    def generate_span_id(self) -> int:
        return self._rng.getrandbits(64) or 1


@dataclass(frozen=True, slots=True)
class TracerSettings:
    """Settings of a tracer.

    Attributes:
        share: the share of all traces that is written, between 0 and 1.
        max_bytes: the size limit of one file.
        seed: the seed of trace and span ids.
        synchronous: whether `Tracer.write` writes to the file itself instead of leaving it to a thread.
    """

    share: float = 1.0
    max_bytes: int = DEFAULT_MAX_BYTES
    seed: int = 0
    synchronous: bool = False


class Tracer:
    """Receives complete traces and writes a share of them."""

    def __init__(
        self,
        path: Path,
        controller_name: str,
        settings: TracerSettings | None = None,
    ) -> None:
        """Write the traces of a controller to the file at `path`."""
        settings = settings or TracerSettings()
        exporter = FileExporter(path, settings.max_bytes)
        self._provider = TracerProvider(
            sampler=ParentBased(TraceIdRatioBased(settings.share)),
            resource=Resource({"service.name": "kelpfront", "service.instance.id": controller_name}),
            id_generator=_SeededIds(settings.seed),
            shutdown_on_exit=False,
        )
        self._provider.add_span_processor(
            SimpleSpanProcessor(exporter)
            if settings.synchronous
            else BatchSpanProcessor(exporter, max_queue_size=MAX_QUEUED_SPANS)
        )
        self._tracer = self._provider.get_tracer("kelpfront")

    def write(self, root: Span, parent: ParentSpan | None = None) -> None:
        """Write a trace; `parent` is the client's span under which it is placed, if any."""
        if parent is not None:
            flags = trace.TraceFlags(trace.TraceFlags.SAMPLED)
            remote = trace.SpanContext(parent.trace_id, parent.span_id, is_remote=True, trace_flags=flags)
            context = trace.set_span_in_context(trace.NonRecordingSpan(remote))
        else:
            context = trace.set_span_in_context(trace.INVALID_SPAN)
        self._write(root, context)

    def _write(self, recorded: Span, context: Any) -> None:
        span = self._tracer.start_span(
            recorded.name,
            context,
            start_time=round(recorded.begin * NS_PER_MS),
            attributes=dict(recorded.attributes),
        )
        if not span.is_recording():
            return  # the sampler did not choose this trace
        for name, event_ms in recorded.events:
            span.add_event(name, timestamp=round(event_ms * NS_PER_MS))
        if recorded.error:
            span.set_status(trace.Status(trace.StatusCode.ERROR, recorded.error))
        span_context = trace.set_span_in_context(span)
        for child in recorded.children:
            self._write(child, span_context)
        span.end(round(recorded.end * NS_PER_MS))

    def close(self) -> None:
        """Write the queued spans and close the file."""
        self._provider.shutdown()
