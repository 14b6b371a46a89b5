"""The protocols in which clients and operators speak to a placer, REST and gRPC.

Both translate requests to `kelpfront.controller.operations`, where their meaning lies, and its results back.
"""
