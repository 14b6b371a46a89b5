"""Errors of the API as `Status` objects, by the public conventions.

Each function here makes one kind of error. When to raise it is for the callers to decide; the fronts send it
as HTTP or gRPC status.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from kelpfront.api.meta import GROUP, Object, Resource

REASON_OF_CODE = {
    400: "BadRequest",
    404: "NotFound",
    405: "MethodNotAllowed",
    406: "NotAcceptable",
    408: "Timeout",
    409: "Conflict",
    410: "Expired",
    413: "RequestEntityTooLarge",
    415: "UnsupportedMediaType",
    422: "Invalid",
    429: "TooManyRequests",
    431: "RequestHeaderFieldsTooLarge",
    500: "InternalError",
    503: "ServiceUnavailable",
    504: "Timeout",
}


@dataclass(frozen=True, slots=True)
class Cause:
    """What is wrong with one field; `reason` is one of the conventions' `FieldValue...` reasons."""

    field: str
    message: str
    reason: str = "FieldValueInvalid"

    def render(self) -> Object:
        """Return the cause as the details of a `Status` object have it."""
        return {"reason": self.reason, "message": self.message, "field": self.field}


class ApiError(Exception):
    """An error that is sent to the client as a `Status` object.

    Attributes:
        code: The HTTP status.
        reason: The conventions' reason; that of the code if none is given.
        resource: The kind of object that the error is about, if any.
        name: The name of that object.
        causes: What is wrong with single fields.
        retry_after_s: After how many seconds the client may try again; 0 says nothing of it.
        continue_token: For a list that has expired: where it can go on.
    """

    def __init__(  # noqa: PLR0913 - the fields of a Status, all by keyword but the first two
        self,
        code: int,
        message: str,
        *,
        reason: str | None = None,
        resource: Resource | None = None,
        name: str = "",
        causes: tuple[Cause, ...] = (),
        retry_after_s: int = 0,
        continue_token: str = "",
    ) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.reason = reason or REASON_OF_CODE.get(code, "Unknown")
        self.resource = resource
        self.name = name
        self.causes = causes
        self.retry_after_s = retry_after_s
        self.continue_token = continue_token

    def render(self) -> Object:
        """Return the `Status` object."""
        details: dict[str, Any] = {}
        if self.name:
            details["name"] = self.name
        if self.resource is not None:
            details["group"] = GROUP
            details["kind"] = self.resource.plural
        if self.causes:
            details["causes"] = [cause.render() for cause in self.causes]
        if self.retry_after_s:
            details["retryAfterSeconds"] = self.retry_after_s
        metadata = {"continue": self.continue_token} if self.continue_token else {}
        status: Object = {
            "kind": "Status",
            "apiVersion": "v1",
            "metadata": metadata,
            "status": "Failure",
            "message": self.message,
            "reason": self.reason,
            "code": self.code,
        }
        if details:
            status["details"] = details
        return status


def success(resource: Resource, name: str, uid: str) -> Object:
    """Return the `Status` that answers a delete."""
    return {
        "kind": "Status",
        "apiVersion": "v1",
        "metadata": {},
        "status": "Success",
        "details": {"name": name, "group": GROUP, "kind": resource.plural, "uid": uid},
    }


def not_found(resource: Resource, name: str) -> ApiError:
    """Return the error for an object that does not exist."""
    return ApiError(404, f'{resource.plural}.{GROUP} "{name}" not found', resource=resource, name=name)


def already_exists(resource: Resource, name: str) -> ApiError:
    """Return the error for a creation under a name that is in use."""
    return ApiError(
        409,
        f'{resource.plural}.{GROUP} "{name}" already exists',
        reason="AlreadyExists",
        resource=resource,
        name=name,
    )


def conflict(resource: Resource, name: str, message: str) -> ApiError:
    """Return the error for a write that does not fit the present state of the object."""
    return ApiError(
        409,
        f'operation cannot be fulfilled on {resource.plural}.{GROUP} "{name}": {message}',
        resource=resource,
        name=name,
    )


def invalid(resource: Resource, name: str, causes: tuple[Cause, ...]) -> ApiError:
    """Return the error for an object whose fields are not valid."""
    text = "; ".join(f"{cause.field}: {cause.message}" for cause in causes)
    return ApiError(
        422,
        f'{resource.kind}.{GROUP} "{name}" is invalid: {text}',
        resource=resource,
        name=name,
        causes=causes,
    )


def expired(message: str, continue_token: str = "") -> ApiError:
    """Return the error for a revision or list that is no longer kept."""
    return ApiError(410, message, reason="Expired", continue_token=continue_token)
