"""Configures the log of a process: structlog on standard error, as JSON lines or in a readable form.

Each program calls `configure_logs` once when it starts.
"""

from __future__ import annotations

import logging
import sys
from typing import Any, TextIO

import structlog

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


def configure_logs(level: str, form: str, stream: TextIO | None = None, **bound: Any) -> None:
    """Configure structlog for this process.

    Arguments:
        level: one of `LEVELS`; lines below it are dropped.
        form: json, console, or auto: console on a terminal and json elsewhere.
        stream: where lines are written; None for standard error.
        bound: fields that are on every line.
    """
    output = stream or sys.stderr
    if form == "auto":
        form = "console" if output.isatty() else "json"
    processors: list[Any] = [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    if form == "json":
        processors += [structlog.processors.format_exc_info, structlog.processors.JSONRenderer()]
    else:
        processors.append(structlog.dev.ConsoleRenderer(colors=output.isatty()))
    structlog.configure(
        processors=processors,
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.WriteLoggerFactory(output),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(**bound)
