"""Decodes lines of the platform's protocol into typed messages and encodes them. Pure, strict and bounded.

A line is one JSON object: `op`, `call` (16 hex digits), `with` (strings and numbers), and for some operations
`why` (a cause) and `desc`. Fields and operations keep the protocol's names here and in `client_messages` and
`machine_messages`; elsewhere a `call` is a request id and a `why` is a cause. A line that cannot be decoded
raises an `InvalidMessageError` that says what is wrong.
"""

from __future__ import annotations

import math
import re
from enum import IntEnum
from hashlib import blake2b
from typing import NamedTuple

import msgspec

from kelpfront.scheduling.events import AttemptOutcome, LoadReport, MachineId, OutcomeReason, StatusTopic
from kelpfront.scheduling.settings import Idempotency, SchedulerSettings

MAX_LINE_BYTES = 16 << 10
"""Maximum size of one message, including its line feed."""

MAX_TIMEOUT_DEADLINES = 10.0
"""Limit of a request's timeout, in deadlines of its class; a longer one is a mistake and would be kept."""

MAX_LOAD_VALUES = 16
"""Limit of the values of one load report; the others are ignored."""

MAX_QUOTED = 32
"""Maximum number of characters of an invalid value that an error message quotes."""

_CALL = re.compile(r"[0-9a-fA-F]{16}")
_SERVICE = re.compile(r"[0-9a-fA-F]{1,16}")
_STATUS_TOPICS = {
    "live": StatusTopic.RUNNING,
    "c": StatusTopic.CORES_USED,
    "m": StatusTopic.MEMORY_USED,
    "s": StatusTopic.SERVICE,
    "p": StatusTopic.MEMORY_PRESSURE,
}
_REASONS = {
    "nc": OutcomeReason.NO_CORES,
    "nm": OutcomeReason.NO_MEMORY,
    "nq": OutcomeReason.QUEUE_FULL,
    "nh": OutcomeReason.NOT_HERE,
    "ev": OutcomeReason.EVICTED,
    "pre": OutcomeReason.PREEMPTED,
    "dr": OutcomeReason.DRAINED,
}
_LOAD_FIELDS = {"x0": "free_cores", "x1": "free_memory", "queue": "queue", "q": "queue", "busy": "busy"}


class Cause(IntEnum):
    """Causes of ends and rejections, with the names of the signalling standards."""

    NORMAL = 16
    UNSPECIFIED = 31  # a task was migrated, or ended by its client
    NO_CIRCUIT = 34  # full
    TEMPORARY_FAILURE = 41
    CONGESTION = 42  # rejected: a retry is harmless
    UNAVAILABLE = 47  # an error of a machine
    UNKNOWN_CALL = 81
    MISSING_FIELD = 96
    INVALID_FIELD = 100
    MOOT = 102


RETRYABLE_CAUSES = frozenset({Cause.NO_CIRCUIT, Cause.CONGESTION, Cause.MOOT})
"""Causes that guarantee to a client that a retry is harmless."""

_RUNNING_OUTCOMES = {
    int(Cause.NORMAL): AttemptOutcome.ENDED,
    int(Cause.UNSPECIFIED): AttemptOutcome.CANCELLED,
}
_OFFER_OUTCOMES = {
    int(Cause.NO_CIRCUIT): AttemptOutcome.REJECTED,
    int(Cause.UNAVAILABLE): AttemptOutcome.ERROR,
    int(Cause.MOOT): AttemptOutcome.NOT_SENT,
}


class InvalidMessageError(ValueError):
    """A message violates the protocol; `cause` is the cause sent to its sender."""

    def __init__(self, text: str, cause: Cause = Cause.INVALID_FIELD) -> None:
        super().__init__(text)
        self.cause = cause


class LineSplitter:
    """Splits received bytes into lines without their line feeds; an incomplete line is limited in size."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the lines that `data` completes.

        Raises:
            InvalidMessageError: a line is longer than a message may be.
        """
        data = self._rest + data
        *lines, self._rest = data.split(b"\n")
        if len(self._rest) >= MAX_LINE_BYTES:
            raise InvalidMessageError(f"a line of over {MAX_LINE_BYTES} bytes")
        return lines

    @property
    def rest(self) -> bytes:
        """The received part of an incomplete line."""
        return self._rest

    @property
    def has_partial_line(self) -> bool:
        """Whether part of an incomplete line has been received."""
        return bool(self._rest)


