"""The node agent: runs tasks as processes of its host and re-adopts them after an agent restart.

`recovery`, `usage` and `orphans` are pure decision logic without I/O. `supervisor` and `forkserver` run as
small separate processes: a supervisor outlives the agent, the fork server ends with it. Both, and the modules
that they import, use the standard library only. `state` is the durable state that survives a power failure,
`task_folder` holds the records that the agent and its supervisors exchange, and `service` wires the agent
together.
"""
