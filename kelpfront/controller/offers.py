"""Converts a job as its client wrote it to the offers that machines receive, and offers back to the job.

An offer carries enough of the job for a restarted controller to restore it.
"""

from __future__ import annotations

from kelpfront.api.meta import Object
from kelpfront.controller.cluster import Cluster
from kelpfront.controller.tasks import Attempt, Job, Task
from kelpfront.machine.messages import Command, JobRef, Offer
from kelpfront.scheduling.settings import Idempotency
from kelpfront.units import format_duration, parse_duration

DEFAULT_STOP_GRACE = "10s"


def make_offer(cluster: Cluster, task: Task, attempt: Attempt) -> Offer:
    """Return the offer for one attempt."""
    job = task.job
    cls = cluster.settings.classes[job.class_index]
    spec = job.spec
    key = spec.get("key")
    has_key = cls.idempotency is Idempotency.IDEMPOTENCY_KEY
    return Offer(
        task=task.uid,
        attempt=attempt.number,
        job=JobRef(job.namespace, job.name, job.uid, task.index, spec["count"], job.token, job.labels),
        cls=cls.name,
        service=f"{job.namespace}/{spec['service']}",
        cores=spec["cores"],
        memory=spec["memory"],
        effect=cls.idempotency.value,
        not_after=attempt.timeout_at,
        priority=cls.priority,
        needs_kind=cluster.required_kind_name(cls),
        key="" if key is None else f"{job.namespace}/{key}/{task.index}",
        group=cls.idempotency_scope.value if has_key else "none",
        run=_command_of(spec),
    )


def _command_of(spec: Object) -> Command | None:
    if "command" not in spec:
        return None
    return Command(
        argv=tuple(spec["command"]),
        env=spec.get("env", {}),
        workdir=spec.get("workdir", ""),
        grace_ms=parse_duration(spec.get("stopGrace", DEFAULT_STOP_GRACE)),
    )


def restore_job(cluster: Cluster, class_index: int, offer: Offer, now: float) -> Job:
    """Restore the job of an offer; its annotations and creation time are not in the offer and are lost."""
    ref = offer.job
    timeout_ms = cluster.settings.classes[class_index].deadline_ms
    namespace, _, service = offer.service.partition("/")
    spec: Object = {
        "class": offer.cls,
        "service": service,
        "cores": offer.cores,
        "memory": offer.memory,
        "count": ref.count,
        "patience": format_duration(timeout_ms),
    }
    if offer.key:
        spec["key"] = offer.key.removeprefix(f"{namespace}/").rpartition("/")[0]
    if ref.token:
        spec["clientToken"] = ref.token
    if offer.run is not None:
        spec |= _spec_of(offer.run)
    labels = dict(ref.labels)
    return Job(ref.namespace, ref.name, ref.uid, spec, labels, {}, now, class_index, timeout_ms)


def _spec_of(command: Command) -> Object:
    spec: Object = {"command": list(command.argv)}
    if command.env:
        spec["env"] = command.env
    if command.workdir:
        spec["workdir"] = command.workdir
    grace = format_duration(command.grace_ms)
    if grace != DEFAULT_STOP_GRACE:
        spec["stopGrace"] = grace
    return spec
