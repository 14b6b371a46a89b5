"""Bounds that both ends of a stream keep to."""

MAX_STREAM_JOBS = 1_000
"""Jobs of one Bindings stream that have not ended; bounds what the server keeps for one client."""
