"""The machine side: the protocol between placers and machines, and how a machine decides on what it is asked.

`messages` and `stream_offset` are shared with the placer. `node` decides without any I/O; `server` puts it on
HTTP and `grpc_server` on gRPC. Running processes is left to whoever gives the server its `TaskRuntime`.
"""
