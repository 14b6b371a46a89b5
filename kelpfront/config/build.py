"""Translates a placer's settings into the settings of the scheduler and of the levels of reduced service.

The keys of the file are mapped to the names that the code uses. The types that are built reject values that
contradict each other.
"""

from __future__ import annotations

from kelpfront.config.model import ClassSection, Config, PricesSection, RulesSection
from kelpfront.controller.cluster import Cluster
from kelpfront.degradation import LevelSettings
from kelpfront.scheduling.settings import (
    FailureDomain,
    Idempotency,
    Prices,
    SchedulerSettings,
    SlowStartSettings,
    TaskClass,
)

_MS_PER_S = 1000.0

# Failure domains by the value of the key; None if the key is absent.
_FAILURE_DOMAINS = {
    None: FailureDomain.ALL,
    "none": FailureDomain.NONE,
    "machine": FailureDomain.MACHINE,
    "rack": FailureDomain.CELL,
    "room": FailureDomain.ZONE,
    "all": FailureDomain.ALL,
}


def build_cluster(config: Config) -> Cluster:
    """Return the settings of the controller and its scheduler.

    Raises:
        ValueError: the settings contradict each other.
    """
    kinds = tuple(config.kinds)
    return Cluster(_scheduler_settings(config, kinds), kinds, config.cluster.lost_after)


def build_levels(config: Config) -> LevelSettings:
    """Return the settings of the levels of reduced service."""
    section = config.levels
    return LevelSettings(
        enabled=section.enabled,
        max_changes_per_hour=section.changes_an_hour,
        essential_priority=section.essential_priority,
        owner_weights={name: owner.weight for name, owner in config.owners.items()},
    )


def _scheduler_settings(config: Config, kinds: tuple[str, ...]) -> SchedulerSettings:
    cluster = config.cluster
    return SchedulerSettings(
        replica_index=config.placer.number,
        replica_count=cluster.placers,
        zone=0,
        zones=1,
        timer_resolution_ms=cluster.tick,
        classes=tuple(_task_class(name, section, kinds) for name, section in config.classes.items()),
        kind_cores=tuple(kind.cores for kind in config.kinds.values()),
        kind_memory=tuple(kind.memory for kind in config.kinds.values()),
        mean_cores=cluster.mean_cores,
        mean_memory=cluster.mean_memory,
        cores_overcommit=cluster.accepts_cores,
        memory_overcommit=cluster.accepts_memory,
        accepted_when_running=cluster.answer == "running",
        endpoint_list_on_request=False,  # machines push their reports without a request
        endpoint_list_reports_free=True,
        reports_measured_usage=cluster.reports_use,
        machines_preempt=cluster.pushes_out,
        health_checks_allowed=True,
        cancellation_allowed=True,
        max_attempts=cluster.max_attempts,
        connect_timeout_ms=cluster.connect_timeout,
        orphan_check_ms=cluster.recheck,
        max_retry_after_ms=cluster.max_retry_after,
        answer_grace_ms=config.rules.answer_grace,
        drain_grace_ms=config.rules.drain_grace,
        endpoint_poll_within_ms=0.0,
        slow_start=_slow_start_settings(config.rules),
        prices=_prices(config.prices),
    )


def _slow_start_settings(rules: RulesSection) -> SlowStartSettings:
    return SlowStartSettings(
        initial_share=rules.cold_from,
        duration_ms=rules.cold_for,
        overload_multiple=rules.cold_multiple,
        window_ms=rules.cold_window,
        max_offers_per_window=rules.cold_offers,
    )


def _prices(prices: PricesSection) -> Prices:
    return Prices(
        rejected_offer=prices.refused_offer,
        reserved_machines=prices.machines_held,
        migration=prices.move,
        eviction_in_migrations=prices.eviction_moves,
        waste=prices.waste,
        health_check=prices.probe,
        endpoint_list_entry=prices.list_line,
    )


def _task_class(name: str, section: ClassSection, kinds: tuple[str, ...]) -> TaskClass:
    return TaskClass(
        name=name,
        latency_objective_ms=section.aim,
        deadline_ms=section.deadline,
        priority_weight=section.worth,
        start_utility_s=section.start_worth / _MS_PER_S,
        late_start_share=section.late_worth,
        idempotency=Idempotency(section.effect),
        idempotency_scope=_FAILURE_DOMAINS[section.group],
        idempotency_window_ms=section.window or 0.0,
        priority=section.priority,
        required_kind=None if section.needs_kind is None else kinds.index(section.needs_kind),
        spread_domain=_FAILURE_DOMAINS[section.apart],
        max_per_domain=section.together,
        full_service_utilization=section.calm,
        degradation_range=section.fade,
    )
