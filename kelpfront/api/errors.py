"""Errors of the API as `Status` objects, by the public conventions."""

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
    """What is wrong with one field; `reason` is one of the conventions' FieldValue... words."""

    field: str
    message: str
    reason: str = "FieldValueInvalid"

    def render(self) -> Object:
        return {"reason": self.reason, "message": self.message, "field": self.field}


class ApiError(Exception):
    """An error that the client is told as a `Status` object."""

    def __init__(
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
        self.resource, self.name = resource, name
        self.causes = causes
        self.retry_after_s = retry_after_s
        self.continue_token = continue_token

    def render(self) -> Object:
        """The `Status` object."""
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
    """The `Status` that answers a delete."""
    return {
        "kind": "Status",
        "apiVersion": "v1",
        "metadata": {},
        "status": "Success",
        "details": {"name": name, "group": GROUP, "kind": resource.plural, "uid": uid},
    }


def not_found(resource: Resource, name: str) -> ApiError:
    return ApiError(404, f'{resource.plural}.{GROUP} "{name}" not found', resource=resource, name=name)


def already_exists(resource: Resource, name: str) -> ApiError:
    return ApiError(
        409,
        f'{resource.plural}.{GROUP} "{name}" already exists',
        reason="AlreadyExists",
        resource=resource,
        name=name,
    )


def conflict(resource: Resource, name: str, message: str) -> ApiError:
    return ApiError(
        409,
        f'operation cannot be fulfilled on {resource.plural}.{GROUP} "{name}": {message}',
        resource=resource,
        name=name,
    )


def invalid(resource: Resource, name: str, causes: tuple[Cause, ...]) -> ApiError:
    text = "; ".join(f"{cause.field}: {cause.message}" for cause in causes)
    return ApiError(
        422,
        f'{resource.kind}.{GROUP} "{name}" is invalid: {text}',
        resource=resource,
        name=name,
        causes=causes,
    )


def expired(message: str, continue_token: str = "") -> ApiError:
    return ApiError(410, message, reason="Expired", continue_token=continue_token)
