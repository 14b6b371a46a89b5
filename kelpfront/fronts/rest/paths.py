"""Paths of the REST API's resources."""

from __future__ import annotations

from dataclasses import dataclass

from kelpfront.api.errors import ApiError
from kelpfront.api.meta import API_VERSION, GROUP, JOBS, RESOURCES, Resource

OUTPUT_SUBRESOURCE = "log"


@dataclass(frozen=True, slots=True)
class ResourcePath:
    """The resource, and the object if any, that a path refers to.

    Attributes:
        resource: the type of the objects.
        namespace: the namespace; None if the path has none.
        name: the name of the object; empty for the collection.
        subresource: the subresource of the object; empty for the object itself.
    """

    resource: Resource
    namespace: str | None
    name: str
    subresource: str = ""


def parse_path(path: str) -> ResourcePath:
    """Parse the path of a request.

    Raises:
        ApiError: 404 if the path refers to no resource.
    """
    resource_path = _parse_segments(path.strip("/").split("/"))
    if resource_path is None:
        raise ApiError(404, f"{path}: the server has no such resource")
    return resource_path


def _parse_segments(segments: list[str]) -> ResourcePath | None:
    is_in_group = segments[:2] == ["apis", GROUP] and len(segments) > 3
    if not is_in_group or f"{GROUP}/{segments[2]}" != API_VERSION:
        return None
    namespace: str | None = None
    rest = segments[3:]
    if rest[0] == "namespaces" and len(rest) >= 3:
        namespace = rest[1]
        rest = rest[2:]
    resource = RESOURCES.get(rest[0])
    if resource is None:
        return None
    if resource is JOBS and namespace is not None and rest[2:] == [OUTPUT_SUBRESOURCE]:
        return ResourcePath(resource, namespace, rest[1], OUTPUT_SUBRESOURCE)
    name = rest[1] if len(rest) == 2 else ""
    has_extra_segments = len(rest) > 2
    has_unexpected_namespace = namespace is not None and not resource.namespaced
    lacks_namespace = bool(name) and resource.namespaced and namespace is None
    if has_extra_segments or has_unexpected_namespace or lacks_namespace:
        return None
    return ResourcePath(resource, namespace, name)
