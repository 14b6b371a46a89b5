"""The machine side of the scheduler: the protocol between placers and machines, and a machine's decisions.

`messages` and `stream_offset` are shared with the placer. `node` makes the decisions and does no I/O.
`server` serves it over HTTP and `grpc_server` over gRPC. A `TaskRuntime`, which the caller passes to the
server, runs the processes.
"""
