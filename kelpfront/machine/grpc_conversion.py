"""Converts the messages of the machines' protocol to those of node.proto and back. Both carry the same.

Names of fields and values here are those of node.proto. A value that this version does not know raises
UnknownValueError where it may not be guessed; messages of unknown kinds are ignored by the callers.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from kelpfront.machine import messages as m
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


def offer_message(offer: m.Offer) -> pb.OfferTask:
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


def _job_message(job: m.JobRef) -> pb.JobRef:
    return pb.JobRef(
        namespace=job.namespace,
        name=job.name,
        uid=job.uid,
        index=job.index,
        count=job.count,
        token=job.token,
        labels=job.labels,
    )


def _command_message(command: m.Command) -> pb.Command:
    return pb.Command(argv=command.argv, env=command.env, workdir=command.workdir, grace_ms=command.grace_ms)


def read_offer(offer: pb.OfferTask) -> m.Offer:
    """Read an offer.

    Raises UnknownValueError where its effect or group is none that is known: neither may be guessed.
    """
    return m.Offer(
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


def _read_job(job: pb.JobRef) -> m.JobRef:
    return m.JobRef(job.namespace, job.name, job.uid, job.index, job.count or 1, job.token, dict(job.labels))


def _read_command(command: pb.Command) -> m.Command:
    return m.Command(tuple(command.argv), dict(command.env), command.workdir, command.grace_ms)


def load_message(load: m.LoadReport) -> pb.Load:
    """Convert a machine's load."""
    return pb.Load(
        free_cores=load.free_cores,
        free_memory=load.free_memory,
        unused_cores=load.unused_cores,
        unused_memory=load.unused_memory,
        waiting=load.waiting,
        busy=load.busy,
    )


def read_load(load: pb.Load) -> m.LoadReport:
    """Read a machine's load."""
    return m.LoadReport(
        load.free_cores, load.free_memory, load.unused_cores, load.unused_memory, load.waiting, load.busy
    )


def answer_message(task: str, attempt: int, answer: m.Answer) -> pb.NodeMessage:
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


def read_answer(answer: pb.OfferAnswer) -> m.Answer:
    """Read the answer to an offer. One of a kind that is not known proves nothing: it is an error."""
    kind: Any = _ANSWER_BY_NUMBER.get(answer.answer, "error")
    load = read_load(answer.load) if answer.HasField("load") else None
    return m.Answer(kind, answer.reason, answer.message, load)


# ---- The machine's own messages ---------------------------------------------------------------------------


def report_message(report: m.TaskReport) -> pb.TaskReport:
    """Convert a task as a snapshot shows it."""
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


def read_report(report: pb.TaskReport) -> m.TaskReport:
    """Read a task as a snapshot shows it; raises UnknownValueError for an unknown phase or cause."""
    return m.TaskReport(
        read_offer(report.offer),
        report.incarnation,
        _one_of(PHASES, report.phase, "phase"),
        _one_of(CAUSES, report.cause, "cause") if report.cause else None,
        report.exit_code if report.HasField("exit_code") else None,
        report.ran,
        report.cpu_s if report.HasField("cpu_s") else None,
        report.message,
    )


def stream_message(message: m.StreamMessage) -> pb.NodeMessage:
    """Convert a message of the stream."""
    match message:
        case m.Hello():
            return pb.NodeMessage(hello=_hello_message(message))
        case m.Snapshot(seq, tasks):
            reports = [report_message(report) for report in tasks]
            return pb.NodeMessage(snapshot=pb.Snapshot(seq=seq, tasks=reports))
        case m.Heartbeat(state, load):
            return pb.NodeMessage(heartbeat=pb.Heartbeat(state=state, load=load_message(load)))
        case m.Taken(seq, task, attempt, running):
            return pb.NodeMessage(taken=pb.Taken(seq=seq, task=task, attempt=attempt, running=running))
        case m.Gone():
            return pb.NodeMessage(gone=_gone_message(message))
        case m.Note(task, attempt, topic, value):
            return pb.NodeMessage(note=pb.Note(task=task, attempt=attempt, topic=topic, value=value))


def _hello_message(hello: m.Hello) -> pb.Hello:
    return pb.Hello(
        boot=hello.boot,
        age_ms=hello.age_ms,
        kind=hello.kind,
        heartbeat_ms=hello.heartbeat_ms,
        resumed=hello.resumed,
        next_seq=hello.next_seq,
    )


def _gone_message(gone: m.Gone) -> pb.Gone:
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


def read_stream_message(message: pb.NodeMessage) -> m.StreamMessage | None:
    """Read a message of the stream.

    Returns None for answers, which are no messages of the stream, and for kinds of later versions. Raises
    UnknownValueError for a value that may not be guessed.
    """
    kind = message.WhichOneof("message")
    read = _STREAM_READERS.get(kind) if kind is not None else None
    return None if read is None else read(message)


def _read_hello(message: pb.NodeMessage) -> m.Hello:
    hello = message.hello
    return m.Hello(hello.boot, hello.age_ms, hello.kind, hello.heartbeat_ms, hello.resumed, hello.next_seq)


def _read_snapshot(message: pb.NodeMessage) -> m.Snapshot:
    reports = tuple(read_report(report) for report in message.snapshot.tasks)
    return m.Snapshot(message.snapshot.seq, reports)


def _read_heartbeat(message: pb.NodeMessage) -> m.Heartbeat:
    heartbeat = message.heartbeat
    return m.Heartbeat(_one_of(STATES, heartbeat.state, "state"), read_load(heartbeat.load))


def _read_taken(message: pb.NodeMessage) -> m.Taken:
    taken = message.taken
    return m.Taken(taken.seq, taken.task, taken.attempt, taken.running)


def _read_gone(message: pb.NodeMessage) -> m.Gone:
    gone = message.gone
    return m.Gone(
        gone.seq,
        gone.task,
        gone.attempt,
        _one_of(CAUSES, gone.cause, "cause"),
        gone.ran,
        gone.exit_code if gone.HasField("exit_code") else None,
        gone.message,
        gone.cpu_s if gone.HasField("cpu_s") else None,
    )


def _read_note(message: pb.NodeMessage) -> m.Note | None:
    note = message.note
    if note.topic not in TOPICS:
        return None  # of a later version: the next report says as much
    topic: Any = note.topic
    return m.Note(note.task, note.attempt, topic, note.value)


_STREAM_READERS: dict[str, Callable[[pb.NodeMessage], m.StreamMessage | None]] = {
    "hello": _read_hello,
    "snapshot": _read_snapshot,
    "heartbeat": _read_heartbeat,
    "taken": _read_taken,
    "gone": _read_gone,
    "note": _read_note,
}
