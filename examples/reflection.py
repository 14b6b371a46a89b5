"""Submits a job without generated code: the message types come from gRPC server reflection.

Run with the placer's address: python examples/reflection.py 127.0.0.1:8141
"""

import sys

import grpc
from google.protobuf import descriptor_pool, json_format, message_factory
from grpc_reflection.v1alpha.proto_reflection_descriptor_database import ProtoReflectionDescriptorDatabase


def main(target: str) -> None:
    """Print the name of the job, and whether this call created it."""
    with grpc.insecure_channel(target) as channel:
        pool = descriptor_pool.DescriptorPool(ProtoReflectionDescriptorDatabase(channel))
        method = pool.FindServiceByName("kelpfront.v1.Jobs").FindMethodByName("Submit")
        request_class = message_factory.GetMessageClass(method.input_type)
        response_class = message_factory.GetMessageClass(method.output_type)
        job = {"namespace": "climate", "spec": {"class": "web", "service": "front", "cores": 1, "memory": 2}}
        call = channel.unary_unary(
            "/kelpfront.v1.Jobs/Submit",
            request_serializer=lambda message: message.SerializeToString(),
            response_deserializer=response_class.FromString,
        )
        request = json_format.ParseDict(job, request_class())
        response = call(request, timeout=10)
        print(response.job.metadata.name, response.created)


if __name__ == "__main__":
    main(sys.argv[1])
