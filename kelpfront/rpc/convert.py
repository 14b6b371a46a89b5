"""Resources between the API's JSON data and the messages of resources.proto. Both have the same fields.

What comes in goes on as the data that a REST client would have sent, and is checked as that is: the two
fronts cannot differ in what they take.
"""

from __future__ import annotations

from typing import Any

from google.protobuf.duration_pb2 import Duration
from google.protobuf.message import Message
from google.protobuf.timestamp_pb2 import Timestamp
from google.protobuf.unknown_fields import UnknownFieldSet

from kelpfront.api.errors import ApiError, Cause
from kelpfront.api.meta import API_VERSION, JOBS, Object
from kelpfront.units import format_duration, parse_duration
from kelpfront.v1 import resources_pb2 as pb

UNKNOWN_MOST = 20  # unknown fields that an error names


# ---- Words of the API and enums --------------------------------------------------------------------------


def _names(enum: Any, prefix: str) -> dict[str, Any]:
    """TASK_STATE_PENDING is Pending, as the API writes it."""
    return {
        name.removeprefix(prefix).title().replace("_", ""): number
        for name, number in enum.items()
        if number != 0
    }


STATES, ANSWERS = _names(pb.TaskState, "TASK_STATE_"), _names(pb.Answer, "ANSWER_")
PHASES, MACHINE_STATES = _names(pb.Phase, "PHASE_"), _names(pb.MachineState, "MACHINE_STATE_")
_WORDS = {
    "state": {number: word for word, number in STATES.items()},
    "answer": {number: word for word, number in ANSWERS.items()},
    "phase": {number: word for word, number in PHASES.items()},
    "machine": {number: word for word, number in MACHINE_STATES.items()},
}


def word(kind: str, number: int, least: str) -> str:
    """The API's word for an enum's number; `least` where it is none that this version knows."""
    return _WORDS[kind].get(number, least)


# ---- Times ------------------------------------------------------------------------------------------------


def _stamp(text: str | None) -> Timestamp | None:
    if not text:
        return None
    stamp = Timestamp()
    stamp.FromJsonString(text)
    return stamp


def duration_message(text: str | None) -> Duration | None:
    if not text:
        return None
    duration = Duration()
    duration.FromMicroseconds(round(parse_duration(text) * 1000.0))
    return duration


def ms_of(duration: Duration) -> float:
    return duration.seconds * 1000.0 + duration.nanos / 1e6


def _duration_text(duration: Duration) -> str:
    """The API's form; what is no duration there is left for its check to name."""
    ms = ms_of(duration)
    return format_duration(ms) if ms >= 0 else f"{ms:g}ms"


def _stamp_text(stamp: Timestamp) -> str:
    text: str = stamp.ToJsonString()
    if "." in text:  # six digits of the second, as the API writes times
        whole, _, rest = text.rstrip("Z").partition(".")
        return f"{whole}.{rest:0<6.6}Z"
    return text.rstrip("Z") + ".000000Z"


# ---- Jobs -------------------------------------------------------------------------------------------------


def meta_message(metadata: Object) -> pb.ObjectMeta:
    return pb.ObjectMeta(
        name=metadata.get("name", ""),
        namespace=metadata.get("namespace", ""),
        uid=metadata.get("uid", ""),
        resource_version=metadata.get("resourceVersion", ""),
        generation=metadata.get("generation", 0),
        creation_time=_stamp(metadata.get("creationTimestamp")),
        labels=metadata.get("labels") or {},
        annotations=metadata.get("annotations") or {},
    )


def spec_message(spec: Object) -> pb.JobSpec:
    return pb.JobSpec(
        **{"class": spec["class"]},
        service=spec["service"],
        cores=spec["cores"],
        memory=spec["memory"],
        count=spec.get("count"),
        patience=duration_message(spec.get("patience")),
        key=spec.get("key"),
        client_token=spec.get("clientToken"),
        command=spec.get("command") or (),
        env=spec.get("env") or {},
        workdir=spec.get("workdir"),
        stop_grace=duration_message(spec.get("stopGrace")),
    )


