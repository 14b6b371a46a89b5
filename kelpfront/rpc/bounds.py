"""Bounds that both ends of a stream hold to."""

STREAM_JOBS_MOST = 1_000
"""Jobs of one Bindings stream that are not told to their end."""
