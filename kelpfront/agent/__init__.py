"""The node agent: runs tasks as processes of its host and knows them after its own restart.

`recovery`, `usage` and `orphans` decide, without I/O. `supervisor` and `forkserver` are the small processes
that outlive the agent and import the standard library only. `state` is what survives a power cut; `folders`
is what the agent and its supervisors tell each other. `service` is the agent as it runs.
"""
