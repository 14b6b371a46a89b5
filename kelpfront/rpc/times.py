"""Converts times and durations between the API's text and protobuf's well-known types."""

from __future__ import annotations

from google.protobuf.duration_pb2 import Duration
from google.protobuf.timestamp_pb2 import Timestamp

from kelpfront.units import format_duration, parse_duration


def timestamp_message(text: str | None) -> Timestamp | None:
    """Return the message for a time in the API's format, or None if there is no text."""
    if not text:
        return None
    timestamp = Timestamp()
    timestamp.FromJsonString(text)
    return timestamp


def timestamp_text(timestamp: Timestamp) -> str:
    """Return a time in the API's format, with six digits after the decimal point."""
    text: str = timestamp.ToJsonString()
    if "." not in text:
        return text.rstrip("Z") + ".000000Z"
    seconds, _, fraction = text.rstrip("Z").partition(".")
    return f"{seconds}.{fraction:0<6.6}Z"


def duration_message(text: str | None) -> Duration | None:
    """Return the message for a duration in the API's format, or None if there is no text."""
    if not text:
        return None
    duration = Duration()
    duration.FromMicroseconds(round(parse_duration(text) * 1000.0))
    return duration


def duration_text(duration: Duration) -> str:
    """Return a duration in the API's format. The API's validation rejects a negative one."""
    duration_ms = duration.seconds * 1000.0 + duration.nanos / 1e6
    return format_duration(duration_ms) if duration_ms >= 0 else f"{duration_ms:g}ms"