class Message(msgspec.Struct, rename={"with_": "with"}):
    """One message, with the field names of the protocol. `why` is 0 and `desc` is empty if absent."""

    op: str
    call: str
    with_: dict[str, str | int | float] = {}
    why: int = 0
    desc: str = ""

    def text(self, name: str) -> str:
        """Return a field of `with` as text; empty if it is absent."""
        value = self.with_.get(name, "")
        return value if isinstance(value, str) else str(value)


_decoder = msgspec.json.Decoder(Message)
_encoder = msgspec.json.Encoder()


def decode(line: bytes) -> Message:
    """Decode one line, with or without its line feed.

    Raises:
        InvalidMessageError: the line is not a message.
    """
    if len(line) > MAX_LINE_BYTES:
        raise InvalidMessageError(f"a line of {len(line)} bytes, {MAX_LINE_BYTES} at most")
    try:
        message = _decoder.decode(line)
    except (msgspec.DecodeError, RecursionError, UnicodeError) as error:
        raise InvalidMessageError(f"not a message: {error}") from error
    if not _CALL.fullmatch(message.call):
        raise InvalidMessageError(f"call: 16 hex digits are wanted, not {message.call[:MAX_QUOTED]!r}")
    return message


def contains_withdrawal(unread: bytes, request_id: str) -> bool:
    """Return whether a complete line among the unread bytes withdraws the request.

    Lines after a malformed line are ignored, because the connection is closed at that line.
    """
    encoded_id = request_id.encode()
    if encoded_id not in unread:
        return False
    try:
        return any(encoded_id in line and decode(line).op == "end" for line in unread.split(b"\n")[:-1])
    except InvalidMessageError:
        return False


def encode(
    op: str, call: str, with_: dict[str, str], why: int | None = None, desc: str | None = None
) -> bytes:
    """Encode one message as a line with its line feed; the arguments have the protocol's names."""
    message: dict[str, object] = {"op": op, "call": call, "with": with_}
    if why is not None:
        message["why"] = int(why)
    if desc is not None:
        message["desc"] = desc
    return _encoder.encode(message) + b"\n"


