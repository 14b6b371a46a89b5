"""The discovery documents of the API: its groups, resources and version.

The schemas of its objects are in `openapi`.
"""

from __future__ import annotations

from importlib.metadata import version

from kelpfront.api.meta import API_VERSION, GROUP, RESOURCES, VERSION, Object

_GROUP_VERSION = {"groupVersion": API_VERSION, "version": VERSION}


def package_version() -> str:
    """Return the version of the installed package."""
    return version("kelpfront")


def groups() -> Object:
    """Return the list of the API's groups."""
    return {"kind": "APIGroupList", "apiVersion": "v1", "groups": [_group()]}


def _group() -> Object:
    return {"name": GROUP, "versions": [_GROUP_VERSION], "preferredVersion": _GROUP_VERSION}


def group() -> Object:
    """Return the API's only group."""
    return {"kind": "APIGroup", "apiVersion": "v1", **_group()}


def core_versions() -> Object:
    """Return the versions of the core group: an empty list, because this API has no core group."""
    return {"kind": "APIVersions", "versions": [], "serverAddressByClientCIDRs": []}


def resources() -> Object:
    """Return the list of the group's resources."""
    return {
        "kind": "APIResourceList",
        "apiVersion": "v1",
        "groupVersion": API_VERSION,
        "resources": [
            {
                "name": resource.plural,
                "singularName": resource.singular,
                "namespaced": resource.namespaced,
                "kind": resource.kind,
                "verbs": list(resource.verbs),
            }
            for resource in RESOURCES.values()
        ]
        + [{"name": "jobs/log", "singularName": "", "namespaced": True, "kind": "Job", "verbs": ["get"]}],
    }


def version_info() -> Object:
    """Return the server's version."""
    major, minor, *_ = package_version().split(".")
    return {"major": major, "minor": minor, "gitVersion": f"v{package_version()}", "platform": "python"}
