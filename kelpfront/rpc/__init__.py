"""Conversions shared by gRPC clients and servers: resources and messages, errors and status. No I/O.

The services are in `kelpfront.fronts.grpc`, the clients in `kelpfront.client`.
"""
