"""The REST and gRPC APIs of a placer, for clients and operators.

Both translate requests into calls of `kelpfront.controller.operations`, which implements them, and translate
the results back.
"""
