"""The gRPC front: the services of api.proto around the same operations as the REST front's."""

from kelpfront.fronts.grpc.server import GrpcFront, GrpcLimits

__all__ = ["GrpcFront", "GrpcLimits"]