def attempt_message(attempt: Object) -> pb.Attempt:
    return pb.Attempt(
        attempt=attempt["attempt"],
        machine=attempt["machine"],
        sent_at=_stamp(attempt["sentAt"]),
        ended_at=_stamp(attempt.get("endedAt")),
        end=attempt.get("end", ""),
        reason=attempt.get("reason", ""),
        message=attempt.get("message", ""),
    )


def task_message(task: Object) -> pb.Task:
    return pb.Task(
        index=task["index"],
        uid=task["uid"],
        state=STATES[task["state"]],
        answer=ANSWERS.get(task.get("answer", ""), 0),
        found=task.get("found", False),
        machine=task.get("machine", ""),
        reason=task.get("reason", ""),
        retry_after=duration_message(task.get("retryAfter")),
        exit_code=task.get("exitCode"),
        cpu_seconds=task.get("cpuSeconds"),
        attempts=[attempt_message(attempt) for attempt in task["attempts"]],
        created_at=_stamp(task["createdAt"]),
        answered_at=_stamp(task.get("answeredAt")),
        running_at=_stamp(task.get("runningAt")),
        ended_at=_stamp(task.get("endedAt")),
    )


def job_message(job: Object) -> pb.Job:
    status = job["status"]
    return pb.Job(
        metadata=meta_message(job["metadata"]),
        spec=spec_message(job["spec"]),
        status=pb.JobStatus(
            phase=PHASES[status["phase"]],
            observed_generation=status["observedGeneration"],
            answered=status["answered"],
            tasks=[task_message(task) for task in status["tasks"]],
        ),
    )


def spec_data(spec: pb.JobSpec) -> Object:
    """The spec as JSON data; fields that are not set are left out, for the API's check to miss them."""
    data: Object = {}
    for name, value in (("class", getattr(spec, "class")), ("service", spec.service)):
        if value:
            data[name] = value
    for name, number in (("cores", spec.cores), ("memory", spec.memory)):
        if number:
            data[name] = number
    for field, name in (
        ("count", "count"),
        ("key", "key"),
        ("client_token", "clientToken"),
        ("workdir", "workdir"),
    ):
        if spec.HasField(field):
            data[name] = getattr(spec, field)
    if spec.HasField("patience"):
        data["patience"] = _duration_text(spec.patience)
    if spec.HasField("stop_grace"):
        data["stopGrace"] = _duration_text(spec.stop_grace)
    if spec.command:
        data["command"] = list(spec.command)
    if spec.env:
        data["env"] = dict(spec.env)
    return data


def job_data(metadata: pb.ObjectMeta, spec: pb.JobSpec) -> Object:
    """What a REST client would POST."""
    meta: Object = {}
    if metadata.name:
        meta["name"] = metadata.name
    if metadata.labels:
        meta["labels"] = dict(metadata.labels)
    if metadata.annotations:
        meta["annotations"] = dict(metadata.annotations)
    return {"metadata": meta, "spec": spec_data(spec)}


def job_object(job: pb.Job) -> Object:
    """A job as the REST API shows it."""
    status = job.status
    tasks = [_task_object(task) for task in status.tasks]
    counts: dict[str, int] = {}
    for task in tasks:
        state = task["state"].lower()
        counts[state] = counts.get(state, 0) + 1
    return {
        "apiVersion": API_VERSION,
        "kind": "Job",
        "metadata": _meta_object(job.metadata),
        "spec": spec_data(job.spec),
        "status": {
            "phase": word("phase", status.phase, "Placing"),
            "observedGeneration": status.observed_generation,
            "answered": status.answered,
            "counts": counts,
            "tasks": tasks,
        },
    }


def _meta_object(metadata: pb.ObjectMeta) -> Object:
    found: Object = {
        "name": metadata.name,
        "uid": metadata.uid,
        "resourceVersion": metadata.resource_version,
    }
    if metadata.namespace:
        found["namespace"] = metadata.namespace
    if metadata.generation:
        found["generation"] = metadata.generation
    if metadata.HasField("creation_time"):
        found["creationTimestamp"] = _stamp_text(metadata.creation_time)[:19] + "Z"
    if metadata.labels:
        found["labels"] = dict(metadata.labels)
    if metadata.annotations:
        found["annotations"] = dict(metadata.annotations)
    return found


