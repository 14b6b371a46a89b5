"""Submissions of the gRPC API, by unary calls and on Bindings streams, as jobs of the controller."""

from __future__ import annotations

from typing import NamedTuple

from kelpfront.api.meta import Object
from kelpfront.controller.operations import Operations, RequestOrigin
from kelpfront.rpc.jobs import job_data
from kelpfront.rpc.unknown_fields import refuse_unknown
from kelpfront.v1 import api_pb2 as pb


class SubmittedJob(NamedTuple):
    """A job that was accepted, or found by its client token where `created` is False."""

    job: Object
    created: bool


def submit_job(
    operations: Operations,
    namespace: str,
    request: pb.SubmitRequest | pb.BindingsRequest.Submit,
    origin: RequestOrigin,
) -> SubmittedJob:
    """Submit a job. Raises ApiError where it is not accepted."""
    operations.check_open(origin.received_at)
    refuse_unknown(request.spec, "spec", request.metadata.name)
    data = job_data(request.metadata, request.spec)
    written = operations.create_job(namespace, data, origin)
    return SubmittedJob(written.stored.body, written.created)
