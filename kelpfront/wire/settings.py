"""Reads the settings of a scheduler from the simulator's start record.

The keys of the record are confined to this module. `kelpfront.scheduling.settings` checks the values; its
errors name a field, which is replaced here by the key of the record.
"""

from __future__ import annotations

import math
from typing import Any, TypeGuard, TypeVar

from kelpfront.scheduling.settings import (
    FailureDomain,
    Idempotency,
    Prices,
    SchedulerSettings,
    SlowStartSettings,
    TaskClass,
)
from kelpfront.wire.errors import lookup

T = TypeVar("T")

MAX_NUMBER = 1e15
"""Largest absolute value of a setting: 30,000 years in milliseconds. Floats hold such integers exactly."""

_IDEMPOTENCY = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.IDEMPOTENCY_KEY,
    "single_shot": Idempotency.NON_IDEMPOTENT,
}
_FAILURE_DOMAINS = {domain.value: domain for domain in FailureDomain}
_KEY_BY_FIELD = {
    "replica_index": "Me",
    "replica_count": "Siblings",
    "timer_resolution_ms": "TickMs",
    "classes": "Categories",
    "kind_cores": "SizeCores",
    "kind_memory": "MemOfKind",
    "mean_cores": "UsualCores",
    "mean_memory": "MeanMemory",
    "cores_overcommit": "CpuBooking",
    "memory_overcommit": "AcceptsMemory",
    "max_attempts": "MaxAttempts",
    "answer_grace_ms": "GraceToAnswerMs",
    "drain_grace_ms": "DrainGraceMs",
    "duration_ms": "ColdMs",
    "overload_multiple": "FallMultiple",
    "window_ms": "FallMs",
    "max_offers_per_window": "YoungLimit",
    "deadline_ms": "DeadlineMs",
    "latency_objective_ms": "AimMs",
    "idempotency_window_ms": "WindowMs",
    "max_per_domain": "TogetherMax",
}
"""The key of the start record for each settings field that an error may name."""


def settings_of(start_record: dict[str, Any]) -> SchedulerSettings:
    """Return the settings of a start record.

    Raises:
        ValueError: a setting is missing or invalid; the message names its key.
    """
    try:
        return _read_settings(start_record)
    except ValueError as error:
        field, separator, text = str(error).partition(":")
        raise ValueError(f"{_KEY_BY_FIELD.get(field, field)}{separator}{text}") from error


def _read_settings(start_record: dict[str, Any]) -> SchedulerSettings:
    permissions = _required(start_record, "Permissions", dict)
    family_info = _required(start_record, "FamilyInfo", dict)
    rules = _required(start_record, "Rules", dict)
    categories = _required(start_record, "Categories", list)
    return SchedulerSettings(
        replica_index=int(_number(start_record, "Me")),
        replica_count=int(_number(start_record, "Siblings")),
        zone=int(_number(start_record, "Zone")),
        zones=len(_required(start_record, "Zones", list)),
        timer_resolution_ms=_number(start_record, "TickMs"),
        classes=tuple(_class_of(category, family_info, index) for index, category in enumerate(categories)),
        kind_cores=_numbers(family_info, "SizeCores"),
        kind_memory=_numbers(family_info, "MemOfKind"),
        mean_cores=_number(family_info, "UsualCores"),
        mean_memory=_number(family_info, "MeanMemory"),
        cores_overcommit=_number(family_info, "CpuBooking"),
        memory_overcommit=_number(family_info, "AcceptsMemory"),
        accepted_when_running=family_info.get("Ack") == "running",
        endpoint_list_on_request=start_record.get("RegistryMode") == "on_request",
        endpoint_list_reports_free=bool(family_info.get("ListsFree", False)),
        reports_measured_usage=family_info.get("FreeBy") == "used",
        machines_preempt=bool(family_info.get("PushesOut", False)),
        health_checks_allowed=bool(permissions.get("MayProbe", False)),
        cancellation_allowed=bool(permissions.get("Cancelling", False)),
        max_attempts=int(_number(permissions, "MaxAttempts")),
        connect_timeout_ms=_number(permissions, "ConnectTimeoutMs", 0.0),
        orphan_check_ms=_number(family_info, "CheckAfterMs", 0.0),
        max_retry_after_ms=(
            _number(permissions, "MaxRetryAfterMs", 0.0) if permissions.get("RetryAfter") else 0.0
        ),
        answer_grace_ms=_number(rules, "GraceToAnswerMs", 0.0),
        drain_grace_ms=_number(rules, "DrainGraceMs", 0.0),
        endpoint_poll_within_ms=_number(rules, "AskWithinMs", 0.0),
        slow_start=_slow_start_of(rules, family_info),
        prices=_prices_of(start_record.get("Prices", {}), family_info),
    )