def _task_object(task: pb.Task) -> Object:
    found: Object = {
        "index": task.index,
        "uid": task.uid,
        "state": word("state", task.state, "Pending"),
        "attempts": [_attempt_object(attempt) for attempt in task.attempts],
        "createdAt": _stamp_text(task.created_at),
    }
    if task.answer in _WORDS["answer"]:
        found["answer"] = _WORDS["answer"][task.answer]
    if task.found:
        found["found"] = True
    for name, text in (("machine", task.machine), ("reason", task.reason)):
        if text:
            found[name] = text
    if task.HasField("retry_after"):
        found["retryAfter"] = _duration_text(task.retry_after)
    if task.HasField("exit_code"):
        found["exitCode"] = task.exit_code
    if task.HasField("cpu_seconds"):
        found["cpuSeconds"] = task.cpu_seconds
    for field, name in (
        ("answered_at", "answeredAt"),
        ("running_at", "runningAt"),
        ("ended_at", "endedAt"),
    ):
        if task.HasField(field):
            found[name] = _stamp_text(getattr(task, field))
    return found


def _attempt_object(attempt: pb.Attempt) -> Object:
    found: Object = {
        "attempt": attempt.attempt,
        "machine": attempt.machine,
        "sentAt": _stamp_text(attempt.sent_at),
    }
    if attempt.HasField("ended_at"):
        found["endedAt"] = _stamp_text(attempt.ended_at)
    for name in ("end", "reason", "message"):
        if text := getattr(attempt, name):
            found[name] = text
    return found


# ---- Machines ---------------------------------------------------------------------------------------------


def machine_message(machine: Object) -> pb.Machine:
    spec, status = machine["spec"], machine["status"]
    free, unused = status.get("free") or {}, status.get("unused") or {}
    return pb.Machine(
        metadata=meta_message(machine["metadata"]),
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
            state=MACHINE_STATES[status["state"]],
            free_cores=free.get("cores"),
            free_memory=free.get("memory"),
            unused_cores=unused.get("cores"),
            unused_memory=unused.get("memory"),
            tasks=status.get("tasks", 0),
            waiting=status.get("waiting"),
            heartbeat_at=_stamp(status.get("heartbeatAt")),
            started_at=_stamp(status.get("startedAt")),
            boot_id=status.get("bootId") or "",
            message=status.get("message") or "",
        ),
    )


def machine_object(machine: pb.Machine) -> Object:
    spec, status = machine.spec, machine.status
    shown: Object = {
        "state": word("machine", status.state, "Unknown"),
        "tasks": status.tasks,
        "free": _amount(status, "free_cores", "free_memory"),
        "unused": _amount(status, "unused_cores", "unused_memory"),
    }
    if status.HasField("waiting"):
        shown["waiting"] = status.waiting
    for field, name in (("heartbeat_at", "heartbeatAt"), ("started_at", "startedAt")):
        if status.HasField(field):
            shown[name] = _stamp_text(getattr(status, field))
    for text, name in ((status.boot_id, "bootId"), (status.message, "message")):
        if text:
            shown[name] = text
    return {
        "apiVersion": API_VERSION,
        "kind": "Machine",
        "metadata": _meta_object(machine.metadata),
        "spec": {
            "kind": spec.kind,
            "rack": spec.rack,
            "room": spec.room,
            "cores": spec.cores,
            "memory": spec.memory,
            "address": spec.address,
            "unschedulable": spec.unschedulable,
        },
        "status": shown,
    }


def _amount(status: pb.MachineStatus, cores: str, memory: str) -> Object:
    found = {}
    for field, name in ((cores, "cores"), (memory, "memory")):
        if status.HasField(field):
            found[name] = getattr(status, field)
    return found


# ---- Fields of later versions -----------------------------------------------------------------------------


def refuse_unknown(message: Message, place: str, name: str = "") -> None:
    """422 where a message has fields that this version does not know, as the REST API has it (Strict)."""
    unknown: Any = UnknownFieldSet(message)
    causes = tuple(
        Cause(f"{place}.{number}", "field number unknown to this version", "FieldValueForbidden")
        for number in sorted({field.field_number for field in unknown})
    )
    if causes:
        text = "; ".join(f"{cause.field}: {cause.message}" for cause in causes[:UNKNOWN_MOST])
        raise ApiError(422, f"{place}: {text}", resource=JOBS, name=name, causes=causes[:UNKNOWN_MOST])
