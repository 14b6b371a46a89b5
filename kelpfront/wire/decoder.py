"""Decoder of the simulator's frames: bytes to batches of events.

Each record code has one decoding method, listed in `_RECORDS`. Settings are read by `settings`.
"""

from __future__ import annotations

import json
import math
import struct
from collections.abc import Callable, Iterator
from typing import Any

from kelpfront.scheduling.events import (
    AttemptClosed,
    AttemptOutcome,
    Endpoint,
    EndpointList,
    EndpointListKind,
    HealthCheckCompleted,
    LoadReport,
    MachineState,
    OutcomeReason,
    StatusTopic,
    TaskArrived,
    TaskFound,
    TaskPlaced,
    TaskStatusReported,
    TaskWithdrawn,
    TimerFired,
)
from kelpfront.wire.errors import WireError, lookup
from kelpfront.wire.records import (
    Batch,
    HostEvent,
    InstanceEvent,
    InstanceStarted,
    InstanceStopped,
    InvalidSettings,
)
from kelpfront.wire.settings import settings_of

BATCH_HEADER = struct.Struct(">IdII")
MAX_FRAME_BYTES = 1 << 30
MAX_LIST_NUMBER = 15

_LENGTH = struct.Struct(">I")
_ENDPOINT = struct.Struct(">BHfBffHIHd")
_STARTED = struct.Struct(">IQI")
_LIST = struct.Struct(">II")
_LIST_UPDATE = struct.Struct(">IBII")
_ARRIVED = struct.Struct(">IQBHQddQffB")
_FOUND = struct.Struct(">IQBHQddQffBIH")
_GOSSIP = struct.Struct(">IIH")
_CLOSED = struct.Struct(">IQIHBdHIHB")
_STOPPED = struct.Struct(">I")
_PLACED = struct.Struct(">IQHIHd")
_TIMER = struct.Struct(">IQ")
_STATUS = struct.Struct(">IQHIHBf")
_WITHDRAWN = struct.Struct(">IQ")
_HEALTH_CHECKED = struct.Struct(">IIHHdB")

_OUTCOMES = {
    0: AttemptOutcome.ENDED,
    1: AttemptOutcome.CANCELLED,
    4: AttemptOutcome.TIMED_OUT,
    8: AttemptOutcome.REJECTED,
    9: AttemptOutcome.NOT_SENT,
    10: AttemptOutcome.RESET,
    13: AttemptOutcome.ERROR,
    14: AttemptOutcome.UNREACHABLE,
}
_STATES_WITHOUT_RESPONSE = {
    state
    for state, outcome in _OUTCOMES.items()
    if outcome in (AttemptOutcome.TIMED_OUT, AttemptOutcome.UNREACHABLE)
}
_LOAD_FIELDS = {"x0": "free_cores", "x1": "free_memory", "q": "queue", "busy": "busy"}
_RESUBMITTED_BIT = 16


class _RecordReader:
    """Reads consecutive record fields from a frame, starting at an offset."""

    __slots__ = ("frame", "offset")

    def __init__(self, frame: bytes, offset: int) -> None:
        self.frame = frame
        self.offset = offset

    def unpack(self, layout: struct.Struct) -> tuple[Any, ...]:
        values = layout.unpack_from(self.frame, self.offset)
        self.offset += layout.size
        return values

    def read_code(self) -> int:
        code = self.frame[self.offset]
        self.offset += 1
        return code

    def read_floats(self, count: int) -> tuple[float, ...]:
        values = struct.unpack_from(f">{count}f", self.frame, self.offset)
        self.offset += 4 * count
        return values

    def read_bytes(self, size: int) -> bytes:
        remaining = len(self.frame) - self.offset
        if size > remaining:
            raise WireError(f"declares {size} more bytes, but only {remaining} remain")
        start = self.offset
        self.offset += size
        return self.frame[start : self.offset]


