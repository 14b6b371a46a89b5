"""The errors of the write-ahead log.

All have one base, so that a caller that only wants to report a problem of the log catches one type. Errors of
the resource store are `kelpfront.api.errors.ApiError`, because its callers answer clients with them.
"""

from __future__ import annotations


class WriteAheadLogError(RuntimeError):
    """Base of all errors of the write-ahead log."""


class LogFormatError(WriteAheadLogError, ValueError):
    """A file is not a log file of this program, or was written by a newer version of it."""


class LogCorruptedError(WriteAheadLogError):
    """Records that were durable are missing or damaged; the message names the file and the byte."""


class LogLockedError(WriteAheadLogError):
    """Another process has the log's directory open."""


class LogFailedError(WriteAheadLogError):
    """A write or fsync failed, or the log is not open: it accepts nothing until it is opened again."""
