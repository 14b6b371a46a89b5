"""The log: structlog on standard error, as JSON lines or for people."""

from __future__ import annotations

import logging
import sys
from typing import Any, TextIO

import structlog

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


def configure_logs(level: str, form: str, stream: TextIO | None = None, **bound: Any) -> None:
    """Sets up structlog for this process; `bound` is on every line. `form` is auto, json or console."""
    out = stream or sys.stderr
    if form == "auto":
        form = "console" if out.isatty() else "json"
    shared: list[Any] = [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    if form == "json":
        shared += [structlog.processors.format_exc_info, structlog.processors.JSONRenderer()]
    else:
        shared.append(structlog.dev.ConsoleRenderer(colors=out.isatty()))
    structlog.configure(
        processors=shared,
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.WriteLoggerFactory(out),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(**bound)
