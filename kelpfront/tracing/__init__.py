"""Traces by OpenTelemetry: one for each task, from its submission over each attempt to its end, in a file.

`spans` makes a trace from the controller's records, `finished_tasks` hands it over, `export` writes it.
"""
