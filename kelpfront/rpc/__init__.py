"""What both ends of gRPC share: resources to messages and back, errors to status and back. No I/O.

The services are in `kelpfront.fronts.grpc`, the clients in `kelpfront.client`.
"""
