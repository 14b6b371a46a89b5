"""Spans through the OpenTelemetry SDK to a file of JSON lines, bounded in size and in what waits.

https://opentelemetry.io/docs/specs/otel/trace/sdk/
"""

from __future__ import annotations

import contextlib
import json
import random
from collections.abc import Sequence
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

from kelpfront.tracing.spans import Span

QUEUE_MOST = 8_192  # spans that wait to be written; more are dropped, by the SDK
NS = 1_000_000


class FileExporter(SpanExporter):
    """Writes a line a span. At `most_bytes` the file is set aside as NAME.1, in place of an earlier one."""

    def __init__(self, path: Path, most_bytes: int) -> None:
        self._path, self._most = path, most_bytes
        self._open()

    def _open(self) -> None:
        self._file = self._path.open("a", encoding="utf-8")
        self._size = self._file.tell()

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        try:
            if self._file.closed:  # setting it aside failed half way
                self._open()
            for span in spans:
                line = json.dumps(_plain(span), separators=(",", ":")) + "\n"
                if self._size and self._size + len(line) > self._most:
                    self._set_aside()
                self._size += self._file.write(line)
            self._file.flush()
        except (
            OSError,
            ValueError,
        ):  # a full disk, or a file that was closed: tasks go on without their traces
            return SpanExportResult.FAILURE
        return SpanExportResult.SUCCESS

    def _set_aside(self) -> None:
        self._file.close()
        self._path.replace(self._path.with_name(self._path.name + ".1"))
        self._open()

    def shutdown(self) -> None:
        with contextlib.suppress(OSError):  # what a full disk did not take
            self._file.close()


def _plain(span: ReadableSpan) -> dict[str, Any]:
    """A span as one object; times in nanoseconds since the epoch, identities as hexadecimal text."""
    context = span.get_span_context()
    assert context is not None
    found: dict[str, Any] = {
        "trace": format(context.trace_id, "032x"),
        "span": format(context.span_id, "016x"),
        "name": span.name,
        "start": span.start_time,
        "end": span.end_time,
        "attributes": dict(span.attributes or {}),
    }
    if span.parent is not None:
        found["parent"] = format(span.parent.span_id, "016x")
    if span.events:
        found["events"] = [{"name": event.name, "at": event.timestamp} for event in span.events]
    if span.status.status_code is trace.StatusCode.ERROR:
        found["error"] = span.status.description or ""
    return found


class _Ids(IdGenerator):
    """Of one seed, so that runs in virtual time are the same twice."""

    def __init__(self, seed: int) -> None:
        self._chance = random.Random(f"traces/{seed}")

    def generate_trace_id(self) -> int:
        return self._chance.getrandbits(128) or 1

    def generate_span_id(self) -> int:
        return self._chance.getrandbits(64) or 1


class Tracer:
    """Takes whole traces. `at_once`: each is written before the next thing happens, without a thread."""

    def __init__(
        self,
        path: Path,
        placer: str,
        *,
        share: float = 1.0,
        most_bytes: int = 64 << 20,
        seed: int = 0,
        at_once: bool = False,
    ) -> None:
        exporter = FileExporter(path, most_bytes)
        self._provider = TracerProvider(
            sampler=ParentBased(TraceIdRatioBased(share)),
            resource=Resource({"service.name": "kelpfront", "service.instance.id": placer}),
            id_generator=_Ids(seed),
            shutdown_on_exit=False,
        )
        self._provider.add_span_processor(
            SimpleSpanProcessor(exporter)
            if at_once
            else BatchSpanProcessor(exporter, max_queue_size=QUEUE_MOST)
        )
        self._tracer = self._provider.get_tracer("kelpfront")

    def write(self, root: Span, parent: tuple[int, int] | None = None) -> None:
        """A trace; `parent` is the trace and span of the owner that it belongs to."""
        context = None
        if parent is not None:
            flags = trace.TraceFlags(trace.TraceFlags.SAMPLED)
            above = trace.SpanContext(parent[0], parent[1], is_remote=True, trace_flags=flags)
            context = trace.set_span_in_context(trace.NonRecordingSpan(above))
        else:
            context = trace.set_span_in_context(trace.INVALID_SPAN)
        self._write(root, context)

    def _write(self, its: Span, context: Any) -> None:
        span = self._tracer.start_span(
            its.name, context, start_time=round(its.begin * NS), attributes=dict(its.attributes)
        )
        if not span.is_recording():
            return  # not one of the share that is kept
        for name, at in its.events:
            span.add_event(name, timestamp=round(at * NS))
        if its.error:
            span.set_status(trace.Status(trace.StatusCode.ERROR, its.error))
        within = trace.set_span_in_context(span)
        for child in its.children:
            self._write(child, within)
        span.end(round(its.end * NS))

    def close(self) -> None:
        self._provider.shutdown()
