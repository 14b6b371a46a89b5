"""OpenTelemetry traces, one for each task, that cover its submission, its attempts and its end.

`spans` builds a trace from the controller's records, `finished_tasks` passes each finished trace on, and
`export` writes traces to a file.
"""
