"""Any gRPC client, by the server's reflection alone: python examples/reflection.py 127.0.0.1:8141"""

import sys

import grpc
from google.protobuf import descriptor_pool, json_format, message_factory
from grpc_reflection.v1alpha.proto_reflection_descriptor_database import ProtoReflectionDescriptorDatabase


def main(target: str) -> None:
    with grpc.insecure_channel(target) as channel:
        pool = descriptor_pool.DescriptorPool(ProtoReflectionDescriptorDatabase(channel))
        method = pool.FindServiceByName("kelpfront.v1.Jobs").FindMethodByName("Submit")
        asks = message_factory.GetMessageClass(method.input_type)
        answers = message_factory.GetMessageClass(method.output_type)
        job = {"namespace": "climate", "spec": {"class": "web", "service": "front", "cores": 1, "memory": 2}}
        call = channel.unary_unary(
            "/kelpfront.v1.Jobs/Submit",
            request_serializer=lambda message: message.SerializeToString(),
            response_deserializer=answers.FromString,
        )
        answer = call(json_format.ParseDict(job, asks()), timeout=10)
        print(answer.job.metadata.name, answer.created)


if __name__ == "__main__":
    main(sys.argv[1])
