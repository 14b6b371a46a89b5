"""Messages between placers and machines, encoded as JSON over HTTP/1.1.

A placer POSTs an `OfferRequest` to `/v1/offers` and receives one `Answer`. It GETs `/v1/stream`, a response
with one JSON message a line, which lasts until either side ends it. It POSTs a `StopRequest` to `/v1/stops`
and GETs `/v1/probe`. Times are milliseconds of the common clock, or durations in milliseconds; cores and
memory are in the units of the deployment.

On the stream, `Taken` and `Gone` carry sequence numbers, counted for each pair of a placer and a machine. A
placer that reconnects requests the first message that it has not received, and the machine sends the missed
messages. If they are no longer retained, or the placer is new, the machine sends a `Snapshot` of all tasks of
that placer, which replaces all earlier messages.

Class and field names are those of the wire protocol.
"""

from __future__ import annotations

from typing import Literal

import msgspec

AnswerKind = Literal["running", "accepted", "refused", "error"]
TaskPhase = Literal["waiting", "starting", "running", "ended"]
GoneCause = Literal["ended", "stopped", "failed", "evicted", "pushed-out", "sent-away", "lost"]

# Reasons of refusals and errors. Clients see these values.
NO_CORES = "NO_CORES"
NO_MEMORY = "NO_MEMORY"
QUEUE_FULL = "QUEUE_FULL"
NOT_HERE = "NOT_HERE"
START_FAILED = "START_FAILED"  # the task's process could not be created: the task never ran
RAN_HERE = "RAN_HERE"  # a non-idempotent task that already ran here is offered again; always an error


class Message(msgspec.Struct, frozen=True, forbid_unknown_fields=False, omit_defaults=True):
    """The base class of all messages; unknown fields, as of later versions, are ignored."""


class JobRef(Message, frozen=True):
    """The job of a task, with all that a placer needs to list the job after a restart without a store."""

    namespace: str
    name: str
    uid: str
    index: int
    count: int = 1
    token: str = ""
    labels: dict[str, str] = {}


class Command(Message, frozen=True):
    """The process of a task. `argv` is run without a shell; `env` is added to a minimal environment.

    `workdir` is an absolute path, or empty for a folder that is created for the task. `grace_ms` is the time
    between SIGTERM and SIGKILL when the process is stopped.
    """

    argv: tuple[str, ...]
    env: dict[str, str] = {}
    workdir: str = ""
    grace_ms: float = 10_000.0


class Offer(Message, frozen=True):
    """One attempt to place one task.

    `task` is the task's uid, the same in all attempts; `attempt` is the number of the attempt. `not_after` is
    the time at which the placer gives up the attempt; a machine does not start the task later. `key` is the
    idempotency key of a task whose `effect` is `keyed`: at most one task per key runs in its scope, the
    `group` of machines. `run` is set if the job specifies a command.
    """

    task: str
    attempt: int
    job: JobRef
    cls: str = msgspec.field(name="class")
    service: str
    cores: float
    memory: float
    effect: Literal["safe", "keyed", "unsafe"]
    not_after: float
    priority: int = 0
    needs_kind: str = ""
    key: str = ""
    group: Literal["none", "machine", "cell", "zone", "all"] = "none"
    run: Command | None = None


class OfferRequest(Message, frozen=True):
    """An offer with its sender; `incarnation` identifies the placer's process."""

    placer: str
    incarnation: str
    offer: Offer


class LoadReport(Message, frozen=True):
    """A machine's load: cores and memory not requested by tasks (`free`), and those not in use (`unused`).

    `waiting` is the number of tasks that wait for evaluation or for their start, or are starting. `busy` is
    the share of the cores in use.
    """

    free_cores: float
    free_memory: float
    unused_cores: float
    unused_memory: float
    waiting: int = 0
    busy: float = 0.0


class Answer(Message, frozen=True):
    """The only answer to an offer.

    `refused` guarantees that the task did not run; after `error` it may or may not have run.
    """

    answer: AnswerKind
    reason: str = ""
    message: str = ""
    load: LoadReport | None = None


class StopRequest(Message, frozen=True):
    """A placer's request to stop a task, because its client cancelled it or because it migrates."""

    placer: str
    task: str
    attempt: int
    why: str = ""


class StopReply(Message, frozen=True):
    """The reply to a stop request.

    `unknown`: the machine has no such attempt, because its offer never arrived or it has ended.
    """

    found: Literal["stopped", "stopping", "unknown"]


class TaskReport(Message, frozen=True):
    """The state of a task on a machine; `ran` and `cpu_s`, the CPU seconds used, apply to ended tasks."""

    offer: Offer
    incarnation: str
    phase: TaskPhase
    cause: GoneCause | None = None
    exit_code: int | None = None
    ran: bool = True
    cpu_s: float | None = None
    message: str = ""


class Hello(Message, frozen=True, tag_field="t", tag="hello"):
    """The first message of each stream. `boot` identifies the machine's incarnation; `age_ms` is its age."""

    boot: str
    age_ms: float
    kind: str
    heartbeat_ms: float
    resumed: bool
    next_seq: int


class Snapshot(Message, frozen=True, tag_field="t", tag="snapshot"):
    """All tasks of this placer on the machine, and its recently ended tasks that it has not acknowledged.

    Replaces all messages up to number `seq`.
    """

    seq: int
    tasks: tuple[TaskReport, ...]


class Heartbeat(Message, frozen=True, tag_field="t", tag="heartbeat"):
    """Sent at regular intervals on each stream, and at once when the state changes."""

    state: Literal["ready", "draining"]
    load: LoadReport


class Taken(Message, frozen=True, tag_field="t", tag="taken"):
    """An attempt was accepted, or is running. Sent even if the answer to the offer was lost."""

    seq: int
    task: str
    attempt: int
    running: bool


class Gone(Message, frozen=True, tag_field="t", tag="gone"):
    """A task that was accepted, or whose start had begun, has ended."""

    seq: int
    task: str
    attempt: int
    cause: GoneCause
    ran: bool
    exit_code: int | None = None
    message: str = ""
    cpu_s: float | None = None


class Note(Message, frozen=True, tag_field="t", tag="note"):
    """A status report of a running task, such as cores or memory in use, or its share of full service."""

    task: str
    attempt: int
    topic: Literal["cores", "memory", "service", "pressure"]
    value: float


StreamMessage = Hello | Snapshot | Heartbeat | Taken | Gone | Note
Sequenced = Taken | Gone

encode = msgspec.json.Encoder().encode
decode_offer = msgspec.json.Decoder(Offer).decode
decode_offer_request = msgspec.json.Decoder(OfferRequest).decode
decode_stop_request = msgspec.json.Decoder(StopRequest).decode
decode_answer = msgspec.json.Decoder(Answer).decode
decode_stop_reply = msgspec.json.Decoder(StopReply).decode
decode_load = msgspec.json.Decoder(LoadReport).decode
decode_stream_message = msgspec.json.Decoder(StreamMessage).decode
