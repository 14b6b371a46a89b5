"""Converts errors of the API to gRPC status with google.rpc details and back, one to one with the REST API.

Each error gets the closest gRPC status code. `ErrorInfo` contains the REST API's reason, which distinguishes
errors with the same code. A status without `ErrorInfo` is from the transport and not from the placer; the
caller must then decide whether the call may have arrived.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import grpc
from google.rpc import code_pb2, error_details_pb2, status_pb2

from kelpfront.api.errors import ApiError, Cause

DOMAIN = "kelpfront.dev"
DETAILS_KEY = "grpc-status-details-bin"

STATUS_CODE_OF_REASON = {
    "BadRequest": grpc.StatusCode.INVALID_ARGUMENT,
    "Invalid": grpc.StatusCode.INVALID_ARGUMENT,
    "NotFound": grpc.StatusCode.NOT_FOUND,
    "MethodNotAllowed": grpc.StatusCode.UNIMPLEMENTED,
    "NotAcceptable": grpc.StatusCode.INVALID_ARGUMENT,
    "UnsupportedMediaType": grpc.StatusCode.INVALID_ARGUMENT,
    "AlreadyExists": grpc.StatusCode.ALREADY_EXISTS,
    "Conflict": grpc.StatusCode.ABORTED,
    "Expired": grpc.StatusCode.OUT_OF_RANGE,
    "RequestEntityTooLarge": grpc.StatusCode.RESOURCE_EXHAUSTED,
    "RequestHeaderFieldsTooLarge": grpc.StatusCode.RESOURCE_EXHAUSTED,
    "TooManyRequests": grpc.StatusCode.RESOURCE_EXHAUSTED,
    "InternalError": grpc.StatusCode.INTERNAL,
    "ServiceUnavailable": grpc.StatusCode.UNAVAILABLE,
    "Timeout": grpc.StatusCode.DEADLINE_EXCEEDED,
}
HTTP_STATUS_OF_CODE = {
    grpc.StatusCode.INVALID_ARGUMENT: 400,
    grpc.StatusCode.NOT_FOUND: 404,
    grpc.StatusCode.UNIMPLEMENTED: 405,
    grpc.StatusCode.ALREADY_EXISTS: 409,
    grpc.StatusCode.ABORTED: 409,
    grpc.StatusCode.OUT_OF_RANGE: 410,
    grpc.StatusCode.RESOURCE_EXHAUSTED: 429,
    grpc.StatusCode.INTERNAL: 500,
    grpc.StatusCode.UNAVAILABLE: 503,
    grpc.StatusCode.DEADLINE_EXCEEDED: 504,
}


class _Details(NamedTuple):
    """The decoded details of a placer's status."""

    info: error_details_pb2.ErrorInfo
    causes: tuple[Cause, ...]
    retry_after_s: int


def status_code_of(error: ApiError) -> grpc.StatusCode:
    """Return the gRPC status code for an error."""
    return STATUS_CODE_OF_REASON.get(error.reason, grpc.StatusCode.UNKNOWN)


def status_message(error: ApiError) -> status_pb2.Status:
    """Return the complete status of an error, with its details."""
    code: int = status_code_of(error).value[0]
    status = status_pb2.Status(code=code, message=error.message)
    metadata = {"code": str(error.code)}
    if error.name:
        metadata["name"] = error.name
    if error.resource is not None:
        metadata["resource"] = error.resource.plural
    info = error_details_pb2.ErrorInfo(reason=error.reason, domain=DOMAIN, metadata=metadata)
    status.details.add().Pack(info)
    if error.causes:
        violations = [
            error_details_pb2.BadRequest.FieldViolation(
                field=cause.field, description=cause.message, reason=cause.reason
            )
            for cause in error.causes
        ]
        status.details.add().Pack(error_details_pb2.BadRequest(field_violations=violations))
    if error.retry_after_s:
        retry = error_details_pb2.RetryInfo()
        retry.retry_delay.FromSeconds(error.retry_after_s)
        status.details.add().Pack(retry)
    return status


def trailers(error: ApiError) -> tuple[tuple[str, bytes], ...]:
    """Return the trailing metadata of a call that ends with an error."""
    return ((DETAILS_KEY, status_message(error).SerializeToString()),)


def error_from_status(
    code: grpc.StatusCode, message: str, metadata: Iterable[tuple[str, str | bytes]] | None
) -> ApiError | None:
    """Return the placer's error that ended a call, or None if the status is from the transport."""
    raw = next((value for key, value in metadata or () if key == DETAILS_KEY), None)
    details = _read_details(raw) if isinstance(raw, bytes) else None
    if details is None:
        return None
    http_status = details.info.metadata.get("code", "")
    return ApiError(
        int(http_status) if http_status.isdigit() else HTTP_STATUS_OF_CODE.get(code, 500),
        message,
        reason=details.info.reason,
        name=details.info.metadata.get("name", ""),
        causes=details.causes,
        retry_after_s=details.retry_after_s,
    )


def _read_details(raw: bytes) -> _Details | None:
    """Return the details of a serialized status, or None if it is not from a placer."""
    status = status_pb2.Status()
    try:
        status.ParseFromString(raw)
    except Exception:  # DecodeError is not exported by all versions
        return None
    info = error_details_pb2.ErrorInfo()
    has_info = False
    causes: tuple[Cause, ...] = ()
    retry_after_s = 0
    for detail in status.details:
        bad_request, retry = error_details_pb2.BadRequest(), error_details_pb2.RetryInfo()
        if detail.Is(info.DESCRIPTOR):
            has_info = detail.Unpack(info)
        elif detail.Is(bad_request.DESCRIPTOR) and detail.Unpack(bad_request):
            causes = tuple(
                Cause(violation.field, violation.description, violation.reason)
                for violation in bad_request.field_violations
            )
        elif detail.Is(retry.DESCRIPTOR) and detail.Unpack(retry):
            retry_after_s = max(1, round(retry.retry_delay.ToTimedelta().total_seconds()))
    if not has_info or info.domain != DOMAIN:
        return None
    return _Details(info, causes, retry_after_s)


assert {code.value[0] for code in STATUS_CODE_OF_REASON.values()} <= set(code_pb2.Code.values())
