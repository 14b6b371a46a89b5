"""Converts machines between the API's JSON data and the messages of resources.proto with the same fields."""

from __future__ import annotations

from kelpfront.api.meta import API_VERSION, Object
from kelpfront.rpc.enums import MACHINE_STATES
from kelpfront.rpc.metadata import metadata_message, metadata_object
from kelpfront.rpc.times import timestamp_message, timestamp_text
from kelpfront.v1 import resources_pb2 as pb


def machine_message(machine: Object) -> pb.Machine:
    """Return the message for a machine that the store holds."""
    spec, status = machine["spec"], machine["status"]
    free, unused = status.get("free") or {}, status.get("unused") or {}
    return pb.Machine(
        metadata=metadata_message(machine["metadata"]),
        spec=pb.MachineSpec(
            kind=spec["kind"],
            rack=spec["rack"],
            room=spec["room"],
            cores=spec["cores"],
            memory=spec["memory"],
            address=spec["address"],
            unschedulable=spec["unschedulable"],
        ),
        status=pb.MachineStatus(
            state=MACHINE_STATES.numbers[status["state"]],
            free_cores=free.get("cores"),
            free_memory=free.get("memory"),
            unused_cores=unused.get("cores"),
            unused_memory=unused.get("memory"),
            tasks=status.get("tasks", 0),
            waiting=status.get("waiting"),
            heartbeat_at=timestamp_message(status.get("heartbeatAt")),
            started_at=timestamp_message(status.get("startedAt")),
            boot_id=status.get("bootId") or "",
            message=status.get("message") or "",
        ),
    )


def machine_object(machine: pb.Machine) -> Object:
    """Return a machine as the REST API represents it."""
    spec, status = machine.spec, machine.status
    status_data: Object = {
        "state": MACHINE_STATES.find(status.state) or "Unknown",
        "tasks": status.tasks,
        "free": _amount(status, "free_cores", "free_memory"),
        "unused": _amount(status, "unused_cores", "unused_memory"),
    }
    if status.HasField("waiting"):
        status_data["waiting"] = status.waiting
    for field, name in (("heartbeat_at", "heartbeatAt"), ("started_at", "startedAt")):
        if status.HasField(field):
            status_data[name] = timestamp_text(getattr(status, field))
    for text, name in ((status.boot_id, "bootId"), (status.message, "message")):
        if text:
            status_data[name] = text
    return {
        "apiVersion": API_VERSION,
        "kind": "Machine",
        "metadata": metadata_object(machine.metadata),
        "spec": {
            "kind": spec.kind,
            "rack": spec.rack,
            "room": spec.room,
            "cores": spec.cores,
            "memory": spec.memory,
            "address": spec.address,
            "unschedulable": spec.unschedulable,
        },
        "status": status_data,
    }


def _amount(status: pb.MachineStatus, cores: str, memory: str) -> Object:
    amount: Object = {}
    for field, name in ((cores, "cores"), (memory, "memory")):
        if status.HasField(field):
            amount[name] = getattr(status, field)
    return amount