def _slow_start_of(rules: dict[str, Any], family_info: dict[str, Any]) -> SlowStartSettings:
    return SlowStartSettings(
        initial_share=_number(rules, "ColdFrom", 0.0),
        duration_ms=_number(rules, "ColdMs"),
        overload_multiple=_number(rules, "FallMultiple"),
        window_ms=_number(rules, "FallMs"),
        max_offers_per_window=_number(family_info, "YoungLimit"),
    )


def _prices_of(prices: dict[str, Any], family_info: dict[str, Any]) -> Prices:
    return Prices(
        rejected_offer=_number(family_info, "RefusedPrice", 0.0),
        reserved_machines=_number(prices, "Fleet", 0.0),
        migration=_number(prices, "Moves", 0.0),
        eviction_in_migrations=_number(family_info, "EvictCounts", 1.0),
        waste=_number(prices, "Waste", 0.0),
        health_check=_number(prices, "Probe", 0.0),
        endpoint_list_entry=_number(prices, "RegistryMode", 0.0),
    )


def _class_of(category: Any, family_info: dict[str, Any], index: int) -> TaskClass:
    if isinstance(category, dict):
        return _read_class(category, family_info, index)
    raise ValueError(f"Categories: objects are wanted, not {category!r:.60}")


def _read_class(category: dict[str, Any], family_info: dict[str, Any], index: int) -> TaskClass:
    idempotency = lookup(_IDEMPOTENCY, category.get("Effect"), "Effect")
    kind = int(_list_item_number(family_info, "NeedsKind", index, -1))
    return TaskClass(
        name=str(category.get("Name", index)),
        latency_objective_ms=_number(category, "AimMs"),
        deadline_ms=_number(category, "DeadlineMs"),
        priority_weight=_number(category, "Worth", 1.0),
        start_utility_s=_list_item_number(family_info, "ClassStartS", index, 0.0),
        late_start_share=_number(category, "LateWorth", 0.0),
        idempotency=idempotency,
        idempotency_scope=lookup(_FAILURE_DOMAINS, category.get("Group", "all"), "Group"),
        idempotency_window_ms=_number(category, "WindowMs", 0.0),
        priority=int(_list_item_number(family_info, "Precedence", index, 0)),
        required_kind=None if kind < 0 else kind,
        spread_domain=lookup(_FAILURE_DOMAINS, _list_item(family_info, "ApartBy", index, "none"), "ApartBy"),
        max_per_domain=int(_list_item_number(family_info, "TogetherMax", index, 1)),
        full_service_utilization=_list_item_number(family_info, "ClassCalm", index, 1.0),
        degradation_range=_list_item_number(family_info, "LostAfter", index, 1.0),
    )


def _required(table: dict[str, Any], name: str, kind: type[T]) -> T:
    value = table.get(name)
    if isinstance(value, kind):
        return value
    raise ValueError(f"{name}: missing or of the wrong kind")


def _is_finite_number(value: object) -> TypeGuard[float]:
    return isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)


def _number(table: dict[str, Any], name: str, default: float | None = None) -> float:
    value = table.get(name, default)
    if not _is_finite_number(value):
        raise ValueError(f"{name}: missing or not a number")
    if abs(value) > MAX_NUMBER:
        raise ValueError(f"{name}: from -{MAX_NUMBER:g} to {MAX_NUMBER:g} is allowed, not {value!r}")
    return float(value)


def _numbers(table: dict[str, Any], name: str) -> tuple[float, ...]:
    return tuple(_number({name: value}, name) for value in _required(table, name, list))


def _list_item(table: dict[str, Any], name: str, index: int, default: Any) -> Any:
    values = table.get(name, [])
    if isinstance(values, list):
        return values[index] if index < len(values) else default
    raise ValueError(f"{name}: a list is wanted, not {values!r:.60}")


def _list_item_number(table: dict[str, Any], name: str, index: int, default: float) -> float:
    return _number({name: _list_item(table, name, index, default)}, name)
