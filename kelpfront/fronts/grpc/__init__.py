"""The gRPC API: the services of api.proto around the same operations as the REST API's."""

from kelpfront.fronts.grpc.server import GrpcFront, GrpcLimits

__all__ = ["GrpcFront", "GrpcLimits"]
