"""Converts jobs between the API's JSON data and the messages of resources.proto, which have the same fields.

A message from a client is converted to the JSON data that a REST client would send, and the API validates
that data. Both fronts therefore accept the same jobs.
"""

from __future__ import annotations

from kelpfront.api.meta import API_VERSION, Object
from kelpfront.rpc.enums import ANSWERS, PHASES, TASK_STATES
from kelpfront.rpc.metadata import metadata_message, metadata_object
from kelpfront.rpc.times import duration_message, duration_text, timestamp_message, timestamp_text
from kelpfront.v1 import resources_pb2 as pb

_REQUIRED_SPEC_FIELDS = ("class", "service", "cores", "memory")
# Pairs of a field's name in the message and its name in the API.
_OPTIONAL_SPEC_FIELDS = (
    ("count", "count"),
    ("key", "key"),
    ("client_token", "clientToken"),
    ("workdir", "workdir"),
)
_SPEC_DURATIONS = (("patience", "patience"), ("stop_grace", "stopGrace"))
_TASK_TIMES = (("answered_at", "answeredAt"), ("running_at", "runningAt"), ("ended_at", "endedAt"))


def spec_message(spec: Object) -> pb.JobSpec:
    """Return the message for a job's specification."""
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
    """Return the message for an attempt of a task."""
    return pb.Attempt(
        attempt=attempt["attempt"],
        machine=attempt["machine"],
        sent_at=timestamp_message(attempt["sentAt"]),
        ended_at=timestamp_message(attempt.get("endedAt")),
        end=attempt.get("end", ""),
        reason=attempt.get("reason", ""),
        message=attempt.get("message", ""),
    )


def task_message(task: Object) -> pb.Task:
    """Return the message for a task."""
    return pb.Task(
        index=task["index"],
        uid=task["uid"],
        state=TASK_STATES.numbers[task["state"]],
        answer=ANSWERS.numbers.get(task.get("answer", ""), 0),
        found=task.get("found", False),
        machine=task.get("machine", ""),
        reason=task.get("reason", ""),
        retry_after=duration_message(task.get("retryAfter")),
        exit_code=task.get("exitCode"),
        cpu_seconds=task.get("cpuSeconds"),
        attempts=[attempt_message(attempt) for attempt in task["attempts"]],
        created_at=timestamp_message(task["createdAt"]),
        answered_at=timestamp_message(task.get("answeredAt")),
        running_at=timestamp_message(task.get("runningAt")),
        ended_at=timestamp_message(task.get("endedAt")),
    )


def job_message(job: Object) -> pb.Job:
    """Return the message for a job that the store holds."""
    status = job["status"]
    return pb.Job(
        metadata=metadata_message(job["metadata"]),
        spec=spec_message(job["spec"]),
        status=pb.JobStatus(
            phase=PHASES.numbers[status["phase"]],
            observed_generation=status["observedGeneration"],
            answered=status["answered"],
            tasks=[task_message(task) for task in status["tasks"]],
        ),
    )


def spec_data(spec: pb.JobSpec) -> Object:
    """Return a job's specification as JSON data.

    Fields that are not set are left out, so that the API's validation reports them as missing.
    """
    data: Object = {}
    for name in _REQUIRED_SPEC_FIELDS:
        value = getattr(spec, name)
        if value:
            data[name] = value
    for field, name in _OPTIONAL_SPEC_FIELDS:
        if spec.HasField(field):
            data[name] = getattr(spec, field)
    for field, name in _SPEC_DURATIONS:
        if spec.HasField(field):
            data[name] = duration_text(getattr(spec, field))
    if spec.command:
        data["command"] = list(spec.command)
    if spec.env:
        data["env"] = dict(spec.env)
    return data


def job_data(metadata: pb.ObjectMeta, spec: pb.JobSpec) -> Object:
    """Return the JSON data that a REST client would POST for this job."""
    meta: Object = {}
    if metadata.name:
        meta["name"] = metadata.name
    if metadata.labels:
        meta["labels"] = dict(metadata.labels)
    if metadata.annotations:
        meta["annotations"] = dict(metadata.annotations)
    return {"metadata": meta, "spec": spec_data(spec)}


def job_object(job: pb.Job) -> Object:
    """Return a job as the REST API represents it."""
    status = job.status
    tasks = [_task_object(task) for task in status.tasks]
    return {
        "apiVersion": API_VERSION,
        "kind": "Job",
        "metadata": metadata_object(job.metadata),
        "spec": spec_data(job.spec),
        "status": {
            "phase": PHASES.find(status.phase) or "Placing",
            "observedGeneration": status.observed_generation,
            "answered": status.answered,
            "counts": _counts_by_state(tasks),
            "tasks": tasks,
        },
    }


def _counts_by_state(tasks: list[Object]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for task in tasks:
        state = task["state"].lower()
        counts[state] = counts.get(state, 0) + 1
    return counts


def _task_object(task: pb.Task) -> Object:
    data: Object = {
        "index": task.index,
        "uid": task.uid,
        "state": TASK_STATES.find(task.state) or "Pending",
        "attempts": [_attempt_object(attempt) for attempt in task.attempts],
        "createdAt": timestamp_text(task.created_at),
    }
    answer = ANSWERS.find(task.answer)
    if answer is not None:
        data["answer"] = answer
    if task.found:
        data["found"] = True
    for name, text in (("machine", task.machine), ("reason", task.reason)):
        if text:
            data[name] = text
    if task.HasField("retry_after"):
        data["retryAfter"] = duration_text(task.retry_after)
    if task.HasField("exit_code"):
        data["exitCode"] = task.exit_code
    if task.HasField("cpu_seconds"):
        data["cpuSeconds"] = task.cpu_seconds
    for field, name in _TASK_TIMES:
        if task.HasField(field):
            data[name] = timestamp_text(getattr(task, field))
    return data


def _attempt_object(attempt: pb.Attempt) -> Object:
    data: Object = {
        "attempt": attempt.attempt,
        "machine": attempt.machine,
        "sentAt": timestamp_text(attempt.sent_at),
    }
    if attempt.HasField("ended_at"):
        data["endedAt"] = timestamp_text(attempt.ended_at)
    for name in ("end", "reason", "message"):
        text = getattr(attempt, name)
        if text:
            data[name] = text
    return data