class OfferContent(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a client's request passes on unchanged to the machine.

    Attributes:
        key: the name of the task for machines.
        idempotency_key: empty if the class needs none.
        description: how to run the task.
    """

    key: str = ""
    idempotency_key: str = ""
    description: str = ""


_content_decoder = msgspec.json.Decoder(OfferContent)


class PlacementRequest(msgspec.Struct, frozen=True):
    """A client's request to place a task.

    Attributes:
        timeout_ms: how long the client waits.
        encoded_content: the offer's content as JSON; empty if it is not needed any more. It is not kept as
            text, because a single character may make Python use four bytes for each one.
        running_on: the name of the machine that already runs the task; empty for a new task.
    """

    request_id: str
    class_index: int
    timeout_ms: float
    encoded_content: bytes
    service: int
    cores: float
    memory: float
    running_on: str = ""

    @property
    def content(self) -> OfferContent:
        """The content of the offer to a machine."""
        return _content_decoder.decode(self.encoded_content) if self.encoded_content else OfferContent()

    def without_content(self) -> PlacementRequest:
        """Return the request without the texts of variable size, which only its machine needs."""
        return msgspec.structs.replace(self, encoded_content=b"", running_on="")

    def encode_offer(self, class_name: str, timeout_ms: float) -> bytes:
        """Return the line that offers the request to a machine, whose answer is awaited for `timeout_ms`."""
        content = self.content
        fields = {"class": class_name, "left": str(max(1, round(timeout_ms))), "key": content.key}
        if content.idempotency_key:
            fields["idem"] = content.idempotency_key
        return encode("offer", self.request_id, fields, desc=content.description)


def parse_request(message: Message, settings: SchedulerSettings) -> PlacementRequest:
    """Parse a placement request and validate it against the settings.

    Raises:
        InvalidMessageError: a field is invalid; the text names it and what is allowed.
    """
    class_index = _parse_class(message, settings)
    task_class = settings.classes[class_index]
    extras = _parse_pairs(message.text("extras"))
    running_on = extras.get("at", "")
    timeout_ms = 0.0  # no client waits for a task that already runs, so its timeout is ignored
    if not running_on:
        longest_ms = MAX_TIMEOUT_DEADLINES * task_class.deadline_ms
        timeout_ms = _positive_number("left", message.text("left"), longest_ms)
    key = message.text("key")
    if not key:
        raise InvalidMessageError("key: the name of the task is missing", Cause.MISSING_FIELD)
    idempotency_key = message.text("idem")
    needs_key = task_class.idempotency is Idempotency.IDEMPOTENCY_KEY and not running_on
    if needs_key and not idempotency_key:
        raise InvalidMessageError(f"idem: missing in class {task_class.name}", Cause.MISSING_FIELD)
    service = _parse_service(extras.get("service", "0"))
    if not message.desc and not running_on:
        raise InvalidMessageError("desc: missing", Cause.MISSING_FIELD)
    return PlacementRequest(
        request_id=message.call,
        class_index=class_index,
        timeout_ms=timeout_ms,
        encoded_content=_encoder.encode(OfferContent(key, idempotency_key, message.desc)),
        service=service,
        cores=_positive_number("extras: cores", extras.get("cores", ""), max(settings.kind_cores)),
        memory=_positive_number("extras: memory", extras.get("memory", ""), max(settings.kind_memory)),
        running_on=running_on,
    )


def _parse_class(message: Message, settings: SchedulerSettings) -> int:
    names = [task_class.name for task_class in settings.classes]
    name = message.text("class")
    if name not in names:
        raise InvalidMessageError(f"class: {name[:MAX_QUOTED]!r} is none of {', '.join(names)}")
    return names.index(name)


def _parse_service(text: str) -> int:
    if not _SERVICE.fullmatch(text):
        raise InvalidMessageError(
            f"extras: service: 1 to 16 hex digits are wanted, not {text[:MAX_QUOTED]!r}"
        )
    return int(text, 16)


def names_running_machine(message: Message) -> bool:
    """Return whether a request, valid or not, is for a task that already runs."""
    return "at:" in message.text("extras")


def _parse_pairs(text: str) -> dict[str, str]:
    pairs = {}
    for part in text.split(";"):
        name, _, value = part.partition(":")
        pairs[name.strip()] = value.strip()
    return pairs


def _positive_number(name: str, text: str, limit: float) -> float:
    if not text:
        raise InvalidMessageError(f"{name}: missing", Cause.MISSING_FIELD)
    try:
        value = float(text)
    except ValueError as error:
        raise InvalidMessageError(f"{name}: a number is wanted, not {text[:MAX_QUOTED]!r}") from error
    if not (math.isfinite(value) and 0 < value <= limit):
        raise InvalidMessageError(
            f"{name}: above 0 and at most {limit:g} is allowed, not {text[:MAX_QUOTED]!r}"
        )
    return value


def parse_load(message: Message) -> LoadReport | None:
    """Return the valid values of a machine's load report; None if there are none."""
    text = message.text("load")
    if not text:
        return None
    reported: dict[str, float] = {}
    for part in text.split(";", MAX_LOAD_VALUES)[:MAX_LOAD_VALUES]:
        name, _, value = part.partition(":")
        field = _LOAD_FIELDS.get(name.strip())
        number = _parse_finite(value)
        if field and number is not None:
            reported[field] = number
    return LoadReport(**reported) if reported else None


def _parse_finite(value: str | float) -> float | None:
    try:
        number = float(value)
    except ValueError:
        return None
    return number if math.isfinite(number) else None


class StatusReport(NamedTuple):
    """A machine's report on a running task."""

    topic: StatusTopic
    value: float


def parse_status(message: Message) -> StatusReport | None:
    """Return the status report of a message; None if its topic is unknown or its value is invalid."""
    topic = _STATUS_TOPICS.get(message.text("note"))
    if topic is None:
        return None
    value = _parse_finite(message.with_.get("value", 0.0))
    return None if value is None else StatusReport(topic, value)


class ReportedOutcome(NamedTuple):
    """The outcome of an attempt and its reason, as reported by the machine that ended it."""

    outcome: AttemptOutcome
    reason: OutcomeReason


def parse_outcome(message: Message, *, accepted: bool) -> ReportedOutcome:
    """Return the outcome that a machine's `end` message reports.

    Args:
        message: the machine's message.
        accepted: whether the machine had accepted the attempt.
    """
    reason = _REASONS.get(message.text("note"), OutcomeReason.UNSPECIFIED)
    if not accepted and message.why == Cause.NORMAL:
        # Healthy machines report a normal end for a task that ended before it was reported as running, so it
        # may have been executed.
        return ReportedOutcome(AttemptOutcome.RESET, OutcomeReason.NOT_HERE)
    outcomes = _RUNNING_OUTCOMES if accepted else _OFFER_OUTCOMES
    return ReportedOutcome(outcomes.get(message.why, AttemptOutcome.RESET), reason)


def machine_id(name: str) -> MachineId:
    """Return the id of a machine, a hash of its name.

    All placers compute the same id, because they divide cold machines among themselves by it.
    """
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest())