class Decoder:
    """Decodes batches into events.

    It keeps the numbered endpoint lists, and the fields of the load reports of each instance.
    """

    def __init__(self) -> None:
        self._lists: dict[int, tuple[Endpoint, ...]] = {}
        self._load_fields_of: dict[int, tuple[str, ...]] = {}

    def decode(self, frame: bytes) -> Batch:
        """Decode one batch.

        Raises:
            WireError: the frame is malformed; the message gives the batch, the record and the byte offset.
        """
        now, number, count = _decode_header(frame)
        reader = _RecordReader(frame, BATCH_HEADER.size)
        events: list[InstanceEvent] = []
        for index in range(count):
            position = f"batch {number}, record {index} at byte {reader.offset}"
            if reader.offset >= len(frame):
                raise WireError(f"{position}: the frame ends before this record")
            try:
                event = self._decode_record(reader)
            except struct.error as error:
                raise WireError(f"{position}: the frame ends inside this record") from error
            except WireError as error:
                raise WireError(f"{position}: {error}") from error
            if event is not None:
                events.append(event)
        if reader.offset != len(frame):
            raise WireError(f"batch {number}: {len(frame) - reader.offset} bytes after the last record")
        return Batch(now, number, events)

    def _decode_record(self, reader: _RecordReader) -> InstanceEvent | None:
        code = reader.read_code()
        decode = _RECORDS.get(code)
        if decode is None:
            raise WireError(f"unknown record code {code}")
        return decode(self, reader)

    def _decode_instance_started(self, reader: _RecordReader) -> InstanceEvent:
        instance, seed, size = reader.unpack(_STARTED)
        text = reader.read_bytes(size)
        try:
            raw_settings = json.loads(text)
        except ValueError as error:
            raise WireError(f"settings are not JSON: {error}") from error
        return InstanceEvent(instance, self._instance_started(instance, seed, raw_settings))

    def _instance_started(self, instance: int, seed: int, raw_settings: Any) -> HostEvent:
        try:
            names = tuple(
                _LOAD_FIELDS.get(name, "") for name in raw_settings.get("Stats", {}).get("Names", ())
            )
            self._load_fields_of[instance] = names
            return InstanceStarted(seed, settings_of(raw_settings), names)
        except (ValueError, TypeError, AttributeError) as error:
            return InvalidSettings(str(error))

    def _decode_instance_stopped(self, reader: _RecordReader) -> InstanceEvent:
        (instance,) = reader.unpack(_STOPPED)
        self._load_fields_of.pop(instance, None)
        return InstanceEvent(instance, InstanceStopped())

    def _decode_list(self, reader: _RecordReader) -> None:
        number, count = reader.unpack(_LIST)
        if number > MAX_LIST_NUMBER:
            raise WireError(f"list number {number} is not between 0 and {MAX_LIST_NUMBER}")
        rows = reader.read_bytes(count * _ENDPOINT.size)
        self._lists[number] = tuple(_endpoint_of(*row) for row in _ENDPOINT.iter_unpack(rows))

    def _decode_list_update(self, reader: _RecordReader) -> InstanceEvent:
        instance, mode, version, number = reader.unpack(_LIST_UPDATE)
        if mode > EndpointListKind.FAILED:
            raise WireError(f"unknown list mode {mode}")
        kind = EndpointListKind(mode)
        endpoints: tuple[Endpoint, ...] = ()
        if kind is not EndpointListKind.FAILED:
            if number not in self._lists:
                raise WireError(f"list number {number} is not defined")
            endpoints = self._lists[number]
        return InstanceEvent(instance, EndpointList(kind, version, endpoints))

    def _decode_task_arrived(self, reader: _RecordReader) -> InstanceEvent:
        instance, task, class_index, _, _, timeout_ms, _, service, cores, memory, bits = reader.unpack(
            _ARRIVED
        )
        resubmitted = bool(bits & _RESUBMITTED_BIT)
        arrived = TaskArrived(task, class_index, service, cores, memory, timeout_ms, resubmitted)
        return InstanceEvent(instance, arrived)

    def _decode_task_found(self, reader: _RecordReader) -> InstanceEvent:
        instance, task, class_index, *_, service, cores, memory, _, address, port = reader.unpack(_FOUND)
        machine = _machine_id(address, port)
        return InstanceEvent(instance, TaskFound(task, class_index, service, cores, memory, machine))

    def _decode_task_placed(self, reader: _RecordReader) -> InstanceEvent:
        instance, task, attempt, address, port, elapsed_ms = reader.unpack(_PLACED)
        return InstanceEvent(instance, TaskPlaced(task, attempt, _machine_id(address, port), elapsed_ms))

    def _decode_attempt_closed(self, reader: _RecordReader) -> InstanceEvent:
        instance, task, reason_code, attempt, task_finished, elapsed_ms, state, address, port, load_values = (
            reader.unpack(_CLOSED)
        )
        load = self._read_load_report(reader, instance, load_values)
        closed = AttemptClosed(
            task,
            attempt,
            _machine_id(address, port),
            outcome=lookup(_OUTCOMES, state, "outcome"),
            reason=_reason_of(reason_code),
            task_finished=bool(task_finished),
            elapsed_ms=elapsed_ms,
            load=load,
        )
        return InstanceEvent(instance, closed)

    def _decode_task_withdrawn(self, reader: _RecordReader) -> InstanceEvent:
        instance, task = reader.unpack(_WITHDRAWN)
        return InstanceEvent(instance, TaskWithdrawn(task))

    def _decode_timer_fired(self, reader: _RecordReader) -> InstanceEvent:
        instance, token = reader.unpack(_TIMER)
        return InstanceEvent(instance, TimerFired(token))

    def _decode_health_check_completed(self, reader: _RecordReader) -> InstanceEvent:
        instance, address, port, state, elapsed_ms, load_values = reader.unpack(_HEALTH_CHECKED)
        load = self._read_load_report(reader, instance, load_values)
        completed = HealthCheckCompleted(
            _machine_id(address, port),
            ok=state == 0,
            elapsed_ms=elapsed_ms,
            load=load,
            no_response=state in _STATES_WITHOUT_RESPONSE,
        )
        return InstanceEvent(instance, completed)

    def _skip_gossip(self, reader: _RecordReader) -> None:
        """Skip a message between instances: schedulers share no state."""
        _, _, size = reader.unpack(_GOSSIP)
        reader.read_bytes(size)

    def _decode_task_status(self, reader: _RecordReader) -> InstanceEvent | None:
        instance, task, attempt, address, port, topic, value = reader.unpack(_STATUS)
        if topic not in StatusTopic.__members__.values():
            return None
        machine = _machine_id(address, port)
        reported = TaskStatusReported(task, attempt, machine, StatusTopic(topic), value)
        return InstanceEvent(instance, reported)

    def _read_load_report(self, reader: _RecordReader, instance: int, count: int) -> LoadReport | None:
        """Read a load report, without values that are not finite and values of unknown fields."""
        names = self._load_fields_of.get(instance, ())
        fields = {
            name: value
            for name, value in zip(names, reader.read_floats(count), strict=False)
            if name and math.isfinite(value)
        }
        return LoadReport(**fields) if fields else None


