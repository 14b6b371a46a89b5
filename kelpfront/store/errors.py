"""The errors of the write-ahead log.

All share one base class, so that a caller that only reports problems of the log can catch one type. The
resource store raises `kelpfront.api.errors.ApiError` instead, because its callers return these to clients.
"""

from __future__ import annotations


class WriteAheadLogError(RuntimeError):
    """Base class of all errors of the write-ahead log."""


class LogFormatError(WriteAheadLogError, ValueError):
    """A file is not a log file of kelpfront, or was written by a newer version."""


class LogCorruptedError(WriteAheadLogError):
    """Records that were durable are missing or damaged; the message names the file and the byte."""


class LogLockedError(WriteAheadLogError):
    """Another process has the directory of the log open."""


class LogFailedError(WriteAheadLogError):
    """A write or fsync failed, or the log is not open. No operation is accepted until the log is reopened."""
