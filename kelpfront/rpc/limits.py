"""Limits that the client and the server of a stream both enforce."""

MAX_STREAM_JOBS = 1_000
"""Open jobs of one Bindings stream; bounds the state that the server keeps for one client."""
