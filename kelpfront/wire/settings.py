"""Settings of a scheduler from the simulator's start record.

The keys of the record stay here; an impossible value is named by its key. What a value may be is checked by
`kelpfront.scheduling.settings`.
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
"""Of any setting: milliseconds of 30,000 years, and whole numbers stay exact."""

_IDEMPOTENCY = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.IDEMPOTENCY_KEY,
    "single_shot": Idempotency.NON_IDEMPOTENT,
}
_FAILURE_DOMAINS = {domain.value: domain for domain in FailureDomain}
_KEYS_OF_FIELDS = {
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
"""Fields of the settings by their keys on the wire, where a check of a value names the field."""


def settings_of(info: dict[str, Any]) -> SchedulerSettings:
    """Return the settings of a start record.

    Raises:
        ValueError: a setting is missing or impossible; the message names its key.
    """
    try:
        return _read_settings(info)
    except ValueError as error:
        field, separator, text = str(error).partition(":")
        raise ValueError(f"{_KEYS_OF_FIELDS.get(field, field)}{separator}{text}") from error


def _read_settings(info: dict[str, Any]) -> SchedulerSettings:
    permissions = _get(info, "Permissions", dict)
    family = _get(info, "FamilyInfo", dict)
    rules = _get(info, "Rules", dict)
    categories = _get(info, "Categories", list)
    return SchedulerSettings(
        replica_index=int(_number(info, "Me")),
        replica_count=int(_number(info, "Siblings")),
        zone=int(_number(info, "Zone")),
        zones=len(_get(info, "Zones", list)),
        timer_resolution_ms=_number(info, "TickMs"),
        classes=tuple(_class_of(category, family, index) for index, category in enumerate(categories)),
        kind_cores=_numbers(family, "SizeCores"),
        kind_memory=_numbers(family, "MemOfKind"),
        mean_cores=_number(family, "UsualCores"),
        mean_memory=_number(family, "MeanMemory"),
        cores_overcommit=_number(family, "CpuBooking"),
        memory_overcommit=_number(family, "AcceptsMemory"),
        accepted_when_running=family.get("Ack") == "running",
        endpoint_list_on_request=info.get("RegistryMode") == "on_request",
        endpoint_list_reports_free=bool(family.get("ListsFree", False)),
        reports_measured_usage=family.get("FreeBy") == "used",
        machines_preempt=bool(family.get("PushesOut", False)),
        health_checks_allowed=bool(permissions.get("MayProbe", False)),
        cancellation_allowed=bool(permissions.get("Cancelling", False)),
        max_attempts=int(_number(permissions, "MaxAttempts")),
        connect_timeout_ms=_number(permissions, "ConnectTimeoutMs", 0.0),
        orphan_check_ms=_number(family, "CheckAfterMs", 0.0),
        max_retry_after_ms=(
            _number(permissions, "MaxRetryAfterMs", 0.0) if permissions.get("RetryAfter") else 0.0
        ),
        answer_grace_ms=_number(rules, "GraceToAnswerMs", 0.0),
        drain_grace_ms=_number(rules, "DrainGraceMs", 0.0),
        endpoint_poll_within_ms=_number(rules, "AskWithinMs", 0.0),
        slow_start=_slow_start_of(rules, family),
        prices=_prices_of(info.get("Prices", {}), family),
    )


def _slow_start_of(rules: dict[str, Any], family: dict[str, Any]) -> SlowStartSettings:
    return SlowStartSettings(
        initial_share=_number(rules, "ColdFrom", 0.0),
        duration_ms=_number(rules, "ColdMs"),
        overload_multiple=_number(rules, "FallMultiple"),
        window_ms=_number(rules, "FallMs"),
        max_offers_per_window=_number(family, "YoungLimit"),
    )


def _prices_of(prices: dict[str, Any], family: dict[str, Any]) -> Prices:
    return Prices(
        rejected_offer=_number(family, "RefusedPrice", 0.0),
        reserved_machines=_number(prices, "Fleet", 0.0),
        migration=_number(prices, "Moves", 0.0),
        eviction_in_migrations=_number(family, "EvictCounts", 1.0),
        waste=_number(prices, "Waste", 0.0),
        health_check=_number(prices, "Probe", 0.0),
        endpoint_list_entry=_number(prices, "RegistryMode", 0.0),
    )


def _class_of(category: Any, family: dict[str, Any], index: int) -> TaskClass:
    if isinstance(category, dict):
        return _read_class(category, family, index)
    raise ValueError(f"Categories: objects are wanted, not {category!r:.60}")


def _read_class(category: dict[str, Any], family: dict[str, Any], index: int) -> TaskClass:
    idempotency = lookup(_IDEMPOTENCY, category.get("Effect"), "Effect")
    kind = int(_nth_number(family, "NeedsKind", index, -1))
    return TaskClass(
        name=str(category.get("Name", index)),
        latency_objective_ms=_number(category, "AimMs"),
        deadline_ms=_number(category, "DeadlineMs"),
        priority_weight=_number(category, "Worth", 1.0),
        start_utility_s=_nth_number(family, "ClassStartS", index, 0.0),
        late_start_share=_number(category, "LateWorth", 0.0),
        idempotency=idempotency,
        idempotency_scope=lookup(_FAILURE_DOMAINS, category.get("Group", "all"), "Group"),
        idempotency_window_ms=_number(category, "WindowMs", 0.0),
        priority=int(_nth_number(family, "Precedence", index, 0)),
        required_kind=None if kind < 0 else kind,
        spread_domain=lookup(_FAILURE_DOMAINS, _nth(family, "ApartBy", index, "none"), "ApartBy"),
        max_per_domain=int(_nth_number(family, "TogetherMax", index, 1)),
        full_service_utilization=_nth_number(family, "ClassCalm", index, 1.0),
        degradation_range=_nth_number(family, "LostAfter", index, 1.0),
    )


def _get(table: dict[str, Any], name: str, kind: type[T]) -> T:
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
    return tuple(_number({name: value}, name) for value in _get(table, name, list))


def _nth(table: dict[str, Any], name: str, index: int, default: Any) -> Any:
    values = table.get(name, [])
    if isinstance(values, list):
        return values[index] if index < len(values) else default
    raise ValueError(f"{name}: a list is wanted, not {values!r:.60}")


def _nth_number(table: dict[str, Any], name: str, index: int, default: float) -> float:
    return _number({name: _nth(table, name, index, default)}, name)
