"""Conversion between the messages of the machine protocol and those of node.proto; both carry the same data.

Field names and values are those of node.proto. A value that this version does not know raises
UnknownValueError if there is no safe default. Callers ignore messages of unknown kinds.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from kelpfront.machine import messages
from kelpfront.v1 import node_pb2 as pb

EFFECTS: dict[str, Any] = {"safe": 1, "keyed": 2, "unsafe": 3}
GROUPS: dict[str, Any] = {"none": 1, "machine": 2, "cell": 3, "zone": 4, "all": 5}
ANSWERS: dict[str, Any] = {"running": 1, "accepted": 2, "refused": 3, "error": 4}
_EFFECT_BY_NUMBER = {number: name for name, number in EFFECTS.items()}
_GROUP_BY_NUMBER = {number: name for name, number in GROUPS.items()}
_ANSWER_BY_NUMBER = {number: name for name, number in ANSWERS.items()}
PHASES = ("waiting", "starting", "running", "ended")
CAUSES = ("ended", "stopped", "failed", "evicted", "pushed-out", "sent-away", "lost")
TOPICS = ("cores", "memory", "service", "pressure")
STATES = ("ready", "draining")


class UnknownValueError(ValueError):
    """A message has a value that this version does not know and that cannot be ignored."""


def _one_of(values: tuple[str, ...], value: str, field: str) -> Any:
    if value not in values:
        raise UnknownValueError(f"{field}: {value!r} is not one of {', '.join(values)}")
    return value


def _by_number(names: dict[Any, str], number: int, field: str) -> Any:
    if number not in names:
        raise UnknownValueError(f"{field}: {number} is none that this version knows")
    return names[number]


# ---- Offers and answers -----------------------------------------------------------------------------------


def offer_message(offer: messages.Offer) -> pb.OfferTask:
    """Convert an offer."""
    return pb.OfferTask(
        **{"class": offer.cls},
        task=offer.task,
        attempt=offer.attempt,
        job=_job_message(offer.job),
        service=offer.service,
        cores=offer.cores,
        memory=offer.memory,
        effect=EFFECTS[offer.effect],
        not_after=offer.not_after,
        priority=offer.priority,
        needs_kind=offer.needs_kind,
        key=offer.key,
        group=GROUPS[offer.group],
        run=None if offer.run is None else _command_message(offer.run),
    )


def _job_message(job: messages.JobRef) -> pb.JobRef:
    return pb.JobRef(
        namespace=job.namespace,
        name=job.name,
        uid=job.uid,
        index=job.index,
        count=job.count,
        token=job.token,
        labels=job.labels,
    )


def _command_message(command: messages.Command) -> pb.Command:
    return pb.Command(argv=command.argv, env=command.env, workdir=command.workdir, grace_ms=command.grace_ms)


def read_offer(offer: pb.OfferTask) -> messages.Offer:
    """Read an offer.

    Raises UnknownValueError if its effect or group is unknown: neither has a safe default.
    """
    return messages.Offer(
        task=offer.task,
        attempt=offer.attempt,
        job=_read_job(offer.job),
        cls=getattr(offer, "class"),
        service=offer.service,
        cores=offer.cores,
        memory=offer.memory,
        effect=_by_number(_EFFECT_BY_NUMBER, offer.effect, "effect"),
        not_after=offer.not_after,
        priority=offer.priority,
        needs_kind=offer.needs_kind,
        key=offer.key,
        group=_by_number(_GROUP_BY_NUMBER, offer.group, "group"),
        run=_read_command(offer.run) if offer.HasField("run") else None,
    )


def _read_job(job: pb.JobRef) -> messages.JobRef:
    return messages.JobRef(
        job.namespace, job.name, job.uid, job.index, job.count or 1, job.token, dict(job.labels)
    )


def _read_command(command: pb.Command) -> messages.Command:
    return messages.Command(tuple(command.argv), dict(command.env), command.workdir, command.grace_ms)


def load_message(load: messages.LoadReport) -> pb.Load:
    """Convert a machine's load."""
    return pb.Load(
        free_cores=load.free_cores,
        free_memory=load.free_memory,
        unused_cores=load.unused_cores,
        unused_memory=load.unused_memory,
        waiting=load.waiting,
        busy=load.busy,
    )


def read_load(load: pb.Load) -> messages.LoadReport:
    """Read a machine's load."""
    return messages.LoadReport(
        load.free_cores, load.free_memory, load.unused_cores, load.unused_memory, load.waiting, load.busy
    )


def answer_message(task: str, attempt: int, answer: messages.Answer) -> pb.NodeMessage:
    """Convert the answer to an offer."""
    offer_answer = pb.OfferAnswer(
        task=task,
        attempt=attempt,
        answer=ANSWERS[answer.answer],
        reason=answer.reason,
        message=answer.message,
        load=None if answer.load is None else load_message(answer.load),
    )
    return pb.NodeMessage(answer=offer_answer)


def read_answer(answer: pb.OfferAnswer) -> messages.Answer:
    """Read the answer to an offer.

    An answer of an unknown kind does not prove whether the task ran, so it is read as an error.
    """
    kind: Any = _ANSWER_BY_NUMBER.get(answer.answer, "error")
    load = read_load(answer.load) if answer.HasField("load") else None
    return messages.Answer(kind, answer.reason, answer.message, load)


