"""Errors of the API as `Status` objects of the Kubernetes API conventions.

Each function builds one kind of error. Callers raise it, and the fronts send it as an HTTP or gRPC status.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from kelpfront.api.meta import GROUP, Object, Resource

REASON_OF_HTTP_STATUS = {
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
    """The error of one field; `reason` is one of the conventions' `FieldValue...` reasons."""

    field: str
    message: str
    reason: str = "FieldValueInvalid"

    def render(self) -> Object:
        """Return the cause as an entry of a `Status` object's details."""
        return {"reason": self.reason, "message": self.message, "field": self.field}


class ApiError(Exception):
    """An error that is sent to the client as a `Status` object.

    Attributes:
        code: The HTTP status.
        reason: The reason in the conventions; derived from the code by default.
        resource: The kind of the object that the error is about, if any.
        name: The name of that object.
        causes: The errors of individual fields.
        retry_after_s: Seconds after which the client may retry; 0 if not specified.
        continue_token: The token with which an expired list can be continued.
    """

    def __init__(  # noqa: PLR0913 - the fields of a Status, by keyword except the first two
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
        self.reason = reason or REASON_OF_HTTP_STATUS.get(code, "Unknown")
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


def success_status(resource: Resource, name: str, uid: str) -> Object:
    """Return the `Status` object of a successful delete."""
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
    """Return the error for a write that conflicts with the current state of the object."""
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
    """Return the error for a revision or list that is no longer available."""
    return ApiError(410, message, reason="Expired", continue_token=continue_token)
