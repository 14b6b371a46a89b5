"""Converts the metadata of resources between the API's JSON data and messages."""

from __future__ import annotations

from kelpfront.api.meta import Object
from kelpfront.rpc.times import timestamp_message, timestamp_text
from kelpfront.v1 import resources_pb2 as pb

_WHOLE_SECONDS_LENGTH = 19  # of a timestamp's text; creation times have no fraction of a second


def metadata_message(metadata: Object) -> pb.ObjectMeta:
    """Return the message for an object's metadata."""
    return pb.ObjectMeta(
        name=metadata.get("name", ""),
        namespace=metadata.get("namespace", ""),
        uid=metadata.get("uid", ""),
        resource_version=metadata.get("resourceVersion", ""),
        generation=metadata.get("generation", 0),
        creation_time=timestamp_message(metadata.get("creationTimestamp")),
        labels=metadata.get("labels") or {},
        annotations=metadata.get("annotations") or {},
    )


def metadata_object(metadata: pb.ObjectMeta) -> Object:
    """Return metadata as the REST API represents it; unset fields are omitted."""
    data: Object = {
        "name": metadata.name,
        "uid": metadata.uid,
        "resourceVersion": metadata.resource_version,
    }
    if metadata.namespace:
        data["namespace"] = metadata.namespace
    if metadata.generation:
        data["generation"] = metadata.generation
    if metadata.HasField("creation_time"):
        data["creationTimestamp"] = timestamp_text(metadata.creation_time)[:_WHOLE_SECONDS_LENGTH] + "Z"
    if metadata.labels:
        data["labels"] = dict(metadata.labels)
    if metadata.annotations:
        data["annotations"] = dict(metadata.annotations)
    return data