# ---- The machine's own messages ---------------------------------------------------------------------------


def report_message(report: messages.TaskReport) -> pb.TaskReport:
    """Convert a task's report in a snapshot."""
    return pb.TaskReport(
        offer=offer_message(report.offer),
        incarnation=report.incarnation,
        phase=report.phase,
        cause=report.cause or "",
        exit_code=report.exit_code,
        ran=report.ran,
        cpu_s=report.cpu_s,
        message=report.message,
    )


def read_report(report: pb.TaskReport) -> messages.TaskReport:
    """Read a task's report in a snapshot; raises UnknownValueError for an unknown phase or cause."""
    return messages.TaskReport(
        read_offer(report.offer),
        report.incarnation,
        _one_of(PHASES, report.phase, "phase"),
        _one_of(CAUSES, report.cause, "cause") if report.cause else None,
        report.exit_code if report.HasField("exit_code") else None,
        report.ran,
        report.cpu_s if report.HasField("cpu_s") else None,
        report.message,
    )


def stream_message(message: messages.StreamMessage) -> pb.NodeMessage:
    """Convert a stream message."""
    match message:
        case messages.Hello():
            return pb.NodeMessage(hello=_hello_message(message))
        case messages.Snapshot(seq, tasks):
            reports = [report_message(report) for report in tasks]
            return pb.NodeMessage(snapshot=pb.Snapshot(seq=seq, tasks=reports))
        case messages.Heartbeat(state, load):
            return pb.NodeMessage(heartbeat=pb.Heartbeat(state=state, load=load_message(load)))
        case messages.Taken(seq, task, attempt, running):
            return pb.NodeMessage(taken=pb.Taken(seq=seq, task=task, attempt=attempt, running=running))
        case messages.Gone():
            return pb.NodeMessage(gone=_gone_message(message))
        case messages.Note(task, attempt, topic, value):
            return pb.NodeMessage(note=pb.Note(task=task, attempt=attempt, topic=topic, value=value))


def _hello_message(hello: messages.Hello) -> pb.Hello:
    return pb.Hello(
        boot=hello.boot,
        age_ms=hello.age_ms,
        kind=hello.kind,
        heartbeat_ms=hello.heartbeat_ms,
        resumed=hello.resumed,
        next_seq=hello.next_seq,
    )


def _gone_message(gone: messages.Gone) -> pb.Gone:
    return pb.Gone(
        seq=gone.seq,
        task=gone.task,
        attempt=gone.attempt,
        cause=gone.cause,
        ran=gone.ran,
        exit_code=gone.exit_code,
        message=gone.message,
        cpu_s=gone.cpu_s,
    )


def read_stream_message(message: pb.NodeMessage) -> messages.StreamMessage | None:
    """Read a stream message.

    Returns None for answers, which are not stream messages, and for message kinds and topics of later
    versions. Raises UnknownValueError for a value that has no safe default.
    """
    kind = message.WhichOneof("message")
    read = _STREAM_READERS.get(kind) if kind is not None else None
    return None if read is None else read(message)


def _read_hello(message: pb.NodeMessage) -> messages.Hello:
    hello = message.hello
    return messages.Hello(
        hello.boot, hello.age_ms, hello.kind, hello.heartbeat_ms, hello.resumed, hello.next_seq
    )


def _read_snapshot(message: pb.NodeMessage) -> messages.Snapshot:
    reports = tuple(read_report(report) for report in message.snapshot.tasks)
    return messages.Snapshot(message.snapshot.seq, reports)


def _read_heartbeat(message: pb.NodeMessage) -> messages.Heartbeat:
    heartbeat = message.heartbeat
    return messages.Heartbeat(_one_of(STATES, heartbeat.state, "state"), read_load(heartbeat.load))


def _read_taken(message: pb.NodeMessage) -> messages.Taken:
    taken = message.taken
    return messages.Taken(taken.seq, taken.task, taken.attempt, taken.running)


def _read_gone(message: pb.NodeMessage) -> messages.Gone:
    gone = message.gone
    return messages.Gone(
        gone.seq,
        gone.task,
        gone.attempt,
        _one_of(CAUSES, gone.cause, "cause"),
        gone.ran,
        gone.exit_code if gone.HasField("exit_code") else None,
        gone.message,
        gone.cpu_s if gone.HasField("cpu_s") else None,
    )


def _read_note(message: pb.NodeMessage) -> messages.Note | None:
    note = message.note
    if note.topic not in TOPICS:
        return None  # a topic of a later version; status reports are not essential, so it is ignored
    topic: Any = note.topic
    return messages.Note(note.task, note.attempt, topic, note.value)


_STREAM_READERS: dict[str, Callable[[pb.NodeMessage], messages.StreamMessage | None]] = {
    "hello": _read_hello,
    "snapshot": _read_snapshot,
    "heartbeat": _read_heartbeat,
    "taken": _read_taken,
    "gone": _read_gone,
    "note": _read_note,
}
