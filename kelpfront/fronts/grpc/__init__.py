"""The gRPC API: the services of api.proto, built on the same operations as the REST API."""

from kelpfront.fronts.grpc.server import GrpcFront, GrpcLimits

__all__ = ["GrpcFront", "GrpcLimits"]