_RECORDS: dict[int, Callable[[Decoder, _RecordReader], InstanceEvent | None]] = {
    1: Decoder._decode_instance_started,
    2: Decoder._decode_list_update,
    3: Decoder._decode_task_arrived,
    4: Decoder._decode_task_placed,
    5: Decoder._decode_attempt_closed,
    6: Decoder._decode_task_withdrawn,
    7: Decoder._decode_timer_fired,
    8: Decoder._decode_health_check_completed,
    9: Decoder._skip_gossip,
    10: Decoder._decode_instance_stopped,
    11: Decoder._decode_task_found,
    12: Decoder._decode_task_status,
    13: Decoder._decode_list,
}


def read_frames(read: Callable[[int], bytes]) -> Iterator[bytes]:
    """Yield whole frames from `read(n)`, which returns fewer than `n` bytes only at the end of input.

    Raises:
        WireError: a frame is too short, too long or truncated.
    """
    while head := read(_LENGTH.size):
        if len(head) < _LENGTH.size:
            raise WireError(f"input ends after {len(head)} bytes of a frame's length")
        (length,) = _LENGTH.unpack(head)
        if not BATCH_HEADER.size <= length <= MAX_FRAME_BYTES:
            raise WireError(f"frame length {length} is not between {BATCH_HEADER.size} and {MAX_FRAME_BYTES}")
        rest = read(length - _LENGTH.size)
        if len(rest) < length - _LENGTH.size:
            raise WireError(f"input ends after {_LENGTH.size + len(rest)} bytes of a frame of {length} bytes")
        yield head + rest


def _decode_header(frame: bytes) -> tuple[float, int, int]:
    """Return the time, the batch number and the record count of a batch."""
    if len(frame) < BATCH_HEADER.size:
        raise WireError(f"batch header: expected {BATCH_HEADER.size} bytes, got {len(frame)}")
    length, now, count, number = BATCH_HEADER.unpack_from(frame)
    if length != len(frame):
        raise WireError(f"batch {number}: frame of {len(frame)} bytes declares a length of {length}")
    if not math.isfinite(now):
        raise WireError(f"batch {number}: clock is not finite: {now!r}")
    return now, number, count


def _endpoint_of(*row: Any) -> Endpoint:
    kind, cell, memory, state, cores, _, zone, address, port, started_at = row
    if state > MachineState.DRAINING:
        raise WireError(f"unknown machine state {state}")
    machine = _machine_id(address, port)
    return Endpoint(machine, kind, cell, zone, MachineState(state), cores, memory, started_at)


def _machine_id(address: int, port: int) -> int:
    return address << 16 | port


def _reason_of(reason_code: int) -> OutcomeReason:
    is_known = reason_code in OutcomeReason.__members__.values()
    return OutcomeReason(reason_code) if is_known else OutcomeReason.UNSPECIFIED
