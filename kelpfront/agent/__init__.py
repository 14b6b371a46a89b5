"""The node agent: runs tasks as processes of its host and recognises them after its own restart.

`recovery`, `usage` and `orphans` decide without I/O. `supervisor` and `forkserver` are small processes that
outlive the agent; they and what they import use the standard library only. `state` is what survives a power
failure, `task_folder` is what the agent and its supervisors exchange, and `service` is the running agent.
"""
