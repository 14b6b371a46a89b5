"""Submits jobs of the gRPC API to the controller, for unary calls and Bindings streams."""

from __future__ import annotations

from typing import NamedTuple

from kelpfront.api.meta import Object
from kelpfront.controller.operations import Operations, RequestOrigin
from kelpfront.rpc.jobs import job_data
from kelpfront.rpc.unknown_fields import reject_unknown_fields
from kelpfront.v1 import api_pb2 as pb


class SubmittedJob(NamedTuple):
    """A job that was accepted, or, if `created` is False, an existing job with the same client token."""

    job: Object
    created: bool


def submit_job(
    operations: Operations,
    namespace: str,
    request: pb.SubmitRequest | pb.BindingsRequest.Submit,
    origin: RequestOrigin,
) -> SubmittedJob:
    """Submit a job, or find the existing one with its client token.

    Raises:
        ApiError: if the job is not accepted.
    """
    operations.check_overload(origin.received_at)
    reject_unknown_fields(request.spec, "spec", request.metadata.name)
    data = job_data(request.metadata, request.spec)
    written = operations.create_job(namespace, data, origin)
    return SubmittedJob(written.stored.body, written.created)
