"""Traces: one a task, from its submission over each attempt to its end, by OpenTelemetry, to a file."""
