"""Job requests and job events, as both client libraries build and interpret them. No I/O."""

from __future__ import annotations

from kelpfront.api.errors import ApiError
from kelpfront.api.jobs import Job
from kelpfront.api.meta import JOBS, Object
from kelpfront.client.informer import Event


def job_metadata(
    name: str | None, labels: dict[str, str] | None, annotations: dict[str, str] | None
) -> Object:
    """Return the metadata of a job to submit, without the fields that are not given."""
    metadata: Object = {"name": name} if name else {}
    if labels:
        metadata["labels"] = labels
    if annotations:
        metadata["annotations"] = annotations
    return metadata


def job_after_event(event: Event, name: str) -> Job:
    """Return the state of a job after an event. Raises ApiError 404 if the event is its deletion."""
    if event.kind == "DELETED":
        raise ApiError(404, f'job "{name}" was deleted', resource=JOBS, name=name)
    return Job.model_validate(event.object)


def all_answered(job: Job) -> bool:
    """Return whether each task of a job has an answer."""
    return job.status is not None and job.status.answered == len(job.status.tasks)
