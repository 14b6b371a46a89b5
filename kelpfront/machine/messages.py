"""Messages between placers and machines: JSON over HTTP/1.1.

A placer POSTs an `OfferRequest` to `/v1/offers` and gets the one `Answer` to it; it GETs `/v1/stream`, which
goes on for as long as both live: one JSON message a line. It POSTs `StopRequest` to `/v1/stops` and GETs
`/v1/probe`. Times are milliseconds of the common clock, or durations; cores and memory are in the units of
the deployment.

On the stream, `Taken` and `Gone` carry sequence numbers of one placer at one machine. A placer that comes
back names the first one that it has not received; the machine sends what was missed, or, where it no longer
can or the placer is new, a `Snapshot` of all tasks of that placer, which replaces all before it.

The names of the classes and fields are those of the wire.
"""

from __future__ import annotations

from typing import Literal

import msgspec

AnswerKind = Literal["running", "accepted", "refused", "error"]
TaskPhase = Literal["waiting", "starting", "running", "ended"]
GoneCause = Literal["ended", "stopped", "failed", "evicted", "pushed-out", "sent-away", "lost"]

# Why a machine refuses, or cannot answer otherwise, word for word as clients read it.
NO_CORES = "NO_CORES"
NO_MEMORY = "NO_MEMORY"
QUEUE_FULL = "QUEUE_FULL"
NOT_HERE = "NOT_HERE"
START_FAILED = "START_FAILED"  # the task's process could not be made: it never ran
RAN_HERE = "RAN_HERE"  # a non-idempotent task is offered again that ran here: an error, not a refusal


class Message(msgspec.Struct, frozen=True, forbid_unknown_fields=False, omit_defaults=True):
    """The base of all messages: unknown fields of later versions are ignored."""


class JobRef(Message, frozen=True):
    """The job of a task: enough for a placer that restarts without a store to show it again."""

    namespace: str
    name: str
    uid: str
    index: int
    count: int = 1
    token: str = ""
    labels: dict[str, str] = {}


class Command(Message, frozen=True):
    """The process of a task. `argv` is not given to a shell; `env` is added to a plain environment.

    `workdir` is absolute, or empty for a folder of the task's own. From SIGTERM to SIGKILL it has
    `grace_ms` to stop.
    """

    argv: tuple[str, ...]
    env: dict[str, str] = {}
    workdir: str = ""
    grace_ms: float = 10_000.0


class Offer(Message, frozen=True):
    """One attempt to place one task.

    `task` is the task's uid, the same in all attempts; `attempt` counts them. `not_after` is when the placer
    will have given up: a machine starts nothing for it later. `key` is the idempotency key of a task whose
    `effect` is `keyed`: one task of a key runs in its scope, the `group` of machines. `run` is set where the
    job says what its tasks run.
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
    """An offer with the placer that sends it; `incarnation` is of the placer's process."""

    placer: str
    incarnation: str
    offer: Offer


class LoadReport(Message, frozen=True):
    """A machine's load: cores and memory that no task requests (`free`), and that are not in use (`unused`).

    `waiting` counts tasks before and in their start; `busy` is the share of the cores in use.
    """

    free_cores: float
    free_memory: float
    unused_cores: float
    unused_memory: float
    waiting: int = 0
    busy: float = 0.0


class Answer(Message, frozen=True):
    """The one answer to an offer. `refused` proves that the task did not run; `error` proves nothing."""

    answer: AnswerKind
    reason: str = ""
    message: str = ""
    load: LoadReport | None = None


class StopRequest(Message, frozen=True):
    """The placer no longer wants a task, because its client said so or because it moves."""

    placer: str
    task: str
    attempt: int
    why: str = ""


class StopReply(Message, frozen=True):
    """What the machine found: `unknown` where it has no such attempt, which never came or is over."""

    found: Literal["stopped", "stopping", "unknown"]


class TaskReport(Message, frozen=True):
    """A task on a machine; of an ended one, whether it ran and the CPU seconds that it used."""

    offer: Offer
    incarnation: str
    phase: TaskPhase
    cause: GoneCause | None = None
    exit_code: int | None = None
    ran: bool = True
    cpu_s: float | None = None
    message: str = ""


class Hello(Message, frozen=True, tag_field="t", tag="hello"):
    """The first message of each stream. `boot` names the machine's incarnation, `age_ms` its age."""

    boot: str
    age_ms: float
    kind: str
    heartbeat_ms: float
    resumed: bool
    next_seq: int


class Snapshot(Message, frozen=True, tag_field="t", tag="snapshot"):
    """All tasks of this placer on the machine, and those ended recently. Replaces all up to `seq`."""

    seq: int
    tasks: tuple[TaskReport, ...]


class Heartbeat(Message, frozen=True, tag_field="t", tag="heartbeat"):
    """Sent at regular intervals on each stream, and at once when the state changes."""

    state: Literal["ready", "draining"]
    load: LoadReport


class Taken(Message, frozen=True, tag_field="t", tag="taken"):
    """An attempt was accepted, or runs. Sent whatever became of the answer to the offer."""

    seq: int
    task: str
    attempt: int
    running: bool


class Gone(Message, frozen=True, tag_field="t", tag="gone"):
    """A task that was accepted or ran is over."""

    seq: int
    task: str
    attempt: int
    cause: GoneCause
    ran: bool
    exit_code: int | None = None
    message: str = ""
    cpu_s: float | None = None


class Note(Message, frozen=True, tag_field="t", tag="note"):
    """A status report of a running task: cores or memory in use, or the share of full service it gets."""

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
