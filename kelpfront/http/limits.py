"""The resource limits of an HTTP server.

The programs' configuration sets the values; `exchange` and `server` apply them.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of one server on connections, request sizes and times."""

    connections: int = 10_000
    head_bytes: int = 32_768
    headers: int = 100
    body_bytes: int = 1 << 20
    head_timeout_s: float = 10.0  # for the complete head, from its first byte
    body_timeout_s: float = 10.0
    idle_timeout_s: float = 90.0  # between requests of a connection
    write_timeout_s: float = 20.0  # for a client that does not read its response
    write_buffer: int = 256 * 1024  # bytes of a response that may be buffered for one client
