"""Encoder of replies to the simulator: the actions of schedulers as one frame."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable
from typing import Any

from kelpfront.scheduling.actions import (
    Bind,
    CancelAttempt,
    CheckHealth,
    DeclareMachineLost,
    Fail,
    FetchEndpointList,
    LogMachineEjected,
    Migrate,
    Reject,
    SetTimer,
    Subscribe,
)
from kelpfront.wire.errors import WireError
from kelpfront.wire.records import InstanceAction, InstanceFailed

REPLY_HEADER = struct.Struct(">III")
MAX_TEXT_BYTES = 0xFFFF

_SUBSCRIBE = struct.Struct(">BIB")
_CANCEL_ATTEMPT = struct.Struct(">BIQH")
_MIGRATE = struct.Struct(">BIQ")
_REJECT = struct.Struct(">BIQd")
_TEXT = struct.Struct(">BIH")
_CHECK_HEALTH = struct.Struct(">BIIH")
_BIND = struct.Struct(">BIQdIH")
_FETCH_LIST = struct.Struct(">BI")
_FAIL = struct.Struct(">BIQ")
_SET_TIMER = struct.Struct(">BIdQ")


def encode_reply(batch_number: int, actions: Iterable[InstanceAction]) -> bytes:
    """Return one reply frame that holds the actions of the instances in the given order.

    Raises:
        WireError: the protocol has no record for an action.
    """
    records = [_encode(instance, action) for instance, action in actions]
    body = b"".join(records)
    return REPLY_HEADER.pack(REPLY_HEADER.size + len(body), len(records), batch_number) + body


def _encode(instance: int, action: Any) -> bytes:
    return _ENCODERS[type(action)](instance, action)


def _encode_bind(instance: int, action: Bind) -> bytes:
    address, port = _address_of(action.machine)
    return _BIND.pack(8, instance, action.task, action.timeout_ms, address, port)


def _encode_reject(instance: int, action: Reject) -> bytes:
    return _REJECT.pack(4, instance, action.task, action.retry_after_ms)


def _encode_fail(instance: int, action: Fail) -> bytes:
    return _FAIL.pack(12, instance, action.task)


def _encode_cancel_attempt(instance: int, action: CancelAttempt) -> bytes:
    return _CANCEL_ATTEMPT.pack(2, instance, action.task, action.attempt)


def _encode_migrate(instance: int, action: Migrate) -> bytes:
    return _MIGRATE.pack(3, instance, action.task)


def _encode_check_health(instance: int, action: CheckHealth) -> bytes:
    return _CHECK_HEALTH.pack(6, instance, *_address_of(action.machine))


def _encode_set_timer(instance: int, action: SetTimer) -> bytes:
    return _SET_TIMER.pack(13, instance, action.at, action.token)


def _encode_subscribe(instance: int, action: Subscribe) -> bytes:
    return _SUBSCRIBE.pack(1, instance, action.on)


def _encode_fetch_endpoint_list(instance: int, _action: FetchEndpointList) -> bytes:
    return _FETCH_LIST.pack(9, instance)


def _encode_declare_machine_lost(_instance: int, _action: DeclareMachineLost) -> bytes:
    raise WireError("DeclareMachineLost cannot be encoded: the simulator detects lost machines itself")


def _encode_log_machine_ejected(instance: int, action: LogMachineEjected) -> bytes:
    fields = (
        f"machine={action.machine:x} scope={action.scope} cause={action.cause} "
        f"ejection_ms={action.ejection_ms:g}"
    )
    return _encode_text(7, instance, f"machine ejected {fields}")


def _encode_instance_failed(instance: int, action: InstanceFailed) -> bytes:
    return _encode_text(5, instance, action.text)


def _encode_text(code: int, instance: int, text: str) -> bytes:
    raw = text.encode()[:MAX_TEXT_BYTES]
    return _TEXT.pack(code, instance, len(raw)) + raw


def _address_of(machine: int) -> tuple[int, int]:
    return machine >> 16, machine & 0xFFFF


_ENCODERS: dict[type, Callable[[int, Any], bytes]] = {
    Bind: _encode_bind,
    Reject: _encode_reject,
    Fail: _encode_fail,
    CancelAttempt: _encode_cancel_attempt,
    Migrate: _encode_migrate,
    CheckHealth: _encode_check_health,
    SetTimer: _encode_set_timer,
    Subscribe: _encode_subscribe,
    FetchEndpointList: _encode_fetch_endpoint_list,
    DeclareMachineLost: _encode_declare_machine_lost,
    LogMachineEjected: _encode_log_machine_ejected,
    InstanceFailed: _encode_instance_failed,
}
